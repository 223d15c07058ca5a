package node

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"github.com/tinladder/tinladder/clock"
	"github.com/tinladder/tinladder/desired"
	"github.com/tinladder/tinladder/forward"
	"github.com/tinladder/tinladder/ident"
	"github.com/tinladder/tinladder/once"
	"github.com/tinladder/tinladder/pool"
)

const (
	// smallBody is the largest body of a request that is kept, so that it can be sent again.
	smallBody = 64 << 10
	// sendMargin is how much sooner than a caller's time is over a target is told to end.
	sendMargin clock.Millis = 5
	// maxTried bounds the targets that one request goes to.
	maxTried = 6
	// retryPause is what callers are told when nothing better is known.
	retryPause clock.Millis = 300
	// callerGrace is how much longer than a request's deadline a caller may take to send it or to
	// read its answer.
	callerGrace clock.Millis = 500
	// lateFactor is how many times as long as usual an attempt must have had to be held against its
	// target when time runs out.
	lateFactor = 2
	// fairShare is the part of a usual service time that must be left for another attempt.
	fairShare = 0.5
	// restRepeatable and restOnce are how long a connection may have rested for a request. A
	// target may have forgotten one that rested long, and a run-once request would be lost on it.
	restRepeatable = 30 * clock.Second
	restOnce       = 5 * clock.Second
)

// A ticket is told how a run-once request ended.
type ticket interface {
	Answered(a *once.Answer)
	Void()
	Unsure()
}

// noTicket stands for requests without a key.
type noTicket struct{}

func (noTicket) Answered(*once.Answer) {}
func (noTicket) Void()                 {}
func (noTicket) Unsure()               {}

