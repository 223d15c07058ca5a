package pool

import (
	"github.com/tinladder/tinladder/belief"
	"github.com/tinladder/tinladder/clock"
	"github.com/tinladder/tinladder/ident"
)

// Lease is one request at one target.
type Lease struct {
	pool   *Pool
	target *target
	// Target and Address name the target.
	Target  ident.Target
	Address string
	// Reason says why the target was chosen, Failing how likely it was failing then.
	Reason  Reason
	Failing float64
	// KnownAge is the age of the latest evidence on the target; -1 if there was none.
	KnownAge clock.Millis
	// RunnerUp is the second best target, if any, and RunnerUpFailing the probability that it was failing.
	RunnerUp        ident.Target
	RunnerUpFailing float64
	// InFlight is the number of requests that all nodes were known to have at the target, this one included, and
	// Slots the target's slots.
	InFlight, Slots int
	// Limited says that the target was known to limit its rate of requests.
	Limited bool
	// ToldLeaving says that a response of the target had said that it is leaving.
	ToldLeaving bool
	// Resting says that the target had asked this node for a rest that was not over.
	Resting bool
	start   clock.Millis
	// rest is how long the target wants nothing from this node, as the response says.
	rest clock.Millis
	// saysLeaving says that the response does, for the target.
	saysLeaving bool
	// closeDelimited says that the response's connection had to close.
	closeDelimited bool
	// stated is what the response says of the target's rate limit; nil if that is not known.
	stated *statedLimit
	// work is that of the request.
	work clock.Millis
	// medianTime is how long the median target would have taken.
	medianTime      float64
	hall            ident.Hall
	otherHall, done bool
	// limitProbe says that the target limits its requests and that this node has no share of them.
	limitProbe bool
	workspace  ident.Workspace
}

func (p *Pool) lease(c choice, now clock.Millis) *Lease {
	t := c.target
	m := &p.tuning.Model
	l := &Lease{
		pool: p, target: t, Target: t.ID, Address: t.Address, Reason: c.reason, start: now, work: c.work, hall: t.Hall, otherHall: !t.SameHall,
		Limited: t.limit.named, ToldLeaving: t.announcedLeave, Resting: t.resting(now), Failing: t.belief.FailingProb(m, now), KnownAge: clock.Millis(age(t.evidenceAt, now)),
	}
	if c.runnerUp != nil {
		l.RunnerUp, l.RunnerUpFailing = c.runnerUp.ID, c.runnerUp.belief.FailingProb(m, now)
	}
	p.started.count(now, Served)
	t.localInFlight++
	p.countTrial(c.reason)
	if t.warmingUp(now) {
		t.warmupBucket.take(now, t.WarmupRate)
	}
	l.limitProbe = p.takeLimit(t, now)
	t.triedAt = now
	t.markLoadChanged()
	l.InFlight, l.Slots = p.inFlight(t, now), t.Slots
	return l
}

// ServiceTime returns the running mean of the service time at the pool's targets.
func (l *Lease) ServiceTime() clock.Millis {
	return l.pool.ServiceTime()
}

// ServiceTime returns the running mean of the service time at a target.
func (p *Pool) ServiceTime() clock.Millis {
	p.mu.Lock()
	defer p.mu.Unlock()
	return clock.Millis(p.serviceTime)
}

// Start returns when the lease began.
func (l *Lease) Start() clock.Millis {
	return l.start
}

// RespondedSince reports whether this node has had a good response of the target at the time or later.
func (l *Lease) RespondedSince(at clock.Millis) bool {
	l.pool.mu.Lock()
	defer l.pool.mu.Unlock()
	return l.pool.sameLife(l.target).okAt >= at
}

// Leaving reports whether the target is known to be leaving, or to be gone: its process may end at any moment.
func (l *Lease) Leaving() bool {
	l.pool.mu.Lock()
	defer l.pool.mu.Unlock()
	t := l.target
	return t.removed || t.Leaving || t.announcedLeave || t.closing.isPresumedLeaving(l.pool.clock.Now())
}

// Done records how the attempt ended. Only the first call counts. closing says that the target closes the
// connection.
func (l *Lease) Done(o Outcome, closing bool) {
	p := l.pool
	p.mu.Lock()
	if l.done {
		p.mu.Unlock()
		return
	}
	l.done = true
	l.target.localInFlight--
	p.endShare(l)
	l.target.markLoadChanged()
	if p.tuning.RetryOrder {
		p.budget.recordAttempt(o)
	}
	urgent := p.recordOutcome(l, o, closing)
	urgent = p.applyWordOfLeaving(l, o) || urgent
	p.applyRest(l, o)
	urgent = p.applyStatedLimit(l, o, p.clock.Now()) || urgent
	l.target.farReportPending = l.target.farReportPending || urgent
	grants := p.grantWaiting()
	events := p.takeEvents()
	p.mu.Unlock()
	deliver(grants)
	p.emit(events)
	p.onChange(l.changeKind(urgent), l.hall)
}

