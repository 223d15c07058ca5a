package limit_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/tinladder/tinladder/clock"
	"github.com/tinladder/tinladder/ident"
	"github.com/tinladder/tinladder/limit"
)

// fleet simulates nodes in virtual time that share limits, with messages that are delayed and get lost.
type fleet struct {
	t      reporter
	clock  *clock.Manual
	rand   *rand.Rand
	bounds limit.Bounds
	nodes  []*node
	// carriers is how many nodes callers are sent to.
	carriers int
	// lending reports whether nodes lend each other quota, and lossRate is the fraction of messages that are lost.
	lending  bool
	lossRate float64
	// detectionDelay is how long a node takes to notice that it has lost contact with another one.
	detectionDelay clock.Millis
	// discovery returns how long after both have started two nodes discover each other; at once if nil. startWait is how
	// long a request waits on a node that has just started.
	discovery func(a, b *node) clock.Millis
	startWait clock.Millis
	waiting   []waiter
	// inFlight are messages that have not been delivered, in the order of sending.
	inFlight []message
	// admitted are the times of admitted requests by workspace, and refused counts the others.
	admitted map[ident.Workspace][]clock.Millis
	refused  map[ident.Workspace]int
}

// reporter is the part of testing.T and rapid.T that is used here.
type reporter interface {
	Helper()
	Logf(format string, args ...any)
	Errorf(format string, args ...any)
}

type node struct {
	id              int
	table           *limit.Table
	clock           *pausableClock
	startedAt       clock.Millis
	peakLive        int
	reachedAllSeeds bool
	startup         *limit.Startup
	side            int
	down            bool
	paused          bool
	// heardAt is when the node was last in contact with each other one.
	heardAt map[*node]clock.Millis
	// suspectedUntil is until when the node sends no callers to others, although it is in contact with them.
	suspectedUntil map[*node]clock.Millis
}

// pausableClock is a node's clock, which advances while the node is paused.
type pausableClock struct{ clock.Clock }

type message struct {
	at       clock.Millis
	from, to int
	ask      *limit.LoanRequest
	lent     float64
	seq      uint64
	w        ident.Workspace
}

const (
	window  = 5 * clock.Second
	step    = 10
	latency = 10
	// loanWait is how long a request waits for a loan, in ms.
	loanWait = 30
)

func newFleet(t reporter, nodes, carriers int, lending bool, seed uint64) *fleet {
	f := &fleet{
		t: t, clock: clock.NewManual(100_000), rand: rand.New(rand.NewPCG(seed, 1)), carriers: carriers, lending: lending,
		bounds:   limit.Bounds{Window: window, Overshoot: 0.1, Slack: 20},
		admitted: map[ident.Workspace][]clock.Millis{}, refused: map[ident.Workspace]int{},
	}
	for i := range nodes {
		n := &node{id: i}
		f.nodes = append(f.nodes, n)
		f.start(n)
	}
	return f
}

// start starts a new process for the node.
func (f *fleet) start(n *node) {
	n.clock = &pausableClock{f.clock}
	n.table, n.startedAt, n.down, n.peakLive, n.reachedAllSeeds = limit.New(n.clock, f.bounds), f.clock.Now(), false, 0, false
	n.heardAt = map[*node]clock.Millis{}
	n.startup = limit.NewStartup(f.clock.Now())
}

// connected reports whether messages can pass between two nodes.
func (f *fleet) connected(a, b *node) bool {
	return !a.down && !b.down && a.side == b.side
}

// considersReachable reports whether node n counts m as in contact.
func (f *fleet) considersReachable(n, m *node) bool {
	now := f.clock.Now()
	if m != n && f.discovery != nil && now < max(n.startedAt, m.startedAt)+f.discovery(n, m) {
		return false
	}
	if m == n || f.connected(n, m) {
		n.heardAt[m] = now
		return true
	}
	at, heard := n.heardAt[m]
	return heard && now-at < f.detectionDelay
}

