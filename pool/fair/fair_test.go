package fair_test

import (
	"fmt"
	"math"
	"testing"

	"github.com/matryer/is"
	"github.com/tinladder/tinladder/clock"
	"github.com/tinladder/tinladder/ident"
	"github.com/tinladder/tinladder/pool/fair"
)

// TestLevelIsMaxMin checks the level against shares worked out by hand.
func TestLevelIsMaxMin(t *testing.T) {
	for _, c := range []struct {
		room    float64
		demands []fair.Demand
		want    float64
	}{
		{60, nil, math.Inf(1)},
		{60, []fair.Demand{{60, 1}}, math.Inf(1)},
		{60, []fair.Demand{{10, 1}, {30, 1}, {300, 1}}, 25},
		{60, []fair.Demand{{300, 1}, {300, 2}}, 20},
		{60, []fair.Demand{{20, 10}, {300, 1}}, 40}, // ten that want two each
		{2, []fair.Demand{{1, 1}, {1, 1}, {1, 1}, {1, 1}}, 0.5},
		{0, []fair.Demand{{1, 1}}, 0},
	} {
		if got := fair.Level(c.room, c.demands); got != c.want {
			t.Errorf("room %v, demands %v: level %v, want %v", c.room, c.demands, got, c.want)
		}
	}
}

// entry is a request that waits.
type entry struct {
	priority uint32
	w        ident.Workspace
}

func (e *entry) Place() (uint32, ident.Workspace, float64) {
	return e.priority, e.w, 100
}

func newQueue(room float64) (*fair.Book, *fair.Queue[*entry]) {
	b := fair.New(func() float64 { return room }, func() float64 { return 0.5 }, 2100)
	return b, fair.NewQueue[*entry](b)
}

// TestOrder has waiters come in one order and go in another: by priority, then by the work in flight, then by coming.
func TestOrder(t *testing.T) {
	is := is.New(t)
	b, q := newQueue(10)
	for range 3 {
		b.Begin("heavy")
	}
	b.Begin("some")
	for _, e := range []entry{{1, "heavy"}, {1, "heavy"}, {1, "some"}, {1, ""}, {0, "heavy"}} {
		q.Add(&e)
	}
	is.Equal(q.Ahead(1, "new", 1e9), 200.0) // the more urgent one, and the one of the group that came before with as little
	is.Equal(q.Ahead(1, "heavy", 1e9), 500.0)
	is.True(!q.IsNext(1, "new"))
	is.True(!q.IsNext(0, "heavy"))
	var order []entry
	for {
		e, found := q.Next(nil)
		if !found {
			break
		}
		order = append(order, *e)
		q.Remove(e)
		b.Begin(e.w)
	}
	is.Equal(order, []entry{{0, "heavy"}, {1, ""}, {1, "some"}, {1, "heavy"}, {1, "heavy"}})
}

// TestLongRequestsGetNoMoreTime has two workspaces ask all the time, one for requests that take ten times as long: both
// have a slot as often as the other.
func TestLongRequestsGetNoMoreTime(t *testing.T) {
	b, q := newQueue(10)
	var ends [100]map[ident.Workspace]int
	takes, held, free := map[ident.Workspace]int{"long": 30, "short": 3}, map[ident.Workspace]int{}, 10
	for range 500 {
		q.Add(&entry{w: "long"})
		q.Add(&entry{w: "short"})
	}
	for now := range 3000 {
		for w, n := range ends[now%100] {
			for range n {
				b.End(w)
				held[w] += takes[w]
				free++
			}
		}
		ends[now%100] = map[ident.Workspace]int{}
		for ; free > 0; free-- {
			e, _ := q.Next(nil)
			q.Remove(e)
			q.Add(e)
			b.Begin(e.w)
			end := (now + takes[e.w]) % 100
			if ends[end] == nil {
				ends[end] = map[ident.Workspace]int{}
			}
			ends[end][e.w]++
		}
	}
	if ratio := float64(held["long"]) / float64(held["short"]); ratio < 0.9 || ratio > 1.1 {
		t.Errorf("long requests had %d of slot time, short ones %d", held["long"], held["short"])
	}
}

// TestSkippedWaitersGiveWay has the waiters of one workspace that can use no free slot give way to other workspaces.
func TestSkippedWaitersGiveWay(t *testing.T) {
	is := is.New(t)
	_, q := newQueue(10)
	a1, a2, other := &entry{w: "a"}, &entry{w: "a"}, &entry{w: "b"}
	q.Add(a1)
	q.Add(a2)
	q.Add(other)
	e, _ := q.Next([]*entry{a1})
	is.Equal(e, other)
	e, _ = q.Next([]*entry{a1, other})
	is.Equal(e, a2)
	_, found := q.Next([]*entry{a1, other, a2})
	is.True(!found)
}

