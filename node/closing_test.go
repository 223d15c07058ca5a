package node_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/tinladder/tinladder/platform/standin"
)

// TestTargetsWithoutLengthsStayInUse guards against sound targets that get no request any more, from any node, since their
// responses have no length and end with the connection.
func TestTargetsWithoutLengthsStayInUse(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 3)
	var targets []*standin.Target
	for i := range 5 {
		target := f.target(fmt.Sprint("t", i), "desk")
		if i < 2 {
			target.SetFaults(standin.TargetFaults{Unframed: 1})
		}
		targets = append(targets, target)
	}
	f.calm(1)
	f.ready(1, len(targets))
	stop := f.callAll(10)
	time.Sleep(4 * time.Second)
	until := time.Now()
	stop()
	for i, target := range targets {
		late := 0
		for _, s := range target.Seen() {
			if until.Sub(s.At) < 2*time.Second {
				late++
			}
		}
		t.Logf("target %d: %d requests in the last 2 s", i, late)
		is.True(late > 0)
	}
	for _, n := range f.nodes {
		is.True(!strings.Contains(n.log.String(), "event=target_left"))
		is.True(!strings.Contains(n.log.String(), "event=target_closes"))
	}
}
