package node

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"github.com/tinladder/tinladder/access"
	"github.com/tinladder/tinladder/attempt"
	"github.com/tinladder/tinladder/clock"
	"github.com/tinladder/tinladder/desired"
	"github.com/tinladder/tinladder/forward"
	"github.com/tinladder/tinladder/ident"
	"github.com/tinladder/tinladder/once"
	"github.com/tinladder/tinladder/pool"
	"github.com/tinladder/tinladder/quarantine"
)

const (
	// timeoutBlameFactor times the time that the target usually needs must have passed for a time-out to count against the target.
	timeoutBlameFactor = 2
)

// A ticket is notified of how a request ended: a response, not run, or unknown.
type ticket interface {
	Complete(a *once.Response)
	Void()
	Unknown()
}

// noTicket is the ticket of requests whose end nobody tracks.
type noTicket struct{}

func (noTicket) Complete(*once.Response) {}
func (noTicket) Void()                   {}
func (noTicket) Unknown()                {}

// An exchange is the state of one request while this node handles it.
type exchange struct {
	node    *Node
	w       http.ResponseWriter
	r       *http.Request
	route   *desired.Route
	headers forward.Headers
	// workspace is the workspace that the request's key belongs to; nil if it needs no key.
	workspace *access.Workspace
	// stripKey is set if callers send access keys, which must not reach targets.
	stripKey bool
	service  *service
	stats    *routeStats
	id       string
	began    clock.Millis
	deadline clock.Millis
	// bodyLimit is the most bytes of the body; 0 is unlimited.
	bodyLimit int64
	body      []byte
	// stream is a body that is too long to be held; body is empty then.
	stream *streamedBody
	// head is the start of a body that is streamed, for its fingerprint.
	head []byte
	// owner is the workspace that the request's key belongs to; on the fleet's own API it is the service.
	owner         string
	fingerprinted lazyFingerprints
	// allowedHalls are the halls whose targets may get the request; nil allows all.
	allowedHalls map[ident.Hall]bool
	// usedLease is the lease of the attempt whose response is sent to the caller.
	usedLease *pool.Lease
	// verdict is what quarantine decided on the request.
	verdict quarantine.Verdict
	tried   []ident.Target
	// lastReason is why the last of them was chosen.
	lastReason pool.Reason
	// ran counts the attempts that a target may have run.
	ran int
	// waited is the total time that the request waited for slots.
	waited clock.Millis
	// retryAfter is the retry delay that was sent to the caller.
	retryAfter clock.Millis
	// mayPass is set if the request may be passed to a node that reaches targets, passedTo is the node that responded.
	mayPass  bool
	passedTo string
	// lastShed is set if the last target refused the request without running it.
	lastShed bool
	// hedgeDenied is set if a hedge of the attempt under way was denied for its order.
	hedgeDenied bool
}

// newExchange returns the exchange of a request. Its time-out counts from its arrival, so it includes the wait for the first
// desired state.
func newExchange(n *Node, w http.ResponseWriter, r *http.Request, route *desired.Route, h forward.Headers, arrived clock.Millis) *exchange {
	x := &exchange{
		node: n, w: w, r: r, route: route, headers: h, began: arrived, deadline: arrived + route.Timeout,
		id:      r.Header.Get(h.RequestID),
		service: n.services.get(route.PickService(rand.Uint32N)),
	}
	x.stats = x.service.statsFor(route.Name, n.clock)
	if ms, err := strconv.ParseInt(r.Header.Get(h.Deadline), 10, 64); err == nil && ms >= 0 {
		x.deadline = min(x.deadline, arrived+clock.Millis(ms))
	}
	if x.id == "" {
		x.id = strconv.FormatUint(rand.Uint64(), 16)
	}
	return x
}

// serve reads the request's body, or the beginning of a long one, makes attempts until one ends the request, and notifies the
// ticket of how it ended.
func (x *exchange) serve(t ticket) {
	x.setCallerDeadlines()
	if err := x.readBody(); err != nil {
		t.Void()
		x.rejectBody(err, NotRun)
		return
	}
	defer x.dropBody()
	x.makeAttempts(t)
	x.stopBody()
}

// makeAttempts makes attempts until one ends the request.
func (x *exchange) makeAttempts(t ticket) {
	if x.refuseIfHeld(t) {
		return
	}
	x.service.pool.RetryBudget().AddRequest()
	ctx, cancel := x.context()
	defer cancel()
	if x.node.reach.cutOff.Load() && x.passToReaching(pool.ErrCutOff, t) {
		return
	}
	for {
		l, err := x.acquire()
		if err != nil {
			if !x.passToReaching(err, t) {
				x.giveUp(err, t)
			}
			return
		}
		if x.refuseIfHeldSince(l, t) {
			return
		}
		a, err := x.race(ctx, l)
		if errors.Is(err, forward.ErrNoConnection) && x.service.pool.SuspectsCutOff() && x.passToReaching(pool.ErrCutOff, t) {
			return
		}
		if x.finish(a, err, t) {
			return
		}
	}
}

