package pool

import (
	"math"

	"github.com/tinladder/tinladder/clock"
	"github.com/tinladder/tinladder/ident"
	tlv1 "github.com/tinladder/tinladder/schema/tinladder/v1"
)

// A target in need names the rate at which it takes requests from all nodes together, for as long as it is in need.
// Every attempt counts: first ones, retries, hedges and trials.
//
// The load pattern: one target of a service names a rate far below its usual load. If each node keeps the rate by
// itself, the target gets as many times the rate as there are nodes. Rates may be below one a second, so a share of
// the rate for each node is too little to use. Therefore the first few nodes in the target's own order send to it, as
// many as the rate suffices for, and the others none.
//
// If those nodes have no requests or cannot connect, another one sends a request from time to time. It uses the target
// a little, and finds out when the limit has ended.

const (
	// maxSenderRate is the most requests a second that one node sends to a target with a limit, if there are more
	// nodes. A node whose view of the others is wrong sends no more than that beyond the limit.
	maxSenderRate = 1.5
	// maxSenders bounds the senders, against absurd limits.
	maxSenders = 1 << 20
	// limitProbeInterval is how long a target with a limit goes without requests before a node sends one that has no
	// share of the rate; at a lower rate than one in that time it is longer, up to maxLimitProbeInterval.
	limitProbeInterval    = 5 * clock.Second
	maxLimitProbeInterval = 10 * clock.Second
	// limitRetention is how long a limit is kept of a target that the pool no longer has. Nodes that have few requests
	// for a service drop its targets in between.
	limitRetention = 10 * clock.Second
	// notableRateChange is the relative change of a limit that is logged, and reported to other nodes at once.
	notableRateChange = 0.1
	// minStatementGap is how much later than the last one another node's statement must be: the delay of a report
	// makes the same one seem later.
	minStatementGap clock.Millis = 50
)

// rateLimit is the rate at which a target takes requests from all nodes together, as its responses name it.
type rateLimit struct {
	// named says that the target limits its requests, to perSecond.
	named     bool
	perSecond float64
	// statedAt is when the latest response came that says whether the target limits its requests.
	statedAt clock.Millis
	// bucket limits what this node sends to the target.
	bucket tokenBucket
}

// statedLimit is what one response says of its target's rate limit.
type statedLimit struct {
	named     bool
	perSecond float64
}

// SetRateLimit records what the response to the lease's request says of the target's rate limit: the requests a second
// that it takes from all nodes together, or that it names none. Call it before Done; without it, what is known stays.
func (l *Lease) SetRateLimit(named bool, perSecond float64) {
	l.stated = &statedLimit{named: named, perSecond: perSecond}
}

// applyStatedLimit applies what the response to the lease's request says, and reports whether other nodes should know
// at once. A limit ends with a good response that names none: a target that fails or turns requests away may leave it
// out. Nor does the response end it to a request that began before the limit was named.
func (p *Pool) applyStatedLimit(l *Lease, o Outcome, now clock.Millis) (changed bool) {
	t := l.target
	switch s := l.stated; {
	case s == nil || o == Replaced:
		return false
	case !s.named && (!t.limit.named || o != Good || l.start < t.limit.statedAt):
		return false
	default:
		return p.updateLimit(t, *s, "", now)
	}
}

// updateLimit updates the target's limit, and reports whether it has changed notably.
func (p *Pool) updateLimit(t *target, s statedLimit, by ident.Node, at clock.Millis) (changed bool) {
	old := t.limit
	t.limit.named, t.limit.perSecond, t.limit.statedAt = s.named, s.perSecond, at
	t.farReportPending = t.farReportPending || by == "" // nodes of all halls refrain while others send to the target
	switch {
	case s.named && !old.named:
		t.limit.bucket.drain(p.clock.Now())
		p.addEvent(Event{Kind: TargetLimited, Target: t.ID, PerSecond: s.perSecond, By: by})
	case s.named && math.Abs(s.perSecond-old.perSecond) > notableRateChange*old.perSecond:
		p.addEvent(Event{Kind: TargetLimited, Target: t.ID, PerSecond: s.perSecond, By: by})
	case !s.named && old.named:
		p.addEvent(Event{Kind: TargetUnlimited, Target: t.ID, By: by})
	default:
		return false
	}
	return true
}

// applyReportedLimit applies what another node reported of the target's limit.
func (p *Pool) applyReportedLimit(t *target, from ident.Node, l *tlv1.RateLimit, now clock.Millis) {
	if l == nil || !(l.GetPerSecond() >= 0) {
		return
	}
	if at := now - clock.Millis(l.GetStatedMs()); at > t.limit.statedAt+minStatementGap {
		p.updateLimit(t, statedLimit{named: l.GetNamed(), perSecond: l.GetPerSecond()}, from, at)
	}
}

// reportedLimit returns what is reported of the target's limit: nil if it never named one, or has long ceased to.
func (t *target) reportedLimit(now clock.Millis) *tlv1.RateLimit {
	l := &t.limit
	if l.statedAt == 0 || !l.named && now-l.statedAt > limitRetention {
		return nil
	}
	return &tlv1.RateLimit{Named: l.named, PerSecond: l.perSecond, StatedMs: int64(now - l.statedAt)}
}

