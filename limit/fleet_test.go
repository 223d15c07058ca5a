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

// A fleet is nodes in virtual time that share limits, with messages that take time and get lost.
type fleet struct {
	t      reporter
	clock  *clock.Manual
	rand   *rand.Rand
	bounds limit.Bounds
	nodes  []*node
	// carriers is how many nodes callers are sent to.
	carriers int
	// lending says that nodes lend each other, lossRate is the share of messages that do not arrive.
	lending  bool
	lossRate float64
	// detectionDelay is how long a node takes others for heard that it does not hear any more.
	detectionDelay clock.Millis
	waiting        []waiter
	// inFlight is what is on its way, in order.
	inFlight []message
	// admitted are the times of requests that were admitted, by workspace, and refused counts the others.
	admitted map[ident.Workspace][]clock.Millis
	refused  map[ident.Workspace]int
}

// A reporter is a test of either kind.
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
	known           int
	reachedAllSeeds bool
	side            int
	down            bool
	paused          bool
	// heardAt is when the node last heard each other one.
	heardAt map[*node]clock.Millis
	// suspectedUntil are until when this node does not take others for such that callers may be sent to, though it hears them.
	suspectedUntil map[*node]clock.Millis
}

// pausableClock is a node's clock, which runs on while the node stands still.
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
	// loanWait is how long a request waits for a loan.
	loanWait = 30
)

func newFleet(t reporter, nodes, carriers int, lends bool, seed uint64) *fleet {
	f := &fleet{
		t: t, clock: clock.NewManual(100_000), rand: rand.New(rand.NewPCG(seed, 1)), carriers: carriers, lending: lends,
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

// start starts a node's process anew.
func (f *fleet) start(n *node) {
	n.clock = &pausableClock{f.clock}
	n.table, n.startedAt, n.down, n.known, n.reachedAllSeeds = limit.New(n.clock, f.bounds), f.clock.Now(), false, 0, false
	n.heardAt = map[*node]clock.Millis{}
}

// connected says whether messages go from one node to the other.
func (f *fleet) connected(a, b *node) bool {
	return !a.down && !b.down && a.side == b.side
}

// considersReachable says whether a node takes the other one for heard.
func (f *fleet) considersReachable(n, m *node) bool {
	now := f.clock.Now()
	if m == n || f.connected(n, m) {
		n.heardAt[m] = now
		return true
	}
	at, heard := n.heardAt[m]
	return heard && now-at < f.detectionDelay
}

// view is what a node sees, and who carries by it: the first ones that it hears.
func (f *fleet) view(n *node) limit.View {
	v := limit.View{SharerCount: 0}
	fresh := true
	now := f.clock.Now()
	for _, m := range f.nodes {
		if !f.considersReachable(n, m) {
			continue
		}
		v.Live++
		if f.connected(n, m) {
			n.known = max(n.known, m.known) // nodes tell each other when they meet
		}
		if v.SharerCount < f.carriers && n.suspectedUntil[m] <= now {
			v.SharerCount++
			v.Sharers = append(v.Sharers, ident.Node(fmt.Sprint(m.id)))
			v.IsSharer = v.IsSharer || m == n
		}
		fresh = fresh && max(m.startedAt-n.startedAt, n.startedAt-m.startedAt) < 3*clock.Second
	}
	n.known = max(n.known, v.Live)
	for _, i := range slices.Compact([]int{0, len(f.nodes) / 2, len(f.nodes) - 1}) { // named in the settings
		v.Seeds++
		if f.considersReachable(n, f.nodes[i]) {
			v.SeedsReached++
		}
	}
	if n.reachedAllSeeds = n.reachedAllSeeds || v.ReachedAllSeeds(); n.reachedAllSeeds {
		v.Seeds, v.SeedsReached = 0, 0
	}
	v.PeakLive, v.JustStarted = n.known, now-n.startedAt < 500
	v.ColdStart = fresh && now-n.startedAt < 2*clock.Second
	return v
}

// run runs the fleet for a while. Ask returns how many requests a second each workspace sends to the node.
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
		f.waiting = append(f.waiting, waiter{node: n, w: w, until: f.clock.Now() + loanWait})
	default:
		f.refused[w]++
	}
}

// retryWaiting admits requests that wait for what their nodes asked for, and refuses those that waited long enough.
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

// A waiter is a request that waits at a node.
type waiter struct {
	node  *node
	w     ident.Workspace
	until clock.Millis
}

