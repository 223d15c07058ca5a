package node_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"
)

// TestCrashReportsAreWrittenAgainAsTheStoreReturns has the store come back from a copy that is older than the reports of a
// request that crashes targets. The request stays held back, also on a node that starts later and hears of it from the store.
func TestCrashReportsAreWrittenAgainAsTheStoreReturns(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 3)
	f.calm(1)
	newCrashingTargets(f, 6)
	f.ready(1, 6)
	kept := f.store.Copy()
	for i := range 6 {
		f.call(f.nodes[i%3], http.MethodGet, crashPath, "", "")
		time.Sleep(400 * time.Millisecond)
	}
	f.eventually("the crash reports are stored", func() bool { return f.suspectRows() > 0 })
	f.eventually("the request is held back", func() bool {
		return f.call(f.nodes[0], http.MethodGet, crashPath, "", "").status == http.StatusServiceUnavailable
	})
	time.Sleep(time.Second)
	rows := f.suspectRows()
	f.returnStore(kept, 300*time.Millisecond, func() {})
	f.eventually("the crash reports are stored again", func() bool { return f.suspectRows() == rows })
	time.Sleep(4 * time.Second)
	if got := f.suspectRows(); got != rows {
		t.Errorf("%d rows of crash reports, %d before the store returned", got, rows)
	}
	for _, n := range f.nodes {
		refused := 0
		for range 3 {
			if f.call(n, http.MethodGet, crashPath, "", "").status == http.StatusServiceUnavailable {
				refused++
			}
		}
		if refused < 2 { // one may be the request's trial
			t.Errorf("%s refuses %d of 3 requests that crash targets", n.name, refused)
		}
	}
}

// TestClearedReportsStayClearedAsTheStoreReturns has the store come back from a copy with reports of a request that was cleared
// since.
func TestClearedReportsStayClearedAsTheStoreReturns(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 6) // some do not write rows
	f.calm(1)
	b := newCrashingTargets(f, 6)
	f.ready(1, 6)
	for i := range 4 {
		f.call(f.nodes[i%6], http.MethodGet, crashPath, "", "")
		time.Sleep(400 * time.Millisecond)
	}
	f.eventually("the crash reports are stored", func() bool { return f.suspectRows() > 0 })
	time.Sleep(time.Second)
	kept := f.store.Copy()
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
	f.returnStore(kept, 300*time.Millisecond, func() {})
	held := 0
	for i, end := 0, time.Now().Add(4*time.Second); time.Now().Before(end); i++ {
		got := f.call(f.nodes[i%6], http.MethodGet, crashPath, fmt.Sprint("cleared", i), "")
		if strings.Contains(got.body, "is held back") {
			held++
		}
		time.Sleep(20 * time.Millisecond)
	}
	if held > 0 {
		t.Errorf("%d requests were held back that were cleared", held)
	}
	f.eventually("the rows are gone again", func() bool { return f.suspectRows() == 0 })
}
