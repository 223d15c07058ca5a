package node

import (
	"context"

	"github.com/cockroachdb/errors"
	"github.com/tinladder/tinladder/forward"
	"github.com/tinladder/tinladder/pool"
)

// lost looks whether a target's process has ended on which an attempt lost its connection, and tells the quarantine if
// so. A cut link, a hang or a connection that the target closed leaves its door open or out of sight: no request is to
// blame for these. A target that is leaving may end with requests at work.
func (x *exchange) lost(ctx context.Context, l *pool.Lease) forward.ProbeResult {
	door := x.node.conns.Probe(ctx, l.Address)
	if door == forward.Refused && !l.Leaving() {
		x.node.suspects.crashed(x, l.Target, l.Start())
	}
	return door
}

// sole says whether the request may go to one target only: a trial, or one under which several have crashed.
func (x *exchange) sole() bool {
	v, _ := x.node.suspects.decide(x)
	return x.verdict.Held || v.SingleAttempt()
}

// heldMeanwhile refuses a request that is held back since it began, while it waited or by an attempt of its own. One that
// was let through for a trial goes on, and one that was lost with targets that may have ended of something else.
func (x *exchange) heldMeanwhile(l *pool.Lease, t ticket) bool {
	v, p := x.node.suspects.decide(x)
	if x.verdict.Held || !v.Held || x.ran > 0 && !v.SingleAttempt() {
		return false
	}
	l.Done(pool.Abandoned, false)
	if x.ran > 0 {
		x.noAnswer(errHeldBack, t)
		return true
	}
	x.refuseHeld(x.node.suspects.problem(p), t)
	return true
}

// errHeldBack says that a request is held back that a target may have run.
var errHeldBack = errors.New("the request is held back, since targets crashed that ran it")

// heldBack refuses the request if it is held back, and says whether it did.
func (x *exchange) heldBack(t ticket) bool {
	v, p := x.node.suspects.judge(x.r.Context(), x)
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
	p.fractions = x.headers.FractionalRetryAfter
	x.node.leaving.setConnectionClose(x.w)
	x.node.refuse(x.w, x.r, *p)
}
