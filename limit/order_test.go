package limit_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"
	"github.com/tinladder/tinladder/clock"
	"github.com/tinladder/tinladder/ident"
	"github.com/tinladder/tinladder/limit"
)

const (
	urgent uint32 = 1
	bulk   uint32 = 5
)

// flood is a workspace that sends urgent and bulk requests to nodes that share its limit evenly and lend each other
// quota.
type flood struct {
	tables []*limit.Table
	clock  *clock.Manual
	rand   *rand.Rand
	rate   limit.Rate
	asked  map[uint32]int
	got    map[uint32]int
	times  []clock.Millis
}

func newFlood(nodes int, r limit.Rate) *flood {
	f := &flood{clock: clock.NewManual(50_000), rand: rand.New(rand.NewPCG(1, 2)), rate: r, asked: map[uint32]int{}, got: map[uint32]int{}}
	for range nodes {
		f.tables = append(f.tables, limit.New(f.clock, bounds))
	}
	f.run(10*clock.Second, nil, true)
	return f
}

// run sends requests per second by priority for a span, in order or not.
func (f *flood) run(span clock.Millis, demand map[uint32]float64, inOrder bool) {
	n := len(f.tables)
	v := limit.View{IsSharer: true, SharerCount: n, Live: n, PeakLive: n}
	for range span {
		if f.clock.Now()%100 == 0 {
			for _, table := range f.tables {
				table.Tick(v)
			}
		}
		f.clock.Advance(1)
		for _, p := range []uint32{bulk, urgent} {
			for left := demand[p] / 1000; f.rand.Float64() < left; left-- {
				f.request(f.tables[f.rand.IntN(n)], p, inOrder)
			}
		}
	}
}

func (f *flood) request(table *limit.Table, p uint32, inOrder bool) {
	f.asked[p]++
	var ok bool
	var ask *limit.LoanRequest
	if !inOrder {
		if ok, ask = table.Take("w", f.rate); !ok {
			f.lend(table, ask)
			ok, _ = table.Retry("w", f.rate)
		}
	} else if ok, ask = table.TakeInOrder("w", f.rate, p); !ok {
		f.lend(table, ask)
		if ok, _ = table.RetryInOrder("w", f.rate, p); !ok {
			table.RefuseInOrder("w", f.rate)
		}
	}
	if ok {
		f.got[p]++
		f.times = append(f.times, f.clock.Now())
	}
}

// lend has all other nodes answer a loan request.
func (f *flood) lend(to *limit.Table, ask *limit.LoanRequest) {
	if ask == nil {
		return
	}
	for i, from := range f.tables {
		if from != to {
			to.AddLoan("w", ident.Node(fmt.Sprint(i)), from.Lend("w", f.rate, ask.Amount), ask.Seq)
		}
	}
}

// most returns the most requests in any window.
func (f *flood) most() (most int) {
	from := 0
	for i, at := range f.times {
		for f.times[from] <= at-bounds.Window {
			from++
		}
		most = max(most, i-from+1)
	}
	return most
}

func (f *flood) share(p uint32) float64 {
	return float64(f.got[p]) / float64(f.asked[p])
}

// TestUrgentGoesFirst floods a limit with bulk requests beside urgent ones that are within it. In the order of arrival
// both are refused alike. In order, urgent ones are served but for the moments in which a node has nothing, bulk keeps
// its share, and no less is admitted in total. At 40 nodes each has too little at a time for two urgent requests in a row.
func TestUrgentGoesFirst(t *testing.T) {
	t.Parallel()
	r := limit.Rate{PerSecond: 328, Burst: 328}
	for _, nodes := range []int{1, 6, 10, 40} {
		t.Run(fmt.Sprint(nodes, " nodes"), func(t *testing.T) {
			is := is.New(t)
			demand := map[uint32]float64{urgent: 120, bulk: 930}
			without, with := newFlood(nodes, r), newFlood(nodes, r)
			without.run(30*clock.Second, demand, false)
			with.run(30*clock.Second, demand, true)
			t.Logf("urgent %.3f, was %.3f; bulk %.3f, was %.3f; all %d, was %d", with.share(urgent), without.share(urgent), with.share(bulk), without.share(bulk), len(with.times), len(without.times))
			is.True(with.share(urgent) >= 2*without.share(urgent))
			is.True(nodes > 10 || with.share(urgent) >= 0.95)
			is.True(float64(with.got[bulk]) >= 0.1*float64(len(with.times)))
			is.True(float64(len(with.times)) >= 0.98*float64(len(without.times)))
			is.True(float64(with.most()) <= bounds.Allowed(r))
		})
	}
}

