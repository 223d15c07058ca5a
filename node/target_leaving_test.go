package node_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
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
			leaving.SayLeaving()
			said := time.Now()
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
			is.True(!first.IsZero())
			is.Equal(late, 0)
		})
	}
}
