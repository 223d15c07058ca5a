package limit

import (
	"github.com/tinladder/tinladder/assign"
	"github.com/tinladder/tinladder/clock"
	"github.com/tinladder/tinladder/ident"
)

const (
	// quorumShare is the share of the nodes of late that a node must hear to have the whole dealt out anew among those
	// that live: of a fleet that is cut, one side at most has it.
	quorumShare = 0.6
	// keepShare is the share from which a node keeps the part that it had: it may be on the larger side of a cut, or
	// on one of two that are alike, and nobody then deals anew.
	keepShare = 1 - quorumShare
	// minSharers is how many nodes a node that has just started takes for sharing with it: it may not know them yet.
	minSharers = 16
)

// A View struct is what a node sees of those that share a workspace's limit with it.
type View struct {
	// Carries says that the node is one of so many Carriers that have parts, and Sharing which ones those are, as it sees
	// them now.
	Carries  bool
	Carriers int
	Sharing  []ident.Node
	// Live nodes are heard now, this one too; Known is the most of them of late.
	Live, Known int
	// Alone says that the node has never met another one, though there should be some.
	Alone bool
	// Named nodes are those that a process that has not met all of them at once yet was told of at its start, and Met those
	// that it hears, itself too: of a fleet that starts while it is cut, one side at most hears most of them.
	Named, Met int
	// Young nodes have just started, and may not know all others yet.
	Young bool
	// Fresh says that nearly all others have just started too: nobody used their parts since this process began.
	Fresh bool
}

// withSettledSharers returns the view that parts are dealt by: who shared of late counts, and the node itself once others count it.
// One that hears too few others has no part, and may no longer count among those that hear each other. One that is the whole
// fleet has nobody to wait for, and one that has just started does not wait: where all have, one after the other, nobody
// would have a part for as long.
func (v View) withSettledSharers(s *assign.Sharers, now clock.Millis) View {
	count, settled := s.See(v.Sharing, v.Carries && v.Deals(), v.Fresh || v.Young || max(v.Live, v.Known) <= 1, now)
	if len(v.Sharing) > 0 {
		v.Carriers = max(count, 1)
	}
	v.Carries = settled
	return v
}

// Deals says whether the node hears enough others to know its part, and that of the rest.
func (v View) Deals() bool {
	return !v.Alone && v.MetMost() && float64(v.Live) > keepShare*float64(v.Known)
}

// MetMost says whether the process hears most of the nodes that it was told of.
func (v View) MetMost() bool {
	return float64(v.Met) >= quorumShare*float64(v.Named)
}

// MetAll says whether the process has met all of the nodes that it was told of.
func (v View) MetAll() bool {
	return v.Met >= v.Named
}

// incompleteShare is the part of the limits that is dealt by nodes that have not met all that they were told of. If a cut
// moves as a fleet starts, another side may have dealt just before, and goes on until it notices that it hears too few: both
// have the whole at most.
const incompleteShare = 0.5

// A seedContact is since when a process that has not met all named nodes has heard most of them.
type seedContact struct {
	since  clock.Millis
	quorum bool
}

// fraction returns which fraction of its share the node may use by now.
func (m *seedContact) fraction(v View, now clock.Millis) float64 {
	if !m.quorum {
		m.since = now
	}
	m.quorum = v.MetMost()
	if v.MetAll() || now-m.since >= assign.SettleFor {
		return 1
	}
	return incompleteShare
}

// Share returns the node's part of each limit, if it had the one held: parts add up to one at most, whoever hears
// whom.
func (v View) Share(current float64) float64 {
	reachable := float64(v.Live) / float64(max(v.Known, v.Live, 1))
	switch {
	case !v.Deals():
		return 0
	case reachable < quorumShare:
		return current
	case !v.Carries:
		return 0
	case v.Young:
		return 1 / float64(max(v.Carriers, minSharers))
	}
	return 1 / float64(max(v.Carriers, 1))
}
