package pool_test

import (
	"math/rand/v2"
	"testing"

	"github.com/tinladder/tinladder/pool"
)

// TestSlackHoldsUnderPartitions splits fleets by network partitions into parts that are in contact only with
// themselves, and has each part choose carriers of its own. Together they never have more than the whole slack.
func TestSlackHoldsUnderPartitions(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	for range 2000 {
		nodes := 2 + r.IntN(200)
		parts := make([]int, 1+r.IntN(nodes))
		for range nodes {
			parts[r.IntN(len(parts))]++
		}
		sum := 0.0
		for _, live := range parts {
			carriers := min(live, 1+r.IntN(12))
			for i := range live {
				sum += pool.SlackShare(pool.FleetView{IsSharer: i < carriers, SharerCount: carriers, Live: live, PeakLive: nodes})
			}
		}
		if sum > 1 {
			t.Fatalf("%d nodes in parts of %v have %.2f of the slack", nodes, parts, sum)
		}
	}
}

// TestSlackHoldsWhenAllRestart has all nodes of a fleet use their shares, be killed, and use them again within
// one window.
func TestSlackHoldsWhenAllRestart(t *testing.T) {
	for _, nodes := range []int{1, 2, 6, 44, 200} {
		sum := 0.0
		for i := range nodes {
			v := pool.FleetView{IsSharer: i < 6, SharerCount: min(nodes, 6), Live: nodes, PeakLive: nodes}
			sum += pool.SlackShare(v)
			v.JustStarted = true
			sum += pool.SlackShare(v)
		}
		if sum > 1 {
			t.Errorf("%d nodes have %.2f of the slack", nodes, sum)
		}
	}
}

// TestMostOfTheSlackIsWithCarriers checks a fleet that is not partitioned.
func TestMostOfTheSlackIsWithCarriers(t *testing.T) {
	carrier := pool.SlackShare(pool.FleetView{IsSharer: true, SharerCount: 6, Live: 44, PeakLive: 44})
	other := pool.SlackShare(pool.FleetView{SharerCount: 6, Live: 44, PeakLive: 44})
	if carrier < 10*other {
		t.Errorf("a carrier has %.4f, another node %.4f", carrier, other)
	}
}
