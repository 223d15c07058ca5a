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

// A cause names why a request was not served, in logs and metrics.
type cause string

// Causes, of requests for services.
const (
	// causeTargetFailed requests got a failure as the target's answer.
	causeTargetFailed cause = "target_failed"
	// causeNoAnswer requests may have run: the target took them and gave no answer that counts.
	causeNoAnswer cause = "no_answer"
	// causeDeadline requests ran out of time at a target.
	causeDeadline cause = "deadline"
	// causeCut answers ended early, or their caller did not read them.
	causeCut cause = "answer_cut"
	// causeQueue requests were refused, since their time would have passed before a slot came free.
	causeQueue cause = "queue"
	// causeNoTarget requests were refused, since no target could be reached or may take work.
	causeNoTarget cause = "no_target"
	// causeShed requests were turned away by all targets that they were sent to.
	causeShed cause = "shed"
	// causeCallerLeft requests lost their caller.
	causeCallerLeft cause = "caller_left"
	// causeNodeEnded requests were still at work as this node ended.
	causeNodeEnded cause = "node_ended"
)

// tellAttempt tells of an attempt that did not end well, and of what it was decided by.
func (x *exchange) tellAttempt(t try, e end, took clock.Millis) {
	l := t.lease
	f := logrus.Fields{
		"event": "attempt_failed", "request": x.id, "service": x.service.name, "target": l.Target, "address": l.Address,
		"outcome": e.outcome, "ms": took, "why": l.Reason, "failing": fmt.Sprintf("%.2f", l.Failing), "known_ms": l.KnownAge,
		"load": fmt.Sprintf("%d/%d", l.InFlight, l.Slots), "waited_ms": t.waited, "left_ms": x.deadline - x.node.clock.Now(),
	}
	if e.answer != nil {
		f["status"], f["reused"] = e.answer.Status, e.answer.Reused
		if load, told := x.targetLoad(e.answer); told {
			f["target_load"] = fmt.Sprintf("%d+%d/%d", load.Running, load.Waiting, load.Slots)
		}
	}
	if e.err != nil {
		f["error"] = e.err
	}
	if e.outcome == pool.ConnectionLost {
		f["door"], f["print"] = e.door, x.fingerprints()[quarantine.ScopeRequest]
	}
	if l.RunnerUp != "" {
		f["next"], f["next_failing"] = l.RunnerUp, fmt.Sprintf("%.2f", l.RunnerUpFailing)
	}
	x.node.log.WithFields(f).Warn()
}

// targetLoad returns what the target said of its own load.
func (x *exchange) targetLoad(a *forward.Response) (forward.Load, bool) {
	if x.headers.ParseLoad == nil {
		return forward.Load{}, false
	}
	return x.headers.ParseLoad(a.Header)
}

// ended notes how the request ended; status 0 says that nobody was answered, and no cause that it was
// served.
func (x *exchange) ended(status int, c cause, reason string) {
	n := x.node
	now := n.clock.Now()
	took := now - x.began
	if c != "" && n.leaving.pendingCanceled() {
		c = causeNodeEnded
	}
	x.service.pool.RecordResult(x.endOf(c, status))
	n.metrics.ended(x.route.Repeatable, status, c, took)
	if c == "" {
		x.tellServed(status, took, now)
		return
	}
	x.service.tally.failed(now, took)
	n.log.WithFields(logrus.Fields{
		"event": "request_failed", "request": x.id, "route": x.route.Name, "kind": kindOf(x.route.Repeatable),
		"service": x.service.name, "status": status, "cause": c, "reason": reason, "targets": x.triedNames(),
		"ran": x.ran, "ms": took, "waited_ms": x.waited, "retry_after_ms": x.retryAfter, "deadline_ms": x.deadline - x.began,
		"budget_left": fmt.Sprintf("%.1f", x.service.pool.RetryBudget().Remaining()), "version": n.stateVersion(),
	}).Warn()
}

// endOf says how a request counts for its service.
func (x *exchange) endOf(c cause, status int) pool.Result {
	switch {
	case c == "" || status == 0:
		return pool.Served
	case status == http.StatusGatewayTimeout:
		return pool.TimedOut
	case x.why == pool.Spread:
		return pool.TrialFailed
	}
	return pool.Unserved
}

// tellServed tells of one served request a second of each service, and of those that took more than
// one attempt.
func (x *exchange) tellServed(status int, took, now clock.Millis) {
	sampled := x.service.tally.served(now, took)
	if !sampled && len(x.tried) < 2 {
		return
	}
	x.node.log.WithFields(logrus.Fields{
		"event": "request_served", "request": x.id, "route": x.route.Name, "service": x.service.name, "status": status,
		"targets": x.triedNames(), "ms": took, "waited_ms": x.waited, "version": x.node.stateVersion(),
	}).Info()
}

func (x *exchange) triedNames() string {
	names := make([]string, len(x.tried))
	for i, t := range x.tried {
		names[i] = string(t)
	}
	return strings.Join(names, ",")
}

// A tally sums the requests of one service for the log.
type tally struct {
	mu        sync.Mutex
	sampledAt clock.Millis
	// sum began at the time.
	began       clock.Millis
	ok, bad     int
	total, most clock.Millis
}

const (
	// sampleEvery is the least time between two served requests of a service in the log.
	sampleEvery = 1 * clock.Second
	// sumEvery is how often the requests of a service are summed in the log, if there were any.
	sumEvery = 10 * clock.Second
)

// served counts a request, and says whether it is one for the log.
func (t *tally) served(now, took clock.Millis) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ok++
	t.add(now, took)
	if now-t.sampledAt < sampleEvery {
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
	t.most = max(t.most, took)
}

// sum returns what was counted as a log line has it, and begins anew, if it is time to.
func (t *tally) sum(now clock.Millis) logrus.Fields {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.began == 0 || now-t.began < sumEvery {
		return nil
	}
	f := logrus.Fields{
		"event": "requests", "served": t.ok, "failed": t.bad, "for_ms": now - t.began,
		"mean_ms": t.total / clock.Millis(t.ok+t.bad), "most_ms": t.most,
	}
	t.began, t.ok, t.bad, t.total, t.most = 0, 0, 0, 0, 0
	return f
}
