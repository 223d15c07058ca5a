package node_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/tinladder/tinladder/platform/standin"
)

// TestTargetThatSendsBytesWithoutEnd has one of three targets send bytes without end for each request. Requests are served by the
// others within their time, few are not, and none is told that a body is whole that is not; the target counts as failing.
func TestTargetThatSendsBytesWithoutEnd(t *testing.T) {
	t.Parallel()
	for _, a := range standin.EndlessAnswers {
		t.Run(a.Name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, 2)
			f.calm(1)
			bad := f.target("i-1", "desk")
			f.target("i-2", "desk")
			f.target("i-3", "desk")
			f.ready(1, 3)
			bad.SetEndless(&a)
			bad.SetFaults(standin.TargetFaults{Endless: 1})
			const requests = 200
			unserved, slow := 0, 0
			for i := range requests {
				id := fmt.Sprintf("%s-%d", a.Name[:2], i)
				r := f.call(f.nodes[i%2], http.MethodGet, "/get/", id, "")
				whole := r.status == http.StatusOK && !r.broken
				if whole && r.body != "answer to "+id {
					t.Fatalf("%d bytes passed as a whole answer", len(r.body))
				}
				if !whole {
					unserved++
				}
				if r.took > 1500*time.Millisecond {
					slow++
				}
			}
			if unserved > requests/10 || slow > 0 {
				t.Errorf("%d of %d requests were not served, %d took longer than their route's time", unserved, requests, slow)
			}
			if seen := len(bad.Seen()); seen > requests/5 && !a.Whole {
				t.Errorf("the target got %d of %d requests", seen, requests)
			}
		})
	}
}
