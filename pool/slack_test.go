package pool_test

import (
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"
	"github.com/tinladder/tinladder/clock"
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

// TestSlackHoldsWhenAllRestart has all nodes of a fleet use what they may, and be killed, eight times within one window,
// without requests.
func TestSlackHoldsWhenAllRestart(t *testing.T) {
	const slack, window = 60.0, 10 * clock.Second
	for _, nodes := range []int{1, 2, 6, 44, 200} {
		c, r := clock.NewManual(0), rand.New(rand.NewPCG(1, 2))
		used := 0
		life := func(lasts clock.Millis) {
			list := make([]*pool.RetryBudget, nodes)
			for i := range list {
				list[i] = pool.NewRetryBudget(c, r, 0.2, 0, window)
			}
			for end := c.Now() + lasts; c.Now() < end; c.Advance(100) {
				for i, b := range list {
					b.SetSlack(slack * pool.SlackShare(pool.FleetView{IsSharer: i < 6, SharerCount: min(nodes, 6), Live: nodes, PeakLive: nodes}))
				}
			}
			for _, b := range list {
				for b.Allow() {
					used++
				}
			}
		}
		life(window + clock.Second)
		if used == 0 {
			t.Errorf("%d nodes that ran on used none of the slack", nodes)
		}
		for range 8 {
			life(clock.Second)
		}
		if float64(used) > slack {
			t.Errorf("%d nodes used %d of a slack of %v", nodes, used, slack)
		}
	}
}

// TestSlackLapses guards against a process that goes on after a pause, and uses a part of the slack that another one has
// got meanwhile.
func TestSlackLapses(t *testing.T) {
	is := is.New(t)
	c := clock.NewManual(0)
	b := pool.NewRetryBudget(c, rand.New(rand.NewPCG(1, 2)), 0.2, 0, 10*clock.Second)
	hold := func(lasts clock.Millis) {
		for end := c.Now() + lasts; c.Now() < end; c.Advance(100) {
			b.SetSlack(3)
		}
	}
	hold(11 * clock.Second)
	is.True(b.Allow())
	c.Advance(4 * clock.Second)
	is.True(!b.Allow())
	hold(9 * clock.Second)
	is.True(!b.Allow()) // it may have been used elsewhere until 9 s ago
	hold(2 * clock.Second)
	is.True(b.Allow())
}

// TestMostOfTheSlackIsWithCarriers checks a fleet that is not partitioned.
func TestMostOfTheSlackIsWithCarriers(t *testing.T) {
	carrier := pool.SlackShare(pool.FleetView{IsSharer: true, SharerCount: 6, Live: 44, PeakLive: 44})
	other := pool.SlackShare(pool.FleetView{SharerCount: 6, Live: 44, PeakLive: 44})
	if carrier < 10*other {
		t.Errorf("a carrier has %.4f, another node %.4f", carrier, other)
	}
}