// TestClaimsAreBounded has a node claim what cannot be, old and doubled things, and then nothing for long.
func TestClaimsAreBounded(t *testing.T) {
	is := is.New(t)
	b, q := newQueue(10)
	q.Add(&entry{w: "a"})
	from, now := ident.Process{Node: "n2", Incarnation: 1}, clock.Millis(1000)
	told := func() int { return b.Holder(0, "a", now).InFlight }
	b.Apply(from, 5, []fair.Claim{{Workspace: "a", InFlight: 4, Waiting: 1}}, fair.Claim{}, now)
	b.Apply(from, 5, []fair.Claim{{Workspace: "a", InFlight: 4, Waiting: 1}}, fair.Claim{}, now)
	is.Equal(told(), 4)
	b.Apply(from, 4, []fair.Claim{{Workspace: "a", InFlight: 9}}, fair.Claim{}, now) // older
	for _, bad := range []int{-1, 21, math.MaxInt32} {
		b.Apply(from, 6, []fair.Claim{{Workspace: "a", InFlight: bad}}, fair.Claim{}, now)
	}
	b.Apply(from, 6, make([]fair.Claim, 300), fair.Claim{}, now)
	b.Apply(from, 6, nil, fair.Claim{Waiting: -1}, now)
	is.Equal(told(), 4)
	b.Apply(from, 6, []fair.Claim{{Workspace: "a", InFlight: 1, Waiting: math.MaxInt32}}, fair.Claim{}, now)
	is.Equal(b.Holder(0, "a", now).Waiting, 11) // as many as there are slots, and the one here
	now += 2101
	is.True(!b.WaitingElsewhere(now))
	is.Equal(told(), 0)
	is.Equal(len(b.Holders(now)), 1)
}

// TestNamesAreBounded has a thousand nodes name four workspaces each: memory has a bound, and all of it is given back.
func TestNamesAreBounded(t *testing.T) {
	is := is.New(t)
	b, _ := newQueue(1000)
	for i := range 1500 {
		var named []fair.Claim
		for j := range fair.MaxNamed {
			named = append(named, fair.Claim{Workspace: ident.Workspace(fmt.Sprint(i, "-", j)), InFlight: 1, Waiting: 1})
		}
		b.Apply(ident.Process{Node: ident.Node(fmt.Sprint("n", i)), Incarnation: 1}, 1, named, fair.Claim{}, 1000)
	}
	is.True(len(b.Holders(1000)) <= 4096)
	is.Equal(len(b.Holders(9000)), 0)
}

// TestFourAreNamed has a hundred workspaces at a node: the claim names the heaviest four and sums the others up.
func TestFourAreNamed(t *testing.T) {
	is := is.New(t)
	b, q := newQueue(1000)
	for i := range 100 {
		w := ident.Workspace(fmt.Sprintf("w%02d", i))
		for range i {
			b.Begin(w)
		}
		q.Add(&entry{priority: 1, w: w})
	}
	named, others := b.Claims()
	is.Equal(len(named), fair.MaxNamed)
	is.Equal(named[0], fair.Claim{Workspace: "w99", InFlight: 99, Waiting: 1, Rank: 1, Members: 1})
	is.Equal(others, fair.Claim{InFlight: 95 * 96 / 2, Waiting: 96, Rank: 1, Members: 96})
}

// TestUrgencyGoesFirst has a workspace that floods with urgent requests owe nothing to less urgent ones that wait elsewhere.
func TestUrgencyGoesFirst(t *testing.T) {
	is := is.New(t)
	b, q := newQueue(10)
	for range 10 {
		b.Begin("urgent")
	}
	q.Add(&entry{priority: 1, w: "urgent"})
	less := []fair.Claim{{Workspace: "less", Waiting: 5, Rank: 2}}
	b.Apply(ident.Process{Node: "n2"}, 1, less, fair.Claim{}, 1000)
	is.True(!b.Leaves(1, "urgent", 1000))
	less[0].Rank = 1
	b.Apply(ident.Process{Node: "n2"}, 2, less, fair.Claim{}, 1000)
	is.True(b.Leaves(1, "urgent", 1100))
}

// BenchmarkDecision decides who gets the next slot while 1,000 workspaces wait here, one of them for long, and 100 nodes
// claim, with time going on by 0.1 ms each.
func BenchmarkDecision(b *testing.B) {
	book, q := newQueue(300)
	for i := range 1000 {
		q.Add(&entry{w: ident.Workspace(fmt.Sprint("w", i))})
	}
	for range 500 {
		q.Add(&entry{w: "w0"})
	}
	for i := range 100 {
		named := []fair.Claim{{Workspace: "w1", InFlight: 1, Waiting: 1}, {Workspace: "w2", InFlight: 1, Waiting: 1}}
		book.Apply(ident.Process{Node: ident.Node(fmt.Sprint("n", i))}, 1, named, fair.Claim{Waiting: 9, Members: 9}, 1000)
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		e, _ := q.Next(nil)
		now := clock.Millis(1000 + i/10%2000)
		if book.Leaves(e.priority, e.w, now) {
			continue
		}
		q.Remove(e)
		book.Begin(e.w)
		_ = q.Ahead(0, e.w, 3000)
		q.Add(e)
		book.End(e.w)
	}
}

// BenchmarkCalm begins and ends a request while nothing waits.
func BenchmarkCalm(b *testing.B) {
	book, q := newQueue(300)
	b.ReportAllocs()
	for b.Loop() {
		if q.IsNext(0, "w") && !book.Leaves(0, "w", 1000) {
			book.Begin("w")
			book.End("w")
		}
	}
}
