package pool

import "github.com/tinladder/tinladder/clock"

// A target that turns a request away may ask the node that sent it for a rest: a time in which it wants nothing from that
// node. It binds this node alone.

// SetRest records for how long the target wants nothing from this node, as the response to the lease's request says. Call
// it before Done.
func (l *Lease) SetRest(rest clock.Millis) {
	l.rest = rest
}

// applyRest applies what the response to the lease's request says. A later response does not shorten the rest.
func (p *Pool) applyRest(l *Lease, o Outcome) {
	t, now := p.sameLife(l.target), p.clock.Now()
	if l.rest <= 0 || o == Replaced || now+l.rest <= t.restUntil {
		return
	}
	if !t.resting(now) {
		p.addEvent(Event{Kind: TargetRests, Target: t.ID, Rest: l.rest})
	}
	t.restUntil = now + l.rest
}

// resting reports whether the target wants nothing from this node now.
func (t *target) resting(now clock.Millis) bool {
	return now < t.restUntil
}
