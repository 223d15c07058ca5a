package node_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/tinladder/tinladder/platform/standin"
)

// TestRecordsThatAnotherHallKnewFirstAreToldToTheHall has targets change one after the other, where the store answers one
// hall later than the others. That hall's watcher has most records from another hall before its own answer brings them, and
// took them for no news then: it told its hall of none, and each node of the hall found out by a comparison, for each change.
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
	is.True(compared <= nodes) // one a node and minute is usual; a change is told by datagram
}
