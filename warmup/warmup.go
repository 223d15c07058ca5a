// Package warmup bounds what a target gets that is cold: one that has started a short time ago, or says that it is as slow
// as if it had. Many nodes may send to it, each by what it has heard, and what they send together is bounded in any second.
// It does no I/O.
//
// The load that it answers: a hall's targets come back together, and each of them takes a fraction of what it takes later.
// Nodes that each send what they think right send many times that, the targets fall over, and what they had goes to the
// other cold ones.
package warmup

import "github.com/tinladder/tinladder/pool"

// A Limit struct is what a cold target may get from all nodes together in any second: PerSecond, which it withstands, times
// Overshoot, and Slack.
type Limit struct {
	PerSecond, Overshoot, Slack float64
}

// Bounded says whether there is a bound at all.
func (l Limit) Bounded() bool {
	return l.PerSecond > 0
}

// Max returns how many requests a cold target may get in any second.
func (l Limit) Max() float64 {
	return l.PerSecond*l.Overshoot + l.Slack
}

// maxOwners is how many nodes may take themselves for the one that sends to a target at the same time, or one after the other
// within a second, without the bound being passed.
const maxOwners = 3

// A View struct is what a node sees of those that might send to a target.
type View struct {
	// Owner says that the node is the first of those that it hears and that carry the target's service in its hall.
	Owner bool
	// Live nodes are heard now, this one too; PeakLive is the most of them of late.
	Live, PeakLive int
	// Converged says that this process has had the time to hear of the others.
	Converged bool
}

// quorumShare is the share of the nodes known of late that a node must hear to send to cold targets: no two parts of a fleet
// that is cut have it.
const quorumShare = 0.6

// MaySend says whether the node may send to cold targets that it is the first for.
func (v View) MaySend() bool {
	return v.Converged && float64(v.Live) >= quorumShare*float64(v.PeakLive)
}

// Rate returns how many requests a second the node may send to a cold target, beside one at any time; 0 if it may send none.
// One node sends to each target, the first in an order of the target's own, at no more than it withstands. Views differ
// while nodes come, go and are cut off, and what all that may take themselves for the first send is less than the bound.
func (l Limit) Rate(v View) float64 {
	if !v.Owner || !v.MaySend() {
		return 0
	}
	return max(min(l.PerSecond, l.Max()/maxOwners-pool.WarmupBurst), 0)
}
