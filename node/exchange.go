package node

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"
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
	// lateFactor is how many times as long as usual an attempt must have had to be held against its
	// target when time runs out.
	lateFactor = 2
)

// A ticket is told how a run-once request ended.
type ticket interface {
	Complete(a *once.Response)
	Void()
	Unknown()
}

// noTicket stands for requests without a key.
type noTicket struct{}

func (noTicket) Complete(*once.Response) {}
func (noTicket) Void()                   {}
func (noTicket) Unknown()                {}

// An exchange is one request on its way through this node.
type exchange struct {
	node    *Node
	w       http.ResponseWriter
	r       *http.Request
	route   *desired.Route
	headers forward.Headers
	// workspace is in whose name the request runs; nil if it needs no key.
	workspace *access.Workspace
	// keyed says that callers show keys, which no target may see.
	keyed    bool
	service  *service
	pace     *pace
	id       string
	began    clock.Millis
	deadline clock.Millis
	body     []byte
	stream   io.Reader
	// head is the first part of a body that is streamed.
	head []byte
	// space is the workspace, and on the fleet's own interface the service, that the request names by its key or token.
	space         string
	fingerprinted fingerprintsOnce
	// halls are those whose targets may have the request; nil stands for all.
	halls map[ident.Hall]bool
	// used is the attempt whose answer is passed on.
	used *pool.Lease
	// verdict is how the quarantine has it treated.
	verdict quarantine.Verdict
	tried   []ident.Target
	// why says why the last of them was chosen.
	why pool.Reason
	// ran counts the attempts that a target may have run.
	ran int
	// waited is how long the request waited for slots, in all.
	waited clock.Millis
	// retryAfter is when the caller was told to come back.
	retryAfter clock.Millis
	// shed says that the last target turned the request away.
	shed bool
}

func newExchange(n *Node, w http.ResponseWriter, r *http.Request, route *desired.Route, h forward.Headers) *exchange {
	now := n.clock.Now()
	x := &exchange{
		node: n, w: w, r: r, route: route, headers: h, began: now, deadline: now + route.Timeout,
		id:      r.Header.Get(h.RequestID),
		service: n.services.get(route.PickService(rand.Uint32N)),
	}
	x.pace = x.service.pace(route.Name, n.clock)
	if ms, err := strconv.ParseInt(r.Header.Get(h.Deadline), 10, 64); err == nil && ms >= 0 {
		x.deadline = min(x.deadline, now+clock.Millis(ms))
	}
	if !idValid(x.id) {
		x.id = strconv.FormatUint(rand.Uint64(), 16)
	}
	return x
}

// serve makes attempts until one ends the request, and tells the ticket how it ended.
func (x *exchange) serve(t ticket) {
	x.limitCaller()
	if err := x.readBody(); err != nil {
		t.Void()
		x.badBody(err, NotRun)
		return
	}
	if x.heldBack(t) {
		return
	}
	x.service.pool.RetryBudget().AddRequest()
	ctx, cancel := x.context()
	defer cancel()
	for {
		l, err := x.acquire()
		if err != nil {
			x.giveUp(err, t)
			return
		}
		if x.heldMeanwhile(l, t) {
			return
		}
		a, err := x.race(ctx, l)
		if x.settle(a, err, t) {
			return
		}
	}
}

// late returns a problem if the request could last beyond this node's end.
func (x *exchange) late(o Outcome) *Problem {
	if !x.node.leaving.tooLate(x.deadline - x.began) {
		return nil
	}
	return aboutToEnd(o)
}

func aboutToEnd(o Outcome) *Problem {
	return &Problem{Status: http.StatusServiceUnavailable, Outcome: o, RetryAfter: minLeavePause, Detail: "this node is about to end; ask another one"}
}

// callerLeft says whether nobody waits for the answer. A node that ends stops reading, which looks the same from here.
func (x *exchange) callerLeft() bool {
	return x.r.Context().Err() != nil && !x.node.leaving.pendingCanceled()
}

// acquire waits for a target, for as long as the caller does: a request that was not sent is not sent
// once its caller has left, whatever its kind.
func (x *exchange) acquire() (*pool.Lease, error) {
	ctx, cancel := x.within(x.r.Context())
	defer cancel()
	from := x.node.clock.Now()
	defer func() { x.waited += x.node.clock.Now() - from }()
	return x.service.pool.Acquire(ctx, x.ask())
}

func (x *exchange) ask() *pool.Request {
	return &pool.Request{
		Repeatable: x.route.Repeatable, MayRetry: x.plan().CanHedge(x.ran),
		Priority: x.rank(), Began: x.began, Objective: x.route.Objective, Deadline: x.deadline, Exclude: x.tried,
		Bytes: x.pace.size(), Halls: x.halls,
	}
}

// rank says who waits when there is too much work: workspaces that have one of their own, before what their routes say.
func (x *exchange) rank() uint32 {
	if x.workspace != nil {
		return x.workspace.Priority
	}
	return x.route.Priority
}

// context ends at the deadline, and when the caller of a repeatable request leaves. A request that
// runs once goes on: nobody could tell whether it ran.
func (x *exchange) context() (context.Context, context.CancelFunc) {
	ctx := x.r.Context()
	if !x.route.Repeatable {
		ctx = context.WithoutCancel(ctx)
	}
	return x.within(ctx)
}

// within returns a context that ends at the deadline, or as the node ends.
func (x *exchange) within(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, end := x.node.leaving.pendingContext(ctx)
	ctx, cancel := context.WithTimeout(ctx, (x.deadline - x.node.clock.Now()).Duration())
	return ctx, func() {
		cancel()
		end()
	}
}

