package pool

import "github.com/tinladder/tinladder/clock"

// WarmupBurst is what a node may send at once to a cold target, beside what it may send by the second.
const WarmupBurst = 1

// A tokenBucket is what this node may send to one cold target. Its zero value holds the burst.
type tokenBucket struct {
	used float64
	at   clock.Millis
}

// allow says whether the node may send one more request now, at the rate a second.
func (b *tokenBucket) allow(now clock.Millis, perSecond float64) bool {
	return perSecond > 0 && b.debt(now, perSecond) <= 0
}

// take counts a request that is sent now.
func (b *tokenBucket) take(now clock.Millis, perSecond float64) {
	b.used, b.at = b.debt(now, perSecond)+WarmupBurst, now
}

// debt is what was used and has not come back yet.
func (b *tokenBucket) debt(now clock.Millis, perSecond float64) float64 {
	return max(b.used-float64(max(now-b.at, 0))*perSecond/float64(clock.Second), 0)
}

// warmingUp says whether what the target gets is bounded now.
func (t *target) warmingUp(now clock.Millis) bool {
	return now < t.WarmupUntil
}

// closed says that the target may get nothing from this node, however long a request waits.
func (t *target) closed(now clock.Millis) bool {
	return t.Evacuated || t.warmingUp(now) && t.WarmupRate <= 0
}

// admits says whether the target may get a request from this node now.
func (t *target) admits(now clock.Millis) bool {
	return !t.warmingUp(now) || t.warmupBucket.allow(now, t.WarmupRate)
}

// concurrency is how many requests the target may have at a time: a cold one has as many as come at its rate.
func (p *Pool) concurrency(t *target, now clock.Millis) float64 {
	if !t.warmingUp(now) {
		return float64(t.Slots)
	}
	return min(float64(t.Slots), t.WarmupRate*p.serviceTime*warmupSlowdown/float64(clock.Second))
}

// Wake gives requests that wait to cold targets that may get one more by now. Call it about ten times a second.
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