// An exchange is one request on its way through this node.
type exchange struct {
	node     *Node
	w        http.ResponseWriter
	r        *http.Request
	route    *desired.Route
	headers  forward.Headers
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

func newExchange(n *Node, w http.ResponseWriter, r *http.Request, route *desired.Route, h forward.Headers) *exchange {
	now := n.clock.Now()
	x := &exchange{
		node: n, w: w, r: r, route: route, headers: h, began: now, deadline: now + route.Timeout,
		id:      r.Header.Get(h.RequestID),
		service: n.services.get(route.Service(rand.Uint32N)),
	}
	if ms, err := strconv.ParseInt(r.Header.Get(h.Deadline), 10, 64); err == nil && ms >= 0 {
		x.deadline = min(x.deadline, now+clock.Millis(ms))
	}
	if !idValid(x.id) {
		x.id = strconv.FormatUint(rand.Uint64(), 16)
	}
	return x
}

// idValid says whether an id can stand in logs and headers as it is.
func idValid(id string) bool {
	return id != "" && len(id) <= 4*ident.MaxName && !strings.ContainsAny(id, " \t\"=")
}

// serve makes attempts until one ends the request, and tells the ticket how it ended.
func (x *exchange) serve(t ticket) {
	x.limitCaller()
	if err := x.readBody(); err != nil {
		t.Void()
		x.badBody(err)
		return
	}
	x.service.pool.Budget().First()
	ctx, cancel := x.context()
	defer cancel()
	for {
		l, err := x.service.pool.Acquire(ctx, &pool.Ask{
			Repeatable: x.route.Repeatable, Again: x.route.Repeatable && x.stream == nil && x.ran+1 < x.route.Attempts,
			Rank: x.route.Rank, Began: x.began, Aim: x.route.Aim, Deadline: x.deadline, Not: x.tried,
		})
		if err != nil {
			x.giveUp(err, t)
			return
		}
		a, err := x.attempt(ctx, l)
		if x.settle(a, err, t) {
			return
		}
	}
}

// limitCaller bounds how long a caller may take to send its request and to read its answer, so that
// a slow one cannot hold a target's slot. The bounds hold until the connection's next request.
func (x *exchange) limitCaller() {
	rc := http.NewResponseController(x.w)
	end := time.Now().Add((x.deadline - x.began + callerGrace).Duration())
	_ = rc.SetReadDeadline(end) // not every kind of connection has deadlines
	_ = rc.SetWriteDeadline(end)
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

// badBody tells of a body that could not be read.
func (x *exchange) badBody(err error) {
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		x.node.refuse(x.w, x.r, Problem{Status: http.StatusRequestEntityTooLarge, Detail: "the body is too large"})
		return
	}
	x.ended(0, "the caller broke off: "+err.Error())
	panic(http.ErrAbortHandler)
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
	o := x.outcome(a, err, l, x.node.clock.Now()-from)
	l.Done(o, a != nil && x.leaves(a))
	if o != pool.Shed && o != pool.Replaced && o != pool.Unreachable {
		x.ran++
	}
	x.node.metrics.attempt(o)
	if o != pool.Good {
		x.node.log.WithFields(logrus.Fields{
			"event": "attempt_failed", "request": x.id, "service": x.service.name, "target": l.Target, "outcome": o,
			"status": statusOf(a), "error": err, "ms": x.node.clock.Now() - from, "failing": fmt.Sprintf("%.2f", l.Failing), "why": l.Why, "load": fmt.Sprintf("%d/%d", l.InFlight, l.Slots),
		}).Info()
	}
	return a, err
}

func statusOf(a *forward.Answer) int {
	if a == nil {
		return 0
	}
	return a.Status
}

// leaves says whether the answer says that the target closes its connections.
func (x *exchange) leaves(a *forward.Answer) bool {
	return a.Closing || x.headers.Leaving != "" && a.Header.Get(x.headers.Leaving) != ""
}

func (x *exchange) outgoing(l *pool.Lease) *forward.Request {
	h := x.r.Header.Clone()
	forward.DropHopByHop(h)
	for _, name := range nodesOnly {
		h.Del(name)
	}
	h.Set(x.headers.RequestID, x.id)
	h.Set(x.headers.Deadline, strconv.FormatInt(int64(max(x.deadline-x.node.clock.Now()-sendMargin, 1)), 10))
	if x.headers.Instance != "" {
		h.Set(x.headers.Instance, string(l.Target))
	}
	if _, found := h["User-Agent"]; !found {
		h["User-Agent"] = nil // keep the library from adding its own
	}
	if x.headers.Forwarded {
		setForwarded(h, x.r)
	}
	r := x.request(h)
	if !x.route.Repeatable {
		r.MaxIdle = restOnce
	}
	return r
}

func (x *exchange) request(h http.Header) *forward.Request {
	return &forward.Request{
		Method: x.r.Method, Target: x.r.RequestURI, Host: x.r.Host, Header: h,
		Body: x.body, Stream: x.stream, Length: x.r.ContentLength,
		ID: x.id, IDHeader: x.headers.RequestID, IDOptional: x.headers.IDOptional, MaxIdle: restRepeatable,
	}
}

// setForwarded says who asked. Nothing stands before the fleet, so what callers say of it
// themselves is not passed on.
func setForwarded(h http.Header, r *http.Request) {
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return
	}
	from := host
	if strings.Contains(host, ":") {
		from = `"[` + host + `]"`
	}
	h.Set("X-Forwarded-For", host)
	h.Set("X-Forwarded-Host", r.Host)
	h.Set("X-Forwarded-Proto", "http")
	h.Set("Forwarded", fmt.Sprintf("for=%s;host=%q;proto=http", from, r.Host))
}

// notRun says whether the target says that it did not run the request.
func (x *exchange) notRun(a *forward.Answer) bool {
	return x.headers.NotRun != "" && a.Header.Get(x.headers.NotRun) != "" ||
		x.headers.Instance != "" && a.Status == http.StatusMisdirectedRequest
}

