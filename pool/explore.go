package pool

import "github.com/tinladder/tinladder/clock"

// Reason says why a target was chosen.
type Reason int

// Reasons for a choice; Best is the normal one.
const (
	// Best means that the target has the lowest cost.
	Best Reason = iota
	// Joined means that the target is new and was not tried yet.
	Joined
	// Idle means that the target was not tried for long, and that the request is repeatable, so that a failure does
	// no harm.
	Idle
	// Spread means that too few of the targets that may be healthy had work recently.
	Spread
	// Spare means that too few slots are free at targets known to be healthy.
	Spare
)

// String returns the reason's name in logs.
func (r Reason) String() string {
	return [...]string{"best", "joined", "idle", "spread", "spare"}[r]
}

// explore returns a target to try because too little is known of it, or nil. Only targets assigned to this node are
// tried, so that nodes do not all try the same ones.
func (p *Pool) explore(a *Request, now clock.Millis) (best *target, reason Reason) {
	n, sparse := p.requiredCoverage(now), p.sparse(now)
	underspread, lowCapacity := !sparse && p.belowCoverage(n, now), p.lowCapacity(now)
	for _, t := range p.order {
		if !t.Assigned || !p.eligible(t, a, now) || !p.admits(t, now) || p.inFlight(t, now) >= t.Slots {
			continue
		}
		r := p.trialReason(t, a, trialConditions{spread: underspread && p.needsWork(t, n, now), lowCapacity: lowCapacity, sparse: sparse}, now)
		if r != Best && (best == nil || p.trialBefore(t, best, now)) {
			best, reason = t, r
		}
	}
	return best, reason
}

// maxJoinTrials limits how many new targets are tried in a row after a time without any.
const maxJoinTrials = 3

// countTrial charges a request against the allowance for trials of new targets. While there are more targets than
// requests can keep at work, a service whose targets were all replaced would otherwise send each request to an
// unknown target, and fail as often as targets do.
func (p *Pool) countTrial(reason Reason) {
	p.sawTraffic = true
	if reason == Joined {
		p.joinTrials = max(p.joinTrials-1, 0)
	}
	p.joinTrials = min(p.joinTrials+p.tuning.JoinShare, maxJoinTrials)
}

// trialStagger is the delay between successive nodes that may try a target: several network delays within a hall,
// so that each node knows of the trial before its own.
const trialStagger clock.Millis = 150

// trialDelay is how much longer this node waits than the first one that the target is assigned to.
func (t *target) trialDelay() clock.Millis {
	return clock.Millis(t.TrialRank) * trialStagger
}

// trialConditions decide whether a trial is worth the risk to the request.
type trialConditions struct {
	// spread says that the target should have work, lowCapacity that few slots are free, and sparse that there are
	// more targets than requests can keep at work.
	spread, lowCapacity, sparse bool
}

// trialReason returns why the request should try the target, or Best if it should not.
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

// reservedRetries is the number of further attempts that trials leave for requests that fail by chance: a node that carries
// nothing saves few.
const reservedRetries = 1

// lowCapacity reports whether too few slots are free at targets known to be healthy.
func (p *Pool) lowCapacity(now clock.Millis) bool {
	slots, used := 0, p.waiting.len()
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

// trialBefore reports whether a is to be tried before b: a target that all peers reach comes first, then one that
// nobody has used, then the one more likely to be healthy.
func (p *Pool) trialBefore(a, b *target, now clock.Millis) bool {
	if x, y := p.peerCannotReach(a, now), p.peerCannotReach(b, now); x != y {
		return y
	}
	if x, y := p.workedAt(a, now) == 0, p.workedAt(b, now) == 0; x != y {
		return x
	}
	return a.belief.FailingProb(&p.tuning.Model, now) < b.belief.FailingProb(&p.tuning.Model, now)
}

// peerCannotReach reports whether another node recently could not reach the target, and nobody had a response from
// it since. Only that node's network path may be broken, so the target is still tried, after the others. A response
// since then shows that it is: if the target stayed last, the targets without work would always be those that some
// nodes are cut off from.
func (p *Pool) peerCannotReach(t *target, now clock.Millis) bool {
	for _, s := range t.peers {
		if s.unreachable && now-s.at <= p.tuning.PeerTTL && t.okAt < s.unreachableSince && !t.respondedToPeers(s.unreachableSince) {
			return true
		}
	}
	return false
}