// checkLeaving returns a problem if the request could outlast this node's shutdown.
func (x *exchange) checkLeaving(o Outcome) *Problem {
	if !x.node.leaving.tooLate(x.deadline - x.began) {
		return nil
	}
	return leavingProblem(o)
}

func leavingProblem(o Outcome) *Problem {
	return &Problem{Status: http.StatusServiceUnavailable, Outcome: o, RetryAfter: leavingRetryAfter, Detail: "this node is about to end; ask another one"}
}

// callerLeft reports whether the caller has gone. The request's context is also canceled when a node that is shutting down
// stops reading, and at the caller's read deadline, so these cases are excluded.
func (x *exchange) callerLeft() bool {
	return x.r.Context().Err() != nil && !x.node.leaving.pendingCanceled() && !x.readDeadlinePassed()
}

// acquire waits for a target for as long as the caller does: no request is sent after its caller has left, whether
// repeatable or not.
func (x *exchange) acquire() (*pool.Lease, error) {
	ctx, cancel := x.within(x.r.Context())
	defer cancel()
	from := x.node.clock.Now()
	defer func() { x.waited += x.node.clock.Now() - from }()
	return x.service.pool.Acquire(ctx, x.poolRequest())
}

func (x *exchange) poolRequest() *pool.Request {
	return &pool.Request{
		Repeatable: x.route.Repeatable, MayRetry: x.policy().CanHedge(x.ran),
		Priority: x.priority(), Began: x.began, Objective: x.route.Objective, Deadline: x.deadline, Exclude: x.tried,
		Bytes: x.stats.meanSize(), Halls: x.allowedHalls, Workspace: x.workspaceName(), Work: x.stats.usualWork(),
	}
}

// workspaceName returns the caller's workspace; empty if the request needs no key.
func (x *exchange) workspaceName() ident.Workspace {
	if x.workspace == nil {
		return ""
	}
	return x.workspace.Name
}

// priority returns the request's priority in the queue, 0 first: that of the workspace, or else that of the route.
func (x *exchange) priority() uint32 {
	if x.workspace != nil {
		return x.workspace.Priority
	}
	return x.route.Priority
}

// context returns a context that ends at the deadline, and for a repeatable request also when the caller leaves. A
// run-once request is not canceled, since it would be unknown then whether it ran.
func (x *exchange) context() (context.Context, context.CancelFunc) {
	ctx := x.r.Context()
	if !x.route.Repeatable {
		ctx = context.WithoutCancel(ctx)
	}
	return x.within(ctx)
}

// within returns a context that ends at the deadline, or when the node shuts down.
func (x *exchange) within(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, end := x.node.leaving.pendingContext(ctx)
	ctx, cancel := context.WithTimeout(ctx, (x.deadline - x.node.clock.Now()).Duration())
	return ctx, func() {
		cancel()
		end()
	}
}

// attempt sends the request to a target and records the outcome. It may run in parallel to another attempt of the
// request, and may outlast the request.
func (x *exchange) attempt(ctx context.Context, t plannedAttempt) attemptEnd {
	from := x.node.clock.Now()
	a, err := x.node.conns.Send(ctx, t.lease.Address, t.request)
	took := x.node.clock.Now() - from
	if err != nil && errors.Is(context.Cause(ctx), errLostRace) {
		err = errors.Mark(errLostRace, forward.ErrSent)
	}
	e := attemptEnd{lease: t.lease, response: a, err: err, outcome: x.outcome(ctx, a, err, t.lease, took)}
	if e.outcome == pool.ConnectionLost {
		e.probe = x.probeAfterLoss(ctx, t.lease)
	}
	if mayStillRun(e) {
		x.node.crashes.add(x, t.lease)
	}
	if e.outcome == pool.Good && a.Rest == nil {
		x.node.suspects.recordSuccess(x)
	}
	x.recordRateLimit(t.lease, a)
	x.recordRest(t.lease, a)
	if a != nil && x.headers.SaysLeaving(a.Header) {
		t.lease.SetLeaving()
	}
	if a != nil && a.CloseDelimited {
		t.lease.SetCloseDelimited()
	}
	t.lease.Done(e.outcome, a != nil && a.Closing)
	if e.outcome == pool.Late || e.outcome == pool.ConnectionLost {
		// The target's other connections may be dead too. Closing them loses one request in all, rather than one on each.
		x.node.conns.CloseIdle(t.lease.Address)
	}
	x.stats.addAttempt(e, t.request, took)
	x.node.metrics.attempt(e.outcome, took)
	if t.lease.Limited {
		x.node.metrics.limitedAttempt(t.lease.Reason)
	}
	if t.lease.Resting {
		x.node.metrics.restingAttempt(t.lease.Reason)
	}
	if t.lease.ToldLeaving {
		x.node.metrics.leavingAttempt(t.lease.Reason)
	}
	if e.outcome != pool.Good {
		x.logAttempt(t, e, took)
	}
	return e
}

