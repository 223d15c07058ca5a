package limit_test

import (
	"cmp"
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
	// caller returns the caller of the next request of a priority.
	caller func(p uint32) uint64
	clock  *clock.Manual
	rand   *rand.Rand
	rate   limit.Rate
	asked  map[uint32]int
	got    map[uint32]int
	times  []clock.Millis
	// after is called with each result, and last is the caller that asked.
	after func(ok bool)
	last  int
	// sharers is how many of the nodes hold a share, all if 0; callers come to all. oldLenders lend without regard to
	// priorities.
	sharers    int
	oldLenders bool
}

func newFlood(nodes int, r limit.Rate) *flood { return newFloodAt(nodes, nodes, r) }

// newFloodAt returns a flood whose requests come to all nodes, of which some hold shares.
func newFloodAt(nodes, sharers int, r limit.Rate) *flood {
	f := &flood{clock: clock.NewManual(50_000), rand: rand.New(rand.NewPCG(1, 2)), rate: r, asked: map[uint32]int{}, got: map[uint32]int{}, sharers: sharers}
	f.caller = func(uint32) uint64 { return f.rand.Uint64() }
	for range nodes {
		f.tables = append(f.tables, limit.New(f.clock, bounds))
	}
	f.run(10*clock.Second, nil, true)
	return f
}

// run sends requests per second by priority for a span, in order or not.
func (f *flood) run(span clock.Millis, demand map[uint32]float64, inOrder bool) {
	n := len(f.tables)
	v := limit.View{IsSharer: true, SharerCount: cmp.Or(f.sharers, n), Live: n, PeakLive: n}
	for range span {
		if f.clock.Now()%100 == 0 {
			for i, table := range f.tables {
				v.IsSharer = i < v.SharerCount
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
	} else {
		x := limit.OrderedRequest{Priority: p, Caller: f.caller(p)}
		if ok, ask = table.TakeInOrder("w", f.rate, x); !ok {
			f.lend(table, ask)
			if ok, _ = table.RetryInOrder("w", f.rate, x); !ok {
				table.RefuseInOrder("w", f.rate)
			}
		}
	}
	if f.after != nil {
		f.after(ok)
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
			lent := 0.0
			if ask.Ordered && !f.oldLenders {
				lent = from.LendInOrder("w", f.rate, ask.Amount, ask.Priority)
			} else {
				lent = from.Lend("w", f.rate, ask.Amount)
			}
			to.AddLoan("w", ident.Node(fmt.Sprint(i)), lent, ask.Seq)
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

// TestLoansGoToUrgentRequests floods a limit at 30 nodes of which 6 hold shares. More urgent requests are admitted than
// if lenders kept quota for their own bulk requests, as nodes of before do.
func TestLoansGoToUrgentRequests(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	r := limit.Rate{PerSecond: 328, Burst: 328}
	demand := map[uint32]float64{urgent: 120, bulk: 930}
	old, with := newFloodAt(30, 6, r), newFloodAt(30, 6, r)
	old.oldLenders = true
	old.run(30*clock.Second, demand, true)
	with.run(30*clock.Second, demand, true)
	t.Logf("urgent %.3f, was %.3f; bulk %.3f, was %.3f; all %d, was %d", with.share(urgent), old.share(urgent), with.share(bulk), old.share(bulk), len(with.times), len(old.times))
	is.True(with.share(urgent) > old.share(urgent))
	is.True(float64(len(with.times)) >= 0.98*float64(len(old.times)))
	is.True(float64(with.most()) <= bounds.Allowed(r))
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

// TestOrderDuringARollOut replaces the processes of six nodes one after the other in a flood. Urgent requests still go
// first, and the bound holds.
func TestOrderDuringARollOut(t *testing.T) {
	is := is.New(t)
	f := newFlood(6, limit.Rate{PerSecond: 328, Burst: 328})
	demand := map[uint32]float64{urgent: 120, bulk: 930}
	for i := range f.tables {
		f.run(2*clock.Second, demand, true)
		f.tables[i] = limit.New(f.clock, bounds)
	}
	f.run(5*clock.Second, demand, true)
	t.Logf("urgent %.3f, bulk %.3f", f.share(urgent), f.share(bulk))
	is.True(f.share(urgent) >= 2*f.share(bulk))
	is.True(float64(f.most()) <= bounds.Allowed(f.rate))
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

// TestOneCallerDoesNotTakeAll has one caller flood a limit beside five that ask for less than an equal part of it, all
// with the same priority. The five are refused less than half as often as the one,
// and no less is admitted in total.
func TestOneCallerDoesNotTakeAll(t *testing.T) {
	t.Parallel()
	const few = 1 // the first of the five
	r := limit.Rate{PerSecond: 328, Burst: 328}
	for _, nodes := range []int{1, 6, 10} {
		t.Run(fmt.Sprint(nodes, " nodes"), func(t *testing.T) {
			is := is.New(t)
			demand := map[string]float64{"one": 800, "each": 40}
			with, without := newFlood(nodes, r), newFlood(nodes, r)
			var share [2][2]float64
			for i, f := range []*flood{without, with} {
				asked, got := [2]int{}, [2]int{}
				all := demand["one"] + 5*demand["each"]
				f.caller = func(uint32) uint64 {
					who := 0
					if f.rand.Float64() >= demand["one"]/all {
						who = few + f.rand.IntN(5)
					}
					f.last = min(who, 1)
					return uint64(who)
				}
				f.after = func(ok bool) {
					asked[f.last]++
					if ok {
						got[f.last]++
					}
				}
				f.run(30*clock.Second, map[uint32]float64{bulk: all}, i == 1)
				for j := range share[i] {
					share[i][j] = float64(got[j]) / float64(max(asked[j], 1))
				}
			}
			t.Logf("one %.3f, was %.3f; five %.3f; all %d, was %d", share[1][0], share[0][0], share[1][1], len(with.times), len(without.times))
			is.True(1-share[1][1] <= (1-share[1][0])/2)
			is.True(float64(len(with.times)) >= 0.98*float64(len(without.times)))
			is.True(float64(with.most()) <= bounds.Allowed(r))
		})
	}
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
				if ok, _ := table.TakeInOrder("w", r, limit.OrderedRequest{Priority: uint32(i % 3), Caller: uint64(i % 7)}); !ok {
					table.RefuseInOrder("w", r)
				}
			}
		})
	}
}
