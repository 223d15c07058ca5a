package gateway

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"github.com/tinladder/tinladder/clock"
	"github.com/tinladder/tinladder/desired"
	"github.com/tinladder/tinladder/forward"
	"github.com/tinladder/tinladder/ident"
	"github.com/tinladder/tinladder/pool"
)

const (
	// smallBody is the largest body of a request that is kept, so that it can be sent again.
	smallBody = 64 << 10
	// sendMargin is how much sooner than a caller's time is over a target is told to end.
	sendMargin clock.Millis = 5
	// notReadyPause is what callers are told when this node knows no desired state.
	notReadyPause clock.Millis = 500
)

// An exchange is one request on its way through this node.
type exchange struct {
	node     *Node
	w        http.ResponseWriter
	r        *http.Request
	route    *desired.Route
	service  *service
	id       string
	began    clock.Millis
	deadline clock.Millis
	body     []byte
	stream   io.Reader
	tried    []ident.Target
	// ran counts the attempts that a target may have run.
	ran int
}

// serve serves a caller.
func (n *Node) serve(w http.ResponseWriter, r *http.Request) {
	n.busy.Add(1)
	defer n.busy.Add(-1)
	if n.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	t := n.state.table()
	if t == nil {
		n.refuse(w, r, http.StatusServiceUnavailable, notReadyPause, "no desired state is known yet")
		return
	}
	route := t.Find(r.Host, r.URL.Path)
	if route == nil {
		n.refuse(w, r, http.StatusNotFound, 0, "no route")
		return
	}
	if t.Limits.BodyBytes > 0 {
		if r.ContentLength > t.Limits.BodyBytes {
			n.refuse(w, r, http.StatusRequestEntityTooLarge, 0, "the body is too large")
			return
		}
		r.Body = http.MaxBytesReader(w, r.Body, t.Limits.BodyBytes)
	}
	n.exchange(w, r, route)
}

func (n *Node) exchange(w http.ResponseWriter, r *http.Request, route *desired.Route) {
	now := n.clock.Now()
	x := &exchange{
		node: n, w: w, r: r, route: route, began: now, deadline: now + route.Timeout,
		id:      r.Header.Get(n.speak.Headers.RequestID),
		service: n.services.get(route.Service(newRand())),
	}
	if ms, err := strconv.ParseInt(r.Header.Get(n.speak.Headers.Deadline), 10, 64); err == nil && ms >= 0 {
		x.deadline = min(x.deadline, now+clock.Millis(ms))
	}
	if x.id == "" {
		x.id = strconv.FormatUint(rand.Uint64(), 16)
	}
	if err := x.readBody(); err != nil {
		var large *http.MaxBytesError
		if errors.As(err, &large) {
			n.refuse(w, r, http.StatusRequestEntityTooLarge, 0, "the body is too large")
			return
		}
		panic(http.ErrAbortHandler) // the caller broke off
	}
	x.service.pool.Budget().First()
	x.run()
}

// readBody reads a small body whole; a large one is streamed, once.
func (x *exchange) readBody() (err error) {
	if x.r.ContentLength == 0 {
		return nil
	}
	if x.r.ContentLength > smallBody {
		x.stream = x.r.Body
		return nil
	}
	x.body, err = io.ReadAll(io.LimitReader(x.r.Body, smallBody+1))
	if err == nil && len(x.body) > smallBody {
		x.stream = io.MultiReader(bytes.NewReader(x.body), x.r.Body)
		x.body = nil
	}
	return err
}

// run makes attempts until one ends the request.
func (x *exchange) run() {
	ctx, cancel := x.context()
	defer cancel()
	for {
		l, err := x.service.pool.Acquire(ctx, &pool.Ask{
			Repeatable: x.route.Repeatable, Rank: x.route.Rank, Aim: x.route.Aim, Deadline: x.deadline, Not: x.tried,
		})
		if err != nil {
			x.giveUp(err)
			return
		}
		a, err := x.attempt(ctx, l)
		if x.settle(a, err) {
			return
		}
	}
}

// context ends at the deadline, and when the caller of a repeatable request leaves. A request that
// runs once goes on: nobody could tell whether it ran.
func (x *exchange) context() (context.Context, context.CancelFunc) {
	ctx := x.r.Context()
	if !x.route.Repeatable {
		ctx = context.WithoutCancel(ctx)
	}
	return context.WithTimeout(ctx, (x.deadline - x.node.clock.Now()).Duration())
}

