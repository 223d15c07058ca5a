package node

import (
	"context"

	"github.com/cockroachdb/errors"
	"github.com/tinladder/tinladder/forward"
	"github.com/tinladder/tinladder/pool"
)

// probeAfterLoss checks whether a target's process has ended after an attempt lost its connection, and records a crash if so.
// After a network failure, a hang or a connection that the target closed, its port still accepts connections or cannot be
// reached: the request is not to blame. Nor is it if the target is leaving, which may end with requests in flight.
func (x *exchange) probeAfterLoss(ctx context.Context, l *pool.Lease) forward.ProbeResult {
	result := x.node.conns.Probe(ctx, l.Address)
	if result == forward.Refused && !l.Leaving() {
		x.node.suspects.recordCrash(x.crashCandidate(l))
	}
	return result
}

// singleTarget reports whether the request may go to one target only: it is a trial, or several targets crashed under it.
func (x *exchange) singleTarget() bool {
	v, _ := x.node.suspects.decide(x)
	return x.verdict.Held || v.SingleAttempt()
}

// refuseIfHeldSince refuses a request that has become held back since it began, while it waited or by its own attempts. A
// trial continues, and so does a request whose attempts were lost with targets that may have ended for another reason.
func (x *exchange) refuseIfHeldSince(l *pool.Lease, t ticket) bool {
	v, p := x.node.suspects.decide(x)
	if x.verdict.Held || !v.Held || x.ran > 0 && !v.SingleAttempt() {
		return false
	}
	l.Done(pool.Abandoned, false)
	if x.ran > 0 {
		x.respondUnknown(errHeldBack, t)
		return true
	}
	x.refuseHeld(x.node.suspects.problem(p), t)
	return true
}

// errHeldBack means that a request is held back that a target may have run.
var errHeldBack = errors.New("the request is held back, since targets crashed that ran it")

// refuseIfHeld refuses the request if it is held back, and reports whether it did.
func (x *exchange) refuseIfHeld(t ticket) bool {
	v, p := x.node.suspects.check(x.r.Context(), x)
	x.verdict = v
	if p == nil {
		return false
	}
	x.refuseHeld(p, t)
	return true
}

func (x *exchange) refuseHeld(p *Problem, t ticket) {
	t.Void()
	x.node.metrics.heldBack()
	x.w.Header().Set(x.headers.RequestID, x.id)
	p.fractionalSeconds = x.headers.FractionalRetryAfter
	x.node.leaving.setConnectionClose(x.w)
	x.renewCallerDeadlines()
	x.node.refuse(x.w, x.r, *p)
}