// view returns what a node knows of the fleet. The sharers are the first nodes that it is in contact with.
func (f *fleet) view(n *node) limit.View {
	v := limit.View{SharerCount: 0}
	coldStart := true
	now := f.clock.Now()
	for _, m := range f.nodes {
		if !f.considersReachable(n, m) {
			continue
		}
		v.Live++
		if f.connected(n, m) && f.discovery == nil {
			n.peakLive = max(n.peakLive, m.peakLive) // nodes exchange this on first contact
		}
		if v.SharerCount < f.carriers && n.suspectedUntil[m] <= now {
			v.SharerCount++
			v.Sharers = append(v.Sharers, ident.Node(fmt.Sprint(m.id)))
			v.IsSharer = v.IsSharer || m == n
		}
		coldStart = coldStart && max(m.startedAt-n.startedAt, n.startedAt-m.startedAt) < 3*clock.Second
	}
	n.peakLive = max(n.peakLive, v.Live)
	for _, i := range slices.Compact([]int{0, len(f.nodes) / 2, len(f.nodes) - 1}) { // the configured seeds
		v.Seeds++
		if f.considersReachable(n, f.nodes[i]) {
			v.SeedsReached++
		}
	}
	if n.reachedAllSeeds = n.reachedAllSeeds || v.ReachedAllSeeds(); n.reachedAllSeeds {
		v.Seeds, v.SeedsReached = 0, 0
	}
	v.PeakLive, v.ColdStart = n.peakLive, coldStart && now-n.startedAt < 2*clock.Second
	if v.JustStarted = now-n.startedAt < 500; f.discovery != nil {
		v = n.startup.Observe(v, now)
		v.ColdStart = coldStart && now-n.startedAt < limit.ColdStartPeriod
	}
	return v
}

// run runs the fleet for a span. Ask returns how many requests per second each workspace sends to a node.
func (f *fleet) run(span clock.Millis, rates map[ident.Workspace]limit.Rate, ask func(w ident.Workspace, n *node) float64) {
	for range span / step {
		f.clock.Advance(step)
		f.deliver()
		f.retryWaiting()
		for _, n := range f.nodes {
			if n.down || n.paused {
				continue
			}
			if f.clock.Now()%100 == 0 {
				n.table.Tick(f.view(n))
			}
			for _, w := range slices.Sorted(maps.Keys(rates)) {
				r := rates[w]
				expected := ask(w, n) * step / 1000
				for expected > 0 && f.rand.Float64() < expected {
					f.request(n, w, r)
					expected--
				}
			}
		}
	}
}

func (f *fleet) request(n *node, w ident.Workspace, r limit.Rate) {
	admitted, q := n.table.Take(w, r)
	if q != nil && f.lending {
		f.ask(n, q)
	}
	switch {
	case admitted:
		f.admitted[w] = append(f.admitted[w], f.clock.Now())
	case f.lending:
		wait := clock.Millis(loanWait)
		if n.startup.IsStarting(f.clock.Now()) {
			wait = max(wait, f.startWait)
		}
		f.waiting = append(f.waiting, waiter{node: n, w: w, until: f.clock.Now() + wait})
	default:
		f.refused[w]++
	}
}

// retryWaiting admits waiting requests whose loans have arrived, and refuses those that waited for too long.
func (f *fleet) retryWaiting() {
	waiting := f.waiting
	f.waiting = nil
	for _, x := range waiting {
		admitted, q := x.node.table.Retry(x.w, rates[x.w])
		if q != nil {
			f.ask(x.node, q)
		}
		switch {
		case admitted:
			f.admitted[x.w] = append(f.admitted[x.w], f.clock.Now())
		case f.clock.Now() >= x.until || x.node.down:
			f.refused[x.w]++
		default:
			f.waiting = append(f.waiting, x)
		}
	}
}

// waiter is a request that waits at a node for a loan.
type waiter struct {
	node  *node
	w     ident.Workspace
	until clock.Millis
}

func (f *fleet) ask(n *node, q *limit.LoanRequest) {
	sent := 0
	for _, m := range f.nodes {
		if sent == f.carriers || m.id >= f.carriers && f.discovery == nil {
			return
		}
		if f.discovery != nil && !f.considersReachable(n, m) {
			continue
		}
		if sent++; m != n {
			f.send(message{from: n.id, to: m.id, ask: q})
		}
	}
}

func (f *fleet) send(m message) {
	if f.rand.Float64() < f.lossRate || !f.connected(f.nodes[m.from], f.nodes[m.to]) {
		return
	}
	m.at = f.clock.Now() + latency
	f.inFlight = append(f.inFlight, m)
}

// deliver delivers messages that are due; those to a paused node stay in flight.
func (f *fleet) deliver() {
	mail := f.inFlight
	f.inFlight = nil
	for _, m := range mail {
		to := f.nodes[m.to]
		switch {
		case m.at > f.clock.Now() || to.paused:
			f.inFlight = append(f.inFlight, m)
		case to.down:
		case m.ask != nil:
			r := f.rateOf(m.ask.Workspace)
			if lent := to.table.Lend(m.ask.Workspace, r, m.ask.Amount); lent > 0 {
				f.send(message{from: m.to, to: m.from, lent: lent, seq: m.ask.Seq, w: m.ask.Workspace})
			}
		default:
			to.table.AddLoan(m.w, ident.Node(fmt.Sprint(m.from)), m.lent, m.seq)
		}
	}
}

var rates = map[ident.Workspace]limit.Rate{
	"large": {PerSecond: 96, Burst: 96}, "middle": {PerSecond: 16, Burst: 16}, "small": {PerSecond: 5, Burst: 5},
}