// attempt sends the request to the lease's target.
func (x *exchange) attempt(ctx context.Context, l *pool.Lease) (*forward.Answer, error) {
	x.tried = append(x.tried, l.Target)
	from := x.node.clock.Now()
	a, err := x.node.conns.Send(ctx, l.Address, x.outgoing(l))
	o := x.outcome(ctx, a, err)
	l.Done(o, a != nil && a.Closing)
	if o != pool.Shed && o != pool.Replaced && o != pool.Unreachable {
		x.ran++
	}
	x.node.log.WithFields(logrus.Fields{
		"event": "attempt", "request": x.id, "target": l.Target, "outcome": o, "status": statusOf(a), "error": err,
		"ms": x.node.clock.Now() - from, "failing": l.Failing,
	}).Debug()
	return a, err
}

func statusOf(a *forward.Answer) int {
	if a == nil {
		return 0
	}
	return a.Status
}

func (x *exchange) outgoing(l *pool.Lease) *forward.Request {
	h := x.r.Header.Clone()
	forward.DropHopByHop(h)
	names := x.node.speak.Headers
	h.Set(names.RequestID, x.id)
	h.Set(names.Deadline, strconv.FormatInt(int64(max(x.deadline-x.node.clock.Now()-sendMargin, 1)), 10))
	h.Set(names.Instance, string(l.Target))
	if _, found := h["User-Agent"]; !found {
		h["User-Agent"] = nil // keep the library from adding its own
	}
	return &forward.Request{
		Method: x.r.Method, Target: x.r.RequestURI, Host: x.r.Host, Header: h,
		Body: x.body, Stream: x.stream, Length: x.r.ContentLength,
		ID: x.id, IDHeader: names.RequestID, MaxIdle: maxIdle(x.route.Repeatable),
	}
}

// maxIdle is how long a connection may have rested. One that rested long may have been forgotten
// by the target, and a request that runs once would be lost on it.
func maxIdle(repeatable bool) clock.Millis {
	if repeatable {
		return 30 * clock.Second
	}
	return 5 * clock.Second
}

// outcome says how an attempt ended.
func (x *exchange) outcome(ctx context.Context, a *forward.Answer, err error) pool.Outcome {
	switch {
	case err != nil && x.r.Context().Err() != nil && x.route.Repeatable:
		return pool.Abandoned
	case errors.Is(err, forward.ErrNoConnection):
		return pool.Unreachable
	case err != nil:
		return pool.Silent
	case a.Status == http.StatusMisdirectedRequest:
		return pool.Replaced
	case a.Header.Get(x.node.speak.Headers.NotRun) != "":
		return pool.Shed
	case a.Status >= http.StatusInternalServerError:
		return pool.Failed
	}
	return pool.Good
}

// settle answers the caller if the attempt ends the request, and says whether it did.
func (x *exchange) settle(a *forward.Answer, err error) bool {
	notRun := err == nil && (a.Status == http.StatusMisdirectedRequest || a.Header.Get(x.node.speak.Headers.NotRun) != "")
	unsent := err != nil && !errors.Is(err, forward.ErrSent)
	failed := err != nil || a.Status >= http.StatusInternalServerError
	switch {
	case !failed && !notRun:
		x.answer(a)
		return true
	case x.r.Context().Err() != nil:
		panic(http.ErrAbortHandler) // nobody is there to be answered
	case (unsent || notRun || x.route.Repeatable && x.ran < x.route.Attempts) && x.mayTryAgain(!unsent):
		x.discard(a)
		return false
	case err != nil && unsent:
		x.giveUp(pool.ErrNoTarget)
	case err != nil:
		x.noAnswer(err)
	case notRun:
		x.discard(a)
		x.giveUp(pool.ErrNoTarget)
	default:
		x.answer(a)
	}
	return true
}

// mayTryAgain says whether time and budget allow another attempt. Arrived says that the last one
// reached a target, so that the next is one more.
func (x *exchange) mayTryAgain(arrived bool) bool {
	if x.stream != nil || x.node.clock.Now() >= x.deadline || len(x.tried) >= maxTried {
		return false
	}
	return !arrived || x.service.pool.Budget().More()
}

