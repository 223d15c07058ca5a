package pool

import (
	"github.com/tinladder/tinladder/clock"
	"github.com/tinladder/tinladder/ident"
)

// SetLeaving records that the response to the lease's request says that the target is leaving. Call it before Done.
func (l *Lease) SetLeaving() {
	l.saysLeaving = true
}

// applyWordOfLeaving applies what the response to the lease's request says, whatever its status, and reports whether other
// nodes should know at once. At a target's address, another process may have responded.
func (p *Pool) applyWordOfLeaving(l *Lease, o Outcome) (changed bool) {
	t, now := p.sameLife(l.target), p.clock.Now()
	if !l.saysLeaving || o == Replaced || t.announcedLeave {
		return false
	}
	p.markLeaving(t, "", now)
	t.farReportPending = true
	if t.removed {
		p.keepState(t, now)
	}
	return true
}

// RecordLeaving records that a response of the target, which came by way of another node, said that it is leaving.
func (p *Pool) RecordLeaving(id ident.Target) {
	p.mu.Lock()
	t := p.targets[id]
	changed := t != nil && !t.announcedLeave
	if changed {
		p.markLeaving(t, "", p.clock.Now())
		t.farReportPending = true
	}
	events := p.takeEvents()
	p.mu.Unlock()
	p.emit(events)
	if changed {
		p.onChange(HealthEvidence, "")
	}
}

// markLeaving records that the target itself announced that it is leaving.
func (p *Pool) markLeaving(t *target, by ident.Node, now clock.Millis) {
	if t.announcedLeave {
		return
	}
	t.announcedLeave = true
	p.addEvent(Event{Kind: TargetLeft, Target: t.ID, Failing: t.belief.FailingProb(&p.tuning.Model, now), By: by})
}
