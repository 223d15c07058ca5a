// Package limit enforces request limits per workspace over a whole fleet. A workspace's limit is divided among the
// first nodes of each hall that callers are sent to, in shares that add up to one. A node that needs more than its
// share borrows from others, who then have less. The limit therefore holds in any window, whichever nodes are in
// contact, and without a central counter; quota that is lent and lost in transit is lost. The package does no I/O.
package limit

import "github.com/tinladder/tinladder/clock"

// Rate is the limit of a workspace: requests per second, and a burst on top of that.
type Rate struct {
	// PerSecond is unlimited if 0.
	PerSecond float64
	Burst     float64
}

// Bounded reports whether the rate limits anything.
func (r Rate) Bounded() bool {
	return r.PerSecond > 0
}

// Bounds is the bound that the fleet as a whole keeps to. The most requests in any Window are
//
//	(PerSecond x Window + Burst) x (1 + Overshoot) + Slack
type Bounds struct {
	Window    clock.Millis
	Overshoot float64
	Slack     float64
}

const (
	// loanTTL is how long after the request for it a loan may be in transit, or be used beyond what the borrower may
	// save. The lender can't save what it lent during that time, so a loan is in one account at any time.
	loanTTL clock.Millis = 500
	// rateShare is the fraction of the rate allowed over a window that accrues continuously. The rest is for bursts and
	// cold starts.
	rateShare = 0.85
	// burstShare is the fraction of the remaining headroom that may be saved for bursts, and initialShare the fraction
	// that a fleet has at a cold start, when all requests refused meanwhile are retried at once; there may be two cold
	// starts in a window. What is left covers periods in which nodes have different views of the fleet.
	burstShare   = 0.66
	initialShare = 0.14
)

// perMilli returns how many requests accrue per millisecond over all nodes.
func (b Bounds) perMilli(r Rate) float64 {
	return r.PerSecond / float64(clock.Second) * (1 + b.Overshoot) * rateShare
}

// headroom returns how many requests the window allows beyond those that accrue in it.
func (b Bounds) headroom(r Rate) float64 {
	return b.Allowed(r) - b.perMilli(r)*float64(b.Window)
}

// capacity returns how many requests all nodes together may save.
func (b Bounds) capacity(r Rate) float64 {
	return b.headroom(r) * burstShare
}

// initial returns how many requests all nodes together have at a cold start.
func (b Bounds) initial(r Rate) float64 {
	return b.headroom(r) * initialShare
}

// grant returns the quota of a node that had these allocations. If the whole fleet cold-started when the first
// allocation began, it includes the initial quota; otherwise the node had nothing then.
func (b Bounds) grant(r Rate, allocations []allocation, coldStart bool) grant {
	g := grant{window: b.Window, perMilli: b.perMilli(r), capacity: b.capacity(r), allocations: allocations}
	if coldStart {
		g.initial = b.initial(r)
	}
	return g
}

// Allowed returns how many requests the fleet may make in a window.
func (b Bounds) Allowed(r Rate) float64 {
	return (r.PerSecond*float64(b.Window)/float64(clock.Second)+r.Burst)*(1+b.Overshoot) + b.Slack
}
