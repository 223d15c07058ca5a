package node

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/tinladder/tinladder/clock"
	"github.com/tinladder/tinladder/forward"
	"github.com/tinladder/tinladder/pool"
	"github.com/tinladder/tinladder/reading"
)

const (
	// maxBufferedBody is the largest request body that is buffered, so that it can be sent again.
	maxBufferedBody = 64 << 10
	// maxFingerprintedBody is how much of a larger body goes into the request's fingerprint.
	maxFingerprintedBody = 4 << 10
	// deadlineMargin is how long before the caller's deadline the target's deadline is set.
	deadlineMargin clock.Millis = 5
	// callerGrace is how long after a request's deadline a caller may still send it or read its response.
	callerGrace clock.Millis = 500
	// maxIdleRepeatable and maxIdleOnce are how long a connection may have been idle when a request is sent on it. A
	// target may have dropped a connection that was idle for long, and a run-once request would be lost on it.
	maxIdleRepeatable = 30 * clock.Second
	maxIdleOnce       = 5 * clock.Second
	// maxUnframedBody bounds a response body whose length is not known, against targets that send bytes without end.
	maxUnframedBody = 64 << 20
)

// setCallerDeadlines bounds how long a caller may take to send its request and to read its response, so that a slow one
// cannot hold a target's slot. The bounds apply until the connection's next request.
func (x *exchange) setCallerDeadlines() {
	rc := http.NewResponseController(x.w)
	end := time.Now().Add((x.deadline - x.began + callerGrace).Duration())
	_ = rc.SetReadDeadline(end) // not all connections support deadlines
	_ = rc.SetWriteDeadline(end)
}

// renewCallerDeadlines gives the caller time to read a response that is ready only after the request's deadline, as when the
// process was suspended: the write deadline of setCallerDeadlines would discard it. It is called before the header is
// written.
func (x *exchange) renewCallerDeadlines() {
	if x.node.clock.Now() <= x.deadline {
		return
	}
	rc := http.NewResponseController(x.w)
	end := time.Now().Add(callerGrace.Duration())
	_ = rc.SetReadDeadline(end)
	_ = rc.SetWriteDeadline(end)
	if x.readDeadlinePassed() {
		x.w.Header().Set("Connection", "close") // the contexts of further requests on the connection are canceled too
	}
}

// readDeadlinePassed reports whether the read deadline of setCallerDeadlines may have passed. net/http then cancels the
// request's context as if the caller had left.
func (x *exchange) readDeadlinePassed() bool {
	return x.node.clock.Now() >= x.deadline+callerGrace
}

// readBody buffers a small body. A large one is streamed, and can be sent only once.
func (x *exchange) readBody() (err error) {
	if x.r.ContentLength == 0 {
		return nil
	}
	body := reading.Body(x.r, x.bodyLimit)
	limit := maxBufferedBody + 1
	if x.r.ContentLength > maxBufferedBody {
		limit = maxFingerprintedBody
	}
	x.body, err = x.readUpTo(body, limit)
	if err == nil && (len(x.body) > maxBufferedBody || x.r.ContentLength > maxBufferedBody) {
		x.streamBody(body)
	}
	return err
}

// streamBody has the rest of the body sent to a target as it arrives.
func (x *exchange) streamBody(rest io.Reader) {
	x.stream = newStreamedBody(io.MultiReader(bytes.NewReader(x.body), rest), x.r.ContentLength, x.w)
	x.w = &streamedBodyWriter{ResponseWriter: x.w, body: x.stream}
	x.head, x.body = x.body[:min(len(x.body), maxFingerprintedBody)], nil
}

// stopBody ends the sending of a streamed body once its request has been answered. The caller gets the answer at once and has
// some time to send the rest, which is discarded: a connection that is closed with unread bytes is reset, and the caller may
// lose the answer.
func (x *exchange) stopBody() {
	if x.stream == nil || x.stream.complete.Load() {
		return
	}
	_ = http.NewResponseController(x.w).Flush()
	wait := callerGrace
	if x.node.leaving.pendingCanceled() {
		wait = 0
	}
	x.stream.stop(wait)
}

// dropBody ends the sending of a streamed body whose request is cut off.
func (x *exchange) dropBody() {
	if x.stream != nil {
		x.stream.stop(0)
	}
}

