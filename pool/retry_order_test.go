package pool_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"
	"github.com/tinladder/tinladder/clock"
	"github.com/tinladder/tinladder/ident"
	"github.com/tinladder/tinladder/pool"
)

// An orderedBudget is a budget that goes by rank while it is short, with the pool that it belongs to.
type orderedBudget struct {
	*pool.RetryBudget
	pool  *pool.Pool
	clock *clock.Manual
	rand  *rand.Rand
	// asked, made, order and lack count by priority what was asked for, made and denied.
	asked, made, order, lack map[uint32]int
}

func newOrderedBudget(ratio, slack float64) *orderedBudget {
	t := pool.DefaultTuning
	t.RetryOrder = true
	c := clock.NewManual(1000)
	b := pool.NewRetryBudget(c, rand.New(rand.NewPCG(3, 4)), ratio, slack, 10*clock.Second)
	p := pool.New(t, c, rand.New(rand.NewPCG(1, 2)), b, func(pool.ChangeKind, ident.Hall) {}, func(pool.Event) {})
	o := &orderedBudget{RetryBudget: b, pool: p, clock: c, rand: rand.New(rand.NewPCG(5, 6))}
	o.forget()
	return o
}

// forget forgets what was counted.
func (o *orderedBudget) forget() {
	o.asked, o.made, o.order, o.lack = map[uint32]int{}, map[uint32]int{}, map[uint32]int{}, map[uint32]int{}
}

func (o *orderedBudget) ask(a pool.FurtherAttempt) pool.Permit {
	o.asked[a.Priority]++
	p := o.AllowInOrder(a)
	switch p {
	case pool.Allowed:
		o.made[a.Priority]++
	case pool.DeniedForOrder:
		o.order[a.Priority]++
	case pool.DeniedForLack:
		o.lack[a.Priority]++
	}
	return p
}

// run has requests come at these rates a second, by priority, of which a share is turned away at each attempt.
func (o *orderedBudget) run(lasts clock.Millis, turnedAway float64, rates ...float64) {
	for end := o.clock.Now() + lasts; o.clock.Now() < end; o.clock.Advance(5) {
		for priority, rate := range rates {
			for due := rate * 5 / 1000; o.rand.Float64() < due; due-- {
				o.serve(uint32(priority), turnedAway)
			}
		}
	}
}

// serve makes a request's attempts, of which each is turned away with this probability.
func (o *orderedBudget) serve(priority uint32, turnedAway float64) {
	o.AddRequest()
	for range 6 {
		if o.rand.Float64() >= turnedAway || o.ask(pool.FurtherAttempt{Priority: priority}) != pool.Allowed {
			return
		}
	}
}

// TestRetryOrderBeginsAndEndsSoon guards against an order that comes too late for a load of some seconds, or goes on after
// it.
func TestRetryOrderBeginsAndEndsSoon(t *testing.T) {
	is := is.New(t)
	asked, made := [2]int{}, [2]int{}
	for seed := range uint64(10) {
		o := newOrderedBudget(0.2, 4)
		o.rand = rand.New(rand.NewPCG(seed, 6))
		o.run(10*clock.Second, 0.02, 15, 85)
		is.Equal(len(o.order)+len(o.lack), 0)
		o.run(clock.Second/2, 0.5, 15, 85)
		o.forget()
		o.run(8*clock.Second, 0.5, 15, 85)
		for i := range asked {
			asked[i] += o.asked[uint32(i)]
			made[i] += o.made[uint32(i)]
		}
		o.run(clock.Second/2, 0.02, 15, 85)
		o.forget()
		o.run(5*clock.Second, 0.02, 15, 85)
		is.True(o.asked[1] > 0)
		is.Equal(len(o.order)+len(o.lack), 0)
	}
	t.Log("asked", asked, "made", made)
	is.True(made[0] >= asked[0]*9/10) // they need 15 a second, of 20 that the budget has, of which 2 are kept for others
	is.True(made[1] < asked[1]/3)
	is.True(made[0]+made[1] >= 10*20*8*9/10) // what is reserved is little
}

