package node_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/tinladder/tinladder/platform/standin"
	"github.com/tinladder/tinladder/trace"
)

// explain returns the explanation of a request from the logs of all nodes, as operators do, once a line tells how it ended.
func (f *fleet) explain(request string) trace.Story {
	f.t.Helper()
	var s trace.Story
	f.eventually("the log tells of "+request, func() bool {
		var lines []*trace.Line
		for _, n := range f.nodes {
			if err := trace.Read(n.name, strings.NewReader(n.log.String()), func(l *trace.Line) { lines = append(lines, l) }); err != nil {
				f.t.Fatal(err)
			}
		}
		s = trace.Explain(lines, request)
		return s.Cause != "" && s.Cause != "open"
	})
	return s
}

// TestCauseOfAFailureIsInTheLog provokes the failures of docs/OPERATIONS.md, and finds the cause of each from the logs
// alone, by the request's id.
func TestCauseOfAFailureIsInTheLog(t *testing.T) {
	cases := []struct {
		name   string
		faults standin.TargetFaults
		method string
		path   string
		status int
		cause  string
		said   string
	}{
		{"answer lost", standin.TargetFaults{Lose: 1}, http.MethodPost, "/once/", http.StatusBadGateway, "no_answer", "nobody can say whether it has run"},
		{"answer cut", standin.TargetFaults{Cut: 1}, http.MethodPost, "/once/", http.StatusBadGateway, "no_answer", "unexpected EOF"},
		{"own failure", standin.TargetFaults{Fail: 1}, http.MethodPost, "/once/", http.StatusInternalServerError, "target_failed", "status 500"},
		{"no time", standin.TargetFaults{Hang: 1}, http.MethodPost, "/once/", http.StatusGatewayTimeout, "deadline", "It may have run"},
		{"full", standin.TargetFaults{Shed: 1}, http.MethodPost, "/once/", http.StatusServiceUnavailable, "shed", "has not run"},
		{"no route", standin.TargetFaults{}, http.MethodGet, "/none/", http.StatusNotFound, "refused", "no route"},
	}
	f := newFleet(t, 2)
	target := f.target("i-1", "desk")
	f.calm(3)
	f.ready(3, 1)
	for i, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			target.SetFaults(c.faults)
			id := fmt.Sprint("id-", i)
			r := f.call(f.nodes[0], c.method, c.path, id, "x")
			is.Equal(r.status, c.status)
			s := f.explain(id)
			is.Equal(s.Cause, c.cause)
			if !strings.Contains(s.Said, c.said) {
				t.Errorf("%q is not in %q", c.said, s.Said)
			}
		})
	}
}

// TestCauseOfALateHedge has one of two targets stop responding. The log of a request that the other one served tells
// which target was silent, and that the request was served.
func TestCauseOfALateHedge(t *testing.T) {
	is := is.New(t)
	f := newFleetWith(t, 1, func(int) string { return shortRetryWindow })
	silent := f.target("i-1", "desk")
	f.target("i-2", "desk")
	f.calm(3)
	f.ready(3, 2)
	time.Sleep(awaitSlack)
	silent.SetFaults(standin.TargetFaults{Hang: 1})
	hedged, i := "", 0
	f.eventually("a request went to the silent target", func() bool { // an idle target is tried after 1.5 s
		i++
		hedged = fmt.Sprint("h", i)
		is.Equal(f.call(f.nodes[0], http.MethodGet, "/get/", hedged, "").status, http.StatusOK)
		return ran(hedged, silent) == 1
	})
	var s trace.Story
	f.eventually("the silent attempt is in the story", func() bool {
		s = f.explain(hedged)
		return strings.Contains(s.Said, "i-1 ")
	})
	is.Equal(s.Cause, "served")
	is.True(strings.Contains(s.Said, "i-1 did not answer in time") || strings.Contains(s.Said, "i-1 was given up"))
}

// TestCauseOfARefusalInABurst sends far more than the target can run in time. The log gives the queue as the cause of a
// refused request.
func TestCauseOfARefusalInABurst(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 1)
	target := f.target("i-1", "desk")
	target.SetFaults(standin.TargetFaults{Slow: 80}) // 400 ms for a request
	f.calm(3)
	f.ready(3, 1)
	var mu sync.Mutex
	var refused string
	var wg sync.WaitGroup
	for i := range 60 {
		wg.Go(func() {
			id := fmt.Sprint("b", i)
			r := f.call(f.nodes[0], http.MethodPost, "/once/", id, "x")
			if r.status == http.StatusServiceUnavailable && r.header.Get("Retry-After") != "" && r.took < 300*time.Millisecond {
				mu.Lock()
				refused = id
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	is.True(refused != "")
	s := f.explain(refused)
	is.Equal(s.Cause, "queue")
	is.True(strings.Contains(s.Said, "has not run; the caller was told to come back in"))
	is.Equal(ran(refused, target), 0)
}

// TestReaderOfTheLogThatStops blocks the log's reader. Requests must be served all the same.
func TestReaderOfTheLogThatStops(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 1)
	f.target("i-1", "desk")
	f.calm(3)
	f.ready(3, 1)
	n := f.nodes[0]
	n.log.mu.Lock() // blocks writes to the log from now on
	defer n.log.mu.Unlock()
	for i := range 200 {
		is.Equal(f.call(n, http.MethodGet, "/get/", fmt.Sprint("s", i), "").status, http.StatusOK)
	}
	is.Equal(f.call(n, http.MethodGet, "/none/", "x", "").status, http.StatusNotFound)
}
