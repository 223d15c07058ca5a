package node_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/tinladder/tinladder/platform/standin"
)

// TestRecordsThatAnotherHallKnewFirstAreToldToTheHall changes targets one after the other while the store responds to one
// hall later than to the others. That hall's watcher gets most records from another hall before its own response brings
// them. It guards against the watcher taking them for known then and sending its hall none, so that each node of the hall
// needed a comparison for each change.
func TestRecordsThatAnotherHallKnewFirstAreToldToTheHall(t *testing.T) {
	is := is.New(t)
	const nodes, changes = 30, 40
	f := newFleet(t, nodes)
	f.target("i-first", "desk")
	f.calm(3)
	f.ready(3, 1)
	time.Sleep(2 * time.Second) // the comparisons of the start are over
	for i, n := range f.nodes {
		if i%3 == 1 {
			n.door.SetFaults(standin.Faults{DelayMs: 60})
		}
	}
	time.Sleep(2 * time.Second)
	before := f.sum("tinladder_syncs_total")
	for i := range changes {
		f.store.Put("servers", fmt.Sprint("i-", i), standin.TargetRow("127.0.0.1:9", "desk", "h0", "ready", 3))
		time.Sleep(50 * time.Millisecond)
	}
	for _, n := range f.nodes {
		f.eventually(n.name+" knows all targets", func() bool { return f.targetCount(n) == changes+1 })
	}
	compared := f.sum("tinladder_syncs_total") - before
	t.Logf("%.0f comparisons for %d changes at %d nodes", compared, changes, nodes)
	is.True(compared <= nodes) // one per node and minute is usual; changes are sent by datagram
}
