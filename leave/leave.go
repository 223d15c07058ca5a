// Package leave decides how a node ends without cutting a request: until when it takes connections and requests, how long
// it stays for callers that keep theirs, and when it may end. It does no I/O.
//
// The load that it answers: callers that go on using a connection which they opened before, at any moment, until they see
// its end. They are sent away with each answer, and told of another node when they ask again, but one that rests cannot be
// told anything: closed too soon, it takes the request that is on its way with it.
package leave

import "github.com/tinladder/tinladder/clock"

// Shares of the grace period, in percent.
const (
	// acceptShare is for how long connections are taken: callers may keep an address that long before they ask again.
	acceptShare = 45
	// requestShare is for how long requests are taken that may last beyond the end, and would be cut. Most are over long
	// before their time is.
	requestShare = 48
	// idleShare is for how long connections that rest are left open: a caller may send on one as it is closed.
	idleShare = 84
	// respondShare is when what is still at work is answered by the node itself, and endShare when it ends. What is left is
	// for a node that learns late that it is to leave, as on a machine that is overloaded.
	respondShare = 90
	endShare     = 92
	percent      = 100
)

const (
	// responseMargin is what an answer takes, after a request's time is over, to be out of the node.
	responseMargin clock.Millis = 50
	// minEndMargin is the least that a node ends before its grace period, and lastTime that it answers before it ends: a
	// share of a short one is less than the steps take.
	minEndMargin      clock.Millis = 60
	minResponseMargin clock.Millis = 40
)

// A Plan is for a node with so long a grace period.
type Plan struct {
	Grace clock.Millis
}

// A Step is what the node does at a moment of its leaving, and all steps before it.
type Step int

// Steps, in their order.
const (
	// Serve serves whoever comes, and sends callers away with their answers.
	Serve Step = iota
	// StopAccepting takes no further connections.
	StopAccepting
	// CloseWhenIdle ends connections that rest.
	CloseWhenIdle
	// RespondPending answers what is still at work, as far as is known of it.
	RespondPending
	// End closes what is left.
	End
)

// String returns the step's name.
func (s Step) String() string {
	return [...]string{"serve", "shut", "hang-up", "answer", "end"}[s]
}

// Conns is what is open at a node.
type Conns struct {
	// Callers are the connections of callers, and All those of all doors.
	Callers, All int
}

// Next returns the step, so long after the node was told to leave.
func (p Plan) Next(elapsed clock.Millis, o Conns) Step {
	switch {
	case elapsed < min(p.share(acceptShare), p.endAt()):
		return Serve
	case o.All == 0, elapsed >= p.endAt():
		return End
	case elapsed >= p.respondAt():
		return RespondPending
	case o.Callers == 0, elapsed >= p.share(idleShare):
		return CloseWhenIdle
	}
	return StopAccepting
}

// Accepts says whether a request is taken that may last so long: one that will have ended before the node does, whatever
// becomes of it, and early on any.
func (p Plan) Accepts(elapsed, limit clock.Millis) bool {
	return elapsed < p.share(requestShare) || elapsed+limit+responseMargin <= p.respondAt()
}

// endAt is when the node ends, and answer when what is still at work is answered.
func (p Plan) endAt() clock.Millis {
	return min(p.share(endShare), p.Grace-minEndMargin)
}

func (p Plan) respondAt() clock.Millis {
	return min(p.share(respondShare), p.endAt()-minResponseMargin)
}

func (p Plan) share(hundredth clock.Millis) clock.Millis {
	return p.Grace * hundredth / percent
}
