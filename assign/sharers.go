package assign

import (
	"maps"

	"github.com/tinladder/tinladder/clock"
	"github.com/tinladder/tinladder/ident"
)

// SettleTime is how long a node goes on counting one that it no longer sees among those that share something, and how
// long it must have been one of them itself to have a part. A suspicion lasts no longer: whoever is held suspect goes on
// with its part, and nodes differ in whom they suspect.
const SettleTime = 3 * clock.Second

// minPresence is for how long another node must have been seen sharing to count: one that did so for a moment had no part
// yet. What is left of SettleFor is for news that comes late.
const minPresence = SettleTime / 2

// A Sharers struct remembers who shared something with this node of late, so that parts of it add up to one at most
// while nodes disagree. It is not safe for concurrent use.
type Sharers struct {
	seen map[ident.Node]presence
	// joinedAt is when this node became one of them, and observedAt when it last looked.
	joinedAt, observedAt clock.Millis
	shares               bool
}

// A presence is when a node was first and last seen sharing, with gaps that are shorter than SettleFor.
type presence struct {
	first, last clock.Millis
}

// NewSharers returns the memory of a node that has seen nobody yet.
func NewSharers() *Sharers {
	return &Sharers{seen: map[ident.Node]presence{}}
}

// Observe takes in whom this node sees sharing now, and whether itself is one of them. It returns how many to count, and
// whether the node has a part: once the others must have seen that it shares. Nodes that all started at once, which fresh
// says, have nobody to wait for, and whom they took for sharing while they knew few others had no part.
func (s *Sharers) Observe(sharing []ident.Node, shares, fresh bool, now clock.Millis) (count int, settled bool) {
	since := now
	if fresh {
		since -= SettleTime
		clear(s.seen)
	}
	paused := now-s.observedAt > SettleTime // this process stood still, and others may have stopped counting it
	if shares && (!s.shares || paused) {
		s.joinedAt = since
	}
	s.shares, s.observedAt = shares, now
	s.record(sharing, since, now)
	return s.count(), shares && now-s.joinedAt >= SettleTime
}

// record takes in who is seen sharing, those that were not seen of late since the time given.
func (s *Sharers) record(sharing []ident.Node, since, now clock.Millis) {
	maps.DeleteFunc(s.seen, func(_ ident.Node, at presence) bool { return now-at.last > SettleTime })
	for _, n := range sharing {
		at, found := s.seen[n]
		if !found {
			at.first = since
		}
		at.last = now
		s.seen[n] = at
	}
}

// count returns how many have been seen for long enough to have a part.
func (s *Sharers) count() (n int) {
	for _, at := range s.seen {
		if at.last-at.first >= minPresence {
			n++
		}
	}
	return n
}
