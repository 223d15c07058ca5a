package pool_test

import (
	"testing"

	"github.com/matryer/is"
	"github.com/tinladder/tinladder/clock"
	"github.com/tinladder/tinladder/ident"
	"github.com/tinladder/tinladder/pool"
	tlv1 "github.com/tinladder/tinladder/schema/tinladder/v1"
)

// Each node is told of a target's load in another way: those of this node's and of the target's hall at once, all others
// from time to time. A report to some nodes used to count as one to all, so the others went on counting requests that had
// ended.

// newTwoHallNode returns a node in hall h1 with one target in each of the halls h0 and h2.
func newTwoHallNode() *node {
	n := newNode(clock.NewManual(1000), "n1")
	n.SetTargets([]pool.Target{{ID: "a", Address: "a", Slots: 2, Hall: "h0"}, {ID: "c", Address: "c", Slots: 2, Hall: "h2"}})
	n.Report(false)
	return n
}

// inFlight returns what the report says of the target's load; -1 if nothing.
func inFlight(r *tlv1.Report, id ident.Target) int {
	for _, s := range r.GetSeen() {
		if s.GetTarget() == string(id) {
			return int(s.GetInFlight())
		}
	}
	return -1
}

// acquireAt returns a lease on the target.
func (n *node) acquireAt(t *testing.T, id ident.Target) *pool.Lease {
	t.Helper()
	a := n.request(true)
	for _, other := range []ident.Target{"a", "c"} {
		if other != id {
			a.Exclude = append(a.Exclude, other)
		}
	}
	l := n.TryAcquire(a)
	if l == nil {
		t.Fatalf("no lease on %s", id)
	}
	return l
}

// TestEndIsReportedToAllHalls ends a request that all halls were told of. A report of the end to two halls does not
// replace the one to the others.
func TestEndIsReportedToAllHalls(t *testing.T) {
	is := is.New(t)
	n := newTwoHallNode()
	n.silent = true
	n.acquireAt(t, "a").Done(pool.Good, false) // the first response is news of the target's health
	n.Report(false)
	l := n.acquireAt(t, "a")
	is.Equal(inFlight(n.Report(false), "a"), 1)
	l.Done(pool.Good, false)
	is.Equal(inFlight(n.ReportNearby("h0"), "a"), 0)
	is.Equal(inFlight(n.Report(false), "a"), 0)
	is.Equal(n.Report(false), nil) // once is enough
}

// TestLoadIsReportedToTargetsHall has a report about one target go to its hall while the load of a target in another hall
// has changed too. That hall is still told.
func TestLoadIsReportedToTargetsHall(t *testing.T) {
	is := is.New(t)
	n := newTwoHallNode()
	n.silent = true
	n.acquireAt(t, "a")
	n.acquireAt(t, "c")
	is.Equal(inFlight(n.ReportNearby("h2"), "a"), 1) // for this node's hall
	is.Equal(inFlight(n.ReportNearby("h0"), "a"), 1)
	is.Equal(inFlight(n.ReportNearby("h0"), "a"), -1)
}

// TestFailureIsReportedToAllHalls has a report of load overtake that of a failure. All halls are still told of the failure.
func TestFailureIsReportedToAllHalls(t *testing.T) {
	is := is.New(t)
	n := newTwoHallNode()
	n.silent = true
	n.acquireAt(t, "a").Done(pool.Failed, false)
	is.Equal(n.ReportNearby("h0").GetSeen()[0].GetFailed(), uint32(1))
	is.Equal(n.Report(false).GetSeen()[0].GetFailed(), uint32(1))
}

// TestShortRequestIsNoNewsForOtherHalls begins and ends a request between two reports to all halls: its load need not be
// sent to them.
func TestShortRequestIsNoNewsForOtherHalls(t *testing.T) {
	is := is.New(t)
	n := newTwoHallNode()
	n.silent = true
	n.acquireAt(t, "a").Done(pool.Good, false) // the first response is news of the target's health
	n.Report(false)
	l := n.acquireAt(t, "a")
	is.Equal(inFlight(n.ReportNearby("h0"), "a"), 1)
	l.Done(pool.Good, false)
	is.Equal(inFlight(n.ReportNearby("h0"), "a"), 0)
	is.Equal(n.Report(false), nil)
}
