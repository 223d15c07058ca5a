package pool

import (
	"slices"

	"github.com/tinladder/tinladder/clock"
)

// ThrottledBurst is the number of requests that a node may send at once to a target at a limited rate, on top of that
// rate.
const ThrottledBurst = 1

// A tokenBucket limits what this node sends to one target. Its zero value is full.
type tokenBucket struct {
	used float64
	at   clock.Millis
}

// allow reports whether the node may send one more request now, at the rate per second.
func (b *tokenBucket) allow(now clock.Millis, perSecond float64) bool {
	return perSecond > 0 && b.debt(now, perSecond) <= 0
}

// take counts a request that is sent now.
func (b *tokenBucket) take(now clock.Millis, perSecond float64) {
	b.used, b.at = b.debt(now, perSecond)+ThrottledBurst, now
}

// drain leaves no burst.
func (b *tokenBucket) drain(now clock.Millis) {
	b.used, b.at = ThrottledBurst, now
}

// wait returns how long it takes until the node may send one more request.
func (b *tokenBucket) wait(now clock.Millis, perSecond float64) clock.Millis {
	if perSecond <= 0 {
		return maxThrottledWait
	}
	return clock.Millis(min(b.debt(now, perSecond)/perSecond*float64(clock.Second), float64(maxThrottledWait)))
}

// debt returns what was taken and has not been refilled by now.
func (b *tokenBucket) debt(now clock.Millis, perSecond float64) float64 {
	return max(b.used-float64(max(now-b.at, 0))*perSecond/float64(clock.Second), 0)
}

// warmingUp reports whether the target is rate-limited now.
func (t *target) warmingUp(now clock.Millis) bool {
	return now < t.WarmupUntil
}

// closed reports whether the target may get nothing from this node, however long a request waits. Requests do not wait for
// the end of a rest, which takes seconds.
func (p *Pool) closed(t *target, now clock.Millis) bool {
	return t.Evacuated || t.resting(now) || t.closing.isPresumedLeaving(now) || t.warmingUp(now) && t.WarmupRate <= 0 || p.limitCloses(t, now)
}

// admits reports whether the target may get a request from this node now.
func (p *Pool) admits(t *target, now clock.Millis) bool {
	return (!t.warmingUp(now) || t.warmupBucket.allow(now, t.WarmupRate)) && p.limitAdmits(t, now)
}

// isThrottled reports whether the target takes requests at a limited rate.
func (t *target) isThrottled(now clock.Millis) bool {
	return t.warmingUp(now) || t.limit.named
}

// concurrency returns how many requests of this node the target may have at a time; at a limited rate, as many as the
// rate keeps in flight.
func (p *Pool) concurrency(t *target, now clock.Millis) float64 {
	n := float64(t.Slots)
	if t.warmingUp(now) {
		n = min(n, t.WarmupRate*p.serviceTime*warmupSlowdown/float64(clock.Second))
	}
	if t.limit.named {
		n = min(n, p.limitRate(t)*p.serviceTime/float64(clock.Second))
	}
	return n
}

// throttledWait returns how long it takes until the targets at a limited rate have taken so many requests of this node;
// maxThrottledWait or more if that is long.
func (p *Pool) throttledWait(a *Request, requests int, now clock.Millis) clock.Millis {
	var at, interval []clock.Millis
	for _, t := range p.order {
		if p.eligible(t, a, now) && t.isThrottled(now) {
			at = append(at, max(t.warmupWait(now), p.limitWait(t, now)))
			interval = append(interval, clock.Millis(p.serviceTime/max(p.concurrency(t, now), minThrottledSlots)))
		}
	}
	wait := clock.Millis(0)
	for range requests {
		if len(at) == 0 || wait >= maxThrottledWait {
			return max(wait, maxThrottledWait)
		}
		next := slices.Index(at, slices.Min(at))
		wait = at[next]
		at[next] += interval[next]
	}
	return wait
}

const (
	// maxThrottledWait is how far ahead the wait for targets at a limited rate is estimated.
	maxThrottledWait = 1 * clock.Minute
	// minThrottledSlots keeps the interval between two requests to such a target finite.
	minThrottledSlots = 1e-3
)

// warmupWait returns how long it takes until the target's warm-up allows a request of this node.
func (t *target) warmupWait(now clock.Millis) clock.Millis {
	if !t.warmingUp(now) {
		return 0
	}
	return min(t.warmupBucket.wait(now, t.WarmupRate), t.WarmupUntil-now)
}

// isThrottled reports whether all targets that may get work take requests at a limited rate.
func (p *Pool) isThrottled(now clock.Millis) bool {
	for _, t := range p.order {
		if p.usable(t, now) && !t.isThrottled(now) {
			return false
		}
	}
	return true
}

// wakeInterval is the longest usual time between two calls of Wake.
const wakeInterval clock.Millis = 100

// Wake gives waiting requests to targets that take requests at a limited rate and may get one more by now, and to targets
// whose rest has ended. Call it every wakeInterval.
func (p *Pool) Wake() {
	p.mu.Lock()
	now := p.clock.Now()
	p.drainIdleLimits(now)
	p.updateUrgency(now)
	changed := p.updateReach(now)
	ready := p.reach.cutOff || p.shares != nil // those that wait are refused, or slots left to others are used
	if p.waiting.len() > 0 {
		for _, t := range p.order {
			ready = ready || t.isThrottled(now) && p.admits(t, now) || t.restUntil > p.wokeAt && !t.resting(now)
		}
	}
	p.wokeAt = now
	var grants []grant
	if ready {
		grants = p.grantWaiting()
	}
	events := p.takeEvents()
	p.mu.Unlock()
	deliver(grants)
	p.emit(events)
	if changed {
		p.onChange(HealthEvidence, "")
	}
}
