// Package limit holds workspaces to how many requests they may make over a whole fleet. What a workspace may ask
// is dealt out to the first nodes of each hall that callers are sent to, in parts that add up to the whole; a node that has more to do
// than its part borrows from others, who then have less. So it holds in any window and whoever hears whom,
// without anyone counting: what is lent and lost on its way is lost. It does no I/O.
package limit

import "github.com/tinladder/tinladder/clock"

// A Rate struct is how many requests a workspace may make: so many a second, and a burst besides.
type Rate struct {
	// PerSecond of 0 is no bound.
	PerSecond float64
	Burst     float64
}

// Bounded says whether there is a bound at all.
func (r Rate) Bounded() bool {
	return r.PerSecond > 0
}

// Bounds is what the fleet as a whole is held to: in any Window no more than
// (PerSecond x Window + Burst) x (1 + Overshoot) + Slack.
type Bounds struct {
	Window    clock.Millis
	Overshoot float64
	Slack     float64
}

const (
	// loanTTL is how long what was borrowed may be on its way, or used beyond what the borrower may save, from when it
	// was asked for. For so long the lender may not save what it lent, so it is on one account at any time.
	loanTTL clock.Millis = 500
	// rateShare is the part of what the window allows by the second that is given by the second. The rest is saved for
	// bursts and starts.
	rateShare = 0.85
	// burstShare is the part of that which may be saved for bursts, and initialShare the part that a fleet has when it
	// starts, when all that was refused meanwhile comes back at once: it may start twice in a window. What is left is
	// for nodes that see different others for a while.
	burstShare   = 0.66
	initialShare = 0.14
)

// perMilli returns what all nodes together are given by the millisecond.
func (b Bounds) perMilli(r Rate) float64 {
	return r.PerSecond / float64(clock.Second) * (1 + b.Overshoot) * rateShare
}

// headroom returns how many requests the window allows beside those by the second.
func (b Bounds) headroom(r Rate) float64 {
	return b.Allowed(r) - b.perMilli(r)*float64(b.Window)
}

// capacity returns how much all nodes together may have saved.
func (b Bounds) capacity(r Rate) float64 {
	return b.headroom(r) * burstShare
}

// initial returns how much all nodes together have when they start.
func (b Bounds) initial(r Rate) float64 {
	return b.headroom(r) * initialShare
}

// grant returns what a limit comes to by a node's parts. A fleet whose nodes all started when the first part began has
// what there is for starts, others had nothing then.
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
