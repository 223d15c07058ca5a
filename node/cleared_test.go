package node_test

import (
	"net/http"
	"strings"
	"testing"
	"time"
)

// TestClearedRowsAreStored has targets crash under a request that they serve later. The row of a cleared request became empty,
// which the store refuses, and the node mistook that for an outage: the row stayed, so that a node that started later held
// back what all others served, and the write was repeated every second.
func TestClearedRowsAreStored(t *testing.T) {
	f := newFleet(t, 3)
	f.calm(1)
	b := newCrashingTargets(f, 6)
	f.ready(1, 6)
	for i := range 4 {
		f.call(f.nodes[i%3], http.MethodGet, crashPath, "", "")
		time.Sleep(400 * time.Millisecond)
	}
	f.eventually("the crash reports are stored", func() bool { return f.suspectRows() > 0 })
	for _, target := range b.list {
		target.CrashOn("")
	}
	f.eventually("the request is served again", func() bool {
		for _, n := range f.nodes {
			if f.call(n, http.MethodGet, crashPath, "", "").status == http.StatusOK {
				return true
			}
		}
		time.Sleep(100 * time.Millisecond)
		return false
	})
	f.eventually("the rows are gone", func() bool { return f.suspectRows() == 0 })
	time.Sleep(2 * time.Second)
	writes := f.writes()
	time.Sleep(2 * time.Second)
	if more := f.writes() - writes; more > 0 {
		t.Errorf("%d writes in 2 s of what is stored", more)
	}
	for _, n := range f.nodes {
		if strings.Contains(n.log.String(), "suspect_not_stored") {
			t.Errorf("%s could not store a row", n.name)
		}
	}
}

// suspectRows counts the store's rows of suspects.
func (f *fleet) suspectRows() int {
	return len(f.store.Range("tinladder-suspects", "", "", "", 500).Rows)
}

// writes counts the writes that reached the store.
func (f *fleet) writes() (count int) {
	for _, n := range f.nodes {
		count += n.door.Usage().Writes
	}
	return count
}