func (f *fleet) rateOf(w ident.Workspace) limit.Rate { return rates[w] }

// check fails if any window exceeds the bounds, and returns the fraction of requests refused.
func (f *fleet) check(name string) (refused float64) {
	f.t.Helper()
	all, refusedCount := 0, 0
	for w, r := range rates {
		times := f.admitted[w]
		most, from := 0, 0
		for i, at := range times {
			for times[from] <= at-window {
				from++
			}
			most = max(most, i-from+1)
		}
		f.t.Logf("%s: %s made at most %d in a window of %.0f", name, w, most, f.bounds.Allowed(r))
		if allowed := f.bounds.Allowed(r); float64(most) > allowed {
			f.t.Errorf("%s: %s made %d requests in a window, %.0f are allowed", name, w, most, allowed)
		}
		all += len(times) + f.refused[w]
		refusedCount += f.refused[w]
	}
	return float64(refusedCount) / float64(max(all, 1))
}

// evenLoad spreads a multiple of the normal load, which is rate / 1.6, evenly over the carriers.
func (f *fleet) evenLoad(times float64) func(w ident.Workspace, n *node) float64 {
	return func(w ident.Workspace, n *node) float64 {
		if n.id >= f.carriers {
			return 0
		}
		return times * rates[w].PerSecond / 1.6 / float64(f.carriers)
	}
}

// loadOnTwo sends all requests of a workspace to two nodes.
func (f *fleet) loadOnTwo(times float64) func(w ident.Workspace, n *node) float64 {
	return func(w ident.Workspace, n *node) float64 {
		if n.id > 1 {
			return 0
		}
		return times * rates[w].PerSecond / 1.6 / 2
	}
}

// TestLimitHolds overloads the fleet during faults. No window may exceed the bounds, whatever the nodes know of each
// other.
func TestLimitHolds(t *testing.T) {
	t.Parallel()
	const flood = 8
	cases := []struct {
		name string
		play func(f *fleet)
	}{
		{"overload", func(f *fleet) { f.run(20*clock.Second, rates, f.evenLoad(flood)) }},
		{"overload on two nodes", func(f *fleet) { f.run(20*clock.Second, rates, f.loadOnTwo(flood)) }},
		{"idle, then overload", func(f *fleet) {
			f.run(10*clock.Second, rates, f.evenLoad(0.1))
			f.run(10*clock.Second, rates, f.evenLoad(flood))
		}},
		{"messages are lost", func(f *fleet) {
			f.lossRate = 0.3
			f.run(20*clock.Second, rates, f.loadOnTwo(flood))
		}},
		{"split in halves", func(f *fleet) {
			f.run(8*clock.Second, rates, f.evenLoad(0.1))
			f.partition(len(f.nodes) / 2)
			f.run(20*clock.Second, rates, f.loadOnAll(flood))
		}},
		{"a third split off, and healed", func(f *fleet) {
			f.run(8*clock.Second, rates, f.evenLoad(0.1))
			f.partition(len(f.nodes) / 3)
			f.run(10*clock.Second, rates, f.loadOnAll(flood))
			f.partition(0)
			f.run(10*clock.Second, rates, f.loadOnAll(flood))
		}},
		{"split in fifths", func(f *fleet) {
			f.run(8*clock.Second, rates, f.evenLoad(0.1))
			for i, n := range f.nodes {
				n.side = i % 5
			}
			f.run(20*clock.Second, rates, f.loadOnAll(flood))
		}},
		{"all killed twice in a window", func(f *fleet) {
			f.run(10*clock.Second, rates, f.evenLoad(0.1))
			f.run(clock.Second, rates, f.evenLoad(flood))
			for range 2 {
				f.killAll(200)
				f.run(1500, rates, f.evenLoad(flood))
			}
			f.run(10*clock.Second, rates, f.evenLoad(flood))
		}},
		{"some killed repeatedly", func(f *fleet) {
			f.run(10*clock.Second, rates, f.evenLoad(0.1))
			for i := range 10 {
				n := f.nodes[i%f.carriers]
				n.down = true
				f.run(700, rates, f.evenLoad(flood))
				f.start(n)
				f.run(300, rates, f.evenLoad(flood))
			}
		}},
		{"pause and resume", func(f *fleet) {
			f.run(10*clock.Second, rates, f.evenLoad(0.1))
			for _, n := range f.nodes[:f.carriers/2] {
				n.paused = true
			}
			f.run(6*clock.Second, rates, f.evenLoad(flood))
			for _, n := range f.nodes {
				n.paused = false
			}
			f.run(10*clock.Second, rates, f.evenLoad(flood))
		}},
	}
	for _, c := range cases {
		for seed := range uint64(3) {
			t.Run(fmt.Sprint(c.name, " ", seed), func(t *testing.T) {
				f := newFleet(t, 30, 6, true, seed)
				c.play(f)
				f.check(c.name)
			})
		}
	}
}

