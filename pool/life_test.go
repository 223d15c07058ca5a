package pool_test

import (
	"testing"

	"github.com/matryer/is"
	"github.com/tinladder/tinladder/clock"
	"github.com/tinladder/tinladder/pool"
	tlv1 "github.com/tinladder/tinladder/schema/tinladder/v1"
)

// TestNewLifeKnowsNothingOfTheOld has a target leave by its own word, and start again under its id: it gets work, also
// where another node that has not heard of that still says that it left.
func TestNewLifeKnowsNothingOfTheOld(t *testing.T) {
	is := is.New(t)
	c := clock.NewManual(1000)
	n1, n2 := newNode(c, "n1"), newNode(c, "n2")
	n1.SetTargets(targets(1, 3))
	n2.SetTargets(targets(1, 3))
	for range 5 {
		if l := n1.TryAcquire(n1.request(false)); l != nil {
			l.Done(pool.Good, true)
		}
		if l := n2.TryAcquire(n2.request(false)); l != nil {
			l.Done(pool.Good, true)
		}
	}
	is.True(n1.TryAcquire(n1.request(false)) == nil) // it has left
	n1.SetTargets(targets(1, 3))
	is.True(n1.TryAcquire(n1.request(false)) == nil)
	again := targets(1, 3)
	again[0].Life = 2000
	old := n2.Report(true)
	n1.SetTargets(again)
	n1.ApplyReport(n2.name, old)
	is.True(n1.TryAcquire(n1.request(false)) != nil)
	c.Advance(10_000)
	n1.ApplyReport(n2.name, old)
	is.True(n1.TryAcquire(n1.request(false)) == nil) // by now a node that still says so means this life
	n2.SetTargets(again)
	told := n2.Report(true)
	for _, s := range told.GetSeen() {
		is.True(s.GetLife() != 0) // and says which one it means
	}
	stale := &tlv1.Report{Seen: []*tlv1.Seen{{Target: "a", Leaving: true, Life: 7, OkMs: -1, FailedMs: -1}}}
	n2.ApplyReport(n1.name, stale)
	is.True(n2.TryAcquire(n2.request(false)) != nil)
}
