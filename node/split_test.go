package node_test

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/matryer/is"
	"github.com/tinladder/tinladder/platform/standin"
)

// TestSplitsPartThatIsFullIsRefused splits a route between two services, one of which rejects every request. Its share of
// the requests must be refused, and not be moved to the other service.
func TestSplitsPartThatIsFullIsRefused(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 1)
	desk, clerk := f.target("i-1", "desk"), f.target("i-2", "clerk")
	clerk.SetFaults(standin.TargetFaults{Shed: 1})
	r := route("/split/", standin.RunOnce, "")
	r.Split = []standin.PartRow{{Service: "desk", Weight: 1}, {Service: "clerk", Weight: 1}}
	f.store.Configure(3, []string{"desk", "clerk"}, r)
	f.ready(3, 2)
	const count = 200
	served, refused := 0, 0
	for i := range count {
		switch status := f.call(f.nodes[0], http.MethodPost, "/split/", fmt.Sprint("x", i), "").status; status {
		case http.StatusOK:
			served++
		case http.StatusServiceUnavailable:
			refused++
		default:
			t.Errorf("status %d", status)
		}
	}
	is.Equal(served+refused, count)
	is.True(served > count*35/100 && served < count*65/100) // half, by four standard deviations
	ranAt := func(x *standin.Target) (n int) {
		for _, s := range x.Seen() {
			if s.Ran {
				n++
			}
		}
		return n
	}
	is.Equal(ranAt(desk), served)
	is.Equal(ranAt(clerk), 0)
}