func (f *fleet) ask(n *node, q *limit.LoanRequest) {
	for _, m := range f.nodes[:f.carriers] {
		if m != n {
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

// deliver hands over what has arrived; what arrives at a node that stands still waits there.
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

// check fails if any window has more than the bounds allow, and returns the share that was refused.
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

// evenLoad is what workspaces send when all is well: some rate / 1.6, to the carriers alike.
func (f *fleet) evenLoad(times float64) func(w ident.Workspace, n *node) float64 {
	return func(w ident.Workspace, n *node) float64 {
		if n.id >= f.carriers {
			return 0
		}
		return times * rates[w].PerSecond / 1.6 / float64(f.carriers)
	}
}

// loadOnTwo sends all of a workspace's requests to two nodes.
func (f *fleet) loadOnTwo(times float64) func(w ident.Workspace, n *node) float64 {
	return func(w ident.Workspace, n *node) float64 {
		if n.id > 1 {
			return 0
		}
		return times * rates[w].PerSecond / 1.6 / 2
	}
}

// TestLimitHolds floods the fleet while things go wrong with it. No window has more than the bounds allow, whatever
// the fleet knows of itself.
func TestLimitHolds(t *testing.T) {
	t.Parallel()
	const flood = 8
	cases := []struct {
		name string
		play func(f *fleet)
	}{
		{"hot workspaces", func(f *fleet) { f.run(20*clock.Second, rates, f.evenLoad(flood)) }},
		{"hot workspaces on two nodes", func(f *fleet) { f.run(20*clock.Second, rates, f.loadOnTwo(flood)) }},
		{"calm, then hot", func(f *fleet) {
			f.run(10*clock.Second, rates, f.evenLoad(0.1))
			f.run(10*clock.Second, rates, f.evenLoad(flood))
		}},
		{"messages are lost", func(f *fleet) {
			f.lossRate = 0.3
			f.run(20*clock.Second, rates, f.loadOnTwo(flood))
		}},
		{"cut in halves", func(f *fleet) {
			f.run(8*clock.Second, rates, f.evenLoad(0.1))
			f.partition(len(f.nodes) / 2)
			f.run(20*clock.Second, rates, f.loadOnAll(flood))
		}},
		{"a third cut off, and back", func(f *fleet) {
			f.run(8*clock.Second, rates, f.evenLoad(0.1))
			f.partition(len(f.nodes) / 3)
			f.run(10*clock.Second, rates, f.loadOnAll(flood))
			f.partition(0)
			f.run(10*clock.Second, rates, f.loadOnAll(flood))
		}},
		{"in fifths", func(f *fleet) {
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
		{"some killed again and again", func(f *fleet) {
			f.run(10*clock.Second, rates, f.evenLoad(0.1))
			for i := range 10 {
				n := f.nodes[i%f.carriers]
				n.down = true
				f.run(700, rates, f.evenLoad(flood))
				f.start(n)
				f.run(300, rates, f.evenLoad(flood))
			}
		}},
		{"stand still and wake", func(f *fleet) {
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

// TestLimitHoldsUnderDoubts has nodes doubt each other for a while, each another few, as they do where messages are lost
// and a process stands still. On four real nodes 73 to 81 requests of one workspace ran within 5 s where 72.8 are
// allowed. Each took its part by how many nodes it just then would send callers to, and whoever is held suspect for a
// moment is not among them, though it goes on with its part. Within two seconds one node said "carriers=1 live=4
// share=1.0000", another "carriers=2 live=4 share=0.5000", two "carriers=4 live=4 share=0.2500".
func TestLimitHoldsUnderDoubts(t *testing.T) {
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
				f.check("doubts")
			})
		}
	}
}

// loadOnAll sends requests to the carriers, and to what nodes of each side take for carriers.
func (f *fleet) loadOnAll(times float64) func(w ident.Workspace, n *node) float64 {
	return func(w ident.Workspace, _ *node) float64 {
		return times * rates[w].PerSecond / 1.6 / float64(len(f.nodes))
	}
}

// partition puts every node before the one named on a side of its own.
func (f *fleet) partition(first int) {
	for i, n := range f.nodes {
		n.side = 0
		if i < first {
			n.side = 1
		}
	}
}

// suspectAtRandom has each node suspect some of the others for less than a suspicion lasts, all by chance.
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

// killAll ends all processes, and starts them again after a while.
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

// TestUsualWorkIsAdmitted sends what workspaces usually do, evenly and to two nodes of six. Nodes that lend each other
// refuse nearly nothing; by parts alone a quarter would be refused, and by parts of all nodes nearly all.
func TestUsualWorkIsAdmitted(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name     string
		carriers int
		lends    bool
		uneven   bool
		// least and most bound the share that is refused.
		least, most float64
	}{
		{"lent, evenly", 6, true, false, 0, 0.01},
		{"lent, to two nodes", 6, true, true, 0, 0.03},
		{"parts of carriers, evenly", 6, false, false, 0.002, 0.5},
		{"parts of carriers, to two nodes", 6, false, true, 0.2, 0.7},
		{"parts of all nodes, to two nodes", 30, false, true, 0.8, 1},
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

// TestStartServesWhatComesBack ends all processes of a fleet for a second and a half, and sends what was missed at
// once when they start again.
func TestStartServesWhatComesBack(t *testing.T) {
	f := newFleet(t, 30, 6, true, 7)
	f.run(20*clock.Second, rates, f.evenLoad(1))
	f.refused = map[ident.Workspace]int{}
	f.killAll(1500)
	f.run(500, rates, f.evenLoad(0))
	f.run(1*clock.Second, rates, f.evenLoad(2))
	f.run(4*clock.Second, rates, f.evenLoad(1))
	no := 0
	for w := range rates {
		no += f.refused[w]
	}
	t.Logf("refused %d", no)
	if no > 60 {
		t.Errorf("refused %d of some 480, want 60 at most", no)
	}
	f.check("start")
}
