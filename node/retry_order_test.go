package node_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/tinladder/tinladder/platform/standin"
)

// TestRetryOrderIsByPriority guards against a node that tries less urgent requests again in place of urgent ones, though its
// settings ask for the order, and against one that does not say so.
func TestRetryOrderIsByPriority(t *testing.T) {
	retriesDenied := func(balance string) (f *fleet, denied [2]int) {
		f = newFleetWith(t, 1, func(int) string { return balance + "[retries]\nslack = 0\nwindow = \"5s\"\n" })
		for i := range 4 {
			f.target(fmt.Sprint("i-", i), "desk").SetFaults(standin.TargetFaults{Shed: 0.5})
		}
		urgent, other := route("/urgent/", standin.RunOnce, "desk"), route("/other/", standin.RunOnce, "desk")
		other.Rank = 1
		f.store.Configure(3, []string{"desk", "clerk"}, urgent, other)
		f.ready(3, 4)
		for i := range 800 { // about 200 a second
			path := "/other/"
			if i%8 == 0 {
				path = "/urgent/"
			}
			if r := f.call(f.nodes[0], http.MethodGet, path, fmt.Sprint("q", i), ""); r.status != http.StatusOK {
				denied[min(i%8, 1)]++
			}
			time.Sleep(3 * time.Millisecond)
		}
		return f, denied
	}
	is := is.New(t)
	f, denied := retriesDenied("[balance]\nretry_order = true\n")
	t.Log("not served, of 100 urgent and 700 others", denied)
	is.True(denied[0]*2 < 100*denied[1]/700) // half the share of the others
	is.True(f.sum(`tinladder_further_denied_total{why="order"}`) > 0)
	f.eventually("it says so", func() bool {
		return f.logLines("event=retry_budget", "denied_for_order=", "order_denied=", "1/retry:") > 0
	})
	f, denied = retriesDenied("")
	t.Log("in the order of coming", denied)
	is.Equal(f.sum(`tinladder_further_denied_total{why="order"}`), 0.0)
	is.Equal(f.logLines("event=retry_budget", "denied_for_order="), 0)
}
