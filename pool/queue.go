package pool

import (
	"context"
	"time"

	"github.com/tinladder/tinladder/clock"
)

// minRetryAfter is the least time that callers are told to wait.
const minRetryAfter clock.Millis = 100

type grant struct {
	waiter *waiter
	lease  *Lease
	err    error
}

func deliver(grants []grant) {
	for _, g := range grants {
		g.waiter.granted <- g
	}
}

// Acquire returns a lease on the best target, waiting for a free slot if it must. It fails with
// ErrNoTarget or *BusyError when waiting is of no use, or with the context's error.
func (p *Pool) Acquire(ctx context.Context, a *Request) (*Lease, error) {
	l, err := p.acquire(ctx, a)
	if l != nil {
		p.onChange(l.changeKind(false), l.hall)
	}
	return l, err
}

func (p *Pool) acquire(ctx context.Context, a *Request) (*Lease, error) {
	p.mu.Lock()
	if l, err := p.tryEnter(a); l != nil || err != nil {
		p.mu.Unlock()
		return l, err
	}
	w := &waiter{request: a, granted: make(chan grant, 1), since: p.clock.Now(), work: p.workOf(a)}
	p.waiting.insert(w)
	until := p.giveUpAt(a)
	tell := p.shares != nil && p.waiting.len() == 1
	p.mu.Unlock()
	if tell {
		p.onChange(LocalLoad, "")
	}
	return p.wait(ctx, w, until)
}

// TryAcquire returns a lease on the best target that has a slot free now, or nil.
func (p *Pool) TryAcquire(a *Request) *Lease {
	p.mu.Lock()
	var l *Lease
	if p.waiting.isNext(a) {
		if c := p.chooseWithin(a, false); c.target != nil {
			l = p.leaseTo(a, c)
		}
	}
	p.mu.Unlock()
	if l != nil {
		p.onChange(l.changeKind(false), l.hall)
	}
	return l
}

// tryEnter returns a lease or an error at once, or neither if the request should wait.
func (p *Pool) tryEnter(a *Request) (*Lease, error) {
	if !p.anyUsable(a) {
		return nil, p.noTargetError(a)
	}
	if err := p.checkUrgency(a); err != nil {
		return nil, err
	}
	if p.waiting.isNext(a) {
		if c := p.chooseWithin(a, false); c.target != nil {
			p.recordGrant(a, 0)
			return p.leaseTo(a, c), nil
		}
	}
	return nil, p.checkDeadline(a)
}

func (p *Pool) anyUsable(a *Request) bool {
	now := p.clock.Now()
	for _, t := range p.order {
		if p.eligible(t, a, now) {
			return true
		}
	}
	return false
}

// noTargetError returns why no target may take the request, now or after a wait.
func (p *Pool) noTargetError(a *Request) error {
	now := p.clock.Now()
	if p.reach.cutOff || p.suspectsCutOff(now) || p.reachableByPeers(a, now) {
		return ErrCutOff
	}
	if rest, resting := p.shortestRest(a, now); resting {
		return &BusyError{RetryAfter: p.spreadRest(rest), Reason: "the targets have asked for a rest"}
	}
	if rate, limited := p.limitedRate(a, now); limited {
		return p.limitedError(rate, now)
	}
	return ErrNoTarget
}

// checkDeadline returns an error if the request would miss its deadline in the queue.
func (p *Pool) checkDeadline(a *Request) error {
	wait := p.expectedWait(a)
	now := p.clock.Now()
	if left := a.Deadline - now; wait+clock.Millis(p.usualTime(a.Work)) > left || now > p.giveUpAt(a) {
		return &BusyError{RetryAfter: p.retryAfter(wait, now), Reason: p.deadlineReason(a)}
	}
	return nil
}

