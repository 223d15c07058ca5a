package node_test

import (
	"encoding/json"
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
	var own map[string]any
	is.NoErr(json.Unmarshal(standin.TargetRow(left.Address(), left.Service, left.Hall, "ready", left.Slots), &own))
	for _, spoil := range []func(row, info, status map[string]any){
		func(_, _, _ map[string]any) {}, // names no start
		func(_, info, status map[string]any) {
			delete(info, "version")
			delete(status, "warmupLeft")
			delete(status, "callSeq")
		},
		func(row, _, status map[string]any) {
			row["born"] = born
			delete(status, "callSeq")
		},
		func(row, info, _ map[string]any) {
			row["born"] = born
			delete(info, "capacity")
		},
		func(row, _, status map[string]any) {
			row["born"] = born
			status["callSeq"] = 0 // it has written before
		},
		func(row, _, _ map[string]any) { row["born"] = "yesterday" },
	} {
		raw, err := json.Marshal(own)
		is.NoErr(err)
		var row map[string]any
		is.NoErr(json.Unmarshal(raw, &row))
		spoil(row, row["info"].(map[string]any), row["status"].(map[string]any))
		raw, err = json.Marshal(row)
		is.NoErr(err)
		f.store.Put("servers", left.ID, raw)
		time.Sleep(500 * time.Millisecond)
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
