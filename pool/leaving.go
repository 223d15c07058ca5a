package pool

// SetLeaving records that the response to the lease's request says that the target is leaving. Call it before Done.
func (l *Lease) SetLeaving() {
	l.saysLeaving = true
}

// recordWordOfLeaving records what the response to the lease's request says.
func (p *Pool) recordWordOfLeaving(l *Lease) {
	t := l.target
	if !l.saysLeaving || t.saidLeaving {
		return
	}
	t.saidLeaving = true
	p.addEvent(Event{Kind: TargetSaysLeaving, Target: t.ID, Failing: t.belief.FailingProb(&p.tuning.Model, p.clock.Now())})
}
