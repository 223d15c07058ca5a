package node_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/tinladder/tinladder/platform/standin"
)

// TestLongGracePeriodCutsNoLateRequest stops a node with a long grace period and sends it requests that outlast the end,
// later than 3 s after the stop: they were accepted until 48% of the grace period and cut off at its end, run-once ones
// among them.
func TestLongGracePeriodCutsNoLateRequest(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 2)
	target, err := standin.NewTarget(f.store, "i-1", "desk", "h0", 20, 5*time.Second)
	is.NoErr(err)
	defer target.Close()
	get, once := route("/get/", standin.Repeatable, "desk"), route("/once/", standin.RunOnce, "desk")
	get.Timeout, once.Timeout = "15000ms", "10000ms"
	f.store.Configure(3, []string{"desk"}, get, once)
	f.ready(3, 1)
	n := f.nodes[1]
	f.setGracePeriod(n, "8s")
	stopped := time.Now()
	n.stop()
	var wg sync.WaitGroup
	var mu sync.Mutex
	var cut []string
	for i := range 12 {
		time.Sleep(time.Until(stopped.Add(3010*time.Millisecond + time.Duration(i)*45*time.Millisecond)))
		method, path, limit := http.MethodGet, "/get/", 15_000
		if i%2 == 1 {
			method, path, limit = http.MethodPost, "/once/", 10_000
		}
		id := fmt.Sprint("late-", i)
		wg.Go(func() {
			r := f.callWithin(n, method, path, id, "", limit)
			if r.status != http.StatusOK && ran(id, target) > 0 {
				mu.Lock()
				defer mu.Unlock()
				cut = append(cut, fmt.Sprintf("%s: status %d, broken %v, %s after the stop", id, r.status, r.broken, time.Since(stopped).Round(time.Millisecond)))
			}
		})
	}
	wg.Wait()
	is.Equal(cut, nil)
	<-n.node.Done()
	is.True(time.Since(stopped) < 8*time.Second)
}
