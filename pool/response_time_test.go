package pool_test

import (
	"context"
	"math/rand/v2"
	"testing"
	"testing/synctest"
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

// TestRequestWithoutTimeIsRefusedAtOnce: a request that has been at the fast target already has less time left than the
// slow one takes. It does not wait for its deadline, and is told when to come back.
func TestRequestWithoutTimeIsRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	n := newUnequalNode(t)
	n.occupy("fast", 0)
	for range 60 { // most requests go to the fast target
		l := n.mustAcquire(t, n.requestWithin(300))
		n.clock.Advance(50)
		l.Done(pool.Good, false)
	}
	a := n.requestWithin(700)
	a.Exclude = []ident.Target{"fast"}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second) // the node's clock stands still
	defer cancel()
	_, err := n.Acquire(ctx, a)
	var busy *pool.BusyError
	is.True(errors.As(err, &busy))
	is.True(busy.RetryAfter > 0)
}

// TestWaitEndsAsNoTargetCanRespond: the wait for a slot ends when the fastest target needs more time than is left.
func TestWaitEndsAsNoTargetCanRespond(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := clock.NewSystem()
		budget := pool.NewRetryBudget(c, rand.New(rand.NewPCG(3, 4)), 0.2, 100, 10*clock.Second)
		p := pool.New(pool.DefaultTuning, c, rand.New(rand.NewPCG(1, 2)), budget, func(pool.ChangeKind, ident.Hall) {}, func(pool.Event) {})
		p.SetTargets([]pool.Target{{ID: "a", Address: "a", Slots: 1, SameHall: true}})
		request := func(left clock.Millis) *pool.Request {
			return &pool.Request{Began: c.Now(), Objective: 200, Deadline: c.Now() + left}
		}
		for range 30 {
			l, err := p.Acquire(t.Context(), request(3000))
			is.NoErr(err)
			time.Sleep(50 * time.Millisecond)
			l.Done(pool.Good, false)
		}
		l, err := p.Acquire(t.Context(), request(3000)) // keeps the only slot
		is.NoErr(err)
		began := time.Now()
		_, err = p.Acquire(t.Context(), request(400))
		var busy *pool.BusyError
		is.True(errors.As(err, &busy))
		is.Equal(time.Since(began).Round(10*time.Millisecond), 350*time.Millisecond)
		l.Done(pool.Good, false)
	})
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
