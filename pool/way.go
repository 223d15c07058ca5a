package pool

import "github.com/tinladder/tinladder/clock"

// Way or target? A request that runs out of time says that the target is failing, or that this node's way to it is cut.
// What is held against the target has all nodes avoid it.
//
// The load pattern: a node loses its ways to half of the targets. What it has there hangs until its time limit and ends
// all at once, seconds later. New connections fail at once by then, and the other nodes have answers all that time. Held
// against the target, it would keep more sound targets without work.

// minBrokenPaths is how many other ways must be cut for the node's way to a target to be taken as cut too, which this node has
// not tried since: with one, that target alone may take no connections from here.
const minBrokenPaths = 2

// pathAtFault says whether it is the way that is at fault when a request ran out of time at the target that was given to it
// then: others had answers from it since, and this node cannot connect to it, or not to some others that answer others.
func (p *Pool) pathAtFault(t *target, from clock.Millis) bool {
	if !t.respondedToPeers(from) {
		return false
	}
	if t.pathBrokenSince(from) {
		return true
	}
	cut := 0
	for _, o := range p.order {
		if o.pathBrokenSince(from) && o.respondedToPeers(o.unreachableAt) {
			cut++
		}
	}
	return cut >= minBrokenPaths
}

// pathBrokenSince says whether this node could not connect to the target since then, and has had no answer after.
func (t *target) pathBrokenSince(from clock.Millis) bool {
	return t.unreachableAt >= from && t.okAt < t.unreachableAt
}

// respondedToPeers says whether other nodes are known to have had answers from the target since then.
func (t *target) respondedToPeers(since clock.Millis) bool {
	for _, s := range t.peers {
		if s.okAt >= since {
			return true
		}
	}
	return false
}
