// Package throttle limits the load of a target that is warming up: one that started a short time ago, or reports that
// it is as slow as if it had. Many nodes may send to it, each by its own view of the fleet, and together they stay
// below a limit in any second. It does no I/O.
//
// The load pattern: a hall's targets come back together, and each of them takes a fraction of its later load. Nodes
// that each send what they think right send many times that, the targets are overloaded and fail, and their load
// goes to the other targets that are warming up.
package throttle

import "github.com/tinladder/tinladder/pool"

// Limit is what a target that is warming up may get from all nodes together in any second: PerSecond, which it
// withstands, times Overshoot, plus Slack.
type Limit struct {
	PerSecond, Overshoot, Slack float64
}

// Bounded reports whether there is a limit at all.
func (l Limit) Bounded() bool {
	return l.PerSecond > 0
}

// Max returns how many requests a target that is warming up may get in any second.
func (l Limit) Max() float64 {
	return l.PerSecond*l.Overshoot + l.Slack
}

// maxOwners is how many nodes may consider themselves the owner of a target at the same time, or one after the
// other within a second, without exceeding the limit.
const maxOwners = 3

// View is what a node knows of the nodes that might send to a target.
type View struct {
	// Owner says that this node is the first of the nodes that it is in contact with and that carry the target's
	// service in its hall.
	Owner bool
	// Live is the number of nodes that this node is in contact with, itself included, PeakLive the recent maximum
	// of it.
	Live, PeakLive int
	// Converged says that this process has run long enough to learn of the other nodes.
	Converged bool
}

// quorumShare is the share of the recently live nodes that a node must be in contact with to send to targets that
// are warming up. It is over one half, so no two parts of a network partition have it.
const quorumShare = 0.6

// MaySend reports whether the node may send to the targets that are warming up and that it owns.
func (v View) MaySend() bool {
	return v.Converged && float64(v.Live) >= quorumShare*float64(v.PeakLive)
}

// Share returns which share of a limit the node and those that it is in contact with may use together. The parts of a
// partitioned fleet use no more than the limit and the part of it that one below the quorum has.
func (v View) Share() float64 {
	switch {
	case !v.Converged:
		return 0
	case v.MaySend():
		return 1
	}
	return float64(v.Live) / float64(v.PeakLive)
}

// Rate returns how many requests a second the node may send to a target that is warming up, on top of
// pool.ThrottledBurst; 0 if it may send none. Only a target's owner, the first node in the target's own order, sends
// to it, at no more than it withstands. Views differ while nodes join, leave and are partitioned, and all that may
// consider themselves the owner together send less than the limit.
func (l Limit) Rate(v View) float64 {
	if !v.Owner || !v.MaySend() {
		return 0
	}
	return max(min(l.PerSecond, l.Max()/maxOwners-pool.ThrottledBurst), 0)
}
