package node

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"github.com/tinladder/tinladder/clock"
	"github.com/tinladder/tinladder/leave"
)

// leaveCheckInterval is how often a leaving node checks whether the next step is due.
const leaveCheckInterval clock.Millis = 20

// errNodeStopping is the cancellation cause of requests still in flight when the node stops.
var errNodeStopping = errors.New("this node ends")

// leaving takes the node out of the fleet without cutting off a request: it announces that it leaves, serves requests that
// still arrive, stops accepting connections, waits for callers with open connections, and ends once all are closed.
type leaving struct {
	node *Node
	// requested is closed when an operator tells the node to leave.
	requested chan struct{}
	once      sync.Once
	begun     atomic.Bool
	// startedAt is when leaving began, and grace the grace period at that time. Later settings do not change it, since the
	// platform counts from its signal by the grace period in force then.
	startedAt, grace atomic.Int64
	inFlight         atomic.Int64
	// pendingCtx is canceled when requests still in flight must be answered at once.
	pendingCtx    context.Context
	cancelPending context.CancelFunc
}

func newLeaving(n *Node) *leaving {
	l := &leaving{node: n, requested: make(chan struct{})}
	l.pendingCtx, l.cancelPending = context.WithCancel(context.Background())
	return l
}

// request makes Run start leaving. Repeated calls have no effect.
func (l *leaving) request() {
	l.once.Do(func() { close(l.requested) })
}

func (l *leaving) started() bool {
	return l.begun.Load()
}

// pendingCanceled reports whether requests still in flight have been canceled.
func (l *leaving) pendingCanceled() bool {
	return l.pendingCtx.Err() != nil
}

// tooLate reports whether the node could stop before a request with this time limit completes. Such a request would be cut
// off, and a run-once request lost, so it is refused before it runs.
func (l *leaving) tooLate(limit clock.Millis) bool {
	return l.started() && !l.plan().Accepts(l.elapsed(), limit)
}

func (l *leaving) plan() leave.Plan {
	return leave.Plan{Grace: clock.Millis(l.grace.Load())}
}

// elapsed returns the time since leaving began.
func (l *leaving) elapsed() clock.Millis {
	return l.node.clock.Now() - clock.Millis(l.startedAt.Load())
}

// enter and exit count the requests in flight. The count is for logs only and must not decide when the node stops: it leaves
// out requests that have been read in part and those whose response has not been written.
func (l *leaving) enter() { l.inFlight.Add(1) }
func (l *leaving) exit()  { l.inFlight.Add(-1) }

// setConnectionClose makes the caller close its connection after the response about to be written, including responses to
// requests that arrived before leaving began.
func (l *leaving) setConnectionClose(w http.ResponseWriter) {
	if l.started() {
		w.Header().Set("Connection", "close")
	}
}

// pendingContext returns a context derived from ctx that is also canceled when the node cancels requests in flight.
func (l *leaving) pendingContext(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(l.pendingCtx, func() { cancel(errNodeStopping) })
	return ctx, func() {
		stop()
		cancel(nil)
	}
}

// cancelableHandler wraps h so that calls still in flight when the node stops are canceled and answered. An operator's change
// may have been made by then, and an end of file would not tell the operator that its outcome has to be queried.
func (l *leaving) cancelableHandler(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx, end := l.pendingContext(r.Context())
		defer end()
		h.ServeHTTP(w, r.WithContext(ctx))
	})
}

// run performs the steps of leaving, and returns once no connection is open or the grace period is nearly over.
func (l *leaving) run() {
	n := l.node
	l.startedAt.Store(int64(n.clock.Now()))
	l.grace.Store(int64(n.settings().Bounds.Grace.Millis()))
	l.begun.Store(true)
	for _, d := range n.doors {
		d.DisableKeepAlives()
	}
	n.log.WithFields(logrus.Fields{"event": "leaving", "node": n.self.Node, "grace_ms": l.plan().Grace, "in_flight": l.inFlight.Load()}).Warn()
	n.sendGossip(n.members.AnnounceLeaving())
	n.duty.confirmToHall()
	for last := leave.Serve; last != leave.End; time.Sleep(leaveCheckInterval.Duration()) {
		next := l.plan().Next(l.elapsed(), l.openConns())
		for last < next {
			last++
			l.enterStep(last)
		}
		if next >= leave.CloseWhenIdle {
			l.closeIdle()
		}
	}
	n.sendGossip(n.members.AnnounceGone())
}

// closeIdle closes idle connections, including those that became idle since the previous call.
func (l *leaving) closeIdle() {
	for _, d := range l.node.doors {
		d.CloseWhenIdle()
	}
}

// remaining returns the time left until the platform kills the node, less one check interval.
func (l *leaving) remaining() time.Duration {
	return max(l.plan().Grace-l.elapsed()-leaveCheckInterval, 0).Duration()
}

// enterStep performs the actions of one step.
func (l *leaving) enterStep(s leave.Step) {
	l.logStep(s)
	switch s {
	case leave.StopAccepting:
		l.stopAccepting(func(name string) bool { return name != peersDoor })
	case leave.CloseWhenIdle:
		l.stopAccepting(func(name string) bool { return name == peersDoor })
	case leave.RespondPending:
		l.cancelPending()
	}
}

// stopAccepting closes the listeners whose names match. The listener for other nodes stays open longest: only this node can
// run a request whose key has its home here, or report the outcome of one.
func (l *leaving) stopAccepting(which func(name string) bool) {
	for _, d := range l.node.doors {
		if which(d.Name()) {
			d.StopAccepting()
		}
	}
}

// openConns counts the open connections of all listeners.
func (l *leaving) openConns() (o leave.Conns) {
	for _, d := range l.node.doors {
		n := d.Open()
		o.All += n
		if d.Name() == callersDoor {
			o.Callers += n
		}
	}
	return o
}

// logStep logs the step that begins, with the idle and busy connections of each listener.
func (l *leaving) logStep(s leave.Step) {
	n := l.node
	f := logrus.Fields{"event": "leaving_step", "step": s, "ms": l.elapsed(), "in_flight": l.inFlight.Load()}
	for _, d := range n.doors {
		if c := d.Counts(); c.Open() > 0 {
			f[d.Name()+"_resting"], f[d.Name()+"_busy"] = c.Idle, c.Busy
		}
	}
	n.log.WithFields(f).Warn()
}
