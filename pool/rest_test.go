package pool_test

import (
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"github.com/tinladder/tinladder/clock"
	"github.com/tinladder/tinladder/pool"
)

// askForRest has the target of a request turn it away and ask for a rest.
func (n *node) askForRest(t *testing.T, rest clock.Millis) {
	t.Helper()
	l := n.mustAcquire(t, n.request(false))
	l.SetRest(rest)
	l.Done(pool.Shed, false)
}

// takes reports whether a request gets a target.
func (n *node) takes() bool {
	l := n.TryAcquire(n.request(true))
	if l == nil {
		return false
	}
	l.Done(pool.Abandoned, false)
	return true
}

// TestLongestRestHolds guards against a later response, to a request that was under way, that ends a target's rest early.
func TestLongestRestHolds(t *testing.T) {
	is := is.New(t)
	n := newSingleNode(t, 1, 3)
	under := n.mustAcquire(t, n.request(false))
	good := n.mustAcquire(t, n.request(false))
	n.askForRest(t, 3000)
	under.SetRest(1000)
	under.Done(pool.Shed, false)
	good.Done(pool.Good, false)
	n.clock.Advance(2900)
	is.True(!n.takes())
	n.clock.Advance(200)
	is.True(n.takes())
}

// TestRestIsKept guards against a rest that is forgotten as the node drops the service's targets for a time, or that goes
// on in the target's next life.
func TestRestIsKept(t *testing.T) {
	is := is.New(t)
	n := newSingleNode(t, 1, 3)
	n.askForRest(t, 20000)
	n.SetTargets(nil)
	n.clock.Advance(12000)
	n.SetTargets(targets(1, 3))
	is.True(!n.takes())
	later := targets(1, 3)
	later[0].Life++
	n.SetTargets(later)
	is.True(n.takes())
}

// TestRestingTargetGetsNoTrials guards against trials of targets without work that pass a rest by.
func TestRestingTargetGetsNoTrials(t *testing.T) {
	is := is.New(t)
	n := newSingleNode(t, 2, 3)
	l := n.mustAcquire(t, n.request(false))
	l.SetRest(10000)
	l.Done(pool.Shed, false)
	for range 90 {
		other := n.mustAcquire(t, n.request(true))
		is.True(other.Target != l.Target)
		other.Done(pool.Good, false)
		n.clock.Advance(100)
	}
}

// TestAllAtRest guards against a wait that is too short, or the same for all, while every target rests.
func TestAllAtRest(t *testing.T) {
	is := is.New(t)
	n := newSingleNode(t, 2, 3)
	n.askForRest(t, 4000)
	n.askForRest(t, 9000)
	told := map[clock.Millis]bool{}
	for range 20 {
		_, err := n.Acquire(t.Context(), n.request(true))
		var busy *pool.BusyError
		is.True(errors.As(err, &busy))
		is.True(busy.RetryAfter >= 4000 && busy.RetryAfter <= 6000)
		told[busy.RetryAfter] = true
	}
	is.True(len(told) > 10)
}