// attempt sends the request to a target, and learns from how it ends. It may run beside another attempt
// of the request, and on after the request's end.
func (x *exchange) attempt(ctx context.Context, t try) end {
	from := x.node.clock.Now()
	a, err := x.node.conns.Send(ctx, t.lease.Address, t.request)
	took := x.node.clock.Now() - from
	if err != nil && errors.Is(context.Cause(ctx), errBeaten) {
		err = errors.Mark(errBeaten, forward.ErrSent)
	}
	e := end{lease: t.lease, answer: a, err: err, outcome: x.outcome(ctx, a, err, t.lease, took)}
	if e.outcome == pool.ConnectionLost {
		e.door = x.lost(ctx, t.lease)
	}
	if e.outcome == pool.Good && a.Rest == nil {
		x.node.suspects.good(x)
	}
	t.lease.Done(e.outcome, a != nil && x.leaves(a))
	if e.outcome == pool.Late || e.outcome == pool.ConnectionLost {
		// The target's other connections may be silent too: one request is lost by them, not one by each.
		x.node.conns.CloseIdle(t.lease.Address)
	}
	x.pace.learn(e, t.request, took)
	x.node.metrics.attempt(e.outcome, took)
	if e.outcome != pool.Good {
		x.tellAttempt(t, e, took)
	}
	return e
}

// count notes an attempt that has ended.
func (x *exchange) count(e end) {
	x.shed = e.outcome == pool.Shed || e.outcome == pool.Replaced
	if !x.shed && e.outcome != pool.Unreachable {
		x.ran++
	}
}

// leaves says whether the answer says that the target closes its connections.
func (x *exchange) leaves(a *forward.Response) bool {
	return a.Closing || x.headers.Leaving != "" && a.Header.Get(x.headers.Leaving) != ""
}

// notRun says whether the target says that it did not run the request.
func (x *exchange) notRun(a *forward.Response) bool {
	return x.headers.NotRun != "" && a.Header.Get(x.headers.NotRun) != "" ||
		x.headers.Instance != "" && a.Status == http.StatusMisdirectedRequest
}

// outcome says how an attempt ended that took so long.
func (x *exchange) outcome(ctx context.Context, a *forward.Response, err error, l *pool.Lease, took clock.Millis) pool.Outcome {
	timeout := err != nil && x.node.clock.Now() >= x.deadline-sendMargin || err == nil && a.Status == http.StatusGatewayTimeout
	switch {
	case errors.Is(err, forward.ErrRequestBody):
		return pool.Abandoned // by no fault of the target
	case err != nil && errors.Is(context.Cause(ctx), errBeaten):
		return x.pace.beaten(took)
	case err != nil && errors.Is(context.Cause(ctx), errNodeStopping):
		return pool.Abandoned
	case timeout && took < l.ServiceTime()*lateFactor:
		return pool.Abandoned // it had no fair chance
	case timeout:
		return pool.Late
	case err != nil && x.r.Context().Err() != nil && x.route.Repeatable:
		return pool.Abandoned
	case errors.Is(err, forward.ErrNoConnection):
		return pool.Unreachable
	case err != nil:
		return pool.ConnectionLost
	case x.headers.Instance != "" && a.Status == http.StatusMisdirectedRequest:
		return pool.Replaced
	case x.notRun(a):
		return pool.Shed
	case a.Status == http.StatusServiceUnavailable || a.Status == http.StatusTooManyRequests:
		return pool.Shed
	case a.Status >= http.StatusInternalServerError && a.Status != http.StatusNotImplemented:
		return pool.Failed
	}
	return pool.Good
}

// plan is what the request allows.
func (x *exchange) plan() attempt.Policy {
	return attempt.Policy{Repeatable: x.route.Repeatable, Streamed: x.stream != nil, MaxAttempts: x.route.MaxAttempts, SingleTarget: x.sole()}
}

// progress is how far the request has come.
func (x *exchange) progress() attempt.Progress {
	return attempt.Progress{
		Ran: x.ran, Tried: len(x.tried), TimeLeft: x.deadline - x.node.clock.Now(), TypicalTime: x.service.pool.ServiceTime(),
		CallerGone: x.callerLeft(), Stopping: x.node.leaving.pendingCanceled(),
	}
}

// endOfAttempt says how an attempt ended, as far as it decides what follows.
func (x *exchange) endOfAttempt(a *forward.Response, err error) attempt.Result {
	if err != nil {
		return attempt.Result{Unsent: !errors.Is(err, forward.ErrSent)}
	}
	return attempt.Result{
		Answered: true, Failed: a.Status >= http.StatusInternalServerError || a.Status == http.StatusTooManyRequests, NotRun: x.notRun(a),
	}
}

// settle answers the caller if the attempt ends the request, and says whether it did.
func (x *exchange) settle(a *forward.Response, err error, t ticket) bool {
	step := x.plan().Next(x.endOfAttempt(a, err), x.progress(), x.more)
	if step != attempt.Respond {
		discard(a)
	}
	switch step {
	case attempt.Retry:
		return false
	case attempt.Respond:
		x.answer(a, t)
	case attempt.Canceled:
		x.gone(t)
	case attempt.NotRun:
		x.giveUp(pool.ErrNoTarget, t)
	case attempt.Unknown:
		x.noAnswer(err, t)
	}
	return true
}

// more says whether the fleet may make one more attempt, and counts it.
func (x *exchange) more() bool {
	allowed := x.service.pool.RetryBudget().Allow()
	x.node.metrics.again(allowed)
	return allowed
}