// TestBulkKeepsItsShare floods a limit with urgent requests alone beyond it. Bulk is admitted at least a quarter as
// often, and is at least a tenth of all.
func TestBulkKeepsItsShare(t *testing.T) {
	t.Parallel()
	r := limit.Rate{PerSecond: 328, Burst: 328}
	for _, demand := range []map[uint32]float64{{urgent: 900, bulk: 150}, {urgent: 525, bulk: 525}, {urgent: 300, bulk: 750}} {
		t.Run(fmt.Sprint(demand), func(t *testing.T) {
			is := is.New(t)
			f := newFlood(6, r)
			f.run(30*clock.Second, demand, true)
			all := float64(len(f.times))
			of := all / float64(f.asked[urgent]+f.asked[bulk])
			t.Logf("urgent %.3f, bulk %.3f, all %.3f, bulk is %.3f of what is admitted", f.share(urgent), f.share(bulk), of, float64(f.got[bulk])/all)
			is.True(f.share(urgent) > f.share(bulk))
			is.True(f.share(bulk) >= 0.25*of*0.98)
			is.True(float64(f.got[bulk]) >= 0.1*all*0.98)
		})
	}
}

// TestOrderHoldsNothingBackWithinLimits sends what the limit allows: both kinds are served, and no change is reported.
func TestOrderHoldsNothingBackWithinLimits(t *testing.T) {
	is := is.New(t)
	f := newFlood(1, limit.Rate{PerSecond: 100, Burst: 100})
	f.run(20*clock.Second, map[uint32]float64{urgent: 20, bulk: 60}, true)
	is.Equal(f.got, f.asked)
	is.Equal(len(f.tables[0].OrderChanges()), 0)
}

// TestOrderEnds reports that a workspace is held to the order when a flood begins, and that this ends with it.
func TestOrderEnds(t *testing.T) {
	is := is.New(t)
	f := newFlood(1, limit.Rate{PerSecond: 10, Burst: 10})
	f.run(5*clock.Second, map[uint32]float64{urgent: 5, bulk: 100}, true)
	is.Equal(f.tables[0].OrderChanges(), []limit.OrderChange{{Workspace: "w", Active: true}})
	f.run(12*clock.Second, map[uint32]float64{urgent: 1}, true)
	is.Equal(f.tables[0].OrderChanges(), []limit.OrderChange{{Workspace: "w", Active: false}})
}

// TestOrderAfterAChangedLimit changes a limit in the middle of a flood.
func TestOrderAfterAChangedLimit(t *testing.T) {
	is := is.New(t)
	f := newFlood(6, limit.Rate{PerSecond: 100, Burst: 100})
	demand := map[uint32]float64{urgent: 60, bulk: 500}
	f.run(10*clock.Second, demand, true)
	f.rate = limit.Rate{PerSecond: 200, Burst: 200}
	clear(f.asked)
	clear(f.got)
	f.run(20*clock.Second, demand, true)
	t.Logf("urgent %.3f, bulk %.3f", f.share(urgent), f.share(bulk))
	is.True(f.share(urgent) >= 0.95)
	is.True(float64(f.most()) <= bounds.Allowed(f.rate))
}

// BenchmarkTakeInOrder takes requests of a workspace within its limit, and of one that floods.
func BenchmarkTakeInOrder(b *testing.B) {
	for _, every := range []int{10, 1000} {
		b.Run(fmt.Sprintf("%d a second", 100*1000/every), func(b *testing.B) {
			c := clock.NewManual(50_000)
			table := singleNodeTable(c)
			r := limit.Rate{PerSecond: 1000, Burst: 1000}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				if i%(100*1000/every/100) == 0 {
					c.Advance(10)
					table.Tick(singleNode)
				}
				if ok, _ := table.TakeInOrder("w", r, uint32(i%3)); !ok {
					table.RefuseInOrder("w", r)
				}
			}
		})
	}
}
