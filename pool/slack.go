package pool

const (
	// RatioShare is the share of the fleet's retry ratio that each node applies to its own requests: 1/(1+savedShare).
	RatioShare = 0.8
	// sharerSlack is the share of the fleet's retry slack dealt to the nodes that carry a service, otherSlack the
	// share dealt to all others. The rest is a reserve for nodes that differ on who carries it.
	sharerSlack = 0.6
	otherSlack  = 0.2
	// minSharers is the least number of nodes that the slack is divided by: a node that sees few others may be one
	// of many such nodes.
	minSharers = 6
	// quorumShare is the share of the recently live nodes that a node must be in contact with to count as a
	// sharer. It is over one half, so no two parts of a network partition have it.
	quorumShare = 0.6
)

// FleetView is what a node sees of the nodes that share a service's retry slack.
type FleetView struct {
	// IsSharer says that this node is one of the SharerCount nodes that carry the service, which have most of its slack.
	IsSharer    bool
	SharerCount int
	// Live is the number of nodes that this node is in contact with, itself included, PeakLive the recent maximum
	// of it.
	Live, PeakLive int
}

// HasQuorum reports whether the node is in contact with so many others that the remaining ones have no sharer's
// share.
func (v FleetView) HasQuorum() bool {
	return float64(v.Live) >= quorumShare*float64(v.PeakLive)
}

// SlackShare returns the node's share of the slack. At any time, the shares of all nodes never exceed the whole: not under
// any network partition, as long as nodes know how many they were. RetryBudget sees to it that a share that moves from one
// process to another is not used twice within a window.
func SlackShare(v FleetView) float64 {
	if v.IsSharer && v.HasQuorum() {
		return sharerSlack / float64(max(v.SharerCount, minSharers))
	}
	return otherSlack / float64(max(v.PeakLive, v.Live, minSharers))
}
