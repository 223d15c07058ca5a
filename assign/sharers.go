package assign

import (
	"maps"

	"github.com/tinladder/tinladder/clock"
	"github.com/tinladder/tinladder/ident"
)

// SettleTime is how long a node that is no longer seen among the sharers still counts as one, and how long a node must
// have been a sharer to hold a share. A suspicion lasts no longer: a suspected node keeps using its share, and nodes
// differ in whom they suspect.
const SettleTime = 3 * clock.Second

// minPresence is how long a node must have been seen as a sharer to count: one that was seen for a moment holds no
// share yet. The rest of SettleTime allows for delayed updates.
const minPresence = SettleTime / 2

// Sharers remembers which nodes recently shared something with this one, so that shares add up to at most one even
// while nodes have different views. It is not safe for concurrent use.
type Sharers struct {
	seen map[ident.Node]presence
	// joinedAt is when this node became a sharer, and observedAt the time of the last observation.
	joinedAt, observedAt clock.Millis
	isSharer             bool
}

// presence is when a node was first and last seen as a sharer, apart from gaps shorter than SettleTime.
type presence struct {
	first, last clock.Millis
}

// NewSharers returns an empty set of sharers.
func NewSharers() *Sharers {
	return &Sharers{seen: map[ident.Node]presence{}}
}

// Observe takes the nodes that are sharers in the current view, and whether this node is one. It returns how many
// sharers to count, and whether this node holds a share, which it does once the others must have seen it as a sharer.
// On a cold start there is nobody to wait for, and nodes taken for sharers while few were known held no share.
func (s *Sharers) Observe(sharers []ident.Node, isSharer, coldStart bool, now clock.Millis) (count int, holdsShare bool) {
	since := now
	if coldStart {
		since -= SettleTime
		clear(s.seen)
	}
	paused := now-s.observedAt > SettleTime // the process was paused, and others may no longer count it
	if isSharer && (!s.isSharer || paused) {
		s.joinedAt = since
	}
	s.isSharer, s.observedAt = isSharer, now
	s.record(sharers, since, now)
	return s.count(), isSharer && now-s.joinedAt >= SettleTime
}

// record adds an observation; nodes not seen recently count as present since the given time.
func (s *Sharers) record(sharers []ident.Node, since, now clock.Millis) {
	maps.DeleteFunc(s.seen, func(_ ident.Node, at presence) bool { return now-at.last > SettleTime })
	for _, n := range sharers {
		at, found := s.seen[n]
		if !found {
			at.first = since
		}
		at.last = now
		s.seen[n] = at
	}
}

// count returns how many nodes were present long enough to hold a share.
func (s *Sharers) count() (n int) {
	for _, at := range s.seen {
		if at.last-at.first >= minPresence {
			n++
		}
	}
	return n
}
