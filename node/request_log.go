package node

import (
	"fmt"
	"net/http"
	"strings"
	"sync"

	"github.com/sirupsen/logrus"
	"github.com/tinladder/tinladder/clock"
	"github.com/tinladder/tinladder/forward"
	"github.com/tinladder/tinladder/pool"
	"github.com/tinladder/tinladder/quarantine"
)

// A cause is why a request failed, as logs and metrics name it.
type cause string

// Causes of failed requests.
const (
	// causeTargetFailed requests got an error response from the target.
	causeTargetFailed cause = "target_failed"
	// causeNoAnswer requests may have run: they were sent to a target, which gave no usable response.
	causeNoAnswer cause = "no_answer"
	// causeDeadline requests reached their deadline at a target.
	causeDeadline cause = "deadline"
	// causeCut responses were truncated by the target, or not read by the caller.
	causeCut cause = "answer_cut"
	// causeQueue requests were refused since their deadline would have passed before a slot became free.
	causeQueue cause = "queue"
	// causeUrgency requests were refused since their service admitted only more urgent ones.
	causeUrgency cause = "urgency"
	// causeNoTarget requests were refused since no target was reachable and accepting requests.
	causeNoTarget cause = "no_target"
	// causeShed requests were refused by all targets that they were sent to.
	causeShed cause = "shed"
	// causeCallerLeft requests were abandoned by their caller.
	causeCallerLeft cause = "caller_left"
	// causeNodeEnded requests were still in progress when this node shut down.
	causeNodeEnded cause = "node_ended"
)

// logAttempt logs a failed attempt, with what the choice of its target was based on.
func (x *exchange) logAttempt(t plannedAttempt, e attemptEnd, took clock.Millis) {
	l := t.lease
	f := logrus.Fields{
		"event": "attempt_failed", "request": x.id, "service": x.service.name, "target": l.Target, "address": l.Address,
		"outcome": e.outcome, "ms": took, "why": l.Reason, "failing": fmt.Sprintf("%.2f", l.Failing), "known_ms": l.KnownAge,
		"load": fmt.Sprintf("%d/%d", l.InFlight, l.Slots), "waited_ms": t.waited, "left_ms": x.deadline - x.node.clock.Now(),
	}
	if e.response != nil {
		f["status"], f["reused"] = e.response.Status, e.response.Reused
		if load, told := x.targetLoad(e.response); told {
			f["target_load"] = fmt.Sprintf("%d+%d/%d", load.Running, load.Waiting, load.Slots)
		}
	}
	if e.err != nil {
		f["error"] = e.err
	}
	if e.outcome == pool.ConnectionLost {
		f["door"], f["print"] = e.probe, x.fingerprints()[quarantine.ScopeRequest]
	}
	if l.RunnerUp != "" {
		f["next"], f["next_failing"] = l.RunnerUp, fmt.Sprintf("%.2f", l.RunnerUpFailing)
	}
	x.node.log.WithFields(f).Warn()
}

// targetLoad returns the load that the target reports in its response.
func (x *exchange) targetLoad(a *forward.Response) (forward.Load, bool) {
	if x.headers.ParseLoad == nil {
		return forward.Load{}, false
	}
	return x.headers.ParseLoad(a.Header)
}

// recordEnd records how the request ended, in metrics and the log. A status of 0 means that no response was sent, an
// empty cause that the request was served.
func (x *exchange) recordEnd(status int, c cause, reason string) {
	n := x.node
	now := n.clock.Now()
	took := now - x.began
	if c != "" && n.leaving.pendingCanceled() {
		c = causeNodeEnded
	}
	if x.passedTo == "" { // the other node counts it
		x.service.pool.RecordResult(x.poolResult(c, status))
	}
	n.metrics.ended(x.route.Repeatable, status, c, took)
	if c == "" {
		x.logServed(status, took, now)
		return
	}
	x.service.tally.failed(now, took)
	n.log.WithFields(logrus.Fields{
		"event": "request_failed", "request": x.id, "route": x.route.Name, "kind": kindOf(x.route.Repeatable),
		"service": x.service.name, "status": status, "cause": c, "reason": reason, "targets": x.triedNames(),
		"ran": x.ran, "ms": took, "waited_ms": x.waited, "retry_after_ms": x.retryAfter, "deadline_ms": x.deadline - x.began, "passed_to": x.passedTo,
		"body": x.stream.String(), "budget_left": fmt.Sprintf("%.1f", x.service.pool.RetryBudget().Remaining()), "version": n.stateVersion(),
	}).Warn()
}

// poolResult returns how a request counts for its service.
func (x *exchange) poolResult(c cause, status int) pool.Result {
	switch {
	case c == "" || status == 0:
		return pool.Served
	case status == http.StatusGatewayTimeout:
		return pool.TimedOut
	case x.lastReason == pool.Spread:
		return pool.TrialFailed
	}
	return pool.Unserved
}

// logServed logs one served request per second of each service, and all those that took more than one attempt.
func (x *exchange) logServed(status int, took, now clock.Millis) {
	sampled := x.service.tally.served(now, took)
	if !sampled && len(x.tried) < 2 {
		return
	}
	x.node.log.WithFields(logrus.Fields{
		"event": "request_served", "request": x.id, "route": x.route.Name, "service": x.service.name, "status": status,
		"targets": x.triedNames(), "ms": took, "waited_ms": x.waited, "passed_to": x.passedTo, "body": x.stream.String(), "version": x.node.stateVersion(),
	}).Info()
}

func (x *exchange) triedNames() string {
	names := make([]string, len(x.tried))
	for i, t := range x.tried {
		names[i] = string(t)
	}
	return strings.Join(names, ",")
}

// A tally counts the requests of one service for the log.
type tally struct {
	mu        sync.Mutex
	sampledAt clock.Millis
	// began is when the current period began.
	began          clock.Millis
	ok, bad        int
	total, longest clock.Millis
}

const (
	// sampleInterval is the minimum time between two served requests of a service in the log.
	sampleInterval = 1 * clock.Second
	// summaryInterval is how often a summary of a service's requests is logged, if there were any.
	summaryInterval = 10 * clock.Second
)

// served counts a request, and reports whether it should be logged.
func (t *tally) served(now, took clock.Millis) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ok++
	t.add(now, took)
	if now-t.sampledAt < sampleInterval {
		return false
	}
	t.sampledAt = now
	return true
}

func (t *tally) failed(now, took clock.Millis) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.bad++
	t.add(now, took)
}

func (t *tally) add(now, took clock.Millis) {
	if t.began == 0 {
		t.began = now
	}
	t.total += took
	t.longest = max(t.longest, took)
}

// summary returns the log fields of the current period and begins a new one. It returns nil if the period is not over.
func (t *tally) summary(now clock.Millis) logrus.Fields {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.began == 0 || now-t.began < summaryInterval {
		return nil
	}
	f := logrus.Fields{
		"event": "requests", "served": t.ok, "failed": t.bad, "for_ms": now - t.began,
		"mean_ms": t.total / clock.Millis(t.ok+t.bad), "most_ms": t.longest,
	}
	t.began, t.ok, t.bad, t.total, t.longest = 0, 0, 0, 0, 0
	return f
}
