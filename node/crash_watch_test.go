package node

import (
	"net/http/httptest"
	"runtime"
	"testing"

	"github.com/matryer/is"
	"github.com/tinladder/tinladder/clock"
	"github.com/tinladder/tinladder/desired"
	"github.com/tinladder/tinladder/ident"
	"github.com/tinladder/tinladder/pool"
)

// TestWatchedAttemptsAreBounded guards against memory that grows with the callers who leave: 10,000 attempts are watched at
// most, in 5 MB, and none any more once their time is over.
func TestWatchedAttemptsAreBounded(t *testing.T) {
	is := is.New(t)
	c := clock.NewManual(1000)
	n := &Node{clock: c, metrics: newMetrics(c)}
	p := newTestPool(c)
	p.SetTargets([]pool.Target{{ID: "a", Address: "127.0.0.1:9", Slots: 1}})
	l := p.TryAcquire(&pool.Request{Deadline: 1 << 40})
	is.True(l != nil)
	w := newCrashWatch(n)
	before := heap()
	for range maxWatched + 500 {
		x := &exchange{node: n, r: httptest.NewRequest("POST", "/orders/17", nil), route: &desired.Route{}, service: &service{name: "desk"}, body: make([]byte, 1000)}
		w.add(x, l)
	}
	used := heap() - before
	t.Logf("%d bytes for %d attempts", used, maxWatched)
	is.True(used < 5<<20)
	c.Advance(watchSteps[0])
	is.Equal(len(w.takeDue(c.Now())["127.0.0.1:9"]), maxWatched)
	c.Advance(watchSteps[1])
	is.Equal(len(w.takeDue(c.Now())["127.0.0.1:9"]), maxWatched)
	for _, q := range w.queues {
		is.Equal(len(q), 0)
	}
}

// TestTargetsThatRespondAreNotProbed guards against a connection to a target for each caller who leaves.
func TestTargetsThatRespondAreNotProbed(t *testing.T) {
	is := is.New(t)
	c := clock.NewManual(1000)
	n := &Node{clock: c, metrics: newMetrics(c)}
	p := newTestPool(c)
	p.SetTargets([]pool.Target{{ID: "a", Address: "127.0.0.1:9", Slots: 2}})
	l := p.TryAcquire(&pool.Request{Deadline: 1 << 40})
	other := p.TryAcquire(&pool.Request{Deadline: 1 << 40})
	w := newCrashWatch(n)
	w.add(&exchange{node: n, r: httptest.NewRequest("POST", "/orders/17", nil), route: &desired.Route{}, service: &service{name: "desk"}}, l)
	c.Advance(100)
	other.Done(pool.Good, false)
	c.Advance(watchSteps[0] - 100)
	is.Equal(len(w.takeDue(c.Now())), 0) // it has responded since
	c.Advance(watchSteps[1] - watchSteps[0])
	is.Equal(len(w.takeDue(c.Now())), 1) // not since the first look
}

// newTestPool returns a pool that tells nobody of its changes.
func newTestPool(c clock.Clock) *pool.Pool {
	b := pool.NewRetryBudget(c, newRand(), 0.2, 100, 10*clock.Second)
	return pool.New(pool.DefaultTuning, c, newRand(), b, func(pool.ChangeKind, ident.Hall) {}, func(pool.Event) {})
}

// heap returns the bytes in use.
func heap() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
