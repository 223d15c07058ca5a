package tinladder_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/tinladder/tinladder/belief"
	"github.com/tinladder/tinladder/clock"
	"github.com/tinladder/tinladder/ident"
	"github.com/tinladder/tinladder/limit"
	"github.com/tinladder/tinladder/pool"
)

// Belief, budget, pool and limits within a program of one's own, without a node. They do no I/O: the program sends the
// requests, and says how they ended.
func Example() {
	c := clock.NewManual(0) // clock.NewSystem() in a program
	tuning := pool.DefaultTuning
	tuning.Model = belief.Model{MeanHealthy: 60 * clock.Second, MeanFailing: 10 * clock.Second, HealthyFailRate: 0.01, FailingFailRate: 0.9}
	budget := pool.NewRetryBudget(c, rand.New(rand.NewPCG(3, 4)), 0.2, 10, 10*clock.Second) // in 10 s, a fifth of the requests and 10 more are tried again
	targets := pool.New(tuning, c, rand.New(rand.NewPCG(1, 2)), budget, func(pool.ChangeKind, ident.Hall) {},
		func(e pool.Event) { fmt.Println(e.Target, e.Kind) })
	targets.SetTargets([]pool.Target{{ID: "a", Address: "10.0.0.1:80", Slots: 4}, {ID: "b", Address: "10.0.0.2:80", Slots: 4}})
	limits := limit.New(c, limit.Bounds{Window: 10 * clock.Second})
	for range 6 {
		c.Advance(100)
		limits.Tick(limit.View{IsSharer: true, SharerCount: 1, Live: 1, PeakLive: 1}) // alone, it has the whole limit, which fills
		if admitted, _ := limits.Take("shop", limit.Rate{PerSecond: 7, Burst: 2}); !admitted {
			fmt.Println("the shop has reached its limit")
			continue
		}
		budget.AddRequest()
		ask := &pool.Request{Repeatable: true, MayRetry: true, Began: c.Now(), Objective: 200, Deadline: c.Now() + clock.Second}
		for again := true; again; {
			lease, err := targets.Acquire(context.Background(), ask)
			if err != nil {
				fmt.Println(err)
				break
			}
			outcome := pool.Good // of sending the request to lease.Address
			if lease.Target == "b" {
				outcome = pool.Failed
			}
			fmt.Println(lease.Target, outcome)
			lease.Done(outcome, false)
			ask.Exclude = append(ask.Exclude, lease.Target)
			again = outcome != pool.Good && budget.Allow()
		}
	}
	// Output:
	// the shop has reached its limit
	// the shop has reached its limit
	// b failed
	// b target_avoided
	// a good
	// the shop has reached its limit
	// a good
	// the shop has reached its limit
}

// TestReadmeShowsTheExample compares README.md with the example above, which is run.
func TestReadmeShowsTheExample(t *testing.T) {
	is := is.New(t)
	source, err := os.ReadFile("example_test.go")
	is.NoErr(err)
	readme, err := os.ReadFile("README.md")
	is.NoErr(err)
	_, body, _ := strings.Cut(string(source), "func Example() {\n")
	body, _, _ = strings.Cut(body, "\t// Output:")
	is.True(strings.Contains(string(readme), body))
	is.True(strings.Count(body, "\n") <= 33)
}
