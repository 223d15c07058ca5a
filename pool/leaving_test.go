package pool_test

import (
	"testing"

	"github.com/matryer/is"
	"github.com/tinladder/tinladder/clock"
	"github.com/tinladder/tinladder/pool"
)

// TestWordOfLeavingIsKept guards against a target that said that it is leaving, and gets requests again as the node drops
// the service's targets for a time. A later start of it is not leaving.
func TestWordOfLeavingIsKept(t *testing.T) {
	is := is.New(t)
	n := newSingleNode(t, 1, 3)
	l := n.mustAcquire(t, n.request(false))
	l.SetLeaving()
	l.Done(pool.Good, false)
	is.True(n.TryAcquire(n.request(false)) == nil)
	n.SetTargets(nil)
	n.clock.Advance(40 * clock.Second)
	n.SetTargets(targets(1, 3))
	is.True(n.TryAcquire(n.request(false)) == nil)
	later := targets(1, 3)
	later[0].Life++
	n.SetTargets(later)
	is.True(n.TryAcquire(n.request(false)) != nil)
}

// TestLateWordOfLeavingIsKept guards against a word of leaving that comes after the node dropped the service's targets, and
// perhaps got them again.
func TestLateWordOfLeavingIsKept(t *testing.T) {
	for _, again := range []bool{false, true} {
		is := is.New(t)
		n := newSingleNode(t, 1, 3)
		l := n.mustAcquire(t, n.request(false))
		l.SetLeaving()
		n.SetTargets(nil)
		if again {
			n.SetTargets(targets(1, 3))
		}
		l.Done(pool.Failed, false)
		n.SetTargets(targets(1, 3))
		is.True(n.TryAcquire(n.request(false)) == nil)
	}
}
