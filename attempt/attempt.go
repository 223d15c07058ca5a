// Package attempt decides how a request goes on after each of its attempts: whether its caller gets the target's
// answer, it is tried at another target, or it is given up, and what may be said of it then. It does no I/O.
//
// The loads that it answers: targets that turn half of what comes away, targets that crash with requests in flight,
// and callers that repeat at once. Each further attempt is one more request for a service that may be short of
// targets already, so there is one only where it can still be in time, and within the fleet's budget if it arrives.
package attempt

import "github.com/tinladder/tinladder/clock"

const (
	// MaxTargets bounds the targets that one request goes to.
	MaxTargets = 6
	// minTimeShare is the part of a usual service time that must be left for another attempt: with less it would fail
	// more often than not, and cost a slot all the same.
	minTimeShare = 0.5
)

// A Policy is what a request allows.
type Policy struct {
	// Repeatable requests may run more than once.
	Repeatable bool
	// Streamed requests have a body that cannot be sent again.
	Streamed bool
	// MaxAttempts is how many attempts may run.
	MaxAttempts int
	// SingleTarget requests go to one target only, whatever it does with them: some have crashed under them.
	SingleTarget bool
}

// An Result is how an attempt ended, as far as it decides what follows.
type Result struct {
	// Answered says that the target gave an answer, Failed that it is a failure, and NotRun that the target says
	// that it did not run the request.
	Answered, Failed, NotRun bool
	// Unsent says that nothing of the request reached a target.
	Unsent bool
}

// A Progress is how far a request has come.
type Progress struct {
	// Ran counts the attempts that a target may have run, and Tried the targets that it went to.
	Ran, Tried int
	// TimeLeft is the time until its deadline, and TypicalTime how long its service usually takes.
	TimeLeft, TypicalTime clock.Millis
	// CallerGone says that nobody waits for the answer.
	CallerGone bool
	// Stopping says that the node has no time for another attempt.
	Stopping bool
}

// A Step is what follows.
type Step int

// Steps.
const (
	// Respond passes the target's answer on.
	Respond Step = iota
	// Retry tries another target.
	Retry
	// NotRun gives the request up, and says that it has not run.
	NotRun
	// Unknown gives it up, and says that it may have run.
	Unknown
	// Canceled ends it, since its caller has left.
	Canceled
)

// String returns the step's name.
func (s Step) String() string {
	return [...]string{"answer", "again", "not-run", "unknown", "gone"}[s]
}

// Next says what follows an attempt. It asks the budget for one more attempt only where there would be one: more
// says whether the fleet may make it, and counts it.
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

// canRetry says whether another attempt can be made, and be in time.
func (p Policy) canRetry(at Progress) bool {
	return !p.Streamed && !at.Stopping && at.Tried < MaxTargets && float64(at.TimeLeft) >= minTimeShare*float64(at.TypicalTime)
}

// CanHedge says whether a second attempt may run beside the first.
func (p Policy) CanHedge(ran int) bool {
	return p.Repeatable && !p.Streamed && !p.SingleTarget && ran+1 < p.MaxAttempts
}
