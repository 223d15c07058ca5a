package pool_test

import (
	"testing"

	"github.com/matryer/is"
	"github.com/tinladder/tinladder/clock"
	"github.com/tinladder/tinladder/ident"
	"github.com/tinladder/tinladder/pool"
	tlv1 "github.com/tinladder/tinladder/schema/tinladder/v1"
)

// A request in flight at a target counts as work there, on all nodes. A trial by a node that cannot connect to the
// target must not: while it does, the next node in rank sees no reason to try, and a target that only the first
// node cannot reach has no work in deep trouble. With a node cut off from four in ten of its hall's targets, four
// of six healthy targets of a service were left out so for two seconds in which a fifth of its requests was not
// served; eight of the nine targets without work were tried by the node that could not connect.

// TestNextNodeTriesUnreachableTargets has two nodes share ten targets in deep trouble. Three of them failed
// long ago, and the node that tries them first cannot connect to them. All three must get work within half a second
// of when they count as healthy: the next node tries them as soon as the first could not.
func TestNextNodeTriesUnreachableTargets(t *testing.T) {
	is := is.New(t)
	c := clock.NewManual(1000)
	first, second := newNode(c, "n1"), newNode(c, "n2")
	first.peers, second.peers = []*node{second}, []*node{first}
	third := ident.Process{Node: "n3", Incarnation: 1}
	var failed []*tlv1.Seen
	for _, id := range []string{"a", "b", "c"} {
		failed = append(failed, &tlv1.Seen{Target: id, OkMs: -1, FailedMs: 1, Failed: 2})
	}
	for turn, n := range []*node{first, second} {
		list := targets(10, 3)
		for i := range list {
			list[i].TrialRank = turn
		}
		n.SetTargets(list)
		n.ApplyReport(third, &tlv1.Report{Seen: failed})
	}
	cut := func(n *node, id ident.Target) bool { return n == first && id <= "c" }
	c.Advance(1900) // they count as healthy again
	worked, ends := map[ident.Target]bool{}, map[clock.Millis][]func(){}
	for from := c.Now(); c.Now()-from < 500; c.Advance(10) {
		for _, end := range ends[c.Now()] {
			end()
		}
		for _, n := range []*node{first, second} {
			n.ApplyReport(third, &tlv1.Report{Asked: 500, Unserved: 80, Failed: 80})
			l, at := n.TryAcquire(n.request(false)), c.Now()+120
			switch {
			case l == nil:
			case cut(n, l.Target):
				ends[at] = append(ends[at], func() { l.Done(pool.Unreachable, false) })
			default:
				worked[l.Target] = true
				ends[at] = append(ends[at], func() { l.Done(pool.Good, false) })
			}
		}
	}
	is.Equal(len(worked), 10)
}

// A request that hangs on a broken network path is reported as in flight until its time limit. If each report
// counted as new work, the nodes would take the target for used until then: seven of 168 targets had no request for
// two seconds in which 16% were not served, and were taken for used 1.7 s before when it was 3.2 s.

// TestHungRequestsDoNotCountAsWork has another node's request hang at a target, reported again and again as in
// flight there. In deep trouble this node must try the target within the two seconds of the platform's floor.
func TestHungRequestsDoNotCountAsWork(t *testing.T) {
	is := is.New(t)
	n := newSingleNode(t, 10, 3)
	peer, third := ident.Process{Node: "n2", Incarnation: 1}, ident.Process{Node: "n3", Incarnation: 1}
	tried := false
	for from := n.clock.Now(); n.clock.Now()-from < 2*clock.Second; n.clock.Advance(10) {
		if (n.clock.Now()-from)%700 == 0 {
			n.ApplyReport(peer, &tlv1.Report{Seen: []*tlv1.Seen{{Target: "a", OkMs: -1, FailedMs: -1, InFlight: 1}}})
		}
		n.ApplyReport(third, &tlv1.Report{Asked: 500, Unserved: 80, Failed: 80})
		l := n.mustAcquire(t, n.request(false))
		tried = tried || l.Target == "a"
		l.Done(pool.Good, false)
	}
	is.True(tried)
}