// RecordEndless records that the rest of a response, whose start was good, did not end: the target is failing.
func (l *Lease) RecordEndless() {
	p := l.pool
	p.mu.Lock()
	p.recordOutcome(l, ConnectionLost, false)
	l.target.markLoadChanged()
	l.target.farReportPending = true
	events := p.takeEvents()
	p.mu.Unlock()
	p.emit(events)
	p.onChange(HealthEvidence, l.hall)
}

// recordLate records that no response came within the time that usual requests need.
func (p *Pool) recordLate(t *target, now clock.Millis) {
	p.updateBelief(t, "", now, func(b *belief.Belief) { b.ObserveLate(&p.tuning.Model, now) })
	t.lateAt = now
	t.lates++
	t.markLoadChanged()
	t.farReportPending = true
}

// changeKind returns what the start or end of the lease changes for other nodes.
func (l *Lease) changeKind(evidence bool) ChangeKind {
	switch {
	case evidence, l.limitProbe: // other nodes that have no share refrain
		return HealthEvidence
	case l.otherHall:
		return RemoteLoad
	}
	return LocalLoad
}

// recordOutcome updates the pool with the attempt's outcome, and reports whether other nodes should know at once.
func (p *Pool) recordOutcome(l *Lease, o Outcome, closing bool) (urgent bool) {
	now := p.clock.Now()
	t := l.target
	m := &p.tuning.Model
	if o == Late && p.pathAtFault(t, l.start) {
		return false
	}
	if o != Unreachable {
		t.usedAt = max(t.usedAt, l.start)
	}
	if o == Good || o == Failed || o == Shed || o == Replaced {
		p.reach.addResponse(now)
	}
	if o == Failed || o == ConnectionLost || o == Late {
		elapsed := min(float64(now-l.start), p.tuning.MaxFailTime*p.serviceTime)
		p.failTime += (elapsed - p.failTime) / smoothing
	}
	switch o {
	case Good:
		urgent = t.belief.FailingProb(m, now) > notableRecovery
		p.updateBelief(t, "", now, func(b *belief.Belief) { b.ObserveSuccess(m, now) })
		t.okAt, t.connectFailures, t.blockedUntil = now, 0, 0
		took := p.estimateServiceTime(l, now)
		p.serviceTime += (took - p.serviceTime) / smoothing
		t.addResponseTime(took, now)
		p.addTime(l, took, now)
	case Failed, ConnectionLost:
		p.updateBelief(t, "", now, func(b *belief.Belief) { b.ObserveFailure(m, now) })
		t.failedAt, t.lastFailed = now, now
		t.failures++
		urgent = true
	case Late:
		p.recordLate(t, now)
		urgent = true
	case Unreachable:
		p.reach.addFailure(t.ID, now)
		urgent = p.updateReach(now)
		t.connectFailures++
		t.unreachableAt = now
		p.addEvent(Event{Kind: TargetUnreachable, Target: t.ID, Failing: t.belief.FailingProb(m, now)})
		t.blockedUntil = now + p.tuning.UnreachableBackoff*clock.Millis(min(t.connectFailures, maxBackoffFactor))
	case Replaced:
		p.markLeaving(t, "", now)
		urgent = true
	}
	if (o == Good || o == Failed) && !l.closeDelimited {
		urgent = p.recordClosing(t, closing, now) || urgent
	}
	return urgent
}

// estimateServiceTime estimates how long the target worked on the lease's request: without a free slot, part of the
// time was spent waiting behind others.
func (p *Pool) estimateServiceTime(l *Lease, now clock.Millis) float64 {
	if !p.tuning.QueueTime {
		return float64(now - l.start)
	}
	return float64(now-l.start) * float64(l.Slots) / float64(max(l.InFlight, l.Slots))
}

const (
	// avoidAbove is the failing probability above which a target is avoided, returnBelow the one below which it is
	// used normally again.
	avoidAbove  = 0.5
	returnBelow = 0.3
	// notableRecovery is the failing probability above which a good response is reported to other nodes at once.
	notableRecovery = 0.25
	// smoothing is the divisor of the running means: a new sample counts 1/16.
	smoothing = 16
	// maxBackoffFactor limits how much longer an unreachable target is passed over each time.
	maxBackoffFactor = 4
)
