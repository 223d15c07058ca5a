package node_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/tinladder/tinladder/platform/standin"
)

// TestOnlyServingNodesHoldTargetsReady guards against nodes that hold a pool of all targets ready without serving the
// service: each node checked all targets at each change, and its cost grew with the targets of the whole fleet. Of 24 nodes, a
// few serve the service; the test sends requests to another one, which then holds the targets ready until requests stop.
func TestOnlyServingNodesHoldTargetsReady(t *testing.T) {
	is := is.New(t)
	f := newFleetWith(t, 24, func(int) string { return "\n[log]\nlevel = \"info\"\n" })
	f.calm(1)
	const targets = 12
	for i := range targets {
		f.target(fmt.Sprint("t", i), "desk")
	}
	f.ready(1, targets)
	var ready, idle []*testNode
	for _, n := range f.nodes {
		if f.sumOf(n, "tinladder_targets_ready") > 0 {
			ready = append(ready, n)
		} else {
			idle = append(idle, n)
		}
	}
	is.True(len(ready) >= 2)
	is.True(len(ready) <= len(f.nodes)/2)
	n := idle[0]
	for i := range 20 {
		is.Equal(f.call(n, http.MethodGet, "/get/a", fmt.Sprint("r", i), "").status, http.StatusOK)
	}
	is.Equal(int(f.sumOf(n, "tinladder_targets_ready")), targets)
	f.store.Put("servers", "more", standin.TargetRow("127.0.0.1:9", "desk", "h0", "draining", 3))
	f.eventually("it follows changes from then on", func() bool { return int(f.sumOf(n, "tinladder_targets_ready")) == targets+1 })
	last := time.Now()
	for i := 0; f.sumOf(n, "tinladder_targets_ready") > 0; i++ { // one request may come to each node of a fleet now and then
		if time.Since(last) > 10*time.Second {
			t.Fatal("it holds them ready though nobody asks")
		}
		time.Sleep(500 * time.Millisecond)
		f.store.Put("servers", fmt.Sprint("late", i), standin.TargetRow("127.0.0.1:9", "desk", "h0", "draining", 3))
	}
}
