package node_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/tinladder/tinladder/platform/standin"
)

// Nodes of two halls use a target of a third one. The begin of a request was reported to all halls and its end to two of
// them, so the other one counted the request for 2.1 s more: its callers waited for a slot that was free, and were refused
// after the whole time limit, or were sent on with too little time left.

// TestEndedRequestFreesSlotForEveryHall has a node of one hall use the only slot, and asks a node of another hall right
// after.
func TestEndedRequestFreesSlotForEveryHall(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 3)
	target, err := standin.NewTarget(f.store, "i-1", "desk", "h0", 1, 200*time.Millisecond)
	is.NoErr(err)
	t.Cleanup(target.Close)
	f.calm(3)
	f.ready(3, 1)
	for i := range 3 {
		time.Sleep(700 * time.Millisecond) // the next begin is reported to all halls
		first := f.call(f.nodes[1], http.MethodGet, "/get/", fmt.Sprint("a", i), "")
		is.Equal(first.status, http.StatusOK)
		second := f.call(f.nodes[2], http.MethodGet, "/get/", fmt.Sprint("b", i), "")
		t.Logf("round %d: status %d after %v", i, second.status, second.took)
		is.Equal(second.status, http.StatusOK)
	}
}
