package node_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/tinladder/tinladder/platform/standin"
)

// TestWaitForFirstStateCountsTowardsTimeout sends a request to a node that has just started and does not know the desired
// state yet, for a target that does not respond. The wait for the state used to come on top of the route's time-out of 1 s.
func TestWaitForFirstStateCountsTowardsTimeout(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 1)
	f.target("i-1", "desk").SetFaults(standin.TargetFaults{Hang: 1})
	f.calm(3)
	f.ready(3, 1)
	n := f.nodes[0]
	n.door.SetFaults(standin.Faults{DelayMs: 400})
	for i := range 3 {
		n.stop()
		<-n.node.Done()
		f.start(n)
		r := f.call(n, http.MethodGet, "/get/", fmt.Sprint("a", i), "")
		t.Logf("status %d after %v", r.status, r.took) // 503 if the state arrives before the target
		is.True(r.status >= http.StatusInternalServerError)
		is.True(r.took < 1200*time.Millisecond)
	}
}
