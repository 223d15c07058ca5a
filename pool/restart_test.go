package pool_test

import (
	"testing"

	"github.com/matryer/is"
	"github.com/tinladder/tinladder/clock"
	"github.com/tinladder/tinladder/pool"
	tlv1 "github.com/tinladder/tinladder/schema/tinladder/v1"
)

// TestRestartedTargetHasNoHistory has a target announce that it leaves, and restart under its id: it gets work,
// even if another node that does not know of the restart still reports that it left.
func TestRestartedTargetHasNoHistory(t *testing.T) {
	is := is.New(t)
	c := clock.NewManual(1000)
	n1, n2 := newNode(c, "n1"), newNode(c, "n2")
	n1.SetTargets(targets(1, 3))
	n2.SetTargets(targets(1, 3))
	for range 5 {
		for _, n := range []*node{n1, n2} {
			if l := n.TryAcquire(n.request(false)); l != nil {
				l.SetLeaving()
				l.Done(pool.Good, true)
			}
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
	is.True(n1.TryAcquire(n1.request(false)) == nil) // by now such a report is of this generation
	n2.SetTargets(again)
	report := n2.Report(true)
	for _, s := range report.GetSeen() {
		is.True(s.GetLife() != 0) // reports now name the generation
	}
	stale := &tlv1.Report{Seen: []*tlv1.Seen{{Target: "a", Leaving: true, Life: 7, OkMs: -1, FailedMs: -1}}}
	n2.ApplyReport(n1.name, stale)
	is.True(n2.TryAcquire(n2.request(false)) != nil)
}
