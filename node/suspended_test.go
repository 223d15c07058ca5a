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

// resumedClock is a node's clock, ahead by the time that its machine was suspended.
type resumedClock struct {
	clock.Clock
	suspended atomic.Int64
}

// Now implements clock.Clock.
func (c *resumedClock) Now() clock.Millis {
	return c.Clock.Now() + clock.Millis(c.suspended.Load())
}

// TestResumedMachineDistrustsOldProofs revokes a key while a node's machine is suspended for six seconds. The first
// requests after that arrive before any response of the store: the node must not use its earlier proof that the key is valid.
func TestResumedMachineDistrustsOldProofs(t *testing.T) {
	is := is.New(t)
	f := newFleetWith(t, 1, func(int) string { return "revoke = \"5s\"\n" })
	n := f.nodes[0]
	n.stop()
	<-n.node.Done()
	resumed := &resumedClock{Clock: f.clock}
	n.clock = resumed
	f.start(n)
	target := f.target("i-1", "desk")
	f.configureKeyed(3, workspaces)
	f.ready(3, 1)
	f.awaitKeys(shopKey)
	n.door.SetFaults(standin.Faults{Away: standin.Reset})
	f.configureKeyed(4, workspaces[1:])
	resumed.suspended.Add(int64(6 * clock.Second))
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
