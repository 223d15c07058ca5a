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

// acquireAt gives the target a request of the node.
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

// newPair returns two nodes that share ten targets and tell each other what they see. The first tries each target first.
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

// One of two nodes was cut from six in ten targets. What it had there hung until its time limit, 5 s later, and was told
// as time limits at these targets. Both nodes then thought them to be failing (0.5 to 0.8), though the other node had
// answers from them all that time, and gave them no work for 2 to 7 s: in 3.5 of 100 windows of two seconds under seven
// tenths of the sound targets had work.

// TestTimeLimitsInCutWaysAreNotTheTargets has a request run out of time at a target, on a node that cannot connect to
// some. It says nothing of the target if another node had an answer there since, and this node could not connect to it,
// or not to two others that answered others.
func TestTimeLimitsInCutWaysAreNotTheTargets(t *testing.T) {
	for _, c := range []struct {
		name string
		// unreachable is where the node cannot connect once the request is on its way, before and since where the other
		// node has answers before the request and after that.
		unreachable, before, since []ident.Target
		failing                    bool
	}{
		{name: "no connection, answers to others", unreachable: []ident.Target{"a"}, since: []ident.Target{"a"}},
		{name: "two other ways cut", unreachable: []ident.Target{"b", "c"}, since: []ident.Target{"a", "b", "c"}},
		{name: "one other way cut", unreachable: []ident.Target{"b"}, since: []ident.Target{"a", "b", "c"}, failing: true},
		{name: "two others dead", unreachable: []ident.Target{"b", "c"}, since: []ident.Target{"a"}, failing: true},
		{name: "no way cut", since: []ident.Target{"a", "b", "c"}, failing: true},
		{name: "no answer since", unreachable: []ident.Target{"a", "b", "c"}, before: []ident.Target{"a"}, since: []ident.Target{"b", "c"}, failing: true},
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

// A node had two requests that hung at each of the targets that it was cut from, and tried these again every 1.5 to 6 s.
// Each trial ended without a connection, and left the two in flight: so the other node took the target for used at the
// time of the trial, again and again, and did not give it work for 4.8 s.

// TestTrialBesideHungRequestsIsNoWork has a node's request hang at a target, and another one not connect there. The
// other node must try the target within the two seconds of the platform's floor.
func TestTrialBesideHungRequestsIsNoWork(t *testing.T) {
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

// Targets that another node cannot reach are tried last. Where that node alone is cut, work that is spread to three
// quarters of the targets always left out the same ones, that only the others could reach: 10 of 21 targets that count
// were without work while 0.76 of what the other node took for sound had some.

// TestAnswerSinceEndsDoubt has another node say of three targets that it cannot reach them. They are tried last, unless
// this node has had answers there since.
func TestAnswerSinceEndsDoubt(t *testing.T) {
	for _, c := range []struct {
		name  string
		since bool
	}{{"answer before", false}, {"answer since", true}} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			n := newSingleNode(t, 10, 3)
			peer := ident.Process{Node: "n2", Incarnation: 1}
			unreachableSeen := []*tlv1.Seen{}
			for _, id := range []string{"a", "b", "c"} {
				unreachableSeen = append(unreachableSeen, &tlv1.Seen{Target: id, OkMs: -1, FailedMs: -1, Unreachable: true})
			}
			answers := func() {
				for _, x := range targets(10, 3) {
					acquireAt(t, n, x.ID).Done(pool.Good, false)
				}
				for _, id := range []ident.Target{"a", "b", "c"} { // likelier sound than the others
					acquireAt(t, n, id).Done(pool.Good, false)
				}
			}
			if !c.since {
				answers()
				n.clock.Advance(50)
			}
			n.ApplyReport(peer, &tlv1.Report{Seen: unreachableSeen})
			if c.since {
				n.clock.Advance(50)
				answers()
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
