// Package attempt decides how a request goes on after each of its attempts: whether its caller gets the target's
// answer, it is tried at another target, or it is given up, and what may be said of it then. It does no I/O.
//
// The loads that it answers: targets that turn half of what comes away, targets that crash with requests in flight,
// and callers that repeat at once. Each further attempt is one more request for a service that may be short of
// targets already, so there is one only where it can still be in time, and within the fleet's budget if it arrives.
package attempt

import "github.com/tinladder/tinladder/clock"

const (
	// MaxTried bounds the targets that one request goes to.
	MaxTried = 6
	// minTimeShare is the part of a usual service time that must be left for another attempt: with less it would fail
	// more often than not, and cost a slot all the same.
	minTimeShare = 0.5
)

// A Plan is what a request allows.
type Plan struct {
	// Repeatable requests may run more than once.
	Repeatable bool
	// Streamed requests have a body that cannot be sent again.
	Streamed bool
	// Most is how many attempts may run.
	Most int
	// Sole requests go to one target only, whatever it does with them: some have crashed under them.
	Sole bool
}

// An End is how an attempt ended, as far as it decides what follows.
type End struct {
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
	// Left is the time until its deadline, and Usual how long its service usually takes.
	Left, Usual clock.Millis
	// CallerLeft says that nobody waits for the answer.
	CallerLeft bool
	// Ending says that the node has no time for another attempt.
	Ending bool
}

// A Step is what follows.
type Step int

// Steps.
const (
	// Answer passes the target's answer on.
	Answer Step = iota
	// Again tries another target.
	Again
	// NotRun gives the request up, and says that it has not run.
	NotRun
	// Unknown gives it up, and says that it may have run.
	Unknown
	// Gone ends it, since its caller has left.
	Gone
)

// String returns the step's name.
func (s Step) String() string {
	return [...]string{"answer", "again", "not-run", "unknown", "gone"}[s]
}

// Next says what follows an attempt. It asks the budget for one more attempt only where there would be one: more
// says whether the fleet may make it, and counts it.
func (p Plan) Next(e End, at Progress, takeBudget func() bool) Step {
	if e.Answered && !e.Failed && !e.NotRun {
		return Answer
	}
	unknown := !e.Answered && !e.Unsent
	retryable := e.Unsent || e.NotRun || p.Repeatable && at.Ran < p.Most
	switch {
	case at.CallerLeft && (p.Repeatable || at.Ran == 0):
		return Gone
	case retryable && p.canRetry(at) && (e.Unsent || !p.Sole && takeBudget()):
		return Again
	case unknown:
		return Unknown
	case e.Unsent, e.NotRun:
		return NotRun
	}
	return Answer
}

// canRetry says whether another attempt can be made, and be in time.
func (p Plan) canRetry(at Progress) bool {
	return !p.Streamed && !at.Ending && at.Tried < MaxTried && float64(at.Left) >= minTimeShare*float64(at.Usual)
}

// Hedges says whether a second attempt may run beside the first.
func (p Plan) Hedges(ran int) bool {
	return p.Repeatable && !p.Streamed && !p.Sole && ran+1 < p.Most
}
