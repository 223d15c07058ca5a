package pool_test

import (
	"math/rand/v2"
	"testing"

	"github.com/tinladder/tinladder/pool"
)

// TestSlackHoldsInAFleetThatIsCut cuts fleets into parts that hear only themselves, and has each part
// choose carriers of its own. Together they never have more than the whole slack.
func TestSlackHoldsInAFleetThatIsCut(t *testing.T) {
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
				sum += pool.SlackShare(pool.FleetView{Carries: i < carriers, Carriers: carriers, Live: live, PeakLive: nodes})
			}
		}
		if sum > 1 {
			t.Fatalf("%d nodes in parts of %v have %.2f of the slack", nodes, parts, sum)
		}
	}
}

// TestSlackHoldsWhenAllStartAgain has all nodes of a fleet use their parts, be killed, and use them again
// within one window.
func TestSlackHoldsWhenAllStartAgain(t *testing.T) {
	for _, nodes := range []int{1, 2, 6, 44, 200} {
		sum := 0.0
		for i := range nodes {
			v := pool.FleetView{Carries: i < 6, Carriers: min(nodes, 6), Live: nodes, PeakLive: nodes}
			sum += pool.SlackShare(v)
			v.JustStarted = true
			sum += pool.SlackShare(v)
		}
		if sum > 1 {
			t.Errorf("%d nodes have %.2f of the slack", nodes, sum)
		}
	}
}

// TestMostOfTheSlackIsWithCarriers is about a fleet that is whole.
func TestMostOfTheSlackIsWithCarriers(t *testing.T) {
	carrier := pool.SlackShare(pool.FleetView{Carries: true, Carriers: 6, Live: 44, PeakLive: 44})
	other := pool.SlackShare(pool.FleetView{Carriers: 6, Live: 44, PeakLive: 44})
	if carrier < 10*other {
		t.Errorf("a carrier has %.4f, another node %.4f", carrier, other)
	}
}
