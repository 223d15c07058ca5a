package node_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/tinladder/tinladder/node"
	"github.com/tinladder/tinladder/platform/standin"
)

const (
	// leavingBound is how long after it said that it leaves a target may get requests that were sent later.
	leavingBound = 2 * time.Second
	// leavingFor is for how long requests go on after that.
	leavingFor = 4 * time.Second
)

// TestTargetThatSaysItLeavesGetsNoMore guards against requests to a target that says in its answers that it is leaving,
// while the store has no word of it, whatever else the answers say.
func TestTargetThatSaysItLeavesGetsNoMore(t *testing.T) {
	for _, x := range []struct {
		name   string
		faults standin.TargetFaults
	}{
		{"good", standin.TargetFaults{}},
		{"failing", standin.TargetFaults{Fail: 0.5}},
		{"turning away", standin.TargetFaults{Shed: 1}},
	} {
		t.Run(x.name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, 3)
			var targets []*standin.Target
			for i := range 3 {
				targets = append(targets, f.target(fmt.Sprint("t", i), "desk"))
			}
			f.calm(1)
			f.ready(1, len(targets))
			stop := f.callAll(10)
			time.Sleep(time.Second)
			leaving := targets[0]
			leaving.SetFaults(x.faults)
			said := time.Now()
			leaving.SayLeaving()
			time.Sleep(leavingBound + leavingFor)
			stop()
			first, late := time.Time{}, 0
			for _, s := range leaving.Seen() {
				switch {
				case s.At.Before(said):
				case first.IsZero():
					first = s.At
				case s.At.Sub(first) > leavingBound:
					late++
				}
			}
			is := is.New(t)
			t.Logf("%d requests later than the bound", late)
			// The answer to a request that came before may have said it already.
			is.True(!first.IsZero() || strings.Contains(f.nodes[0].log.String(), "event=target_left"))
			is.Equal(late, 0)
		})
	}
}

// TestPassedResponseSaysThatItsTargetLeaves guards against a node that passes requests to another one, and does not learn
// that the target which responded there is leaving. Callers do not see how it learns that.
func TestPassedResponseSaysThatItsTargetLeaves(t *testing.T) {
	f, cuts := cuttableFleetOf(t, 2)
	leaving, err := standin.NewTarget(f.store, "leaving", "desk", "h1", 3, 5*time.Millisecond)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(leaving.Close)
	f.eventually("the target is known", func() bool { return f.poolTargets(f.nodes[0]) == 7 && f.poolTargets(f.nodes[1]) == 7 })
	cuts[0].set(cutReset)
	stop := f.callEach(10)
	f.eventually("the node is cut off", func() bool { return strings.Contains(f.nodes[0].log.String(), "targets_cut_off") })
	leaving.SayLeaving()
	f.eventually("the node knows that the target leaves", func() bool {
		return strings.Contains(f.nodes[0].log.String(), "event=target_left")
	})
	is := is.New(t)
	for _, replies := range stop() {
		for _, r := range replies {
			is.Equal(r.header.Get(node.HeaderLeavingTarget), "")
		}
	}
}
