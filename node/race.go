package node

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/tinladder/tinladder/attempt"
	"github.com/tinladder/tinladder/clock"
	"github.com/tinladder/tinladder/forward"
	"github.com/tinladder/tinladder/pool"
)

const (
	// hedgeRetryInterval is how soon a hedge is tried again that found no free slot or too little budget.
	hedgeRetryInterval clock.Millis = 40
	// lostRaceGrace is how long an attempt goes on after another one has responded. Its target may have responded too, and
	// what that says of the target holds: a target that turns requests away does so within this time.
	lostRaceGrace clock.Millis = 25
	// hedgeReserve is the number of retries in the budget that hedges leave for requests that fail.
	hedgeReserve = 1
)

// errLostRace is the cancellation cause of an attempt when another one has responded first.
var errLostRace = errors.New("another attempt answered first")

// An attemptEnd is the result of one attempt.
type attemptEnd struct {
	lease    *pool.Lease
	response *forward.Response
	err      error
	outcome  pool.Outcome
	// probe is the result of probing the target's address after a connection was lost.
	probe forward.ProbeResult
}

// A plannedAttempt is an attempt that has not been sent yet.
type plannedAttempt struct {
	lease   *pool.Lease
	request *forward.Request
	// waited is how long the request has waited for slots so far, in all.
	waited clock.Millis
}

// planAttempt prepares the next attempt, at the lease's target.
func (x *exchange) planAttempt(l *pool.Lease) plannedAttempt {
	x.tried, x.lastReason = append(x.tried, l.Target), l.Reason
	return plannedAttempt{lease: l, request: x.targetRequest(l), waited: x.waited}
}

// race makes an attempt and, if that takes long and the request is repeatable, a second one in parallel (a hedge). The
// first good response wins, and the other attempt is canceled. If none is good it returns the result that came last.
func (x *exchange) race(ctx context.Context, l *pool.Lease) (*forward.Response, error) {
	if !x.mayHedge() {
		e := x.attempt(ctx, x.planAttempt(l))
		x.countAttempt(e)
		x.usedLease = e.lease
		return e.response, e.err
	}
	x.hedgeDenied = false
	r := &parallelAttempts{exchange: x, ends: make(chan attemptEnd, attempt.MaxTargets)}
	r.start(ctx, l)
	hedgeTimer := time.NewTimer(x.stats.hedgeDelay(l.ServiceTime()).Duration())
	defer hedgeTimer.Stop()
	for {
		select {
		case <-hedgeTimer.C:
			if second := x.hedge(); second != nil {
				r.start(ctx, second)
			} else {
				hedgeTimer.Reset(hedgeRetryInterval.Duration())
			}
		case e := <-r.ends:
			r.running--
			x.countAttempt(e)
			if e.outcome == pool.Good || r.running == 0 {
				r.stop(e)
				x.usedLease = e.lease
				return e.response, e.err
			}
			discard(e.response)
		}
	}
}

// mayHedge reports whether two attempts of the request may run in parallel.
func (x *exchange) mayHedge() bool {
	return x.policy().CanHedge(x.ran) && x.service.pool.Hedges()
}

// hedge returns a lease for a second attempt. It returns nil if no slot is free, or if the budget is needed for requests
// that have failed.
func (x *exchange) hedge() *pool.Lease {
	b := x.service.pool.RetryBudget()
	if b.Remaining() < hedgeReserve || x.singleTarget() { // similar requests may have crashed targets since this one began
		return nil
	}
	if x.hedgeDenied && b.Short() {
		return nil
	}
	a := x.poolRequest()
	a.MayRetry = false
	l := x.service.pool.TryAcquire(a)
	if l == nil {
		return nil
	}
	permit := x.service.pool.AllowHedge(a)
	x.node.metrics.furtherAttempt(permit)
	if permit != pool.Allowed {
		x.hedgeDenied = permit == pool.DeniedForOrder
		l.Done(pool.Abandoned, false)
		return nil
	}
	x.node.metrics.hedged()
	return l
}

// parallelAttempts are the attempts of one request that run in parallel.
type parallelAttempts struct {
	exchange *exchange
	ends     chan attemptEnd
	started  []startedAttempt
	running  int
}

// A startedAttempt is an attempt that may go on for a short time after its request has ended.
type startedAttempt struct {
	lease  *pool.Lease
	cancel context.CancelCauseFunc
	// detach keeps the end of the request from canceling the attempt.
	detach func() bool
}

// start makes one more attempt, in a goroutine of its own.
func (r *parallelAttempts) start(ctx context.Context, l *pool.Lease) {
	own, cancel := context.WithCancelCause(context.WithoutCancel(ctx))
	detach := context.AfterFunc(ctx, func() { cancel(context.Cause(ctx)) })
	r.started = append(r.started, startedAttempt{lease: l, cancel: cancel, detach: detach})
	r.running++
	t := r.exchange.planAttempt(l)
	go func() { r.ends <- r.exchange.attempt(own, t) }()
}

// stop cancels all attempts but the one that is used, after a grace. That one's context lives on until the request's ends,
// since its response may not have been read yet.
func (r *parallelAttempts) stop(used attemptEnd) {
	for _, a := range r.started {
		if a.lease != used.lease && a.detach() {
			time.AfterFunc(lostRaceGrace.Duration(), func() { a.cancel(errLostRace) })
		}
	}
	if r.running == 0 {
		return
	}
	go func(n int) {
		for range n {
			discard((<-r.ends).response)
		}
	}(r.running)
}
