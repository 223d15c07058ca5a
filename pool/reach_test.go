package pool_test

import (
	"testing"

	"github.com/matryer/is"
	"github.com/tinladder/tinladder/clock"
	"github.com/tinladder/tinladder/ident"
	"github.com/tinladder/tinladder/pool"
	tlv1 "github.com/tinladder/tinladder/schema/tinladder/v1"
)

// A node was cut from four in ten of its hall's targets, and of six sound targets of a service four had no work for two
// seconds in which a fifth of its requests was not served. Eight of the nine that had none were tried in that time, by
// the node that could not connect to them (`event=attempt_failed outcome=unreachable why=spread`). The trial was told as
// a request in flight there and counted as work with all nodes, so that the next one in turn saw no reason to try
// (`used=1828` on the second node, `used=3734` on the first, at the same moment).

// TestNextNodeTriesWhatTheFirstCannotReach has two nodes share ten targets in deep trouble. Three of them failed long
// ago, and the node that tries them first cannot connect to them. All three must get work within half a second of when
// they count as sound: the next one in turn tries them as soon as the first could not.
func TestNextNodeTriesWhatTheFirstCannotReach(t *testing.T) {
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
	c.Advance(1900) // they count as sound again
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

// Ways to some targets were cut, and what was in flight there hung until its time limit, 1.5 s later. All that time it
// was told as in flight and counted as work that had just come. Of 168 targets seven had no request for two seconds in
// which 16% were not served: in six of them the last ones had hung (`outcome=late ms=1496`), and the nodes took them for
// used 1.7 s before when it was 3.2 s (`used=1721`).

// TestHungRequestsAreNoWorkForLong has another node's request hang at a target, told again and again as in flight there.
// In deep trouble this node must try the target within the two seconds of the platform's floor.
func TestHungRequestsAreNoWorkForLong(t *testing.T) {
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
