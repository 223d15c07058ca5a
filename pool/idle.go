package pool

import (
	"github.com/tinladder/tinladder/clock"
	"github.com/tinladder/tinladder/ident"
)

// An IdleTarget struct is a target of this node's part that had no work of late, and what keeps this node from it.
type IdleTarget struct {
	Target ident.Target
	// TrialRank is this node's place among those that owe it a trial.
	TrialRank int
	// Failing is how likely it is that the target is failing.
	Failing float64
	// UsedAge and FailedAge are how long ago any node is known to have used it, and to have seen it fail; -1 if never.
	UsedAge, FailedAge clock.Millis
	// Blocked says that this node could not reach it of late.
	Blocked bool
}

// IdleTargets says whether the service is in deep trouble, and returns the targets of this node's part that had no work then
// for as long as the duty to spread work allows.
func (p *Pool) IdleTargets() (idle []IdleTarget, deep bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	if !p.requiredCoverage(now).ignoreBelief {
		return nil, false
	}
	for _, t := range p.order {
		if !t.Assigned || t.removed || t.Leaving || t.announcedLeave || t.closed(now) || now-p.workedAt(t, now) <= p.tuning.SpreadIdle {
			continue
		}
		idle = append(idle, IdleTarget{
			Target: t.ID, TrialRank: t.TrialRank, Failing: t.belief.FailingProb(&p.tuning.Model, now),
			UsedAge: clock.Millis(age(t.usedAt, now)), FailedAge: clock.Millis(age(t.lastFailed, now)), Blocked: now < t.blockedUntil,
		})
	}
	return idle, true
}
