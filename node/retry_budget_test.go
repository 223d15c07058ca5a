package node_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/tinladder/tinladder/platform/standin"
)

const (
	// shortRetryWindow are settings with which a node may use its part of the retry slack soon after its start.
	shortRetryWindow = "[retries]\nwindow = \"500ms\"\n"
	// awaitSlack is how long after the start of nodes with shortRetryWindow they may use it.
	awaitSlack = 700 * time.Millisecond
)

// TestStartedNodeHasNoRetrySlack guards against a process that uses a part of the slack that the one before it may have
// used in the same window.
func TestStartedNodeHasNoRetrySlack(t *testing.T) {
	f := newFleetWith(t, 1, func(int) string { return "[retries]\nslack = 600\nwindow = \"5s\"\n" })
	for i := range 4 {
		f.target(fmt.Sprint("i-", i), "desk").SetFaults(standin.TargetFaults{Shed: 1})
	}
	f.calm(3)
	f.ready(3, 4)
	const requests = 30
	retriesOf := func(what string) int {
		before := f.sum("tinladder_retries_total")
		for i := range requests {
			f.call(f.nodes[0], http.MethodGet, "/get/", fmt.Sprint(what, i), "")
		}
		return int(f.sum("tinladder_retries_total") - before)
	}
	is := is.New(t)
	first := retriesOf("first")
	time.Sleep(5 * time.Second)
	later := retriesOf("later")
	t.Logf("%d retries of the first %d requests, %d of others after a window", first, requests, later)
	is.True(first <= requests/5+1) // the ratio, and what is rounded
	is.True(later > 2*requests/5)
}
