package pool

import (
	"github.com/tinladder/tinladder/belief"
	"github.com/tinladder/tinladder/clock"
	"github.com/tinladder/tinladder/ident"
)

// A Lease struct is one request at one target.
type Lease struct {
	pool   *Pool
	target *target
	// Target and Address name the target.
	Target  ident.Target
	Address string
	// Reason says why the target was chosen, and Failing how likely it was thought to be failing.
	Reason  Reason
	Failing float64
	// KnownAge is how old the last evidence on the target was; -1 if there was none.
	KnownAge clock.Millis
	// RunnerUp names the target that would have been chosen otherwise, and NextFailing how likely it was
	// thought to be failing.
	RunnerUp        ident.Target
	RunnerUpFailing float64
	// InFlight is what all nodes were thought to have at the target, this request too, of Slots.
	InFlight, Slots int
	start           clock.Millis
	hall            ident.Hall
	otherHall, done bool
}

func (p *Pool) lease(c choice, now clock.Millis) *Lease {
	t := c.target
	m := &p.tuning.Model
	l := &Lease{
		pool: p, target: t, Target: t.ID, Address: t.Address, Reason: c.reason, start: now, hall: t.Hall, otherHall: !t.SameHall,
		Failing: t.belief.FailingProb(m, now), KnownAge: clock.Millis(age(t.evidenceAt, now)),
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
	t.triedAt = now
	t.reportPending = true
	l.InFlight, l.Slots = p.inFlight(t, now), t.Slots
	return l
}

// ServiceTime is how long a request usually takes at the service's targets.
func (l *Lease) ServiceTime() clock.Millis {
	return l.pool.ServiceTime()
}

// ServiceTime is how long a request usually takes at a target.
func (p *Pool) ServiceTime() clock.Millis {
	p.mu.Lock()
	defer p.mu.Unlock()
	return clock.Millis(p.serviceTime)
}

// Start is when the lease began.
func (l *Lease) Start() clock.Millis {
	return l.start
}

// Leaving says whether the target is known to leave, or to be gone: its process may end at any moment.
func (l *Lease) Leaving() bool {
	l.pool.mu.Lock()
	defer l.pool.mu.Unlock()
	t := l.target
	return t.removed || t.Leaving || t.announcedLeave
}

// Done tells how the attempt ended. Only the first call counts. Closing says that the target
// closes the connection.
func (l *Lease) Done(o Outcome, closing bool) {
	p := l.pool
	p.mu.Lock()
	if l.done {
		p.mu.Unlock()
		return
	}
	l.done = true
	l.target.localInFlight--
	l.target.reportPending = true
	urgent := p.recordOutcome(l, o, closing)
	grants := p.grantWaiting()
	events := p.takeEvents()
	p.mu.Unlock()
	deliver(grants)
	p.emit(events)
	p.onChange(l.changeKind(urgent), l.hall)
}

// recordLate takes in that an answer did not come in the time that usual ones need.
func (p *Pool) recordLate(t *target, now clock.Millis) {
	p.updateBelief(t, "", now, func(b *belief.Belief) { b.ObserveLate(&p.tuning.Model, now) })
	t.lateAt = now
	t.lates++
	t.reportPending = true
}

// changeKind says who should hear of the lease's begin or end.
func (l *Lease) changeKind(evidence bool) ChangeKind {
	switch {
	case evidence:
		return HealthEvidence
	case l.otherHall:
		return RemoteLoad
	}
	return LocalLoad
}

// recordOutcome takes in how an attempt ended, and says whether other nodes should know at once.
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
	if o == Failed || o == ConnectionLost || o == Late {
		elapsed := min(float64(now-l.start), p.tuning.MaxFailTime*p.serviceTime)
		p.failTime += (elapsed - p.failTime) / smoothing
	}
	switch o {
	case Good:
		urgent = t.belief.FailingProb(m, now) > notableRecovery
		p.updateBelief(t, "", now, func(b *belief.Belief) { b.ObserveSuccess(m, now) })
		t.okAt, t.connectFailures, t.blockedUntil = now, 0, 0
		p.serviceTime += (p.estimateServiceTime(l, now) - p.serviceTime) / smoothing
	case Failed, ConnectionLost:
		p.updateBelief(t, "", now, func(b *belief.Belief) { b.ObserveFailure(m, now) })
		t.failedAt, t.lastFailed = now, now
		t.failures++
		urgent = true
	case Late:
		p.recordLate(t, now)
		urgent = true
	case Unreachable:
		t.connectFailures++
		t.unreachableAt = now
		p.addEvent(Event{Kind: TargetUnreachable, Target: t.ID, Failing: t.belief.FailingProb(m, now)})
		t.blockedUntil = now + p.tuning.UnreachableBackoff*clock.Millis(min(t.connectFailures, maxBackoffFactor))
	case Replaced:
		p.markLeaving(t, "", now)
		urgent = true
	}
	if o == Good || o == Failed {
		urgent = p.noteClosing(t, closing, now) || urgent
	}
	return urgent
}

// estimateServiceTime estimates how long the target worked on the lease's request: it took longer than that if there
// was no free slot, since it waited behind the others.
func (p *Pool) estimateServiceTime(l *Lease, now clock.Millis) float64 {
	if !p.tuning.QueueTime {
		return float64(now - l.start)
	}
	return float64(now-l.start) * float64(l.Slots) / float64(max(l.InFlight, l.Slots))
}

// noteClosing counts answers in a row that close their connection: a target that is leaving says
// so in all of them, others in one now and then.
func (p *Pool) noteClosing(t *target, closing bool, now clock.Millis) bool {
	if !closing {
		t.closings = 0
		return false
	}
	t.closings++
	if t.closings >= closingsToLeave && !t.announcedLeave {
		p.markLeaving(t, "", now)
		return true
	}
	return false
}

// markLeaving notes that the target itself said that it is leaving.
func (p *Pool) markLeaving(t *target, by ident.Node, now clock.Millis) {
	if t.announcedLeave {
		return
	}
	t.announcedLeave = true
	p.addEvent(Event{Kind: TargetLeft, Target: t.ID, Failing: t.belief.FailingProb(&p.tuning.Model, now), By: by})
}

const (
	// avoidAbove and returnBelow are how likely a target must be failing to be avoided, and not to be
	// avoided any more.
	avoidAbove  = 0.5
	returnBelow = 0.3
	// notableRecovery is how likely a target must have been failing for its return to be news.
	notableRecovery = 0.25
	// smoothing is the part of a new service time in the running mean, 1/16.
	smoothing = 16
	// maxBackoffFactor bounds how much longer a target is passed over each time.
	maxBackoffFactor = 4
	// closingsToLeave is how many answers in a row must close their connections for the target to
	// be taken as leaving.
	closingsToLeave = 3
)
