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
	if t.removed {
		p.keepState(t, now)
	}
}

// resting reports whether the target wants nothing from this node now.
func (t *target) resting(now clock.Millis) bool {
	return now < t.restUntil
}

// shortestRest returns the time until the first target is back that may take the request and rests now.
func (p *Pool) shortestRest(a *Request, now clock.Millis) (shortest clock.Millis, resting bool) {
	for _, t := range p.order {
		if rest := t.restUntil - now; rest > 0 && p.mayTake(t, a) && (!resting || rest < shortest) {
			shortest, resting = rest, true
		}
	}
	return shortest, resting
}

// spreadRest varies the time until a target is back at random, and never shortens it.
func (p *Pool) spreadRest(rest clock.Millis) clock.Millis {
	return max(clock.Millis(float64(rest)*(1+retrySpread*p.rand.Float64())), minRetryAfter)
}
