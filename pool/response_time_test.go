package pool_test

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"github.com/tinladder/tinladder/clock"
	"github.com/tinladder/tinladder/ident"
	"github.com/tinladder/tinladder/pool"
	tlv1 "github.com/tinladder/tinladder/schema/tinladder/v1"
)

// Requests that had waited for most of their time were given to targets that need 1 s, with 0.1 to 0.4 s left. All of them
// timed out there, run-once requests among them, while the target's slots were lost to requests that had the time.

// newUnequalNode returns a node with a target "fast", which responds after 50 ms, and one "slow", which needs 1 s. All slots
// of the fast one are in use by other nodes.
func newUnequalNode(t *testing.T) *node {
	t.Helper()
	n := newNode(clock.NewManual(1000), "n1")
	n.SetTargets([]pool.Target{
		{ID: "fast", Address: "fast", Slots: 2, SameHall: true}, {ID: "slow", Address: "slow", Slots: 2, SameHall: true},
	})
	takes := map[ident.Target]clock.Millis{"fast": 50, "slow": 1000}
	for range 20 {
		for target, other := range map[ident.Target]ident.Target{"fast": "slow", "slow": "fast"} {
			a := n.request(true)
			a.Exclude = []ident.Target{other}
			l := n.mustAcquire(t, a)
			n.clock.Advance(takes[target])
			l.Done(pool.Good, false)
		}
	}
	n.occupy("fast", 3)
	return n
}

// occupy has another node report so many requests in flight at the target.
func (n *node) occupy(target string, inFlight uint32) {
	n.ApplyReport(ident.Process{Node: "n2", Incarnation: 1}, &tlv1.Report{Seen: []*tlv1.Seen{{Target: target, OkMs: -1, FailedMs: -1, InFlight: inFlight}}})
}

// requestWithin returns a request that has left more time until its deadline.
func (n *node) requestWithin(left clock.Millis) *pool.Request {
	a := n.request(false)
	a.Deadline = n.clock.Now() + left
	return a
}

// TestSlowTargetGetsRequestsWithTime: the slow target takes requests that it can serve, and no others.
func TestSlowTargetGetsRequestsWithTime(t *testing.T) {
	is := is.New(t)
	n := newUnequalNode(t)
	is.Equal(n.TryAcquire(n.requestWithin(300)), nil)
	l := n.TryAcquire(n.requestWithin(3000))
	is.True(l != nil)
	is.Equal(l.Target, ident.Target("slow"))
	n.occupy("fast", 0)
	l = n.TryAcquire(n.requestWithin(300))
	is.True(l != nil)
	is.Equal(l.Target, ident.Target("fast"))
}

// TestRequestWithoutTimeIsRefusedAtOnce: a request that no target can serve in time does not wait for its deadline, and is
// told when to come back.
func TestRequestWithoutTimeIsRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	n := newUnequalNode(t)
	for left, most := range map[clock.Millis]time.Duration{30: 15 * time.Millisecond, 150: 125 * time.Millisecond} {
		began := time.Now()
		_, err := n.Acquire(context.Background(), n.requestWithin(left))
		took := time.Since(began)
		var busy *pool.BusyError
		is.True(errors.As(err, &busy))
		is.True(busy.RetryAfter > 0)
		t.Logf("%d ms left: refused after %v, come back in %d ms", left, took, busy.RetryAfter)
		is.True(took < most)
	}
}

// TestResponseTimesExpire: a target that was slow for a while gets all kinds of requests again.
func TestResponseTimesExpire(t *testing.T) {
	is := is.New(t)
	n := newUnequalNode(t)
	n.clock.Advance(6 * clock.Second)
	n.occupy("fast", 3)
	l := n.TryAcquire(n.requestWithin(300))
	is.True(l != nil)
	is.Equal(l.Target, ident.Target("slow"))
}
