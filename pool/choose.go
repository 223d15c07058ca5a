package pool

import (
	"slices"

	"github.com/tinladder/tinladder/clock"
	"github.com/tinladder/tinladder/ident"
)

// An Request struct is what a pool must know of a request.
type Request struct {
	// Repeatable requests may be tried again after a failure.
	Repeatable bool
	// Priority says who waits when there is too much work; 0 goes first.
	Priority uint32
	// MayRetry says that another attempt may follow if this one fails.
	MayRetry bool
	// Began is when the request came, and Aim the time within which an answer is worth the most.
	Began     clock.Millis
	Objective clock.Millis
	// Deadline is when an answer is of no more use.
	Deadline clock.Millis
	// Bytes is how large the request and its answer are likely to be, together.
	Bytes float64
	// Exclude are targets that the request has been at.
	Exclude []ident.Target
	// Halls are those whose targets may have the request; nil stands for all.
	Halls map[ident.Hall]bool
}

// eligible says whether the request may go to the target, now or later.
func (p *Pool) eligible(t *target, a *Request, now clock.Millis) bool {
	return p.usable(t, now) && (a.Halls == nil || a.Halls[t.Hall]) && !slices.Contains(a.Exclude, t.ID)
}

// usable says whether the target may be given work.
func (p *Pool) usable(t *target, now clock.Millis) bool {
	return !t.removed && !t.Leaving && !t.announcedLeave && now >= t.blockedUntil && !t.closed(now)
}

// inFlight returns what all nodes are known to have at the target.
func (p *Pool) inFlight(t *target, now clock.Millis) int {
	if !p.tuning.PeerLoad {
		return t.localInFlight
	}
	return t.localInFlight + p.peersInFlight(t, now)
}

// peersInFlight returns what the other nodes are known to have at the target. It is summed once a millisecond, or when
// one of them says more: a choice asks for it four times a target, and a node that hears a hundred others would spend
// most of its processor time on the sums.
func (p *Pool) peersInFlight(t *target, now clock.Millis) int {
	if t.peerInFlightAt != now {
		t.peerInFlight, t.peerTriedAt, t.peerInFlightAt = 0, 0, now
		for _, s := range t.peers {
			if now-s.at <= p.tuning.PeerTTL {
				t.peerInFlight += s.inFlight
				if s.inFlight > 0 && !s.unreachable {
					t.peerTriedAt = max(t.peerTriedAt, s.triedAt)
				}
			}
		}
	}
	return t.peerInFlight
}

// cost says how bad it is to send the request to the target, where it waits for so long; the least
// is chosen. A request that fails costs 1, one that is late Tuning.LateCost.
func (p *Pool) cost(t *target, a *Request, inFlight int, wait float64, now clock.Millis) float64 {
	serviceTime := p.serviceTime
	c := p.tuning.LoadCost * float64(inFlight) / float64(max(t.Slots, 1))
	if now < t.WarmAt {
		serviceTime *= warmupSlowdown
	}
	if !t.SameHall {
		c += p.tuning.CrossHallCost + p.tuning.CrossHallByteCost*a.Bytes
	}
	if t.OtherRegion {
		c += p.tuning.CrossRegionCost
	}
	failProb := t.belief.FailureProb(&p.tuning.Model, now)
	if t.keptForFloor {
		failProb = min(failProb, p.tuning.Model.Prior())
	}
	failCost := p.tuning.FailCost
	if a.MayRetry && p.budget.Remaining() > reservedRetries {
		retryAt := float64(now) + wait + p.failTime + serviceTime
		failCost = min(p.tuning.RetryCost+p.tuning.LateCost*lateness(retryAt, a), failCost)
	}
	end := float64(now) + wait + serviceTime
	if end > float64(a.Deadline) {
		return c + p.tuning.FailCost + (end-float64(a.Deadline))/serviceTime
	}
	return c + failProb*failCost + (1-failProb)*p.tuning.LateCost*lateness(end, a)
}

// warmupSlowdown is how much longer a target that has just started takes.
const warmupSlowdown = 2

// onTimeShare is the share of a request's aim up to which it is certain to be in time, and lateShare
// the share from which it is certain to be late.
const (
	onTimeShare = 0.6
	lateShare   = 1.2
)

// lateness is how likely an answer that is expected at the time is late.
func lateness(end float64, a *Request) float64 {
	took := (end - float64(a.Began)) / float64(max(a.Objective, 1))
	return min(max((took-onTimeShare)/(lateShare-onTimeShare), 0), 1)
}

// queueWait is how long a request waits in this node's queue before one of the targets that are
// known to be sound has a slot for it.
func (p *Pool) queueWait(now clock.Millis) float64 {
	slots := 0.0
	for _, t := range p.order {
		if p.usable(t, now) && t.belief.FailingProb(&p.tuning.Model, now) < p.tuning.HealthyBelow {
			slots += p.concurrency(t, now)
		}
	}
	return float64(p.waiting.Len()) * p.serviceTime / max(slots, 1)
}

// waitAt is how long a request waits for a slot at a target, behind those that are queued here.
func (p *Pool) waitAt(t *target, inFlight int, queued float64) float64 {
	over := inFlight + 1 - t.Slots
	if over <= 0 {
		return 0
	}
	return float64(over)*p.serviceTime/float64(max(t.Slots, 1)) + queued
}

// A choice is a target for a request, or none.
type choice struct {
	target *target
	reason Reason
	// runnerUp is the target that would have been chosen otherwise, if there was one.
	runnerUp *target
}

// choose returns the best target for the request now, or none if it should wait for one. Pressed
// requests, which have waited, may go to a target's own queue.
func (p *Pool) choose(a *Request, mayOvercommit bool) choice {
	now := p.clock.Now()
	if t, why := p.explore(a, now); t != nil {
		return choice{target: t, reason: why}
	}
	var c choice
	var least, second float64
	var room, full bool // of the best so far: has it a slot, and may it have no more?
	queued := p.queueWait(now)
	for _, t := range p.order {
		if !p.eligible(t, a, now) || !t.admits(now) {
			continue
		}
		n := p.inFlight(t, now)
		cost := p.cost(t, a, n, p.waitAt(t, n, queued), now) + tieNoise*p.rand.Float64()
		switch {
		case c.target == nil || cost < least:
			c.runnerUp, second = c.target, least
			c.target, least = t, cost
			room, full = n < t.Slots, n >= t.Slots+int(p.tuning.Overcommit*float64(t.Slots))
		case c.runnerUp == nil || cost < second:
			c.runnerUp, second = t, cost
		}
	}
	if full || !room && !mayOvercommit {
		return choice{} // it is better to wait for this one than to go to one that has a slot free
	}
	return c
}

// tieNoise is how much chance counts between targets that are nearly as good.
const tieNoise = 0.01
