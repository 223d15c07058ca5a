package pool

import "github.com/tinladder/tinladder/clock"

// WarmupBurst is the number of requests that a node may send at once to a target that is warming up, on top of its
// rate.
const WarmupBurst = 1

// A tokenBucket limits what this node sends to one target that is warming up. Its zero value is full.
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
	b.used, b.at = b.debt(now, perSecond)+WarmupBurst, now
}

// debt returns what was taken and has not been refilled by now.
func (b *tokenBucket) debt(now clock.Millis, perSecond float64) float64 {
	return max(b.used-float64(max(now-b.at, 0))*perSecond/float64(clock.Second), 0)
}

// warmingUp reports whether the target is rate-limited now.
func (t *target) warmingUp(now clock.Millis) bool {
	return now < t.WarmupUntil
}

// closed reports whether the target may get nothing from this node, however long a request waits.
func (t *target) closed(now clock.Millis) bool {
	return t.Evacuated || t.warmingUp(now) && t.WarmupRate <= 0
}

// admits reports whether the target may get a request from this node now.
func (t *target) admits(now clock.Millis) bool {
	return !t.warmingUp(now) || t.warmupBucket.allow(now, t.WarmupRate)
}

// concurrency returns how many requests the target may have at a time; while it is warming up, as many as its rate
// keeps in flight.
func (p *Pool) concurrency(t *target, now clock.Millis) float64 {
	if !t.warmingUp(now) {
		return float64(t.Slots)
	}
	return min(float64(t.Slots), t.WarmupRate*p.serviceTime*warmupSlowdown/float64(clock.Second))
}

// Wake gives waiting requests to targets that are warming up and whose rate allows one more by now. Call it about
// ten times a second.
func (p *Pool) Wake() {
	p.mu.Lock()
	now := p.clock.Now()
	ready := false
	if p.waiting.Len() > 0 {
		for _, t := range p.order {
			ready = ready || t.warmingUp(now) && t.admits(now)
		}
	}
	var grants []grant
	if ready {
		grants = p.grantWaiting()
	}
	p.mu.Unlock()
	deliver(grants)
}