// recordRateLimit records what the response says of its target's rate limit. A malformed one leaves what is known.
func (x *exchange) recordRateLimit(l *pool.Lease, a *forward.Response) {
	if a == nil {
		return
	}
	limit, err := x.headers.ParseRateLimit(a.Header)
	if err != nil {
		x.node.log.WithFields(logrus.Fields{"event": "bad_rate_limit", "request": x.id, "service": x.service.name, "target": l.Target, "error": err}).Warn()
		return
	}
	l.SetRateLimit(limit.Named, limit.PerSecond)
}

// recordRest records for how long the response says that its target wants nothing from this node. A malformed time leaves
// what is known.
func (x *exchange) recordRest(l *pool.Lease, a *forward.Response) {
	if a == nil || a.Status != http.StatusServiceUnavailable {
		return
	}
	rest, err := forward.ParseRest(a.Header)
	if err != nil {
		x.node.log.WithFields(logrus.Fields{"event": "bad_retry_after", "request": x.id, "service": x.service.name, "target": l.Target, "error": err}).Warn()
		return
	}
	l.SetRest(rest)
}

// countAttempt records whether a target may have run the request in an attempt that has ended.
func (x *exchange) countAttempt(e attemptEnd) {
	execution := x.headers.ExecutionOf(e.response, e.err)
	x.lastShed = e.response != nil && execution == forward.NotRun
	if execution != forward.NotRun {
		x.ran++
	}
}

// outcome classifies an attempt that has ended.
func (x *exchange) outcome(ctx context.Context, a *forward.Response, err error, l *pool.Lease, took clock.Millis) pool.Outcome {
	timeout := err != nil && x.node.clock.Now() >= x.deadline-deadlineMargin || err == nil && a.Status == http.StatusGatewayTimeout
	switch {
	case errors.Is(err, forward.ErrRequestBody):
		return pool.Abandoned // not the target's fault
	case err != nil && errors.Is(context.Cause(ctx), errLostRace):
		return x.stats.lostRaceOutcome(took, l.Slower())
	case err != nil && errors.Is(context.Cause(ctx), errNodeStopping):
		return pool.Abandoned
	case timeout && took < l.UsualTime()*timeoutBlameFactor:
		return pool.Abandoned // too little time was left for the target to respond
	case timeout:
		return pool.Late
	case err != nil && x.r.Context().Err() != nil && x.route.Repeatable:
		return pool.Abandoned
	case errors.Is(err, forward.ErrNoConnection):
		return pool.Unreachable
	case err != nil:
		return pool.ConnectionLost
	case x.headers.IsReplaced(a):
		return pool.Replaced
	case x.headers.ExecutionOf(a, nil) == forward.NotRun:
		return pool.Shed
	case a.Status == http.StatusServiceUnavailable || a.Status == http.StatusTooManyRequests:
		return pool.Shed
	case a.Status >= http.StatusInternalServerError && a.Status != http.StatusNotImplemented:
		return pool.Failed
	}
	return pool.Good
}

// policy returns which attempts the request allows.
func (x *exchange) policy() attempt.Policy {
	return attempt.Policy{Repeatable: x.route.Repeatable, Streamed: x.stream != nil, MaxAttempts: x.route.MaxAttempts, SingleTarget: x.singleTarget()}
}

// progress returns the request's progress so far.
func (x *exchange) progress() attempt.Progress {
	return attempt.Progress{
		Ran: x.ran, Tried: len(x.tried), TimeLeft: x.deadline - x.node.clock.Now(), ServiceTime: x.service.pool.ServiceTime(),
		CallerGone: x.callerLeft(), Stopping: x.node.leaving.pendingCanceled(),
	}
}

// attemptResult returns what the decision on the next step needs of an attempt's end.
func (x *exchange) attemptResult(a *forward.Response, err error) attempt.Result {
	notRun := x.headers.ExecutionOf(a, err) == forward.NotRun
	if err != nil {
		return attempt.Result{Unsent: notRun}
	}
	return attempt.Result{
		Answered: true, Failed: a.Status >= http.StatusInternalServerError || a.Status == http.StatusTooManyRequests, NotRun: notRun,
	}
}

// finish responds to the caller if the attempt ends the request, and reports whether it did.
func (x *exchange) finish(a *forward.Response, err error, t ticket) bool {
	step := x.policy().Next(x.attemptResult(a, err), x.progress(), x.allowRetry)
	if step != attempt.Respond {
		discard(a)
	}
	switch step {
	case attempt.Retry:
		return false
	case attempt.Respond:
		x.respond(a, t)
	case attempt.Canceled:
		x.abort(t)
	case attempt.NotRun:
		x.giveUp(pool.ErrNoTarget, t)
	case attempt.Unknown:
		x.respondUnknown(err, t)
	}
	return true
}

// allowRetry takes one attempt from the retry budget, and reports whether the budget allows it.
func (x *exchange) allowRetry() bool {
	p := x.service.pool.AllowRetry(x.poolRequest())
	x.node.metrics.retried(p == pool.Allowed)
	x.node.metrics.furtherAttempt(p)
	return p == pool.Allowed
}
