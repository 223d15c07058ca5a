package pool

import (
	"slices"

	"github.com/tinladder/tinladder/clock"
	"github.com/tinladder/tinladder/ident"
)

// An Ask struct is what a pool must know of a request.
type Ask struct {
	// Repeatable requests may be tried again after a failure.
	Repeatable bool
	// Rank says who waits when there is too much work; 0 goes first.
	Rank uint32
	// Aim is the time within which an answer is worth the most.
	Aim clock.Millis
	// Deadline is when an answer is of no more use.
	Deadline clock.Millis
	// Not are targets that the request has been at.
	Not []ident.Target
}

// usable says whether the target may be given work.
func (p *Pool) usable(t *target, now clock.Millis) bool {
	return !t.gone && !t.Leaving && !t.left && now >= t.blockedUntil
}

// inFlight returns what all nodes are known to have at the target.
func (p *Pool) inFlight(t *target, now clock.Millis) int {
	n := t.mine
	for _, s := range t.peers {
		if now-s.at <= p.tuning.PeerAge {
			n += s.inFlight
		}
	}
	return n
}

// cost says how bad it is to send the request to the target now; the least is chosen. A failure
// of a request that cannot be repeated costs 1.
func (p *Pool) cost(t *target, a *Ask, inFlight int, now clock.Millis) float64 {
	fail := p.tuning.FailCost
	if a.Repeatable {
		fail = p.tuning.RetryCost
	}
	c := t.belief.Fails(&p.tuning.Model, now) * fail
	if !t.Near {
		c += p.tuning.FarCost
	}
	if now < t.WarmAt {
		c += p.tuning.ColdCost
	}
	c += p.tuning.LoadCost * float64(inFlight) / float64(max(t.Slots, 1))
	if over := inFlight + 1 - t.Slots; over > 0 {
		wait := float64(over) * p.serviceTime / float64(max(t.Slots, 1))
		c += wait / float64(max(a.Aim, 1))
	}
	return c
}

// choose returns the best target for the request now, or nil if it should wait for one. Pressed
// requests, which have waited, may go to a target's own queue.
func (p *Pool) choose(a *Ask, pressed bool) (*target, Reason) {
	now := p.clock.Now()
	if t, why := p.explore(a, now); t != nil {
		return t, why
	}
	var best *target
	var least float64
	free := false
	for _, t := range p.order {
		if !p.usable(t, now) || slices.Contains(a.Not, t.ID) {
			continue
		}
		n := p.inFlight(t, now)
		if n >= t.Slots+int(p.tuning.Overcommit*float64(t.Slots)) {
			continue
		}
		c := p.cost(t, a, n, now) + tie*p.rand.Float64()
		if best == nil || c < least {
			best, least, free = t, c, n < t.Slots
		}
	}
	if !free && !pressed {
		return nil, Best // it is better to wait for this one than to go to one that has a slot free
	}
	return best, Best
}

// tie is how much chance counts between targets that are nearly as good.
const tie = 0.01
