package pool_test

import (
	"testing"

	"github.com/matryer/is"
	"github.com/tinladder/tinladder/pool"
)

// TestIdleTargetsAreTold has one of two targets not reached, and no requests after that.
func TestIdleTargetsAreTold(t *testing.T) {
	is := is.New(t)
	n := newSingleNode(t, 2, 3)
	_, deep := n.IdleTargets()
	is.True(!deep) // nothing was asked
	l := n.mustAcquire(t, n.request(false))
	l.Done(pool.Unreachable, false)
	for range 9 {
		n.RecordResult(pool.Unserved)
	}
	n.clock.Advance(1450)
	idle, deep := n.IdleTargets()
	is.True(deep)
	is.Equal(len(idle), 2)
	for _, i := range idle {
		is.Equal(i.Blocked, i.Target == l.Target)
	}
}