// TestRetryOrderWithoutShortage guards against attempts denied that are allowed in the order of coming, while the budget
// suffices or one attempt comes at a time.
func TestRetryOrderWithoutShortage(t *testing.T) {
	for _, x := range []struct{ requests, asks float64 }{{100, 18}, {20, 3.6}, {3, 0.5}, {0.5, 0.5}, {0, 1.2}} {
		t.Run(fmt.Sprint(x), func(t *testing.T) {
			o := newOrderedBudget(0.2, 3)
			plain := pool.NewRetryBudget(o.clock, rand.New(rand.NewPCG(3, 4)), 0.2, 3, 10*clock.Second)
			for i, r := 0, rand.New(rand.NewPCG(1, 1)); i < 12000; i++ {
				if r.Float64() < x.requests/100 {
					o.AddRequest()
					plain.AddRequest()
				}
				// evenly, since a burst may be a shortage
				if n := x.asks / 100 * float64(i); math.Floor(n) > math.Floor(n-x.asks/100) {
					got, want := o.ask(pool.FurtherAttempt{Priority: r.Uint32N(3)}), plain.Allow()
					if (got == pool.Allowed) != want {
						t.Fatalf("attempt at %d: %v, in the order of coming %t", i, got, want)
					}
				}
				o.clock.Advance(10)
			}
		})
	}
}

// TestRetryOrderOff guards against an order that nobody asked for.
func TestRetryOrderOff(t *testing.T) {
	is := is.New(t)
	c := clock.NewManual(1000)
	b := pool.NewRetryBudget(c, rand.New(rand.NewPCG(3, 4)), 0.2, 3, 10*clock.Second)
	_ = pool.New(pool.DefaultTuning, c, rand.New(rand.NewPCG(1, 2)), b, func(pool.ChangeKind, ident.Hall) {}, func(pool.Event) {})
	for i := range 30 {
		want := pool.DeniedForLack
		if i < 3 {
			want = pool.Allowed
		}
		is.Equal(b.AllowInOrder(pool.FurtherAttempt{Priority: uint32(30 - i)}), want)
	}
	is.True(!b.Short())
	is.Equal(b.Stats().DeniedForOrder, uint64(0))
}

// TestRetryOrderStarvesNone guards against a kind that never gets an attempt beside one that needs more than there is.
func TestRetryOrderStarvesNone(t *testing.T) {
	o := newOrderedBudget(0.2, 4)
	o.run(20*clock.Second, 0.7, 300, 30, 10)
	t.Log("asked", o.asked, "made", o.made, "denied for order", o.order, "for lack", o.lack)
	all := float64(o.made[0]+o.made[1]+o.made[2]) / float64(o.asked[0]+o.asked[1]+o.asked[2])
	for priority := range uint32(3) {
		if got := float64(o.made[priority]) / float64(o.asked[priority]); got < all/4 {
			t.Errorf("priority %d made %.3f of what it asked, all %.3f", priority, got, all)
		}
	}
	if o.made[0] < o.made[1]+o.made[2] {
		t.Error("the urgent ones made fewer")
	}
}

// TestRetryOrderWithLittle guards against nodes whose reserve is never saved, so that urgent attempts would wait for it.
func TestRetryOrderWithLittle(t *testing.T) {
	for _, rate := range []float64{1, 3, 5, 8, 12, 20} {
		t.Run(fmt.Sprint(rate), func(t *testing.T) {
			o := newOrderedBudget(0.2, 0)
			o.run(200*clock.Second, 0.9, rate/2, rate/2)
			made := o.made[0] + o.made[1]
			t.Log("asked", o.asked, "made", o.made, "denied for order", o.order, "for lack", o.lack)
			if want := int(0.2 * rate * 200 * 0.8); made < want {
				t.Errorf("%d attempts, want %d", made, want)
			}
			if o.made[0] < o.made[1]*9/10 {
				t.Error("the urgent ones made fewer")
			}
		})
	}
}