// readUpTo reads at most limit bytes of a body. When the node shuts down it stops waiting for the rest, so that the
// caller still gets a response.
func (x *exchange) readUpTo(body io.Reader, limit int) ([]byte, error) {
	cut := make(chan struct{})
	stop := context.AfterFunc(x.node.leaving.pendingCtx, func() {
		defer close(cut)
		_ = http.NewResponseController(x.w).SetReadDeadline(time.Now())
	})
	b, err := io.ReadAll(io.LimitReader(body, int64(limit)))
	if !stop() {
		<-cut
	}
	return b, err
}

// rejectBody responds to a request whose body could not be read. If a part of it was sent to a target, that was no
// complete request, but the target may have run it; o says so.
func (x *exchange) rejectBody(err error, o Outcome) {
	p := bodyProblem(err)
	if p == nil {
		x.recordEnd(0, causeCallerLeft, "the caller broke off: "+err.Error())
		panic(http.ErrAbortHandler)
	}
	p.Outcome = o
	switch {
	case p.Status != http.StatusRequestTimeout:
	case o != NotRun:
		p.Status = http.StatusGatewayTimeout // 408 would imply that the request has not run
	case x.node.leaving.pendingCanceled():
		p = leavingProblem(o)
	}
	x.w.Header().Set("Connection", "close") // the start of the next request is unknown
	_ = http.NewResponseController(x.w).SetWriteDeadline(time.Now().Add(callerGrace.Duration()))
	x.node.refuse(x.w, x.r, *p)
}

// bodyProblem returns the problem with a caller's body; nil if the caller closed the connection.
func bodyProblem(err error) *Problem {
	var large *http.MaxBytesError
	var network *net.OpError
	switch {
	case errors.As(err, &large):
		return &Problem{Status: http.StatusRequestEntityTooLarge, Detail: "the body is too large"}
	case errors.Is(err, os.ErrDeadlineExceeded):
		return &Problem{Status: http.StatusRequestTimeout, Detail: "the body did not come in time"}
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.As(err, &network):
		return nil
	}
	return &Problem{Status: http.StatusBadRequest, Detail: "the body is malformed"}
}

func (x *exchange) targetRequest(l *pool.Lease) *forward.Request {
	h := x.r.Header.Clone()
	forward.DropHopByHop(h)
	for _, name := range nodeOnlyHeaders {
		h.Del(name)
	}
	x.setWorkspace(h)
	h.Set(x.headers.RequestID, x.id)
	h.Set(x.headers.Deadline, strconv.FormatInt(int64(max(x.deadline-x.node.clock.Now()-deadlineMargin, 1)), 10))
	if x.headers.Instance != "" {
		h.Set(x.headers.Instance, string(l.Target))
	}
	if _, found := h["User-Agent"]; !found {
		h["User-Agent"] = nil // keeps the HTTP client from adding its own
	}
	if x.headers.SetForwarded {
		setForwarded(h, x.r)
	}
	r := x.request(h)
	if !x.route.Repeatable {
		r.MaxIdle = maxIdleOnce
	}
	return r
}

// setWorkspace sets the workspace's header for the target, in place of what the caller sent, and removes the caller's key:
// with it a target, or whoever reads its logs, could send requests as the workspace.
func (x *exchange) setWorkspace(h http.Header) {
	if x.headers.Workspace != "" {
		forward.DropVariants(h, x.headers.Workspace)
	}
	if x.stripKey && x.headers.Key != "" {
		forward.DropVariants(h, x.headers.Key)
	}
	if x.workspace != nil {
		h.Set(x.headers.Workspace, string(x.workspace.Name))
	}
}

func (x *exchange) request(h http.Header) *forward.Request {
	r := &forward.Request{
		Method: x.r.Method, Target: x.r.RequestURI, Host: x.r.Host, Header: h,
		Body: x.body, Length: x.r.ContentLength,
		ID: x.id, IDHeader: x.headers.RequestID, IDOptional: x.headers.IDOptional, MaxBody: maxUnframedBody, MaxIdle: maxIdleRepeatable,
	}
	if x.stream != nil {
		r.Stream = x.stream
	}
	return r
}

// setForwarded sets the headers that identify the caller. Callers' own values are replaced, since no trusted proxy stands
// in front of the fleet.
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
