package node_test

import (
	"cmp"
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"
)

// TestCrashesSeenByDifferentNodesAreAddedUp sends a request that crashes its targets to one node after the other, first to
// those that do not carry the service: each of them saw one crash, told nobody who would add them up, and sent it on.
func TestCrashesSeenByDifferentNodesAreAddedUp(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 18)
	f.calm(1)
	const path = "/once/crash" // no node tries it at a second target
	b := newTargetsCrashingOn(f, 12, path)
	f.ready(1, 12)
	named := map[string]int{}
	for _, h := range []string{"h0", "h1", "h2"} {
		for _, a := range f.resolve(f.nodes[0], h) {
			named[a] = 1
		}
	}
	order := slices.Clone(f.nodes)
	slices.SortStableFunc(order, func(x, y *testNode) int { return cmp.Compare(named[x.callers], named[y.callers]) })
	for i, n := range order {
		next := time.Now().Add(800 * time.Millisecond)
		f.call(n, http.MethodPost, path, fmt.Sprint("crash-", i), "")
		time.Sleep(time.Until(next))
	}
	if late := b.late(path); late > maxLateSends {
		t.Errorf("%d nodes of %d carry the service: it was sent %d times later than %v after the third crash, %d times in all", len(named), len(order), late, containmentTime, len(b.sent(path)))
	}
}
