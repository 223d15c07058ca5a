package node_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/tinladder/tinladder/platform/standin"
)

// TestEntriesOfOtherWritersNameNoTarget guards against requests to a target that has left, and serves on for a while, since
// another writer writes an entry under its id.
func TestEntriesOfOtherWritersNameNoTarget(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 3)
	born := time.Now().UnixMilli()
	var targets []*standin.Target
	for i := range 3 {
		target := f.target(fmt.Sprint("t", i), "desk")
		target.RegisterBorn(born, false)
		targets = append(targets, target)
	}
	f.calm(1)
	f.ready(1, len(targets))
	stop := f.callAll(10)
	time.Sleep(time.Second)
	left := targets[0]
	left.Unregister()
	time.Sleep(2 * time.Second)
	from := time.Now()
	own := standin.TargetRow(left.Address(), left.Service, left.Hall, "ready", left.Slots)
	rows := [][]byte{own, standin.StartedRow(own, born, 0)} // one names no start, the other counts back
	for _, raw := range append(rows, standin.IncompleteRows(standin.StartedRow(own, born, 9))...) {
		f.store.Put("servers", left.ID, raw)
		time.Sleep(300 * time.Millisecond)
		for _, n := range f.nodes {
			if known := f.poolTargets(n); known != len(targets)-1 {
				t.Errorf("%d targets with the entry %s", known, raw)
			}
		}
	}
	stop()
	for _, s := range left.Seen() {
		if s.At.After(from) {
			t.Errorf("a request %s after the first such entry", s.At.Sub(from))
		}
	}
	is.True(strings.Contains(f.nodes[0].log.String(), "event=record_refused"))
}
