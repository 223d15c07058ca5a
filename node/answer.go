package node

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/tinladder/tinladder/clock"
	"github.com/tinladder/tinladder/forward"
	"github.com/tinladder/tinladder/once"
	"github.com/tinladder/tinladder/pool"
)

// defaultRetryAfter is the retry delay when no better estimate is known.
const defaultRetryAfter clock.Millis = 300

// notRunStatuses are the statuses by which callers conclude that a request has not run.
var notRunStatuses = map[int]bool{
	http.StatusRequestTimeout: true, http.StatusMisdirectedRequest: true,
	http.StatusTooManyRequests: true, http.StatusServiceUnavailable: true,
}

// respond sends a target's response to the caller. If the target's response is truncated, so is the caller's.
func (x *exchange) respond(a *forward.Response, t ticket) {
	if x.headers.NotRunStatuses && notRunStatuses[a.Status] {
		discard(a)
		x.respondUnknown(errors.Newf("status %d without a word on whether the request ran", a.Status), t)
		return
	}
	x.writeResponse(a, t)
}

// writeResponse sends a response to the caller as it is.
func (x *exchange) writeResponse(a *forward.Response, t ticket) {
	x.writeHeader(a)
	_, err := x.w.Write(a.Body)
	if a.Rest != nil {
		if err == nil {
			err = x.copyFlushing(a)
		}
		_ = a.Rest.Close()
		x.finishStream(err)
	}
	if err != nil {
		t.Unknown()
		x.recordEnd(a.Status, causeCut, "the answer was cut: "+err.Error())
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
	x.recordEnd(a.Status, c, "")
}

func (x *exchange) writeHeader(a *forward.Response) {
	forward.DropHopByHop(a.Header)
	saysLeaving := x.headers.SaysLeaving(a.Header)
	for _, name := range []string{HeaderOutcome, HeaderReplay, HeaderLeaving, HeaderLeavingTarget, HeaderRateLimit} {
		if x.w.Header().Get(name) == "" {
			a.Header.Del(name)
		}
	}
	h := x.w.Header()
	for k, v := range a.Header {
		h[k] = v
	}
	if saysLeaving && x.usedLease != nil && x.r.Header.Get(HeaderPassed) != "" {
		h.Set(HeaderLeavingTarget, string(x.usedLease.Target))
	}
	h.Set(x.headers.RequestID, x.id)
	x.node.leaving.setConnectionClose(x.w)
	x.renewCallerDeadlines()
	if _, found := h["Content-Type"]; !found {
		h["Content-Type"] = nil // keeps net/http from guessing one
	}
	if a.Rest == nil && len(a.Trailer) == 0 && x.r.Method != http.MethodHead && bodyAllowed(a.Status) {
		h.Set("Content-Length", strconv.Itoa(len(a.Body)))
	}
	x.w.WriteHeader(a.Status)
}

func bodyAllowed(status int) bool {
	return status >= http.StatusOK && status != http.StatusNoContent && status != http.StatusNotModified
}

// errResponseTruncated marks responses that their target did not finish.
var errResponseTruncated = errors.New("the target broke off")

// errEndless marks responses without a length that were too long, or that did not end in time although the caller took them.
var errEndless = errors.New("the response does not end")

// finishStream records how a streamed response ended: only a complete one shows that the request did not crash its target.
func (x *exchange) finishStream(err error) {
	switch {
	case x.usedLease == nil:
	case err == nil:
		x.node.suspects.recordSuccess(x)
	case errors.Is(err, errEndless):
		x.usedLease.RecordEndless()
	case errors.Is(err, errResponseTruncated):
		x.probeAfterLoss(context.Background(), x.usedLease)
	}
}

// minReadShare is the share of a response's time that must have passed in waiting for its target, for the target to be what
// made it late.
const minReadShare = 0.25

// copyFlushing copies the rest of a large response and flushes each part as it arrives.
func (x *exchange) copyFlushing(a *forward.Response) error {
	buf := make([]byte, maxBufferedBody)
	begun := time.Now()
	var reading time.Duration
	for {
		at := time.Now()
		n, err := a.Rest.Read(buf)
		reading += time.Since(at)
		if n > 0 {
			if _, err := x.w.Write(buf[:n]); err != nil {
				return err
			}
			_ = http.NewResponseController(x.w).Flush()
		}
		late := x.node.clock.Now() >= x.deadline-deadlineMargin && reading.Seconds() >= minReadShare*time.Since(begun).Seconds()
		switch {
		case errors.Is(err, io.EOF):
			return nil
		case errors.Is(err, forward.ErrBodyTooLong), err != nil && a.Length < 0 && late:
			return errors.Mark(err, errEndless)
		case err != nil:
			return errors.Mark(err, errResponseTruncated)
		}
	}
}

// respondUnknown responds to a request that a target may have run without a usable response.
func (x *exchange) respondUnknown(err error, t ticket) {
	t.Unknown()
	if errors.Is(err, forward.ErrRequestBody) {
		x.rejectBody(err, Unknown)
		return
	}
	p := Problem{Status: http.StatusBadGateway, Outcome: Unknown, Detail: "the target did not answer"}
	if x.node.clock.Now() >= x.deadline-deadlineMargin {
		p.Status, p.Detail = http.StatusGatewayTimeout, "the deadline passed before the target answered"
	}
	c := causeNoAnswer
	if p.Status == http.StatusGatewayTimeout {
		c = causeDeadline
	}
	x.respondProblem(p, c, err)
}

// giveUp responds to a request when no further target can be tried.
func (x *exchange) giveUp(err error, t ticket) {
	switch {
	case x.callerLeft():
		x.abort(t)
	case x.ran > 0:
		x.respondUnknown(err, t)
		return
	}
	t.Void()
	p := Problem{Status: http.StatusServiceUnavailable, Outcome: NotRun, Detail: "no target could take the request", RetryAfter: defaultRetryAfter}
	c := causeNoTarget
	var busy *pool.BusyError
	switch {
	case errors.As(err, &busy):
		c, p.Detail, p.RetryAfter = causeQueue, busy.Reason, busy.RetryAfter
		if busy.ByUrgency {
			c = causeUrgency
			x.node.metrics.refusedByLevel(x.priority())
		}
	case x.lastShed:
		c = causeShed
	}
	x.respondProblem(p, c, err)
}

// respondProblem sends a problem to the caller and records the end of the request.
func (x *exchange) respondProblem(p Problem, c cause, err error) {
	x.w.Header().Set(x.headers.RequestID, x.id)
	p.fractionalSeconds = x.headers.FractionalRetryAfter
	x.node.leaving.setConnectionClose(x.w)
	x.renewCallerDeadlines()
	p.Write(x.w)
	x.node.events.countFailure(x.service.name, p.Outcome)
	x.retryAfter = p.RetryAfter
	x.recordEnd(p.Status, c, p.Detail+": "+err.Error())
}

// abort ends a request whose caller has left, and drops the connection.
func (x *exchange) abort(t ticket) {
	if x.ran > 0 {
		t.Unknown()
	} else {
		t.Void()
	}
	x.recordEnd(0, causeCallerLeft, "the caller left")
	panic(http.ErrAbortHandler)
}

func discard(a *forward.Response) {
	if a != nil && a.Rest != nil {
		_ = a.Rest.Close()
	}
}
