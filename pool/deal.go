package pool

const (
	// RatioShare is the part of the fleet's ratio of retries that each node uses, of its own requests.
	RatioShare = 0.93
	// carrierSlack is the part of the fleet's slack of retries that is dealt to the nodes that carry
	// a service, and otherSlack the part dealt to all others. What is left is for nodes that hold
	// different views of who carries it.
	carrierSlack = 0.45
	otherSlack   = 0.2
	// minCarriers is how many nodes the slack is dealt to at least: a node that sees few others may be
	// one of many such.
	minCarriers = 6
	// quorumShare is the share of the nodes of late that a node must hear to take itself for a carrier:
	// no two parts of a fleet that is cut have it.
	quorumShare = 0.6
	// startupShare is the part of its share that a process has in its first window: all nodes may be
	// killed and started again within one, and 0.65 and half of it are still less than the whole.
	startupShare = 0.5
)

// A FleetView struct is what a node sees of those that share a service's slack of retries with it.
type FleetView struct {
	// Carries says that the node is one of so many Carriers of the service.
	Carries  bool
	Carriers int
	// JustStarted nodes have run for less than the window: they may follow a process that has just used its
	// part.
	JustStarted bool
	// Live nodes are heard now, this one too; PeakLive is the most of them of late.
	Live, PeakLive int
}

// HasQuorum says whether the node hears so many others that those that it does not hear have no carrier's part.
func (v FleetView) HasQuorum() bool {
	return float64(v.Live) >= quorumShare*float64(v.PeakLive)
}

// SlackShare returns the node's part of the slack. The parts of all nodes are never more than the whole,
// whoever hears whom, as long as they know how many they were, and not if all are started again once in
// a window either.
func SlackShare(v FleetView) float64 {
	share := otherSlack / float64(max(v.PeakLive, v.Live, minCarriers))
	if v.Carries && v.HasQuorum() {
		share = carrierSlack / float64(max(v.Carriers, minCarriers))
	}
	if v.JustStarted {
		share *= startupShare
	}
	return share
}
