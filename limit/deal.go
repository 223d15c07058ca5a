package limit

import (
	"github.com/tinladder/tinladder/assign"
	"github.com/tinladder/tinladder/clock"
	"github.com/tinladder/tinladder/ident"
)

const (
	// majorityShare is the share of the nodes of late that a node must hear to have the whole dealt out anew among those
	// that live: of a fleet that is cut, one side at most has it.
	majorityShare = 0.6
	// keepShare is the share from which a node keeps the part that it had: it may be on the larger side of a cut, or
	// on one of two that are alike, and nobody then deals anew.
	keepShare = 1 - majorityShare
	// minSharers is how many nodes a node that has just started takes for sharing with it: it may not know them yet.
	minSharers = 16
)

// A View struct is what a node sees of those that share a workspace's limit with it.
type View struct {
	// IsSharer says that the node is one of SharerCount that have parts, and Sharers which ones those are, as it sees
	// them now.
	IsSharer    bool
	SharerCount int
	Sharers     []ident.Node
	// Live nodes are heard now, this one too; PeakLive is the most of them of late.
	Live, PeakLive int
	// Isolated says that the node has never met another one, though there should be some.
	Isolated bool
	// Seeds nodes are those that a process that has not met all of them at once yet was told of at its start, and SeedsReached those
	// that it hears, itself too: of a fleet that starts while it is cut, one side at most hears most of them.
	Seeds, SeedsReached int
	// JustStarted nodes have just started, and may not know all others yet.
	JustStarted bool
	// ColdStart says that nearly all others have just started too: nobody used their parts since this process began.
	ColdStart bool
}

// withSettledSharers returns the view that parts are dealt by: who shared of late counts, and the node itself once others count it.
// One that hears too few others has no part, and may no longer count among those that hear each other. One that is the whole
// fleet has nobody to wait for, and one that has just started does not wait: where all have, one after the other, nobody
// would have a part for as long.
func (v View) withSettledSharers(s *assign.Sharers, now clock.Millis) View {
	count, settled := s.Observe(v.Sharers, v.IsSharer && v.HasEnoughPeers(), v.ColdStart || v.JustStarted || max(v.Live, v.PeakLive) <= 1, now)
	if len(v.Sharers) > 0 {
		v.SharerCount = max(count, 1)
	}
	v.IsSharer = settled
	return v
}

// HasEnoughPeers says whether the node hears enough others to know its part, and that of the rest.
func (v View) HasEnoughPeers() bool {
	return !v.Isolated && v.ReachedMostSeeds() && float64(v.Live) > keepShare*float64(v.PeakLive)
}

// ReachedMostSeeds says whether the process hears most of the nodes that it was told of.
func (v View) ReachedMostSeeds() bool {
	return float64(v.SeedsReached) >= majorityShare*float64(v.Seeds)
}

// ReachedAllSeeds says whether the process has met all of the nodes that it was told of.
func (v View) ReachedAllSeeds() bool {
	return v.SeedsReached >= v.Seeds
}

// incompleteShare is the part of the limits that is dealt by nodes that have not met all that they were told of. If a cut
// moves as a fleet starts, another side may have dealt just before, and goes on until it notices that it hears too few: both
// have the whole at most.
const incompleteShare = 0.5

// A seedContact is since when a process that has not met all named nodes has heard most of them.
type seedContact struct {
	since       clock.Millis
	reachedMost bool
}

// fraction returns which fraction of its share the node may use by now.
func (m *seedContact) fraction(v View, now clock.Millis) float64 {
	if !m.reachedMost {
		m.since = now
	}
	m.reachedMost = v.ReachedMostSeeds()
	if v.ReachedAllSeeds() || now-m.since >= assign.SettleTime {
		return 1
	}
	return incompleteShare
}

// Share returns the node's part of each limit, if it had the one held: parts add up to one at most, whoever hears
// whom.
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
