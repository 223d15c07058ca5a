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
	// hedgeRetryInterval is how soon a second attempt is tried again that found no free slot.
	hedgeRetryInterval clock.Millis = 40
	// hedgeReserve are further attempts that hedges leave for requests that fail.
	hedgeReserve = 1
)

// errLostRace ends an attempt whose request another attempt has answered.
var errLostRace = errors.New("another attempt answered first")

// An attemptEnd is how one attempt ended.
type attemptEnd struct {
	lease    *pool.Lease
	response *forward.Response
	err      error
	outcome  pool.Outcome
	// probe is what was found at the target's address after a connection was lost.
	probe forward.ProbeResult
}

// A plannedAttempt is one attempt before it is made.
type plannedAttempt struct {
	lease   *pool.Lease
	request *forward.Request
	// waited is how long the request had waited for slots.
	waited clock.Millis
}

// planAttempt returns the planAttempt attempt, at the lease's target.
func (x *exchange) planAttempt(l *pool.Lease) plannedAttempt {
	x.tried, x.lastReason = append(x.tried, l.Target), l.Reason
	return plannedAttempt{lease: l, request: x.targetRequest(l), waited: x.waited}
}

// race makes an attempt, and a second one beside it if the first takes long and the request may be
// repeated. The first good answer wins; the other attempt is ended. If none is good it returns the one
// that ended last.
func (x *exchange) race(ctx context.Context, l *pool.Lease) (*forward.Response, error) {
	if !x.mayHedge() {
		e := x.attempt(ctx, x.planAttempt(l))
		x.countAttempt(e)
		x.usedLease = e.lease
		return e.response, e.err
	}
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

// mayHedge says whether two attempts of the request may run at once.
func (x *exchange) mayHedge() bool {
	return x.policy().CanHedge(x.ran) && x.service.pool.Hedges()
}

// hedge returns a lease for a second attempt, or nil if no slot is free or the budget is needed for
// requests that have failed.
func (x *exchange) hedge() *pool.Lease {
	b := x.service.pool.RetryBudget()
	if b.Remaining() < hedgeReserve || x.sole() { // of its like, targets may have crashed since it began
		return nil
	}
	a := x.poolRequest()
	a.MayRetry = false
	l := x.service.pool.TryAcquire(a)
	if l == nil {
		return nil
	}
	if !b.Allow() {
		l.Done(pool.Abandoned, false)
		return nil
	}
	x.node.metrics.hedged()
	return l
}

// parallelAttempts are the attempts of one request that run at the same time.
type parallelAttempts struct {
	exchange *exchange
	ends     chan attemptEnd
	cancels  map[*pool.Lease]context.CancelCauseFunc
	running  int
}

// start makes one more attempt.
func (r *parallelAttempts) start(ctx context.Context, l *pool.Lease) {
	ctx, cancel := context.WithCancelCause(ctx)
	if r.cancels == nil {
		r.cancels = map[*pool.Lease]context.CancelCauseFunc{}
	}
	r.cancels[l] = cancel
	r.running++
	t := r.exchange.planAttempt(l)
	go func() { r.ends <- r.exchange.attempt(ctx, t) }()
}

// stop ends the attempts that are still on their way. The context of the one that is used stays, since
// its answer may not be read yet; it ends with the request's.
func (r *parallelAttempts) stop(used attemptEnd) {
	for l, cancel := range r.cancels {
		if l != used.lease {
			cancel(errLostRace)
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
