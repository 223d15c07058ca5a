package pool_test

import (
	"slices"
	"testing"

	"github.com/matryer/is"
	"github.com/tinladder/tinladder/clock"
	"github.com/tinladder/tinladder/ident"
	"github.com/tinladder/tinladder/pool"
	tlv1 "github.com/tinladder/tinladder/schema/tinladder/v1"
)

// acquireAt returns a lease of the node on the target.
func acquireAt(t *testing.T, n *node, id ident.Target) *pool.Lease {
	t.Helper()
	a := n.request(false)
	for _, x := range targets(10, 3) {
		if x.ID != id {
			a.Exclude = append(a.Exclude, x.ID)
		}
	}
	return n.mustAcquire(t, a)
}

// newPair returns two nodes that share ten targets and report to each other. The first node tries each target
// first.
func newPair() (c *clock.Manual, first, second *node) {
	c = clock.NewManual(1000)
	first, second = newNode(c, "n1"), newNode(c, "n2")
	first.peers, second.peers = []*node{second}, []*node{first}
	for turn, n := range []*node{first, second} {
		list := targets(10, 3)
		for i := range list {
			list[i].TrialRank = turn
		}
		n.SetTargets(list)
	}
	return c, first, second
}

// Timeouts of a node on its broken network paths must not count against the targets. If they do, all nodes avoid
// targets that respond to the others: with one of two nodes cut off from six in ten targets and a time limit of 5
// s, these were estimated to be failing (0.5 to 0.8) and had no work for 2 to 7 s, and in 3.5 of 100 windows of two
// seconds under seven tenths of the healthy targets had work.

// TestTimeoutsOnBrokenPathsAreNoEvidence has a request time out at a target, on a node that cannot connect to
// some. It is no evidence against the target if another node had a response there since, and this node could not
// connect to it, or not to two others that respond to other nodes.
func TestTimeoutsOnBrokenPathsAreNoEvidence(t *testing.T) {
	for _, c := range []struct {
		name string
		// unreachable is where the node cannot connect after the request was sent, before and since where the other
		// node has responses before and after the request.
		unreachable, before, since []ident.Target
		failing                    bool
	}{
		{name: "no connection, responses to others", unreachable: []ident.Target{"a"}, since: []ident.Target{"a"}},
		{name: "two other paths broken", unreachable: []ident.Target{"b", "c"}, since: []ident.Target{"a", "b", "c"}},
		{name: "one other path broken", unreachable: []ident.Target{"b"}, since: []ident.Target{"a", "b", "c"}, failing: true},
		{name: "two others dead", unreachable: []ident.Target{"b", "c"}, since: []ident.Target{"a"}, failing: true},
		{name: "no path broken", since: []ident.Target{"a", "b", "c"}, failing: true},
		{name: "no response since", unreachable: []ident.Target{"a", "b", "c"}, before: []ident.Target{"a"}, since: []ident.Target{"b", "c"}, failing: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			clock, first, second := newPair()
			for _, id := range c.before {
				acquireAt(t, second, id).Done(pool.Good, false)
			}
			clock.Advance(100)
			hung := acquireAt(t, first, "a")
			clock.Advance(100)
			for _, id := range c.unreachable {
				acquireAt(t, first, id).Done(pool.Unreachable, false)
			}
			clock.Advance(100)
			for _, id := range c.since {
				acquireAt(t, second, id).Done(pool.Good, false)
			}
			clock.Advance(1300)
			hung.Done(pool.Late, false)
			for _, n := range []*node{first, second} {
				i := slices.IndexFunc(n.Status(), func(s pool.Status) bool { return s.Target == "a" })
				is.Equal(n.Status()[i].Failing > 0.5, c.failing)
			}
		})
	}
}

// A node that is cut off from a target has requests that hang there, and tries the target again. If a trial that
// ends without a connection counts as work, since requests remain in flight, the other node takes the target for
// used each time, and gives it no work (for 4.8 s, with two hung requests at each target and a trial every 1.5 to 6
// s).

// TestFailedTrialBesideHungRequestsIsNoWork has a node's request hang at a target, and another one fail to connect there.
// The other node must try the target within the two seconds of the platform's floor.
func TestFailedTrialBesideHungRequestsIsNoWork(t *testing.T) {
	is := is.New(t)
	c, first, second := newPair()
	acquireAt(t, first, "a") // hangs
	var trial *pool.Lease
	tried := false
	for from := c.Now(); c.Now()-from < 2*clock.Second; c.Advance(10) {
		switch c.Now() - from {
		case 600:
			trial = acquireAt(t, first, "a")
		case 720:
			trial.Done(pool.Unreachable, false)
		}
		second.ApplyReport(ident.Process{Node: "n3", Incarnation: 1}, &tlv1.Report{Asked: 500, Unserved: 80, Failed: 80})
		l := second.mustAcquire(t, second.request(false))
		tried = tried || l.Target == "a"
		l.Done(pool.Good, false)
	}
	is.True(tried)
}

// Targets that another node cannot reach are tried last, until there is a response from them. Without the
// exception, if that node alone is cut off, work that is spread to three quarters of the targets always leaves out
// the same ones, which only the others can reach: 10 of 21 targets that count were without work, while 0.76 of
// those that the other node took for healthy had some.

// TestResponseSinceShowsThatTargetIsReachable has another node report that it cannot reach three targets. They are
// tried last, unless this node has had responses there since.
func TestResponseSinceShowsThatTargetIsReachable(t *testing.T) {
	for _, c := range []struct {
		name  string
		since bool
	}{{"response before", false}, {"response since", true}} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			n := newSingleNode(t, 10, 3)
			peer := ident.Process{Node: "n2", Incarnation: 1}
			unreachableSeen := []*tlv1.Seen{}
			for _, id := range []string{"a", "b", "c"} {
				unreachableSeen = append(unreachableSeen, &tlv1.Seen{Target: id, OkMs: -1, FailedMs: -1, Unreachable: true})
			}
			respond := func() {
				for _, x := range targets(10, 3) {
					acquireAt(t, n, x.ID).Done(pool.Good, false)
				}
				for _, id := range []ident.Target{"a", "b", "c"} { // more likely healthy than the others
					acquireAt(t, n, id).Done(pool.Good, false)
				}
			}
			if !c.since {
				respond()
				n.clock.Advance(50)
			}
			n.ApplyReport(peer, &tlv1.Report{Seen: unreachableSeen})
			if c.since {
				n.clock.Advance(50)
				respond()
			}
			n.clock.Advance(1500)
			n.ApplyReport(peer, &tlv1.Report{Seen: unreachableSeen, Asked: 500, Unserved: 80, Failed: 80})
			for range 3 {
				l := n.mustAcquire(t, n.request(false))
				is.Equal(l.Target <= "c", c.since)
			}
		})
	}
}
