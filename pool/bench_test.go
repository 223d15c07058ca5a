package pool_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/tinladder/tinladder/clock"
	"github.com/tinladder/tinladder/ident"
	"github.com/tinladder/tinladder/pool"
	tlv1 "github.com/tinladder/tinladder/schema/tinladder/v1"
)

// BenchmarkReportWithALongQueue has another node report load while 60 requests wait here for 168 targets that 50
// nodes keep full. If every waiter weighs every target, summing 50 nodes each time, a report takes 25.6 ms; with
// sums kept and three waiters checked, 0.02 ms (8 cores).
func BenchmarkReportWithALongQueue(b *testing.B) {
	c := clock.NewManual(1000)
	n := newNode(c, "n0")
	var list []pool.Target
	var seen []*tlv1.Seen
	for i := range 168 {
		id := fmt.Sprint("t", i)
		list = append(list, pool.Target{ID: ident.Target(id), Address: id, Slots: 2, SameHall: true, Assigned: true})
		seen = append(seen, &tlv1.Seen{Target: id, InFlight: 1, OkMs: 1, FailedMs: -1})
	}
	n.SetTargets(list)
	for i := range 50 {
		n.ApplyReport(ident.Process{Node: ident.Node(fmt.Sprint("p", i)), Incarnation: 1}, &tlv1.Report{Seen: seen})
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for range 60 {
		go func() {
			a := n.request(false)
			a.Objective, a.Deadline = 1000*clock.Second, a.Began+1000*clock.Second
			_, _ = n.Acquire(ctx, a)
		}()
	}
	for n.Stats().Waiting < 60 {
		time.Sleep(time.Millisecond)
	}
	report := &tlv1.Report{Seen: seen[:1]}
	for b.Loop() {
		n.ApplyReport(ident.Process{Node: "p1", Incarnation: 1}, report)
	}
}

// BenchmarkChoice makes a choice among 300 targets of several speeds, a millisecond after the last one, with their speeds
// estimated and without.
func BenchmarkChoice(b *testing.B) {
	for _, with := range [][]string{nil, {"target-speeds"}} {
		b.Run(fmt.Sprint(with), func(b *testing.B) {
			tuning, err := pool.DefaultTuning.With(with...)
			if err != nil {
				b.Fatal(err)
			}
			c := clock.NewManual(1000)
			n := &node{clock: c, silent: true}
			n.Pool = pool.New(tuning, c, rand.New(rand.NewPCG(1, 2)), pool.NewRetryBudget(c, rand.New(rand.NewPCG(3, 4)), 0.2, 100, 10*clock.Second), n.onChange, n.onEvent)
			var list []pool.Target
			report := &tlv1.Report{}
			for i := range 300 {
				id := fmt.Sprint("t", i)
				list = append(list, pool.Target{ID: ident.Target(id), Address: id, Slots: 3, SameHall: true, Assigned: true})
				report.Seen = append(report.Seen, &tlv1.Seen{Target: id, InFlight: uint32(i % 3), OkMs: 1, FailedMs: -1, RelativeTime: uint32(1000 << (i % 3)), TimeSamples: 8})
			}
			n.SetTargets(list)
			for i := range 50 {
				n.ApplyReport(ident.Process{Node: ident.Node(fmt.Sprint("p", i)), Incarnation: 1}, report)
			}
			for b.Loop() {
				a := n.request(false)
				a.Work = 100
				if l := n.TryAcquire(a); l != nil {
					l.Done(pool.Good, false)
				}
				c.Advance(1)
				n.changes, n.events = n.changes[:0], n.events[:0]
			}
		})
	}
}