// TestLimitHoldsUnderSuspicions has nodes suspect each other for a while, each a different few, as happens with message
// loss and a paused process. When each node computed its share from the nodes that it would send callers to at the
// moment, it left out suspected nodes although they kept using their shares: four real nodes admitted 73 to 81 requests
// of a workspace in 5 s where 72.8 are allowed. Within two seconds one node logged "carriers=1 live=4 share=1.0000",
// another "carriers=2 live=4 share=0.5000", and two "carriers=4 live=4 share=0.2500".
func TestLimitHoldsUnderSuspicions(t *testing.T) {
	t.Parallel()
	for _, size := range []struct{ nodes, carriers int }{{4, 4}, {30, 6}} {
		for seed := range uint64(3) {
			t.Run(fmt.Sprintf("%d of %d nodes, %d", size.carriers, size.nodes, seed), func(t *testing.T) {
				f := newFleet(t, size.nodes, size.carriers, true, seed)
				f.run(10*clock.Second, rates, f.loadOnAll(0.1))
				for range 8 {
					f.suspectAtRandom(0.5)
					f.run(2*clock.Second, rates, f.loadOnAll(8))
				}
				f.check("suspicions")
			})
		}
	}
}

// loadOnAll spreads requests evenly over all nodes, so that they reach the sharers on each side of a partition.
func (f *fleet) loadOnAll(times float64) func(w ident.Workspace, n *node) float64 {
	return func(w ident.Workspace, _ *node) float64 {
		return times * rates[w].PerSecond / 1.6 / float64(len(f.nodes))
	}
}

// partition separates the nodes before the given one from the rest; 0 ends the network partition.
func (f *fleet) partition(first int) {
	for i, n := range f.nodes {
		n.side = 0
		if i < first {
			n.side = 1
		}
	}
}

// suspectAtRandom has each node suspect a random fraction of the others, for less than a suspicion lasts.
func (f *fleet) suspectAtRandom(share float64) {
	for _, n := range f.nodes {
		n.suspectedUntil = map[*node]clock.Millis{}
		for _, m := range f.nodes {
			if m != n && f.rand.Float64() < share {
				n.suspectedUntil[m] = f.clock.Now() + clock.Millis(f.rand.IntN(2500))
			}
		}
	}
}

// killAll kills all processes and restarts them after a while.
func (f *fleet) killAll(down clock.Millis) {
	for _, n := range f.nodes {
		n.down = true
	}
	f.inFlight = nil
	f.clock.Advance(down)
	for _, n := range f.nodes {
		f.start(n)
	}
}

// TestNormalLoadIsAdmitted sends normal load, evenly and to two nodes of six. With lending almost nothing may be
// refused; with fixed shares of six nodes a quarter would be, and with fixed shares of all nodes nearly everything.
func TestNormalLoadIsAdmitted(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name     string
		carriers int
		lends    bool
		uneven   bool
		// least and most bound the fraction that is refused.
		least, most float64
	}{
		{"lent, evenly", 6, true, false, 0, 0.01},
		{"lent, to two nodes", 6, true, true, 0, 0.03},
		{"shares of carriers, evenly", 6, false, false, 0.002, 0.5},
		{"shares of carriers, to two nodes", 6, false, true, 0.2, 0.7},
		{"shares of all nodes, to two nodes", 30, false, true, 0.8, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFleet(t, 30, c.carriers, c.lends, 5)
			f.run(8*clock.Second, rates, f.evenLoad(0))
			ask := f.evenLoad(1)
			if c.uneven {
				ask = f.loadOnTwo(1)
			}
			f.run(40*clock.Second, rates, ask)
			got := f.check(c.name)
			t.Logf("refused %.4f", got)
			if got < c.least || got > c.most {
				t.Errorf("refused %.4f, want %.2f to %.2f", got, c.least, c.most)
			}
		})
	}
}

// TestRestartServesBacklog kills all processes of a fleet for 1.5 s, and sends the backlog when they restart.
func TestRestartServesBacklog(t *testing.T) {
	f := newFleet(t, 30, 6, true, 7)
	f.run(20*clock.Second, rates, f.evenLoad(1))
	f.refused = map[ident.Workspace]int{}
	f.killAll(1500)
	f.run(500, rates, f.evenLoad(0))
	f.run(1*clock.Second, rates, f.evenLoad(2))
	f.run(4*clock.Second, rates, f.evenLoad(1))
	refused := 0
	for w := range rates {
		refused += f.refused[w]
	}
	t.Logf("refused %d", refused)
	if refused > 60 {
		t.Errorf("refused %d of some 480, want 60 at most", refused)
	}
	f.check("start")
}