// outcome says how an attempt ended that took so long.
func (x *exchange) outcome(a *forward.Answer, err error, l *pool.Lease, took clock.Millis) pool.Outcome {
	timeout := err != nil && x.node.clock.Now() >= x.deadline-sendMargin || err == nil && a.Status == http.StatusGatewayTimeout
	switch {
	case timeout && took < l.Usual()*lateFactor:
		return pool.Abandoned // it had no fair chance
	case timeout:
		return pool.Late
	case err != nil && x.r.Context().Err() != nil && x.route.Repeatable:
		return pool.Abandoned
	case errors.Is(err, forward.ErrNoConnection):
		return pool.Unreachable
	case err != nil:
		return pool.Silent
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

// settle answers the caller if the attempt ends the request, and says whether it did.
func (x *exchange) settle(a *forward.Answer, err error, t ticket) bool {
	notRun := err == nil && x.notRun(a)
	unsent := err != nil && !errors.Is(err, forward.ErrSent)
	failed := err != nil || a.Status >= http.StatusInternalServerError || a.Status == http.StatusTooManyRequests
	if !failed && !notRun {
		x.answer(a, t)
		return true
	}
	again := unsent || notRun || x.route.Repeatable && x.ran < x.route.Attempts
	switch {
	case x.r.Context().Err() != nil && (x.route.Repeatable || x.ran == 0):
		x.discard(a)
		x.gone(t)
	case again && x.mayTryAgain(!unsent):
		x.discard(a)
		return false
	case err != nil && !unsent:
		x.noAnswer(err, t)
	case unsent, notRun:
		x.discard(a)
		x.giveUp(pool.ErrNoTarget, t)
	default:
		x.answer(a, t)
	}
	return true
}

// gone ends a request whose caller has left.
func (x *exchange) gone(t ticket) {
	if x.ran > 0 {
		t.Unsure()
	} else {
		t.Void()
	}
	x.ended(0, "the caller left")
	panic(http.ErrAbortHandler)
}

// mayTryAgain says whether time and budget allow another attempt. Arrived says that the last one
// reached a target, so that the next is one more.
func (x *exchange) mayTryAgain(arrived bool) bool {
	left := x.deadline - x.node.clock.Now()
	if x.stream != nil || len(x.tried) >= maxTried || float64(left) < fairShare*float64(x.service.pool.Usual()) {
		return false
	}
	return !arrived || x.service.pool.Budget().More()
}

func (x *exchange) discard(a *forward.Answer) {
	if a != nil && a.Rest != nil {
		_ = a.Rest.Close()
	}
}

// promises are statuses that tell callers that a request has not run.
var promises = map[int]bool{
	http.StatusRequestTimeout: true, http.StatusMisdirectedRequest: true,
	http.StatusTooManyRequests: true, http.StatusServiceUnavailable: true,
}

// answer passes a target's answer on. An answer that was cut is cut for the caller too.
func (x *exchange) answer(a *forward.Answer, t ticket) {
	if x.headers.Promises && promises[a.Status] {
		x.discard(a)
		x.noAnswer(errors.Newf("status %d without a word on whether the request ran", a.Status), t)
		return
	}
	x.writeHeader(a)
	_, err := x.w.Write(a.Body)
	if a.Rest != nil {
		if err == nil {
			err = copyFlushing(x.w, a.Rest)
		}
		_ = a.Rest.Close()
	}
	if err != nil {
		t.Unsure()
		x.ended(a.Status, "the answer was cut: "+err.Error())
		panic(http.ErrAbortHandler)
	}
	for k, v := range a.Trailer {
		x.w.Header()[http.TrailerPrefix+k] = v
	}
	t.Answered(&once.Answer{Status: a.Status, Header: a.Header, Body: a.Body, Whole: a.Rest == nil && len(a.Trailer) == 0})
	x.ended(a.Status, "")
}

func (x *exchange) writeHeader(a *forward.Answer) {
	forward.DropHopByHop(a.Header)
	for _, name := range []string{HeaderOutcome, HeaderReplay, HeaderLeaving} {
		if x.w.Header().Get(name) == "" {
			a.Header.Del(name)
		}
	}
	h := x.w.Header()
	for k, v := range a.Header {
		h[k] = v
	}
	h.Set(x.headers.RequestID, x.id)
	if _, found := h["Content-Type"]; !found {
		h["Content-Type"] = nil // keep the library from guessing
	}
	if a.Rest == nil && len(a.Trailer) == 0 && x.r.Method != http.MethodHead && bodyAllowed(a.Status) {
		h.Set("Content-Length", strconv.Itoa(len(a.Body)))
	}
	x.w.WriteHeader(a.Status)
}

func bodyAllowed(status int) bool {
	return status >= http.StatusOK && status != http.StatusNoContent && status != http.StatusNotModified
}

// copyFlushing sends each piece of a large answer as it comes.
func copyFlushing(w http.ResponseWriter, r io.Reader) error {
	buf := make([]byte, smallBody)
	for {
		n, err := r.Read(buf)
		if n > 0 {
			if _, err := w.Write(buf[:n]); err != nil {
				return err
			}
			_ = http.NewResponseController(w).Flush()
		}
		switch {
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return err
		}
	}
}

// noAnswer tells of a request that a target may have run and did not answer.
func (x *exchange) noAnswer(err error, t ticket) {
	t.Unsure()
	p := Problem{Status: http.StatusBadGateway, Outcome: Unknown, Detail: "the target did not answer"}
	if x.node.clock.Now() >= x.deadline-sendMargin {
		p.Status, p.Detail = http.StatusGatewayTimeout, "the deadline passed before the target answered"
	}
	x.tell(p, err)
}

// giveUp tells of a request that no target took in the end.
func (x *exchange) giveUp(err error, t ticket) {
	switch {
	case x.r.Context().Err() != nil:
		x.gone(t)
	case x.ran > 0:
		x.noAnswer(err, t)
		return
	}
	t.Void()
	p := Problem{Status: http.StatusServiceUnavailable, Outcome: NotRun, Detail: "no target could take the request", RetryAfter: retryPause}
	var busy *pool.BusyError
	if errors.As(err, &busy) {
		p.Detail, p.RetryAfter = busy.Reason, busy.RetryAfter
	}
	x.tell(p, err)
}

// tell answers the caller with a problem, at once.
func (x *exchange) tell(p Problem, err error) {
	x.w.Header().Set(x.headers.RequestID, x.id)
	p.Write(x.w)
	x.node.events.failed(x.service.name, p.Outcome)
	x.ended(p.Status, p.Detail+": "+err.Error())
}

// ended notes how the request ended; status 0 says that nobody was answered.
func (x *exchange) ended(status int, reason string) {
	n := x.node
	took := n.clock.Now() - x.began
	served := status > 0 && status < http.StatusInternalServerError && reason == ""
	x.service.pool.Ended(served || status == 0)
	n.metrics.ended(status, took)
	if served {
		return
	}
	n.log.WithFields(logrus.Fields{
		"event": "request_failed", "request": x.id, "route": x.route.Name, "service": x.service.name, "status": status,
		"reason": reason, "targets": x.tried, "ran": x.ran, "ms": took, "version": n.stateVersion(),
	}).Info()
}

// pass sends the request to another node as it is, once, and its answer back.
func (x *exchange) pass(address string) {
	if err := x.readBody(); err != nil {
		x.badBody(err)
		return
	}
	h := x.r.Header.Clone()
	forward.DropHopByHop(h)
	h.Set(HeaderPassed, passToHome)
	h.Set(HeaderPeerKey, x.node.keys.doorKey())
	h.Set(x.headers.RequestID, x.id)
	ctx, cancel := x.context()
	defer cancel()
	a, err := x.node.conns.Send(ctx, address, x.request(h))
	if err != nil {
		p := Problem{Status: http.StatusBadGateway, Outcome: Unknown, RetryAfter: passPause, Detail: "the key's home did not answer"}
		x.tell(p, err)
		return
	}
	x.w.Header()[HeaderOutcome] = a.Header[HeaderOutcome]
	x.w.Header()[HeaderReplay] = a.Header[HeaderReplay]
	x.answer(a, noTicket{})
}
