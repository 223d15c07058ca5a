package node_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/tinladder/tinladder/platform/standin"
)

// TestNodesLearnSpeedsOfTargets guards against nodes whose estimates get no work of requests, or that an operator cannot see.
// One target takes four times as long, and recovers.
func TestNodesLearnSpeedsOfTargets(t *testing.T) {
	f := newFleetWith(t, 3, func(int) string { return "[balance]\ntarget_speeds = true\n" })
	var targets []*standin.Target
	for i := range 4 {
		x, err := standin.NewTarget(f.store, fmt.Sprint("t", i), "desk", "h0", 3, 30*time.Millisecond)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(x.Close)
		targets = append(targets, x)
	}
	f.calm(1)
	f.ready(1, len(targets))
	targets[0].SetFaults(standin.TargetFaults{Slow: 4})
	stop := f.callAll(25)
	f.eventually("a slow target is told apart on all nodes", func() bool {
		return f.sum("tinladder_targets_slow") >= float64(len(f.nodes)) && f.logLines("event=target_slow", "target=t0", "slower=") >= len(f.nodes)
	})
	targets[0].SetFaults(standin.TargetFaults{})
	f.eventually("a target that has recovered is not slow", func() bool {
		return f.sum("tinladder_targets_slow") == 0 && f.logLines("event=target_usual", "target=t0") >= len(f.nodes)
	})
	for _, r := range stop() {
		if r.status != http.StatusOK {
			t.Errorf("a request got %d", r.status)
		}
	}
}
