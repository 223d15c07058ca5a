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

// leaveCheckInterval is how often a leaving node looks how far it is.
const leaveCheckInterval clock.Millis = 20

// errNodeStopping ends attempts that are still at work as the node ends.
var errNodeStopping = errors.New("this node ends")

// leaving takes the node out of the fleet without cutting a request: it says so, serves on those who still come, shuts its
// doors, stays for callers that keep their connections, and ends once all are gone.
type leaving struct {
	node *Node
	// requested is closed when an operator tells the node to leave.
	requested chan struct{}
	once      sync.Once
	begun     atomic.Bool
	// startedAt is when it began to leave, and grace how long it had then: settings that come later are not the platform's.
	startedAt, grace atomic.Int64
	inFlight         atomic.Int64
	// pendingCtx ends when what is still at work is answered as it stands.
	pendingCtx    context.Context
	cancelPending context.CancelFunc
}

func newLeaving(n *Node) *leaving {
	l := &leaving{node: n, requested: make(chan struct{})}
	l.pendingCtx, l.cancelPending = context.WithCancel(context.Background())
	return l
}

// request makes Run leave.
func (l *leaving) request() {
	l.once.Do(func() { close(l.requested) })
}

func (l *leaving) started() bool {
	return l.begun.Load()
}

// pendingCanceled says whether the node ends what is still at work.
func (l *leaving) pendingCanceled() bool {
	return l.pendingCtx.Err() != nil
}

// tooLate says whether a request that may last so long comes so late that the node could end before it does. It would be
// cut, and a run-once one be lost: it is refused, and has not run here.
func (l *leaving) tooLate(limit clock.Millis) bool {
	return l.started() && !l.plan().Accepts(l.elapsed(), limit)
}

func (l *leaving) plan() leave.Plan {
	return leave.Plan{Grace: clock.Millis(l.grace.Load())}
}

// elapsed is how long ago the node was told to leave.
func (l *leaving) elapsed() clock.Millis {
	return l.node.clock.Now() - clock.Millis(l.startedAt.Load())
}

// enter and exit count the requests that are worked on. Nothing ends by this count: a request that has been read in part,
// or whose answer has not been written, is not in it.
func (l *leaving) enter() { l.inFlight.Add(1) }
func (l *leaving) exit()  { l.inFlight.Add(-1) }

// setConnectionClose has the caller leave its connection after the answer that is about to be written, also where the request came
// before the node was told to leave.
func (l *leaving) setConnectionClose(w http.ResponseWriter) {
	if l.started() {
		w.Header().Set("Connection", "close")
	}
}

// pendingContext returns a context that ends with the given one, and as the node ends what is at work.
func (l *leaving) pendingContext(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(l.pendingCtx, func() { cancel(errNodeStopping) })
	return ctx, func() {
		stop()
		cancel(nil)
	}
}

// cancelableHandler ends calls that are still at work as the node ends, so that they are answered: an operator's change may have been
// made, and one who reads an end of file does not know that it is to be asked after.
func (l *leaving) cancelableHandler(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx, end := l.pendingContext(r.Context())
		defer end()
		h.ServeHTTP(w, r.WithContext(ctx))
	})
}

// run leaves, and returns once nothing is open or the grace period is nearly over.
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
	n.duty.confirm()
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

// closeIdle ends connections that rest, those too that began to after the last time.
func (l *leaving) closeIdle() {
	for _, d := range l.node.doors {
		d.CloseWhenIdle()
	}
}

// remaining is how long the node has until the platform ends it.
func (l *leaving) remaining() time.Duration {
	return max(l.plan().Grace-l.elapsed()-leaveCheckInterval, 0).Duration()
}

// enterStep takes one step towards the end.
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

// stopAccepting shuts the doors of those names. The one for other nodes stays for as long as this node is there: nobody else can run
// a key whose home it is, or tell what became of it.
func (l *leaving) stopAccepting(which func(name string) bool) {
	for _, d := range l.node.doors {
		if which(d.Name()) {
			d.StopAccepting()
		}
	}
}

// openConns counts what is open at all doors.
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

// logStep tells how far the end has come, and what is open then at each door.
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
