package pool_test

import (
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"github.com/tinladder/tinladder/clock"
	"github.com/tinladder/tinladder/ident"
	"github.com/tinladder/tinladder/pool"
	tlv1 "github.com/tinladder/tinladder/schema/tinladder/v1"
)

// name has the target of a lease name a limit.
func name(l *pool.Lease, perSecond float64) {
	l.SetRateLimit(true, perSecond)
	l.Done(pool.Good, false)
}

// limitTargets has all targets of the node name a limit. The node's rank among five senders is the given one.
func limitTargets(t *testing.T, n *node, count, rank int, perSecond float64) {
	t.Helper()
	list := targets(count, 3)
	for i := range list {
		list[i].SenderRank, list[i].SenderCount = rank, 5
	}
	n.SetTargets(list)
	var seen []*tlv1.Seen
	for _, x := range list {
		seen = append(seen, &tlv1.Seen{Target: string(x.ID), OkMs: 0, FailedMs: -1, RateLimit: &tlv1.RateLimit{Named: true, PerSecond: perSecond}})
	}
	n.ApplyReport(ident.Process{Node: "peer", Incarnation: 1}, &tlv1.Report{Asked: 40, Seen: seen})
}

// TestLimitedRequestsAreRefusedAtOnce guards against requests that wait for targets which this node may not use, and
// against a retry delay by which the targets cannot have worked off what the fleet gets: 20 requests a second for 4.
func TestLimitedRequestsAreRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	n := newSingleNode(t, 4, 3)
	limitTargets(t, n, 4, 3, 1)
	waits := map[clock.Millis]bool{}
	for range 20 {
		_, err := n.Acquire(t.Context(), n.request(false))
		var busy *pool.BusyError
		is.True(errors.As(err, &busy))
		is.True(busy.RetryAfter >= 2500 && busy.RetryAfter <= 7500)
		waits[busy.RetryAfter] = true
	}
	is.True(len(waits) > 10) // callers do not all return at once
}

// TestLimitedRequestsWaitNoLongerThanTheyCan guards against requests that wait for a target at a limited rate until
// their deadline passes: those that it cannot take by then are refused at once.
func TestLimitedRequestsWaitNoLongerThanTheyCan(t *testing.T) {
	is := is.New(t)
	n := newSingleNode(t, 1, 3)
	limitTargets(t, n, 1, 0, 1)
	request := n.request(false)
	request.Deadline = n.clock.Now() + 800
	_, err := n.Acquire(t.Context(), request) // the next one is due after a second
	var busy *pool.BusyError
	is.True(errors.As(err, &busy))
	n.clock.Advance(1000)
	is.True(n.TryAcquire(n.request(false)) != nil)
}

// TestLimitEndsWithAGoodResponse guards against a limit that a failure ends, or a response to a request that began
// before the limit was named: such responses do not say that the target is out of need.
func TestLimitEndsWithAGoodResponse(t *testing.T) {
	is := is.New(t)
	n := newSingleNode(t, 1, 3)
	first, second := n.TryAcquire(n.request(false)), n.TryAcquire(n.request(false))
	n.clock.Advance(100)
	name(first, 1)
	second.SetRateLimit(false, 0)
	second.Done(pool.Good, false)
	is.Equal(len(n.LimitedTargets()), 1)
	n.clock.Advance(1500)
	failed := n.TryAcquire(n.request(false))
	failed.SetRateLimit(false, 0)
	failed.Done(pool.Failed, false)
	is.Equal(len(n.LimitedTargets()), 1)
	n.clock.Advance(1500)
	good := n.TryAcquire(n.request(false))
	good.SetRateLimit(false, 0)
	good.Done(pool.Good, false)
	is.Equal(len(n.LimitedTargets()), 0)
}

// TestLimitOutlastsUnloadedTargets guards against a node that forgets the limit of a target as it has no requests for a
// service, and sends to it again.
func TestLimitOutlastsUnloadedTargets(t *testing.T) {
	is := is.New(t)
	n := newSingleNode(t, 1, 3)
	limitTargets(t, n, 1, 3, 1)
	n.SetTargets(nil)
	n.clock.Advance(clock.Second)
	n.SetTargets([]pool.Target{{ID: "a", Address: "a", Slots: 3, SameHall: true, SenderRank: -1}})
	is.Equal(len(n.LimitedTargets()), 1)
	is.Equal(n.TryAcquire(n.request(false)), nil)
}

// TestNewestStatementOfALimitCounts guards against a report that is older than what this node knows.
func TestNewestStatementOfALimitCounts(t *testing.T) {
	is := is.New(t)
	n := newSingleNode(t, 1, 3)
	peer := ident.Process{Node: "peer", Incarnation: 1}
	say := func(named bool, age int64) {
		n.ApplyReport(peer, &tlv1.Report{Seen: []*tlv1.Seen{{Target: "a", OkMs: -1, FailedMs: -1, RateLimit: &tlv1.RateLimit{Named: named, PerSecond: 1, StatedMs: age}}}})
	}
	say(true, 100)
	is.Equal(len(n.LimitedTargets()), 1)
	say(false, 400)
	is.Equal(len(n.LimitedTargets()), 1)
	say(false, 0)
	is.Equal(len(n.LimitedTargets()), 0)
}
