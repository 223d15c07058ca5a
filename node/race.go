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
	// hedgeAgain is how soon a second attempt is tried again that found no free slot.
	hedgeAgain clock.Millis = 40
	// hedgeSpare are further attempts that hedges leave for requests that fail.
	hedgeSpare = 1
)

// errBeaten ends an attempt whose request another attempt has answered.
var errBeaten = errors.New("another attempt answered first")

// An end is how one attempt ended.
type end struct {
	lease   *pool.Lease
	answer  *forward.Response
	err     error
	outcome pool.Outcome
	// door is what was found at the target's address after a connection was lost.
	door forward.ProbeResult
}

// A try is one attempt before it is made.
type try struct {
	lease   *pool.Lease
	request *forward.Request
	// waited is how long the request had waited for slots.
	waited clock.Millis
}

// next returns the next attempt, at the lease's target.
func (x *exchange) next(l *pool.Lease) try {
	x.tried, x.why = append(x.tried, l.Target), l.Reason
	return try{lease: l, request: x.outgoing(l), waited: x.waited}
}

// race makes an attempt, and a second one beside it if the first takes long and the request may be
// repeated. The first good answer wins; the other attempt is ended. If none is good it returns the one
// that ended last.
func (x *exchange) race(ctx context.Context, l *pool.Lease) (*forward.Response, error) {
	if !x.mayHedge() {
		e := x.attempt(ctx, x.next(l))
		x.count(e)
		x.used = e.lease
		return e.answer, e.err
	}
	r := &runners{exchange: x, ends: make(chan end, attempt.MaxTargets)}
	r.start(ctx, l)
	patience := time.NewTimer(x.pace.patience(l.ServiceTime()).Duration())
	defer patience.Stop()
	for {
		select {
		case <-patience.C:
			if second := x.hedge(); second != nil {
				r.start(ctx, second)
			} else {
				patience.Reset(hedgeAgain.Duration())
			}
		case e := <-r.ends:
			r.running--
			x.count(e)
			if e.outcome == pool.Good || r.running == 0 {
				r.stop(e)
				x.used = e.lease
				return e.answer, e.err
			}
			discard(e.answer)
		}
	}
}

// mayHedge says whether two attempts of the request may run at once.
func (x *exchange) mayHedge() bool {
	return x.plan().CanHedge(x.ran) && x.service.pool.Hedges()
}

// hedge returns a lease for a second attempt, or nil if no slot is free or the budget is needed for
// requests that have failed.
func (x *exchange) hedge() *pool.Lease {
	b := x.service.pool.RetryBudget()
	if b.Remaining() < hedgeSpare || x.singleTarget() { // of its like, targets may have crashed since it began
		return nil
	}
	a := x.ask()
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

// runners are the attempts of one request that run at the same time.
type runners struct {
	exchange *exchange
	ends     chan end
	cancels  map[*pool.Lease]context.CancelCauseFunc
	running  int
}

// start makes one more attempt.
func (r *runners) start(ctx context.Context, l *pool.Lease) {
	ctx, cancel := context.WithCancelCause(ctx)
	if r.cancels == nil {
		r.cancels = map[*pool.Lease]context.CancelCauseFunc{}
	}
	r.cancels[l] = cancel
	r.running++
	t := r.exchange.next(l)
	go func() { r.ends <- r.exchange.attempt(ctx, t) }()
}

// stop ends the attempts that are still on their way. The context of the one that is used stays, since
// its answer may not be read yet; it ends with the request's.
func (r *runners) stop(used end) {
	for l, cancel := range r.cancels {
		if l != used.lease {
			cancel(errBeaten)
		}
	}
	if r.running == 0 {
		return
	}
	go func(n int) {
		for range n {
			discard((<-r.ends).answer)
		}
	}(r.running)
}
