package pool

import "github.com/tinladder/tinladder/clock"

// A request that times out means that the target is failing, or that this node's network path to it is broken.
// Evidence against the target has all nodes avoid it.
//
// The load pattern: a node loses its paths to half of the targets. Its requests there hang until their time limit
// and all end at once, seconds later. By then new connections fail at once, and the other nodes have had responses
// all that time. Counted against the targets, the timeouts would leave more healthy targets without work.

// minBrokenPaths is how many other paths must be broken for this node's path to a target that it has not tried
// since to count as broken too. One is not enough: that target alone may accept no connections from here.
const minBrokenPaths = 2

// pathAtFault reports whether the network path is at fault when a request timed out that was sent to the target at
// from: other nodes had responses from it since, and this node cannot connect to it, or not to several others that
// respond to other nodes.
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

// pathBrokenSince reports whether this node could not connect to the target since then, and has had no response
// after that.
func (t *target) pathBrokenSince(from clock.Millis) bool {
	return t.unreachableAt >= from && t.okAt < t.unreachableAt
}

// respondedToPeers reports whether other nodes are known to have had responses from the target since then.
func (t *target) respondedToPeers(since clock.Millis) bool {
	for _, s := range t.peers {
		if s.okAt >= since {
			return true
		}
	}
	return false
}
