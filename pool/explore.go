package pool

import "github.com/tinladder/tinladder/clock"

// A Reason says why a target was chosen.
type Reason int

// Reasons, from the usual one on.
const (
	// Best targets cost the least.
	Best Reason = iota
	// Joined targets are new and were not tried yet.
	Joined
	// Idle targets were not tried for long, and a repeatable request does no harm.
	Idle
	// Spread targets are tried since too few of those that may be sound had work of late.
	Spread
	// Spare targets are tried since too few slots are free at those that are known to be sound.
	Spare
)

// String returns the reason's name in logs.
func (r Reason) String() string {
	return [...]string{"best", "joined", "idle", "spread", "spare"}[r]
}

// explore returns a target that should be tried since too little is known of it, or nil. Only targets of this
// node's part are tried, so that not all nodes try the same.
func (p *Pool) explore(a *Request, now clock.Millis) (best *target, reason Reason) {
	n, sparse := p.requiredCoverage(now), p.sparse(now)
	underspread, lowCapacity := !sparse && p.belowCoverage(n, now), p.lowCapacity(now)
	for _, t := range p.order {
		if !t.Assigned || !p.eligible(t, a, now) || !t.admits(now) || p.inFlight(t, now) >= t.Slots {
			continue
		}
		r := p.trialReason(t, a, trialConditions{spread: underspread && p.needsWork(t, n, now), lowCapacity: lowCapacity, sparse: sparse}, now)
		if r != Best && (best == nil || p.trialBefore(t, best, now)) {
			best, reason = t, r
		}
	}
	return best, reason
}

// maxJoinTrials bounds how many targets that joined are tried in a row after a time without any.
const maxJoinTrials = 3

// countTrial counts a request against what may be spent on targets that joined: while there are more targets than
// requests can keep at work, a service that is replaced as a whole would have each request go to a target that nobody
// knows, and fail as often as targets do.
func (p *Pool) countTrial(reason Reason) {
	p.sawTraffic = true
	if reason == Joined {
		p.joinTrials = max(p.joinTrials-1, 0)
	}
	p.joinTrials = min(p.joinTrials+p.tuning.JoinShare, maxJoinTrials)
}

// trialStagger is how much longer each of the nodes that may try a target waits than the one before it: some ways
// between nodes of a hall, so that the first one's trial is known.
const trialStagger clock.Millis = 150

// trialDelay is how much longer this node waits than the first one whose part the target is.
func (t *target) trialDelay() clock.Millis {
	return clock.Millis(t.TrialRank) * trialStagger
}

// trialConditions are what makes trials worth their harm, or not.
type trialConditions struct {
	// spread says that the target should have work, lowCapacity that few slots are free, and sparse that there are more targets
	// than requests can keep at work.
	spread, lowCapacity, sparse bool
}

// trialReason says why the request should try the target, or Best if it should not.
func (p *Pool) trialReason(t *target, a *Request, c trialConditions, now clock.Millis) Reason {
	delay := t.trialDelay()
	worked := p.workedAt(t, now)
	if worked == 0 && t.joined && !(c.sparse && t.addedBeforeTraffic) {
		if now-t.addedAt > p.tuning.JoinWait+delay && !(c.sparse && p.joinTrials < 1) {
			return Joined
		}
		return Best
	}
	idle, failing := now-worked, t.belief.FailingProb(&p.tuning.Model, now)
	switch {
	case a.Repeatable && !c.sparse && len(a.Exclude) == 0 && idle > p.tuning.ExploreIdle+delay && p.budget.Remaining() > reservedRetries:
		return Idle
	case c.spread:
		return Spread
	case c.lowCapacity && failing >= p.tuning.HealthyBelow && failing < p.tuning.SpareBelow && p.inFlight(t, now) == 0:
		return Spare
	}
	return Best
}

// reservedRetries are further attempts that trials leave for requests that fail by chance.
const reservedRetries = 2

// lowCapacity says whether too few slots are free at targets that are known to be sound.
func (p *Pool) lowCapacity(now clock.Millis) bool {
	slots, used := 0, p.waiting.Len()
	for _, t := range p.order {
		if !p.usable(t, now) {
			continue
		}
		n := p.inFlight(t, now)
		used += n
		if t.belief.FailingProb(&p.tuning.Model, now) < p.tuning.HealthyBelow {
			slots += t.Slots
		}
	}
	return float64(used+1) > p.tuning.MaxUtilization*float64(slots)
}

// trialBefore says whether a is to be tried before b: one that all others reach, one that nobody has used, then the
// likelier sound.
func (p *Pool) trialBefore(a, b *target, now clock.Millis) bool {
	if x, y := p.peerCannotReach(a, now), p.peerCannotReach(b, now); x != y {
		return y
	}
	if x, y := p.workedAt(a, now) == 0, p.workedAt(b, now) == 0; x != y {
		return x
	}
	return a.belief.FailingProb(&p.tuning.Model, now) < b.belief.FailingProb(&p.tuning.Model, now)
}

// peerCannotReach says whether another node could not reach the target of late, and nobody had an answer from it since. That may
// be that node's way alone, so the target is tried all the same, after the others. An answer shows that it is: if it came
// after the others still, the share that has no work would be the same targets all the time, those that some are cut from.
func (p *Pool) peerCannotReach(t *target, now clock.Millis) bool {
	for _, s := range t.peers {
		if s.unreachable && now-s.at <= p.tuning.PeerTTL && t.okAt < s.unreachableSince && !t.respondedToPeers(s.unreachableSince) {
			return true
		}
	}
	return false
}