// expectedWait estimates how long the request would wait for a slot at a target that is likely healthy, behind
// those that go before it.
func (p *Pool) expectedWait(a *Request) clock.Millis {
	now := p.clock.Now()
	over, slots, throttled := 0, 0.0, true
	for _, t := range p.order {
		if p.usable(t, now) && (a.Halls == nil || a.Halls[t.Hall]) {
			throttled = throttled && t.isThrottled(now)
			slots += p.concurrency(t, now) / t.speed.factor * (1 - t.belief.FailingProb(&p.tuning.Model, now))
			over += max(p.inFlight(t, now)-t.Slots, 0)
		}
	}
	if throttled { // their rates bound how many requests they take, free slots or not
		return p.throttledWait(a, p.waiting.ahead(a)+1, now) + wakeInterval
	}
	if p.shares != nil {
		return p.expectedFairWait(a, over, max(slots, 1))
	}
	work := float64(p.waiting.ahead(a)+1+over) * p.serviceTime
	if p.tuning.TargetSpeeds {
		work = p.workAhead(a) + float64(over)*p.usualTime(0)
	}
	return clock.Millis(work / max(slots, 1))
}

// wait waits for a grant, for as long as a target can still respond before the deadline: that was until the given time when
// the request was queued. After the share Tuning.Hold of the latency objective the request may go to a target's own queue.
func (p *Pool) wait(ctx context.Context, w *waiter, until clock.Millis) (*Lease, error) {
	hold := time.NewTimer(time.Duration(p.tuning.Hold * float64(w.request.Objective.Duration())))
	defer hold.Stop()
	end := time.NewTimer((until - p.clock.Now()).Duration())
	defer end.Stop()
	for {
		select {
		case g := <-w.granted:
			return g.lease, g.err
		case <-hold.C:
			p.allowOvercommit(w)
		case <-end.C:
			if more := p.timeLeft(w.request); more > 0 {
				end.Reset(more.Duration())
				continue
			}
			return p.expire(w)
		case <-ctx.Done():
			return p.abandonWait(w, context.Cause(ctx))
		}
	}
}

func (p *Pool) allowOvercommit(w *waiter) {
	p.mu.Lock()
	w.mayOvercommit = true
	var grants []grant
	switch {
	case !w.isQueued():
	case p.isThrottled(p.clock.Now()), p.shares != nil: // others come first: those that have waited longer, or have less in flight
		grants = p.grantWaiting()
	default:
		if g, granted := p.grantTo(w); granted {
			grants = append(grants, g)
		}
	}
	p.mu.Unlock()
	deliver(grants)
}

// timeLeft returns for how long the request may still wait.
func (p *Pool) timeLeft(a *Request) clock.Millis {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.giveUpAt(a) - p.clock.Now()
}

// expire removes a waiter that no target can serve in time any more.
func (p *Pool) expire(w *waiter) (*Lease, error) {
	p.mu.Lock()
	wait := p.retryAfter(p.expectedWait(w.request), p.clock.Now())
	p.mu.Unlock()
	return p.abandonWait(w, &BusyError{RetryAfter: wait, Reason: "no slot came free in time"})
}

// abandonWait removes the waiter from the queue. A grant made at the same moment is used.
func (p *Pool) abandonWait(w *waiter, err error) (*Lease, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !w.isQueued() {
		g := <-w.granted
		return g.lease, g.err
	}
	p.waiting.remove(w)
	return nil, err
}

// maxSkipped is how many consecutive waiters may find no slot before the scan of the queue stops: each check weighs
// all targets, and a long queue would take the node's CPU time.
const maxSkipped = 3

// grantWaiting hands out slots to the waiters in queue order.
func (p *Pool) grantWaiting() []grant {
	grants := p.reviewShares()
	skipped := 0
	for w := range p.waiting.all() {
		if skipped == maxSkipped {
			break
		}
		if g, granted := p.grantTo(w); granted {
			grants = append(grants, g)
			skipped = 0
		} else {
			skipped++
		}
	}
	return grants
}

// grantTo removes the waiter from the queue if there is a slot for it, or can be none.
func (p *Pool) grantTo(w *waiter) (g grant, granted bool) {
	c := p.chooseWithin(w.request, w.mayOvercommit)
	switch {
	case c.target != nil:
		p.recordGrant(w.request, p.clock.Now()-w.since)
		g = grant{waiter: w, lease: p.leaseTo(w.request, c)}
	case !p.anyUsable(w.request):
		g = grant{waiter: w, err: p.noTargetError(w.request)}
	default:
		return grant{}, false
	}
	p.waiting.remove(w)
	return g, true
}
