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
	"github.com/tinladder/tinladder/ident"
	"github.com/tinladder/tinladder/pool"
	"github.com/tinladder/tinladder/reading"
)

const (
	// smallBody is the largest body of a request that is kept, so that it can be sent again.
	smallBody = 64 << 10
	// printedBody is how much of a larger body a request is known by.
	printedBody = 4 << 10
	// sendMargin is how much sooner than a caller's time is over a target is told to end.
	sendMargin clock.Millis = 5
	// callerGrace is how much longer than a request's deadline a caller may take to send it or to
	// read its answer.
	callerGrace clock.Millis = 500
	// restRepeatable and restOnce are how long a connection may have rested for a request. A
	// target may have forgotten one that rested long, and a run-once request would be lost on it.
	restRepeatable = 30 * clock.Second
	restOnce       = 5 * clock.Second
)

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
	body := reading.Body(x.r)
	most := smallBody + 1
	if x.r.ContentLength > smallBody {
		most = printedBody
	}
	x.body, err = x.readSome(body, most)
	if err == nil && (len(x.body) > smallBody || x.r.ContentLength > smallBody) {
		x.stream = io.MultiReader(bytes.NewReader(x.body), body)
		x.head, x.body = x.body[:min(len(x.body), printedBody)], nil
	}
	return err
}

// readSome reads a body, or so much of it. What is still on its way as the node ends is not waited for: its caller is to be
// answered.
func (x *exchange) readSome(body io.Reader, most int) ([]byte, error) {
	cut := make(chan struct{})
	stop := context.AfterFunc(x.node.leaving.pendingCtx, func() {
		defer close(cut)
		_ = http.NewResponseController(x.w).SetReadDeadline(time.Now())
	})
	b, err := io.ReadAll(io.LimitReader(body, int64(most)))
	if !stop() {
		<-cut
	}
	return b, err
}

// badBody tells of a body that could not be read. What was sent of it to a target is no whole request, but a target may
// have run it.
func (x *exchange) badBody(err error, o Outcome) {
	p := bodyProblem(err)
	if p == nil {
		x.ended(0, causeCallerLeft, "the caller broke off: "+err.Error())
		panic(http.ErrAbortHandler)
	}
	p.Outcome = o
	switch {
	case p.Status != http.StatusRequestTimeout:
	case o != NotRun:
		p.Status = http.StatusGatewayTimeout // the other one would promise that nothing has run
	case x.node.leaving.pendingCanceled():
		p = aboutToEnd(o)
	}
	x.w.Header().Set("Connection", "close") // nobody knows where the next request begins
	_ = http.NewResponseController(x.w).SetWriteDeadline(time.Now().Add(callerGrace.Duration()))
	x.node.refuse(x.w, x.r, *p)
}

// bodyProblem says what is wrong with a caller's body; nil if the caller broke off.
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

func (x *exchange) outgoing(l *pool.Lease) *forward.Request {
	h := x.r.Header.Clone()
	forward.DropHopByHop(h)
	for _, name := range nodesOnly {
		h.Del(name)
	}
	x.identify(h)
	h.Set(x.headers.RequestID, x.id)
	h.Set(x.headers.Deadline, strconv.FormatInt(int64(max(x.deadline-x.node.clock.Now()-sendMargin, 1)), 10))
	if x.headers.Instance != "" {
		h.Set(x.headers.Instance, string(l.Target))
	}
	if _, found := h["User-Agent"]; !found {
		h["User-Agent"] = nil // keep the library from adding its own
	}
	if x.headers.SetForwarded {
		setForwarded(h, x.r)
	}
	r := x.request(h)
	if !x.route.Repeatable {
		r.MaxIdle = restOnce
	}
	return r
}

// identify tells the target in whose name the request runs, whatever the caller said of that, and keeps the
// caller's key from it: a target, or whoever reads its logs, could ask in the workspace's name.
func (x *exchange) identify(h http.Header) {
	if x.headers.Workspace != "" {
		forward.DropVariants(h, x.headers.Workspace)
	}
	if x.keyed && x.headers.Key != "" {
		forward.DropVariants(h, x.headers.Key)
	}
	if x.workspace != nil {
		h.Set(x.headers.Workspace, string(x.workspace.Name))
	}
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

// idValid says whether an id can stand in logs and headers as it is.
func idValid(id string) bool {
	return id != "" && len(id) <= 4*ident.MaxName && !strings.ContainsAny(id, " \t\"=")
}