// TestRetryOrderRanks guards against a later rank that goes before an earlier one, and checks ranks that nobody expects.
func TestRetryOrderRanks(t *testing.T) {
	ranks := []pool.FurtherAttempt{
		{Priority: 0, Loss: pool.LosesAnswer},
		{Priority: 0, Loss: pool.LosesLateAnswer},
		{Priority: 0, Loss: pool.LosesTime},
		{Priority: 1, Loss: pool.LosesAnswer},
		{Priority: math.MaxUint32, Loss: pool.LosesAnswer},
		{Priority: math.MaxUint32, Loss: 99},
	}
	for i, urgent := range ranks[:len(ranks)-1] {
		later := ranks[i+1]
		t.Run(fmt.Sprintf("%d %v before %d %d", urgent.Priority, urgent.Loss, later.Priority, later.Loss), func(t *testing.T) {
			o := newOrderedBudget(0.2, 0)
			var made [2]int
			for range 3000 { // 100 requests, 15 urgent and 100 other attempts a second
				o.AddRequest()
				if o.rand.Float64() < 0.15 && o.ask(urgent) == pool.Allowed {
					made[0]++
				}
				if o.ask(later) == pool.Allowed {
					made[1]++
				}
				o.clock.Advance(10)
			}
			t.Log("made", made)
			if made[0] < 400 || made[1] > 250 {
				t.Error("made", made)
			}
		})
	}
}

// TestRetryOrderIsBounded guards against state and log lines that grow with the number of priorities.
func TestRetryOrderIsBounded(t *testing.T) {
	is := is.New(t)
	o := newOrderedBudget(0.2, 0)
	for i := range uint32(20000) {
		o.AddRequest()
		o.ask(pool.FurtherAttempt{Priority: 1 + i*7919%1000})
		if i%7 == 0 {
			o.ask(pool.FurtherAttempt{})
		}
		o.clock.Advance(5)
	}
	s := o.Stats()
	is.True(len(s.DeniedByRank) <= 24)
	sum := s.OtherDenied
	for _, d := range s.DeniedByRank {
		sum += d.Denied
	}
	is.Equal(sum, s.DeniedForOrder)
	is.True(s.Denied >= s.DeniedForOrder)
	t.Log("urgent made", o.made[0], "of", o.asked[0])
	is.True(o.made[0] >= o.asked[0]*9/10) // 29 a second, of 40 that the budget has
	o.clock.Advance(30 * clock.Second)
	for i := range uint32(24) { // all ranks have lapsed
		o.ask(pool.FurtherAttempt{Priority: 5000 + i})
	}
	is.Equal(o.Stats().Short, true)
}

// TestRetryOrderNeverAllowsMore guards against further attempts beyond what the requests of 1.25 windows and the slack
// allow, in any window.
func TestRetryOrderNeverAllowsMore(t *testing.T) {
	const ratio, slack, window = 0.2, 5, 10 * clock.Second
	for seed := range uint64(10) {
		o := newOrderedBudget(ratio, slack)
		r := rand.New(rand.NewPCG(seed, 9))
		var asked, made []clock.Millis
		for o.clock.Now() < 60*clock.Second {
			load := 20 * float64(1+o.clock.Now()/(7*clock.Second)%3)
			if r.Float64() < load/100 {
				o.AddRequest()
				asked = append(asked, o.clock.Now())
			}
			for range r.IntN(3) {
				if o.ask(pool.FurtherAttempt{Priority: r.Uint32N(4), Loss: pool.Loss(r.IntN(3))}) == pool.Allowed {
					made = append(made, o.clock.Now())
				}
			}
			o.clock.Advance(10)
		}
		within := func(times []clock.Millis, from, until clock.Millis) (n int) {
			for _, at := range times {
				if at > from && at <= until {
					n++
				}
			}
			return n
		}
		for _, at := range made {
			most := ratio*float64(within(asked, at-window*5/4, at)) + slack + 1 // the remainder
			if n := within(made, at-window, at); float64(n) > most {
				t.Fatalf("%d attempts in a window, at most %.1f are allowed", n, most)
			}
		}
	}
}

