package node

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/tinladder/tinladder/clock"
	"github.com/tinladder/tinladder/forward"
	"github.com/tinladder/tinladder/pool"
)

// maxWatched bounds the attempts that are watched, under 500 bytes each.
const maxWatched = 10_000

// maxWatchProbes bounds the targets that are probed at the same time.
const maxWatchProbes = 16

// watchSteps are how long after its end an attempt's target is looked at: soon, since it may be back within a second, and
// once what it was still running is over.
var watchSteps = [...]clock.Millis{250, clock.Second}

// A crashWatch finds targets that crash under a request after its attempt has ended here, since its caller left or its time
// ran out: the target may run it on. A target that has responded since is alive; others are probed.
type crashWatch struct {
	node *Node

	mu sync.Mutex
	// queues holds the watched attempts by the step that comes next, those that ended first at the front.
	queues [len(watchSteps)][]watchedAttempt
}

// A watchedAttempt is an attempt that has ended without a response of its target.
type watchedAttempt struct {
	candidate crashCandidate
	lease     *pool.Lease
	endedAt   clock.Millis
}

func newCrashWatch(n *Node) *crashWatch {
	return &crashWatch{node: n}
}

// mayStillRun reports whether the target may run the request of an attempt that has ended so.
func mayStillRun(e attemptEnd) bool {
	sent := e.response == nil && errors.Is(e.err, forward.ErrSent)
	return sent && (e.outcome == pool.Late || e.outcome == pool.Abandoned && !errors.Is(e.err, errLostRace))
}

// add watches the attempt, if there is room.
func (w *crashWatch) add(x *exchange, l *pool.Lease) {
	a := watchedAttempt{candidate: x.crashCandidate(l), lease: l}
	w.mu.Lock()
	defer w.mu.Unlock()
	watched := 0
	for _, q := range w.queues {
		watched += len(q)
	}
	if watched >= maxWatched {
		w.node.metrics.unwatched()
		return
	}
	a.endedAt = w.node.clock.Now()
	w.queues[0] = append(w.queues[0], a)
}

// tick looks at the targets of the attempts whose next step is due.
func (w *crashWatch) tick(ctx context.Context) {
	var probes sync.WaitGroup
	defer probes.Wait()
	slots := make(chan struct{}, maxWatchProbes)
	for address, list := range w.takeDue(w.node.clock.Now()) {
		slots <- struct{}{}
		probes.Go(func() {
			defer func() { <-slots }()
			w.probe(ctx, address, list)
		})
	}
}

// probe probes the address of a target, and records a crash for each of the attempts there if its process has ended.
func (w *crashWatch) probe(ctx context.Context, address string, list []watchedAttempt) {
	if w.node.conns.Probe(ctx, address) != forward.Refused {
		return
	}
	for _, a := range list {
		if !a.lease.Leaving() {
			w.node.suspects.recordCrash(a.candidate)
		}
	}
}

// takeDue returns the attempts whose targets are to be probed now, by address. Those that may crash theirs later are kept.
func (w *crashWatch) takeDue(now clock.Millis) map[string][]watchedAttempt {
	w.mu.Lock()
	defer w.mu.Unlock()
	due := map[string][]watchedAttempt{}
	for i := len(watchSteps) - 1; i >= 0; i-- {
		q, n := w.queues[i], 0
		for n < len(q) && now-q[n].endedAt >= watchSteps[i] {
			n++
		}
		since := clock.Millis(0)
		if i > 0 {
			since = watchSteps[i-1]
		}
		for _, a := range q[:n] {
			if !a.lease.RespondedSince(a.endedAt + since) {
				due[a.lease.Address] = append(due[a.lease.Address], a)
			}
			if i+1 < len(watchSteps) {
				w.queues[i+1] = append(w.queues[i+1], a)
			}
		}
		clear(q[:n])
		if w.queues[i] = q[n:]; len(w.queues[i]) == 0 {
			w.queues[i] = nil
		}
	}
	return due
}
