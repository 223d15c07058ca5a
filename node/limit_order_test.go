package node_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/tinladder/tinladder/platform"
	"github.com/tinladder/tinladder/platform/standin"
)

// TestUrgentRoutesSpendTheLimitFirst floods a workspace's limit with requests of a route that comes last, beside few of an
// urgent one. With the setting, urgent requests are admitted and lines of refused ones name the order. Without it, both
// kinds are refused.
func TestUrgentRoutesSpendTheLimitFirst(t *testing.T) {
	for name, c := range map[string]struct {
		settings string
		inOrder  bool
	}{"in order": {"[balance]\nlimit_order = true\n", true}, "by arrival": {"", false}} {
		t.Run(name, func(t *testing.T) {
			f := newFleetWith(t, 1, func(int) string { return c.settings })
			target, err := standin.NewTarget(f.store, "t", "desk", "h0", 400, time.Millisecond)
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(target.Close)
			orders, reports := route("/orders/", standin.Repeatable, "desk"), route("/reports/", standin.Repeatable, "desk")
			orders.Rank, reports.Rank = 1, 5
			f.store.ConfigureKeyed(1, []string{"desk"}, []standin.WorkspaceRow{{Name: "shop", Keys: []string{"key"}, Rank: 1, PerSecond: 60, Burst: 60}}, orders, reports)
			f.ready(1, 1)
			n := f.nodes[0]
			for f.keyed(n, "/reports/x") != http.StatusTooManyRequests { // the burst is spent
				time.Sleep(time.Millisecond)
			}
			asked, refused, bulk := 0, 0, 0
			for end := time.Now().Add(6 * time.Second); time.Now().Before(end); {
				for range 20 {
					if f.keyed(n, "/reports/x") == http.StatusOK {
						bulk++
					}
					time.Sleep(time.Millisecond)
				}
				status := f.keyed(n, "/orders/x")
				if time.Until(end) > 4*time.Second {
					continue // demand is not known yet
				}
				asked++
				if status == http.StatusTooManyRequests {
					refused++
				}
			}
			log := n.log.String()
			t.Logf("%d of %d urgent requests refused, %d others admitted", refused, asked, bulk)
			if most := 0.1 * float64(asked); c.inOrder != (float64(refused) <= most) {
				t.Errorf("%d of %d urgent requests refused", refused, asked)
			}
			if bulk == 0 {
				t.Error("all other requests refused")
			}
			for _, line := range []string{"order=priority", "event=limit_order"} {
				if strings.Contains(log, line) != c.inOrder {
					t.Errorf("log has %q: %v", line, !c.inOrder)
				}
			}
		})
	}
}

// keyed sends a request with the key of a workspace and returns the response's status, 0 if there is none.
func (f *fleet) keyed(n *testNode, path string) int {
	h := platform.Headers()
	r, err := http.NewRequest(http.MethodGet, "http://"+n.callers+path, nil)
	if err != nil {
		f.t.Fatal(err)
	}
	r.Host = "shop"
	r.Header.Set(h.RequestID, "r")
	r.Header.Set(h.Key, "Bearer key")
	res, err := f.http.Do(r)
	if err != nil {
		return 0
	}
	_ = res.Body.Close()
	return res.StatusCode
}