// TestRetryOrderSavesWithoutChance guards against a budget that is spent while nearly no attempt succeeds, and gone when
// targets respond again.
func TestRetryOrderSavesWithoutChance(t *testing.T) {
	is := is.New(t)
	o := newOrderedBudget(0.2, 100)
	o.pool.SetTargets(targets(1, 1000))
	end := func(out pool.Outcome) {
		now := o.clock.Now()
		l := o.pool.TryAcquire(&pool.Request{Began: now, Objective: clock.Second, Deadline: now + clock.Second})
		if l == nil {
			t.Fatal("no lease")
		}
		l.Done(out, false)
	}
	load := func(lasts clock.Millis, out func() pool.Outcome) {
		for until := o.clock.Now() + lasts; o.clock.Now() < until; o.clock.Advance(10) {
			o.AddRequest()
			end(out())
			o.ask(pool.FurtherAttempt{Priority: o.rand.Uint32N(2)})
		}
	}
	load(8*clock.Second, func() pool.Outcome { return pool.Shed })
	t.Log("without chance: asked", o.asked, "made", o.made, "slack", o.Stats().Slack)
	is.True(o.Stats().Chance < 0.05)
	is.True(o.made[0]+o.made[1] > 0)
	is.True(o.Stats().Slack > 50)
	load(clock.Second/2, func() pool.Outcome {
		if o.rand.Float64() < 0.5 {
			return pool.Good
		}
		return pool.Shed
	})
	o.forget()
	load(clock.Second, func() pool.Outcome { return pool.Good })
	t.Log("with a chance: asked", o.asked, "made", o.made)
	is.True(o.made[0] >= o.asked[0]*9/10)
}

// TestRetryOrderOfRequests guards against retries that are ranked by what their callers don't lose.
func TestRetryOrderOfRequests(t *testing.T) {
	is := is.New(t)
	o := newOrderedBudget(0, 0)
	now := o.clock.Now()
	denied := func() (list []string) {
		for _, d := range o.Stats().DeniedByRank {
			list = append(list, fmt.Sprintf("%d/%v:%d", d.Priority, d.Loss, d.Denied))
		}
		return list
	}
	for range 40 {
		o.pool.AllowRetry(&pool.Request{Priority: 2, Began: now, Objective: clock.Second})
		o.pool.AllowRetry(&pool.Request{Priority: 2, Began: now, Objective: 10})
		o.pool.AllowRetry(&pool.Request{Priority: 1, Began: now})
		o.pool.AllowHedge(&pool.Request{Priority: 1, Began: now, Objective: clock.Second})
	}
	is.Equal(fmt.Sprint(denied()), "[1/retry:40 1/hedge:40 2/retry:39 2/late:39]") // the first two decide nothing
}

// TestRetryOrderAllocatesNothing guards against a decision that costs more under load.
func TestRetryOrderAllocatesNothing(t *testing.T) {
	o := busyBudget()
	i := uint32(0)
	if n := testing.AllocsPerRun(1000, func() {
		i++
		o.AllowInOrder(pool.FurtherAttempt{Priority: i % 100})
	}); n > 0 {
		t.Errorf("%v allocations", n)
	}
}

// busyBudget returns a budget that is short, with as many ranks as are told apart.
func busyBudget() *orderedBudget {
	o := newOrderedBudget(0.2, 0)
	for i := range uint32(1000) {
		o.AddRequest()
		o.ask(pool.FurtherAttempt{Priority: i % 100})
		o.clock.Advance(1)
	}
	return o
}

// BenchmarkRetryOrder has the decision made while the budget is short, with as many ranks as are told apart.
func BenchmarkRetryOrder(b *testing.B) {
	o := busyBudget()
	b.ReportAllocs()
	i := uint32(0)
	for b.Loop() {
		i++
		if i%4 == 0 {
			o.clock.Advance(1)
		}
		o.AllowInOrder(pool.FurtherAttempt{Priority: i % 100})
	}
}
