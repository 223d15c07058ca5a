package pool_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/tinladder/tinladder/clock"
	"github.com/tinladder/tinladder/ident"
	"github.com/tinladder/tinladder/pool"
	tlv1 "github.com/tinladder/tinladder/schema/tinladder/v1"
)

// BenchmarkReportWithALongQueue has another node report load while 60 requests wait here for 168 targets
// that 50 nodes keep full. With every waiter weighing every target, and summing 50 nodes each time, a report
// takes 25.6 ms; with sums kept and three waiters looked at 0.02 ms (one run each, machine of 8 cores).
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
