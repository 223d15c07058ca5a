package node

import (
	"context"
	"io"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"
	"github.com/tinladder/tinladder/clock"
	"github.com/tinladder/tinladder/forward"
	"github.com/tinladder/tinladder/once"
	"github.com/tinladder/tinladder/pool"
)

// retryPause is what callers are told when nothing better is known.
const retryPause clock.Millis = 300

// promises are statuses that tell callers that a request has not run.
var promises = map[int]bool{
	http.StatusRequestTimeout: true, http.StatusMisdirectedRequest: true,
	http.StatusTooManyRequests: true, http.StatusServiceUnavailable: true,
}

// answer passes a target's answer on. An answer that was cut is cut for the caller too.
func (x *exchange) answer(a *forward.Response, t ticket) {
	if x.headers.NotRunStatuses && promises[a.Status] {
		discard(a)
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
		x.restEnded(err)
	}
	if err != nil {
		t.Unknown()
		x.ended(a.Status, causeCut, "the answer was cut: "+err.Error())
		panic(http.ErrAbortHandler)
	}
	for k, v := range a.Trailer {
		x.w.Header()[http.TrailerPrefix+k] = v
	}
	t.Complete(&once.Response{Status: a.Status, Header: a.Header, Body: a.Body, Complete: a.Rest == nil && len(a.Trailer) == 0})
	c := cause("")
	if a.Status >= http.StatusInternalServerError {
		c = causeTargetFailed
	}
	x.ended(a.Status, c, "")
}

func (x *exchange) writeHeader(a *forward.Response) {
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
	x.node.leaving.setConnectionClose(x.w)
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

// errTargetBroke marks answers that their target did not finish.
var errTargetBroke = errors.New("the target broke off")

// restEnded takes in how a large answer ended: only its end shows that the request did its target no harm.
func (x *exchange) restEnded(err error) {
	switch {
	case x.used == nil:
	case err == nil:
		x.node.suspects.good(x)
	case errors.Is(err, errTargetBroke):
		x.lost(context.Background(), x.used)
	}
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
			return errors.Mark(err, errTargetBroke)
		}
	}
}

// noAnswer tells of a request that a target may have run and did not answer.
func (x *exchange) noAnswer(err error, t ticket) {
	t.Unknown()
	if errors.Is(err, forward.ErrRequestBody) {
		x.badBody(err, Unknown)
		return
	}
	p := Problem{Status: http.StatusBadGateway, Outcome: Unknown, Detail: "the target did not answer"}
	if x.node.clock.Now() >= x.deadline-sendMargin {
		p.Status, p.Detail = http.StatusGatewayTimeout, "the deadline passed before the target answered"
	}
	c := causeNoAnswer
	if p.Status == http.StatusGatewayTimeout {
		c = causeDeadline
	}
	x.tell(p, c, err)
}

// giveUp tells of a request that no target took in the end.
func (x *exchange) giveUp(err error, t ticket) {
	switch {
	case x.callerLeft():
		x.gone(t)
	case x.ran > 0:
		x.noAnswer(err, t)
		return
	}
	t.Void()
	p := Problem{Status: http.StatusServiceUnavailable, Outcome: NotRun, Detail: "no target could take the request", RetryAfter: retryPause}
	c := causeNoTarget
	var busy *pool.BusyError
	switch {
	case errors.As(err, &busy):
		c, p.Detail, p.RetryAfter = causeQueue, busy.Reason, busy.RetryAfter
	case x.shed:
		c = causeShed
	}
	x.tell(p, c, err)
}

// tell answers the caller with a problem, at once.
func (x *exchange) tell(p Problem, c cause, err error) {
	x.w.Header().Set(x.headers.RequestID, x.id)
	p.fractions = x.headers.FractionalRetryAfter
	x.node.leaving.setConnectionClose(x.w)
	p.Write(x.w)
	x.node.events.failed(x.service.name, p.Outcome)
	x.retryAfter = p.RetryAfter
	x.ended(p.Status, c, p.Detail+": "+err.Error())
}

// gone ends a request whose caller has left.
func (x *exchange) gone(t ticket) {
	if x.ran > 0 {
		t.Unknown()
	} else {
		t.Void()
	}
	x.ended(0, causeCallerLeft, "the caller left")
	panic(http.ErrAbortHandler)
}

func discard(a *forward.Response) {
	if a != nil && a.Rest != nil {
		_ = a.Rest.Close()
	}
}

// pass sends the request to another node as it is, once, and its answer back.
func (x *exchange) pass(address string) {
	if err := x.readBody(); err != nil {
		x.badBody(err, Unknown)
		return
	}
	h := x.r.Header.Clone()
	forward.DropHopByHop(h)
	for _, name := range ownRequest {
		// Though the caller may say that it is of this connection only: without its key the request would run again.
		if v, found := x.r.Header[name]; found {
			h[name] = v
		}
	}
	h.Set(HeaderPassed, passToHome)
	h.Set(HeaderCaller, callerOf(x.r))
	h.Set(HeaderPeerKey, x.node.keys.doorKey())
	h.Set(x.headers.RequestID, x.id)
	ctx, cancel := x.context()
	defer cancel()
	a, err := x.node.conns.Send(ctx, address, x.request(h))
	if err != nil {
		p := Problem{Status: http.StatusBadGateway, Outcome: Unknown, RetryAfter: passPause, Detail: "the key's home did not answer"}
		x.tell(p, causeNoAnswer, err)
		return
	}
	x.w.Header()[HeaderOutcome] = a.Header[HeaderOutcome]
	x.w.Header()[HeaderReplay] = a.Header[HeaderReplay]
	x.answer(a, noTicket{})
}
