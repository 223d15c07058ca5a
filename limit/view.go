package limit

import (
	"github.com/tinladder/tinladder/assign"
	"github.com/tinladder/tinladder/clock"
	"github.com/tinladder/tinladder/ident"
)

const (
	// majorityShare is the fraction of recently known nodes that a node must be in contact with before the limits are
	// divided anew among the live ones. In a network partition at most one side has it.
	majorityShare = 0.6
	// keepShare is the fraction above which a node keeps its current share: it may be on the larger side of a network
	// partition, or on one of two equal sides, and then no side divides the limits anew.
	keepShare = 1 - majorityShare
	// minSharers is the least number of sharers that a starting node assumes, as it may not know all of them yet.
	minSharers = 16
)

// View is what a node knows of the nodes that share the workspaces' limits.
type View struct {
	// IsSharer reports whether this node holds a share, SharerCount is how many nodes do, and Sharers are those that it
	// currently sees.
	IsSharer    bool
	SharerCount int
	Sharers     []ident.Node
	// Live is how many nodes are in contact, including this one, and PeakLive the recent maximum of that.
	Live, PeakLive int
	// Isolated reports that the node has never been in contact with another one, though there should be some.
	Isolated bool
	// Seeds is how many nodes a process was configured with, until it has been in contact with all of them at once, and
	// SeedsReached how many of those it is in contact with, including itself. If a fleet starts in a network partition,
	// at most one side reaches most of them.
	Seeds, SeedsReached int
	// JustStarted reports that the node has just started and may not know all others yet.
	JustStarted bool
	// ColdStart reports that nearly all other nodes have just started too: no share was in use before this process
	// began.
	ColdStart bool
}

// withSettledSharers returns the view from which shares are computed. It counts nodes that shared recently, and this
// node only once the others count it. A node that is in contact with too few others holds no share, and the rest may no
// longer count it. The only node of a fleet has nobody to wait for. A starting node doesn't wait either: if all nodes
// restarted one after the other, none would hold a share in the meantime.
func (v View) withSettledSharers(s *assign.Sharers, h *countHold, now clock.Millis) View {
	count, settled := s.Observe(v.Sharers, v.IsSharer && v.HasEnoughPeers(), v.ColdStart || v.JustStarted || max(v.Live, v.PeakLive) <= 1, now)
	if len(v.Sharers) > 0 {
		v.SharerCount = max(count, 1)
	}
	v.SharerCount = h.apply(v.SharerCount, v.ColdStart || v.JustStarted, now)
	v.IsSharer = settled
	return v
}

// holdTime is how long a lower number of sharers must have been seen to count. A node that is suspected repeatedly is
// missing for longer than assign.SettleTime, and uses its share meanwhile.
const holdTime = assign.SettleTime

// countHold delays decreases of the number of sharers, which raise the shares.
type countHold struct {
	count int
	// lower is the maximum since lowerSince, which is below count.
	lower      int
	lowerSince clock.Millis
}

// apply returns the number of sharers to count. A starting node has held no share that it could raise.
func (h *countHold) apply(count int, starting bool, now clock.Millis) int {
	switch {
	case starting || count >= h.count:
		h.count, h.lower = count, 0
	case h.lower == 0:
		h.lower, h.lowerSince = count, now
	case now-h.lowerSince >= holdTime:
		h.count, h.lower = max(h.lower, count), 0
	default:
		h.lower = max(h.lower, count)
	}
	return h.count
}

// HasEnoughPeers reports whether the node is in contact with enough others to know its share and that of the rest.
func (v View) HasEnoughPeers() bool {
	return !v.Isolated && v.ReachedMostSeeds() && float64(v.Live) > keepShare*float64(v.PeakLive)
}

// ReachedMostSeeds reports whether the process is in contact with most of the configured seeds.
func (v View) ReachedMostSeeds() bool {
	return float64(v.SeedsReached) >= majorityShare*float64(v.Seeds)
}

// ReachedAllSeeds reports whether the process is in contact with all of the configured seeds.
func (v View) ReachedAllSeeds() bool {
	return v.SeedsReached >= v.Seeds
}

// incompleteShare is the fraction of the limits that nodes use before they were in contact with all configured seeds.
// If a network partition moves while a fleet starts, another side may have divided the limits just before, and goes on
// until it notices that it has too few peers; both sides together then use at most the whole.
const incompleteShare = 0.5

// seedContact tracks since when a process has been in contact with most of its seeds.
type seedContact struct {
	since       clock.Millis
	reachedMost bool
}

// fraction returns the fraction of its share that the node may use now.
func (s *seedContact) fraction(v View, now clock.Millis) float64 {
	if !s.reachedMost {
		s.since = now
	}
	s.reachedMost = v.ReachedMostSeeds()
	if v.ReachedAllSeeds() || now-s.since >= assign.SettleTime {
		return 1
	}
	return incompleteShare
}

// Share returns the node's share of each limit, given its current one. Shares add up to at most one, whichever nodes
// are in contact.
func (v View) Share(current float64) float64 {
	reachable := float64(v.Live) / float64(max(v.PeakLive, v.Live, 1))
	switch {
	case !v.HasEnoughPeers():
		return 0
	case reachable < majorityShare:
		return current
	case !v.IsSharer:
		return 0
	case v.JustStarted:
		return 1 / float64(max(v.SharerCount, minSharers))
	}
	return 1 / float64(max(v.SharerCount, 1))
}
