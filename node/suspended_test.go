package node_test

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
	"github.com/tinladder/tinladder/clock"
	"github.com/tinladder/tinladder/platform/standin"
)

// wokenClock is a node's clock, which goes on by what its machine was suspended.
type wokenClock struct {
	clock.Clock
	slept atomic.Int64
}

// Now implements clock.Clock.
func (c *wokenClock) Now() clock.Millis {
	return c.Clock.Now() + clock.Millis(c.slept.Load())
}

// TestMachineThatWakesTrustsNothingOld suspends the machine of a node for six seconds, within which a key is taken away.
// The first request after waking comes before any word of the store: the node may not go by what it held for fresh before.
func TestMachineThatWakesTrustsNothingOld(t *testing.T) {
	is := is.New(t)
	f := newFleetWith(t, 1, func(int) string { return "revoke = \"5s\"\n" })
	n := f.nodes[0]
	n.stop()
	<-n.node.Done()
	woken := &wokenClock{Clock: f.clock}
	n.clock = woken
	f.start(n)
	target := f.target("i-1", "desk")
	f.configureKeyed(3, workspaces)
	f.ready(3, 1)
	f.awaitKeys(shopKey)
	n.door.SetFaults(standin.Faults{Away: standin.Reset})
	f.configureKeyed(4, workspaces[1:])
	woken.slept.Add(int64(6 * clock.Second))
	for i := range 5 {
		is.Equal(f.callWith(n, "/get/", fmt.Sprint("woken-", i), "Authorization", "Bearer "+shopKey).status, http.StatusServiceUnavailable)
		is.Equal(ran(fmt.Sprint("woken-", i), target), 0)
	}
	n.door.SetFaults(standin.Faults{})
	f.eventually("the key is known to be gone", func() bool {
		return f.callWith(n, "/get/", "gone", "Authorization", "Bearer "+shopKey).status == http.StatusUnauthorized
	})
	f.awaitKeys(courierKey)
}
