package pool

import (
	"slices"

	"github.com/tinladder/tinladder/clock"
	"github.com/tinladder/tinladder/ident"
)

// Request is what a pool needs to know of a request to choose a target.
type Request struct {
	// Repeatable requests may be tried again after a failure.
	Repeatable bool
	// Priority is the order in the queue; 0 goes first.
	Priority uint32
	// Workspace is that of the caller; empty if requests of the service belong to none.
	Workspace ident.Workspace
	// Work is how long a target usually takes for requests of this kind; 0 if that is not known.
	Work clock.Millis
	// MayRetry says that another attempt may follow if this one fails.
	MayRetry bool
	// Began is when the request arrived, Objective its latency objective: a response within it is worth the most.
	Began     clock.Millis
	Objective clock.Millis
	// Deadline is the time after which a response is useless.
	Deadline clock.Millis
	// Bytes is the expected size of the request and its response together.
	Bytes float64
	// Exclude lists targets that the request has already been sent to.
	Exclude []ident.Target
	// Halls limits the request to targets in these halls; nil allows all.
	Halls map[ident.Hall]bool
	// draw decides whether a level of urgency that admits a part of the requests admits this one.
	draw float64
}

// eligible reports whether the request may go to the target, now or later.
func (p *Pool) eligible(t *target, a *Request, now clock.Millis) bool {
	return p.usable(t, now) && p.mayTake(t, a)
}

// mayTake reports whether the request's own conditions allow the target, and the target does not leave.
func (p *Pool) mayTake(t *target, a *Request) bool {
	return t.mayWork() && (a.Halls == nil || a.Halls[t.Hall]) && !slices.Contains(a.Exclude, t.ID)
}

// usable reports whether the target may be given work.
func (p *Pool) usable(t *target, now clock.Millis) bool {
	return !p.reach.cutOff && t.mayWork() && now >= t.blockedUntil && !p.closed(t, now)
}

// mayWork reports whether the target takes new work, as far as the target itself and its hall are concerned.
func (t *target) mayWork() bool {
	return !t.removed && !t.Leaving && !t.announcedLeave && !t.Evacuated
}

// inFlight returns the number of requests that all nodes are known to have at the target.
func (p *Pool) inFlight(t *target, now clock.Millis) int {
	if !p.tuning.PeerLoad {
		return t.localInFlight
	}
	return t.localInFlight + p.peersInFlight(t, now)
}

// peersInFlight returns the number of requests that the other nodes are known to have at the target. The sum is
// kept for a millisecond or until a peer reports: a choice reads it four times per target, and on a node with a
// hundred peers the sums would take most of the CPU time.
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

// cost returns the expected cost of sending the request to the target after the wait; the cheapest target is
// chosen. A failed request costs Tuning.FailCost, a late response Tuning.LateCost.
func (p *Pool) cost(t *target, a *Request, inFlight int, wait float64, now clock.Millis) float64 {
	usual := p.usualTime(a.Work)
	c := p.tuning.LoadCost * float64(inFlight) / float64(max(t.Slots, 1))
	if now < t.WarmAt {
		usual *= warmupSlowdown
	}
	serviceTime := usual * t.speed.factor
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
		retryAt := float64(now) + wait + p.failTime + usual
		failCost = min(p.tuning.RetryCost+p.tuning.LateCost*lateness(retryAt, a), failCost)
	}
	end := float64(now) + wait + serviceTime
	if end > float64(a.Deadline) {
		return c + p.tuning.FailCost + (end-float64(a.Deadline))/serviceTime
	}
	return c + failProb*failCost + (1-failProb)*p.tuning.LateCost*lateness(end, a)
}

// warmupSlowdown is how many times longer a target takes just after its start.
const warmupSlowdown = 2

// A response within onTimeShare of the latency objective is certain to be on time, from lateShare on certain to be
// late.
const (
	onTimeShare = 0.6
	lateShare   = 1.2
)

// lateness returns how likely a response that is expected at end is to be late.
func lateness(end float64, a *Request) float64 {
	took := (end - float64(a.Began)) / float64(max(a.Objective, 1))
	return min(max((took-onTimeShare)/(lateShare-onTimeShare), 0), 1)
}

// queueWait estimates how long a request waits in this node's queue until a target known to be healthy has a slot
// for it.
func (p *Pool) queueWait(now clock.Millis) float64 {
	slots := 0.0
	for _, t := range p.order {
		if p.usable(t, now) && t.belief.FailingProb(&p.tuning.Model, now) < p.tuning.HealthyBelow {
			slots += p.concurrency(t, now) / t.speed.factor
		}
	}
	return float64(p.waiting.len()) * p.usualTime(0) / max(slots, 1)
}

// waitAt estimates how long a request waits for a slot at the target, behind the requests queued here.
func (p *Pool) waitAt(t *target, inFlight int, queued float64) float64 {
	over := inFlight + 1 - t.Slots
	if over <= 0 {
		return 0
	}
	return float64(over)*p.usualTime(0)*t.speed.factor/float64(max(t.Slots, 1)) + queued
}

// A choice is the target chosen for a request; target is nil if there is none.
type choice struct {
	target *target
	reason Reason
	// runnerUp is the second best target, if there was one.
	runnerUp *target
	work     clock.Millis
}

// choose returns the best target for the request, or none if it should wait for one. With mayOvercommit, set for
// requests that have waited for long, it may be a target's own queue.
func (p *Pool) choose(a *Request, mayOvercommit bool) choice {
	now := p.clock.Now()
	p.updateSpeeds(now)
	if t, why := p.explore(a, now); t != nil {
		return choice{target: t, reason: why, work: a.Work}
	}
	c := choice{work: a.Work}
	var least, second float64
	var room, full bool // best target so far: has a free slot; its own queue is full
	queued := p.queueWait(now)
	for _, t := range p.order {
		if !p.eligible(t, a, now) || !p.admits(t, now) || !t.canRespond(a, now) {
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
		return choice{} // waiting for the best target costs less than a free slot elsewhere
	}
	return c
}

// tieNoise is the amplitude of the random cost that decides between targets that are nearly as good.
const tieNoise = 0.01