// SetLimitShare sets which share of their limits this node and those that it is in contact with may use together: 1 for
// most of the fleet, less for a smaller part of it that is cut off. It is 1 for a new pool.
func (p *Pool) SetLimitShare(share float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limitShare = share
}

// LimitedTargets returns the targets that limit their requests.
func (p *Pool) LimitedTargets() map[ident.Target]bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	limited := map[ident.Target]bool{}
	for _, t := range p.order {
		if t.limit.named {
			limited[t.ID] = true
		}
	}
	return limited
}

// senders returns how many nodes have a share of the target's limit.
func (t *target) senders() int {
	return min(max(int(math.Ceil(min(t.limit.perSecond/maxSenderRate, maxSenders))), 1), max(t.SenderCount, 1))
}

// limitRate returns how many requests a second this node may send to a target that limits them.
func (p *Pool) limitRate(t *target) float64 {
	if t.SenderRank < 0 || t.SenderRank >= t.senders() {
		return 0
	}
	return t.limit.perSecond / float64(t.senders()) * p.limitShare
}

// limitAdmits reports whether the target's limit allows a request of this node now.
func (p *Pool) limitAdmits(t *target, now clock.Millis) bool {
	return !t.limit.named || t.limit.bucket.allow(now, p.limitRate(t)) || p.limitProbeDue(t, now)
}

// limitWait returns how long it takes until the target's limit allows a request of this node.
func (p *Pool) limitWait(t *target, now clock.Millis) clock.Millis {
	if p.limitAdmits(t, now) {
		return 0
	}
	return t.limit.bucket.wait(now, p.limitRate(t))
}

// limitCloses reports whether the target's limit allows no request of this node, however long it waits.
func (p *Pool) limitCloses(t *target, now clock.Millis) bool {
	return t.limit.named && p.limitRate(t) <= 0 && !p.limitProbeDue(t, now)
}

// limitProbeDue reports whether no node is known to have sent the target a request for so long that this one may.
func (p *Pool) limitProbeDue(t *target, now clock.Millis) bool {
	interval := maxLimitProbeInterval
	if t.limit.perSecond > 0 {
		interval = min(interval, clock.Millis(float64(clock.Second)/t.limit.perSecond))
	}
	switch {
	case t.SenderRank < 0:
		interval = maxLimitProbeInterval
	case t.SenderRank == t.senders() && p.limitShare >= 1: // stands in for senders that have no requests
		interval = max(interval, p.tuning.SpreadIdle)
	default:
		interval = max(interval, limitProbeInterval) + clock.Millis(t.SenderRank)*trialStagger
	}
	idleSince := max(p.workedAt(t, now), t.triedAt, t.addedAt, t.limit.statedAt)
	return t.localInFlight == 0 && now-idleSince > interval
}

// takeLimit counts a request that is sent to the target now, and reports whether the node has no share of the limit.
func (p *Pool) takeLimit(t *target, now clock.Millis) (probe bool) {
	if !t.limit.named {
		return false
	}
	rate := p.limitRate(t)
	t.limit.bucket.take(now, rate)
	return rate <= 0
}

// drainIdleLimits keeps this node from sending a burst as it takes over from another one.
func (p *Pool) drainIdleLimits(now clock.Millis) {
	for _, t := range p.order {
		if t.limit.named && p.limitRate(t) <= 0 {
			t.limit.bucket.drain(now)
		}
	}
}

// limitedRate returns the rate at which those targets that limit their requests, and may take this one, take requests
// from all nodes together.
func (p *Pool) limitedRate(a *Request, now clock.Millis) (perSecond float64, limited bool) {
	for _, t := range p.order {
		if t.limit.named && p.mayTake(t, a) && now >= t.blockedUntil {
			perSecond += t.limit.perSecond
			limited = true
		}
	}
	return perSecond, limited
}

const (
	// maxLimitedRetryAfter bounds how long callers are told to wait for targets that limit their requests.
	maxLimitedRetryAfter = 5 * clock.Second
	// retrySpread is by which part a retry delay is varied at random, so that not all callers return at once.
	retrySpread = 0.5
)

// limitedError is the error of a request whose targets all limit their requests and take none from this node: it is
// worthwhile to return when the targets have worked off what the fleet gets in a second.
func (p *Pool) limitedError(perSecond float64, now clock.Millis) error {
	wait := float64(maxLimitedRetryAfter)
	if perSecond > 0 {
		asked := float64(p.recentTotals(now).asked) * float64(clock.Second) / float64(p.tuning.TroubleWindow)
		wait = min(max(asked, 1)/perSecond*float64(clock.Second), wait)
	}
	return &BusyError{RetryAfter: max(p.spreadRetry(wait), minRetryAfter), Reason: "the targets limit their requests"}
}

// retryAfter returns when a request is worthwhile that would wait so long now. Callers that wait for targets at a limited
// rate are many for one place; others come back as slots get free.
func (p *Pool) retryAfter(wait, now clock.Millis) clock.Millis {
	if p.isThrottled(now) {
		wait = p.spreadRetry(min(float64(wait), float64(maxLimitedRetryAfter)))
	}
	return max(wait, minRetryAfter)
}

// spreadRetry varies a retry delay at random.
func (p *Pool) spreadRetry(wait float64) clock.Millis {
	return clock.Millis(wait * (1 + retrySpread*(2*p.rand.Float64()-1)))
}
