// Package leave decides how a node shuts down gracefully: until when it accepts connections and requests, how long
// it stays for callers with open connections, and when it may end. It does no I/O.
//
// Callers may send a request on an open connection at any moment until they see it closed. Each response directs
// them to another node, but an idle connection carries no response: closed too soon, it loses the request in
// flight.
package leave

import "github.com/tinladder/tinladder/clock"

// Points in time, in percent of the grace period.
const (
	// acceptShare is until when connections are accepted: callers may keep an address that long before they
	// resolve it again.
	acceptShare = 45
	// requestShare is until when requests are accepted that may run beyond the end and be cut off, but no longer than
	// requestTime. Most finish long before their limit.
	requestShare = 48
	// idleShare is until when idle connections stay open: a caller may send a request on one as it is closed.
	idleShare = 84
	// respondShare is when the node itself responds to requests still in progress, and endShare when it ends. The
	// rest is for a node that learns late that it is to leave, as on an overloaded machine.
	respondShare = 90
	endShare     = 92
	percent      = 100
)

const (
	// requestTime is the same, however long the grace period is: callers are told within cutTolerance that the node
	// leaves, and accept that a request is cut off only until then. signalMargin of it covers a signal that arrives
	// late, and the request's way to the node.
	requestTime               = cutTolerance - signalMargin
	cutTolerance              = 3 * clock.Second
	signalMargin clock.Millis = 120
	// responseMargin is how long a response takes to leave the node after a request's time limit.
	responseMargin clock.Millis = 50
	// minEndMargin is the least time between the end and the end of the grace period, and minResponseMargin the
	// least between responding to pending requests and the end: with a short grace period the shares leave less
	// than the steps take.
	minEndMargin      clock.Millis = 60
	minResponseMargin clock.Millis = 40
)

// A Plan is the shutdown schedule for a grace period.
type Plan struct {
	Grace clock.Millis
}

// A Step is a stage of the shutdown. It includes all earlier ones.
type Step int

// Steps, in their order.
const (
	// Serve accepts connections, and directs callers to other nodes with each response.
	Serve Step = iota
	// StopAccepting accepts no further connections.
	StopAccepting
	// CloseWhenIdle closes idle connections.
	CloseWhenIdle
	// RespondPending responds to requests still in progress with what is known of their outcome.
	RespondPending
	// End closes the remaining connections.
	End
)

// String returns the name under which the step is logged.
func (s Step) String() string {
	return [...]string{"serve", "shut", "hang-up", "answer", "end"}[s]
}

// Conns counts a node's open connections.
type Conns struct {
	// Callers counts the connections of callers, and All those on all listeners.
	Callers, All int
}

// Next returns the step at a time since the node was told to leave.
func (p Plan) Next(elapsed clock.Millis, c Conns) Step {
	switch {
	case elapsed < min(p.share(acceptShare), p.endAt()):
		return Serve
	case c.All == 0, elapsed >= p.endAt():
		return End
	case elapsed >= p.respondAt():
		return RespondPending
	case c.Callers == 0, elapsed >= p.share(idleShare):
		return CloseWhenIdle
	}
	return StopAccepting
}

// Accepts reports whether to accept a request that may run for limit: early on any, later only one whose limit and
// response end before the node responds to pending requests.
func (p Plan) Accepts(elapsed, limit clock.Millis) bool {
	return elapsed < min(p.share(requestShare), requestTime) || elapsed+limit+responseMargin <= p.respondAt()
}

// endAt is when the node ends, and respondAt when it responds to pending requests.
func (p Plan) endAt() clock.Millis {
	return min(p.share(endShare), p.Grace-minEndMargin)
}

func (p Plan) respondAt() clock.Millis {
	return min(p.share(respondShare), p.endAt()-minResponseMargin)
}

func (p Plan) share(pct clock.Millis) clock.Millis {
	return p.Grace * pct / percent
}
