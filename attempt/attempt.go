// Package attempt decides what happens to a request after each of its attempts: whether the caller gets the target's
// response, the request is retried at another target, or it is given up, and what the caller may be told then. It does
// no I/O.
//
// It is designed for targets that reject half of their requests, targets that crash with requests in flight, and callers
// that retry at once. Each retry adds load to a service that may already lack targets, so a request is retried only if
// it can still meet its deadline and the fleet's retry budget allows it.
package attempt

import "github.com/tinladder/tinladder/clock"

const (
	// MaxTargets bounds the targets that one request is sent to.
	MaxTargets = 6
	// minTimeShare is the part of a typical service time that must remain for a retry: with less, it would more often
	// fail than not, and still occupy a slot.
	minTimeShare = 0.5
)

// A Policy says which attempts a request allows.
type Policy struct {
	// Repeatable requests may run more than once.
	Repeatable bool
	// Streamed requests have a body that cannot be sent again.
	Streamed bool
	// MaxAttempts bounds the attempts that may run.
	MaxAttempts int
	// SingleTarget requests run at one target only, whatever the result: some targets have crashed while running them.
	SingleTarget bool
}

// A Result is the outcome of an attempt, as far as it matters for the next step.
type Result struct {
	// Answered says that the target responded, Failed that the response is a failure, and NotRun that the target
	// reports that it did not run the request.
	Answered, Failed, NotRun bool
	// Unsent says that no byte of the request was sent to a target.
	Unsent bool
}

// Progress is the state of a request.
type Progress struct {
	// Ran counts the attempts that may have run, and Tried the targets that the request was sent to.
	Ran, Tried int
	// TimeLeft is the time until the deadline, and ServiceTime the usual service time.
	TimeLeft, ServiceTime clock.Millis
	// CallerGone says that the caller has disconnected.
	CallerGone bool
	// Stopping says that the node is shutting down and has no time for another attempt.
	Stopping bool
}

// A Step is what happens next.
type Step int

// The steps.
const (
	// Respond forwards the target's response.
	Respond Step = iota
	// Retry tries another target.
	Retry
	// NotRun gives up, and reports that the request has not run.
	NotRun
	// Unknown gives up, and reports that the request may have run.
	Unknown
	// Canceled ends the request, since its caller has disconnected.
	Canceled
)

func (s Step) String() string {
	return [...]string{"answer", "again", "not-run", "unknown", "gone"}[s]
}

// Next returns the step after an attempt. It calls takeBudget, which counts a retry and reports whether the fleet's budget
// allows it, only if the request would be retried.
func (p Policy) Next(e Result, at Progress, takeBudget func() bool) Step {
	if e.Answered && !e.Failed && !e.NotRun {
		return Respond
	}
	unknown := !e.Answered && !e.Unsent
	retryable := e.Unsent || e.NotRun || p.Repeatable && at.Ran < p.MaxAttempts
	switch {
	case at.CallerGone && (p.Repeatable || at.Ran == 0):
		return Canceled
	case retryable && p.canRetry(at) && (e.Unsent || !p.SingleTarget && takeBudget()):
		return Retry
	case unknown:
		return Unknown
	case e.Unsent, e.NotRun:
		return NotRun
	}
	return Respond
}

// canRetry reports whether another attempt is possible and can meet the deadline.
func (p Policy) canRetry(at Progress) bool {
	return !p.Streamed && !at.Stopping && at.Tried < MaxTargets && float64(at.TimeLeft) >= minTimeShare*float64(at.ServiceTime)
}

// CanHedge reports whether a second attempt may run concurrently with the first.
func (p Policy) CanHedge(ran int) bool {
	return p.Repeatable && !p.Streamed && !p.SingleTarget && ran+1 < p.MaxAttempts
}