// maxTried bounds the targets that one request goes to.
const maxTried = 6

func (x *exchange) discard(a *forward.Answer) {
	if a != nil && a.Rest != nil {
		_ = a.Rest.Close()
	}
}

// answer passes a target's answer on.
func (x *exchange) answer(a *forward.Answer) {
	h := x.w.Header()
	closing := h.Get("Connection")
	forward.DropHopByHop(a.Header)
	for k, v := range a.Header {
		h[k] = v
	}
	if closing != "" {
		h.Set("Connection", closing)
	}
	if _, found := h["Content-Type"]; !found {
		h["Content-Type"] = nil // keep the library from guessing
	}
	if a.Rest == nil && x.r.Method != http.MethodHead && bodyAllowed(a.Status) {
		h.Set("Content-Length", strconv.Itoa(len(a.Body)))
	}
	x.w.WriteHeader(a.Status)
	_, err := x.w.Write(a.Body)
	if a.Rest != nil {
		if err == nil {
			_, err = io.Copy(x.w, a.Rest)
		}
		_ = a.Rest.Close()
		if err != nil {
			panic(http.ErrAbortHandler) // an answer that was cut is cut for the caller too
		}
	}
	x.log(a.Status, "")
}

func bodyAllowed(status int) bool {
	return status >= http.StatusOK && status != http.StatusNoContent && status != http.StatusNotModified
}

// noAnswer tells of a request that a target may have run and did not answer.
func (x *exchange) noAnswer(err error) {
	status := http.StatusBadGateway
	if x.node.clock.Now() >= x.deadline-sendMargin {
		status = http.StatusGatewayTimeout
	}
	x.w.Header().Set(x.node.speak.Headers.RequestID, x.id)
	http.Error(x.w, "the target did not answer", status)
	x.log(status, err.Error())
}

// giveUp tells of a request that no target took in the end.
func (x *exchange) giveUp(err error) {
	if x.r.Context().Err() != nil {
		panic(http.ErrAbortHandler)
	}
	if x.ran > 0 {
		x.noAnswer(err)
		return
	}
	pause := clock.Millis(retryPause)
	var busy *pool.BusyError
	if errors.As(err, &busy) {
		pause = busy.RetryAfter
	}
	x.w.Header().Set(x.node.speak.Headers.RequestID, x.id)
	setRetryAfter(x.w, pause)
	http.Error(x.w, "no target could take the request", http.StatusServiceUnavailable)
	x.log(http.StatusServiceUnavailable, err.Error())
}

// retryPause is what callers are told when nothing better is known.
const retryPause clock.Millis = 300

func setRetryAfter(w http.ResponseWriter, pause clock.Millis) {
	w.Header().Set("Retry-After", strconv.FormatFloat(pause.Duration().Seconds(), 'f', 3, 64))
}

func (x *exchange) log(status int, reason string) {
	x.service.pool.Ended(status < http.StatusInternalServerError)
	if status < http.StatusBadRequest {
		return
	}
	x.node.log.WithFields(logrus.Fields{
		"event": "request_failed", "request": x.id, "route": x.route.Name, "service": x.service.name, "status": status,
		"reason": reason, "targets": x.tried, "ms": x.node.clock.Now() - x.began,
	}).Info()
}

// refuse answers a request that leads nowhere.
func (n *Node) refuse(w http.ResponseWriter, r *http.Request, status int, pause clock.Millis, reason string) {
	if id := r.Header.Get(n.speak.Headers.RequestID); id != "" {
		w.Header().Set(n.speak.Headers.RequestID, id)
	}
	if pause > 0 {
		setRetryAfter(w, pause)
	}
	http.Error(w, reason, status)
	n.log.WithFields(logrus.Fields{
		"event": "request_refused", "request": r.Header.Get(n.speak.Headers.RequestID), "host": r.Host, "path": r.URL.Path,
		"status": status, "reason": reason, "version": n.state.version(),
	}).Info()
}

// readinessDoor tells the platform whether callers may be sent here.
func (n *Node) readinessDoor() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != n.speak.ReadyPath {
			http.NotFound(w, r)
			return
		}
		if n.leaving.Load() || n.state.table() == nil {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	})
}

