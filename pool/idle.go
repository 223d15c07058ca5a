package pool

import (
	"github.com/tinladder/tinladder/clock"
	"github.com/tinladder/tinladder/ident"
)

// IdleTarget is a target assigned to this node that had no work recently, and what keeps this node from it.
type IdleTarget struct {
	Target ident.Target
	// TrialRank is this node's rank among the nodes that are to try the target.
	TrialRank int
	// Failing is the probability that the target is failing.
	Failing float64
	// UsedAge and FailedAge are the times since any node is known to have used it, and to have seen it fail; -1 if
	// never.
	UsedAge, FailedAge clock.Millis
	// Blocked says that this node recently could not reach it.
	Blocked bool
}

// IdleTargets reports whether the service is in deep trouble. If so, it returns the targets assigned to this node
// that had no work for longer than Tuning.SpreadIdle.
func (p *Pool) IdleTargets() (idle []IdleTarget, deep bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	if !p.requiredCoverage(now).ignoreBelief {
		return nil, false
	}
	for _, t := range p.order {
		if !t.Assigned || t.removed || t.Leaving || t.announcedLeave || p.closed(t, now) || now-p.workedAt(t, now) <= p.tuning.SpreadIdle {
			continue
		}
		idle = append(idle, IdleTarget{
			Target: t.ID, TrialRank: t.TrialRank, Failing: t.belief.FailingProb(&p.tuning.Model, now),
			UsedAge: clock.Millis(age(t.usedAt, now)), FailedAge: clock.Millis(age(t.lastFailed, now)), Blocked: now < t.blockedUntil,
		})
	}
	return idle, true
}
