package urgency_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"
	"github.com/tinladder/tinladder/clock"
	"github.com/tinladder/tinladder/ident"
	"github.com/tinladder/tinladder/pool/urgency"
)

const (
	ttl clock.Millis = 1500
	// allowed is how long a request may wait by its objective, in the model.
	allowed = 150
	step    = clock.Millis(10)
)

// waiting is a request in a node's queue.
type waiting struct {
	since    clock.Millis
	draw     float64
	priority uint32
}

// simNode is a node of the model. Its queue is in the order of priorities.
type simNode struct {
	id     ident.Process
	c      *urgency.Control
	queues [2][]waiting
	seq    uint64
	// silent nodes are heard by nobody, deaf ones hear nobody, dead and frozen ones do nothing, old ones have no level.
	silent, deaf, dead, frozen, old bool
	// says replaces what the node tells.
	says func(c urgency.Claim) *urgency.Claim
	// asked and served are of the present phase, by priority.
	asked, served [2]int
}

// model is one service: nodes that share its targets' room, in steps of 10 ms.
type model struct {
	now   clock.Millis
	r     *rand.Rand
	nodes []*simNode
	// room is how many requests a second the targets take, urgent and bulk how many come; urgent ones come to the first
	// third of the nodes.
	room, urgent, bulk float64
	credit             float64
	// lose, late and twice say how reports come.
	lose  float64
	late  clock.Millis
	twice bool
	mail  []letter
}

type letter struct {
	at    clock.Millis
	from  ident.Process
	seq   uint64
	claim *urgency.Claim
}

func newModel(n int) *model {
	m := &model{now: 10_000, r: rand.New(rand.NewPCG(1, uint64(n))), room: 600, urgent: 140, bulk: 200}
	for i := range n {
		m.nodes = append(m.nodes, &simNode{id: ident.Process{Node: ident.Node(fmt.Sprint("n", i)), Incarnation: 1}, c: urgency.New(ttl)})
	}
	return m
}

func (m *model) urgentNodes() int {
	return max(len(m.nodes)/3, 1)
}

// run plays for a while, and calls each after each step.
func (m *model) run(d clock.Millis, each func()) {
	for range d / step {
		m.now += step
		m.arrive(0, m.urgent, m.nodes[:m.urgentNodes()])
		m.arrive(1, m.bulk, m.nodes)
		m.grant()
		m.update()
		m.deliver()
		if each != nil {
			each()
		}
	}
}

func (m *model) arrive(priority uint32, perSecond float64, to []*simNode) {
	for n := m.poisson(perSecond * float64(step) / 1000); n > 0; n-- {
		x := to[m.r.IntN(len(to))]
		if x.dead || x.frozen {
			continue
		}
		x.asked[priority]++
		draw := m.r.Float64()
		x.c.Arrived(priority)
		if x.old || x.c.Admits(priority, draw) {
			x.queues[priority] = append(x.queues[priority], waiting{m.now, draw, priority})
		}
	}
}

// poisson draws how many come where so many come in the mean.
func (m *model) poisson(mean float64) int {
	n, p := 0, m.r.Float64()
	for least := math.Exp(-mean); p > least; n++ {
		p *= m.r.Float64()
	}
	return n
}

// grant hands the room out: a slot goes to whichever node has waiters, whatever their priority.
func (m *model) grant() {
	m.credit = min(m.credit+m.room*float64(step)/1000, m.room*0.1)
	for m.credit >= 1 {
		var with []*simNode
		for _, x := range m.nodes {
			if !x.dead && !x.frozen && len(x.queues[0])+len(x.queues[1]) > 0 {
				with = append(with, x)
			}
		}
		if len(with) == 0 {
			return
		}
		x := with[m.r.IntN(len(with))]
		p := 0
		if len(x.queues[0]) == 0 {
			p = 1
		}
		w := x.queues[p][0]
		x.queues[p] = x.queues[p][1:]
		wait := float64(m.now-w.since) / allowed
		x.c.Granted(w.priority, wait)
		if m.now-w.since <= 6*allowed {
			x.served[p]++
		}
		m.credit--
	}
}

func (m *model) update() {
	inUse := 1 - m.credit/(m.room*0.1)
	for _, x := range m.nodes {
		if x.dead || x.frozen || !x.c.Due(m.now) {
			continue
		}
		for p, q := range x.queues {
			for _, w := range q {
				x.c.Waiting(uint32(p), float64(m.now-w.since)/allowed)
			}
		}
		x.c.Update(m.now, inUse)
		for p, q := range x.queues {
			kept := q[:0]
			for _, w := range q {
				if x.old || m.now-w.since > 2*allowed || x.c.Admits(w.priority, w.draw) {
					kept = append(kept, w)
				}
			}
			x.queues[p] = kept
		}
		m.tell(x)
	}
}

func (m *model) tell(x *simNode) {
	if x.silent || x.old {
		return
	}
	c, lacks := x.c.Claim()
	claim := &c
	if !lacks {
		claim = nil
	}
	if x.says != nil {
		claim = x.says(c)
	}
	x.seq++
	l := letter{m.now + clock.Millis(float64(m.late)*m.r.Float64()) + 1, x.id, x.seq, claim}
	m.mail = append(m.mail, l)
	if m.twice {
		l.at += 300
		m.mail = append(m.mail, l)
	}
}

func (m *model) deliver() {
	kept := m.mail[:0]
	for _, l := range m.mail {
		if l.at > m.now {
			kept = append(kept, l)
			continue
		}
		for _, x := range m.nodes {
			if x.id != l.from && !x.deaf && !x.dead && !x.frozen && m.r.Float64() >= m.lose {
				x.c.Hear(l.from, l.seq, l.claim, m.now)
			}
		}
	}
	m.mail = kept
}

// clear begins a new phase, and share returns how many requests of a priority were served in it.
func (m *model) clear() {
	for _, x := range m.nodes {
		x.asked, x.served = [2]int{}, [2]int{}
	}
}

func (m *model) share(priority int, of ...*simNode) float64 {
	if len(of) == 0 {
		of = m.nodes
	}
	asked, served := 0, 0
	for _, x := range of {
		asked, served = asked+x.asked[priority], served+x.served[priority]
	}
	return float64(served) / float64(max(asked, 1))
}

// lack begins a lack of a half.
func (m *model) lack() {
	m.bulk = 1060
}

// settled plays a lack until it is old.
func settled(n int) *model {
	m := newModel(n)
	m.run(3000, nil)
	m.lack()
	m.run(3000, nil)
	m.clear()
	return m
}

const (
	// served is the share of the urgent requests that callers want under a lack of a half, floor the part of what all get
	// below which a kind counts as starved.
	served = 0.95
	floor  = 0.25
)

// checkServed checks what callers get in a lack.
func (m *model) checkServed(t *testing.T) {
	t.Helper()
	urgent, bulk := m.share(0), m.share(1)
	t.Logf("%d nodes: urgent %.3f bulk %.3f", len(m.nodes), urgent, bulk)
	if urgent < served {
		t.Errorf("%d nodes: urgent requests served %.3f", len(m.nodes), urgent)
	}
	all := (urgent*m.urgent + bulk*m.bulk) / (m.urgent + m.bulk)
	if bulk < floor*all {
		t.Errorf("%d nodes: bulk served %.3f of all %.3f", len(m.nodes), bulk, all)
	}
}

func (m *model) anyOn() bool {
	for _, x := range m.nodes {
		if x.c.State().On {
			return true
		}
	}
	return false
}

// TestStepResponse guards against a level that comes too late for a burst of 3 s, turns urgent requests away, or stays
// after the burst.
func TestStepResponse(t *testing.T) {
	for _, n := range []int{1, 2, 3, 6, 12, 40} {
		m := newModel(n)
		m.run(3000, nil)
		if m.anyOn() {
			t.Errorf("%d nodes: a level without a lack", n)
		}
		m.clear()
		m.lack()
		began, on := m.now, clock.Millis(0)
		m.run(3000, func() {
			if on == 0 && m.anyOn() {
				on = m.now - began
			}
		})
		m.checkServed(t)
		if on == 0 || on > 1000 {
			t.Errorf("%d nodes: a level after %d ms of the burst", n, on)
		}
		m.bulk = 200
		m.run(2000, nil)
		if m.anyOn() {
			t.Errorf("%d nodes: a level 2 s after the burst", n)
		}
		m.clear()
		m.run(2000, nil)
		if m.share(0) < 0.99 || m.share(1) < 0.99 {
			t.Errorf("%d nodes: served %.3f and %.3f after the burst", n, m.share(0), m.share(1))
		}
	}
}

// TestLevelIsSteady guards against a level that swings: callers at the level would get all of one second and nothing of the
// next, and come again all at once. The share that is served of bulk requests keeps within half and twice its mean, second
// by second.
func TestLevelIsSteady(t *testing.T) {
	for _, n := range []int{1, 6, 40} {
		m := settled(n)
		m.run(10_000, nil)
		mean := m.share(1)
		m.checkServed(t)
		for range 10 {
			m.clear()
			m.run(1000, nil)
			if x := m.share(1); x < mean/2 || x > 2*mean {
				t.Errorf("%d nodes: bulk served %.3f in a second, in the mean %.3f", n, x, mean)
			}
		}
	}
}

// TestNothingChangesWithoutALack guards against requests refused while nothing waits, or while all have one priority.
func TestNothingChangesWithoutALack(t *testing.T) {
	is := is.New(t)
	m := newModel(6)
	m.bulk = 380 // nearly nine tenths of the room
	m.run(20_000, func() { is.True(!m.anyOn()) })
	m = newModel(6)
	m.urgent = 0
	m.lack()
	m.run(5000, func() { is.True(!m.anyOn()) })
}

// TestFailuresOfNodesAndReports guards against a level that urgent requests pay for when nodes or reports fail in a lack,
// and one that does not end with it.
func TestFailuresOfNodesAndReports(t *testing.T) {
	lie := func(c urgency.Claim) func(urgency.Claim) *urgency.Claim {
		return func(urgency.Claim) *urgency.Claim { return &c }
	}
	var many, first, bad urgency.Rates
	many.Add(1, 1e9)
	first.Add(0, 1e9)
	bad.Add(0, math.Inf(1))
	last := func(m *model) *simNode { return m.nodes[len(m.nodes)-1] }
	cases := map[string]func(m *model){
		"a node is killed":                      func(m *model) { last(m).dead = true },
		"a node that has urgent is killed":      func(m *model) { m.nodes[0].dead = true },
		"a node is frozen":                      func(m *model) { last(m).frozen = true },
		"a node is heard by nobody":             func(m *model) { last(m).silent = true },
		"a node with urgent is heard by nobody": func(m *model) { m.nodes[0].silent = true },
		"a node hears nobody":                   func(m *model) { last(m).deaf = true },
		"a third of the reports are lost":       func(m *model) { m.lose = 0.33 },
		"reports come late":                     func(m *model) { m.late = 800 },
		"reports come twice":                    func(m *model) { m.twice, m.late = true, 400 },
		"malformed reports":                     func(m *model) { last(m).says = lie(urgency.Claim{Wait: math.NaN(), Share: -1, Arrivals: bad}) },
		"a node claims the longest wait":        func(m *model) { last(m).says = lie(urgency.Claim{Wait: 1e9, Arrivals: many}) },
		"a node claims urgent requests":         func(m *model) { last(m).says = lie(urgency.Claim{Wait: 1e9, Share: 1, Granted: 1e9, Arrivals: first}) },
		"a node claims that all is well":        func(m *model) { last(m).says = lie(urgency.Claim{Share: 1, Granted: 1e9, Arrivals: many}) },
		"a node of before":                      func(m *model) { last(m).old = true },
	}
	for name, change := range cases {
		for _, n := range []int{6, 40} {
			t.Run(fmt.Sprint(name, " ", n), func(t *testing.T) {
				m := settled(n)
				change(m)
				m.run(1000, nil)
				m.clear()
				m.run(5000, nil)
				m.checkServed(t)
				m.bulk = 200
				m.run(2000, nil)
				m.clear()
				m.run(2000, nil)
				if m.share(0) < 0.99 || m.share(1) < 0.99 {
					t.Errorf("served %.3f and %.3f after the lack", m.share(0), m.share(1))
				}
			})
		}
	}
}

// TestLieClosesNothing guards against a node that closes a service with room for the others by claims of a lack.
func TestLieClosesNothing(t *testing.T) {
	for _, n := range []int{2, 6, 40} {
		m := newModel(n)
		m.bulk = 300
		var many urgency.Rates
		many.Add(0, 1e9)
		m.nodes[n-1].says = func(urgency.Claim) *urgency.Claim { return &urgency.Claim{Wait: 1e9, Arrivals: many} }
		m.run(10_000, nil)
		t.Logf("%d nodes: served %.3f and %.3f", n, m.share(0), m.share(1))
		if m.share(0) < 0.99 || m.share(1) < served {
			t.Errorf("%d nodes: served %.3f and %.3f", n, m.share(0), m.share(1))
		}
	}
}

// idleNode returns a control whose own requests get a slot at once, and a function that plays an interval of it.
func idleNode() (c *urgency.Control, play func() clock.Millis) {
	c = urgency.New(ttl)
	now := clock.Millis(10_000)
	c.Update(now, 1)
	return c, func() clock.Millis {
		now += urgency.Interval
		for range 10 {
			c.Arrived(0)
			c.Granted(0, 0)
			c.Arrived(1)
			c.Granted(1, 0)
		}
		c.Update(now, 1)
		return now
	}
}

// longestWait is the most that a peer may claim of a lack.
func longestWait() *urgency.Claim {
	c := &urgency.Claim{Wait: 1e9, Arrivals: urgency.Rates{}}
	c.Arrivals.Add(0, 1e9)
	c.Arrivals.Add(1, 1e9)
	return c
}

// TestLastReportOfAFrozenNodeLapses guards against a level held by a node that does not report any more: it is gone two
// seconds later.
func TestLastReportOfAFrozenNodeLapses(t *testing.T) {
	is := is.New(t)
	c, play := idleNode()
	now := play()
	c.Hear(ident.Process{Node: "frozen", Incarnation: 1}, 1, longestWait(), now)
	wasOn := false
	for play() < now+2000 {
		wasOn = wasOn || c.State().On
	}
	is.True(wasOn)
	is.True(!c.State().On)
}

// TestPeersNeverRefuseTheMostUrgent guards against urgent requests refused by what a peer claims, while none wait here,
// and against claims without bound.
func TestPeersNeverRefuseTheMostUrgent(t *testing.T) {
	is := is.New(t)
	c, play := idleNode()
	for i := range uint64(50) {
		c.Hear(ident.Process{Node: "liar", Incarnation: 1}, i+1, longestWait(), play())
		is.True(c.Admits(0, 0.999))
		is.True(c.State().PeersWait <= 2)
	}
	is.True(c.State().On)
}

// TestOneLongWaitIsNoLack guards against a level by a single request, of a route whose objective is far too short.
func TestOneLongWaitIsNoLack(t *testing.T) {
	is := is.New(t)
	c, play := idleNode()
	for range 50 {
		c.Granted(0, 1e6)
		play()
		is.True(!c.State().On)
	}
}

// TestNoKindStarves guards against less urgent requests that are served less than a quarter as often as all, where the
// urgent ones nearly fill the room.
func TestNoKindStarves(t *testing.T) {
	for _, n := range []int{1, 6, 40} {
		m := newModel(n)
		m.urgent, m.bulk = 560, 640
		m.run(3000, nil)
		m.clear()
		m.run(10_000, nil)
		urgent, bulk := m.share(0), m.share(1)
		t.Logf("%d nodes: urgent %.3f bulk %.3f", n, urgent, bulk)
		if all := (urgent*m.urgent + bulk*m.bulk) / (m.urgent + m.bulk); bulk < floor*all {
			t.Errorf("%d nodes: bulk served %.3f of all %.3f", n, bulk, all)
		}
	}
}

// TestOldAndDoubledReportsAreIgnored guards against a claim that returns after it was taken back.
func TestOldAndDoubledReportsAreIgnored(t *testing.T) {
	is := is.New(t)
	from := ident.Process{Node: "n2", Incarnation: 1}
	var rates urgency.Rates
	rates.Add(0, 100)
	rates.Add(1, 1000)
	claim := &urgency.Claim{Wait: 2, Share: 0.1, Arrivals: rates}
	c := urgency.New(ttl)
	c.Update(10_000, 1)
	c.Hear(from, 2, claim, 10_000)
	c.Hear(from, 3, nil, 10_000)
	c.Hear(from, 1, claim, 10_000)
	c.Hear(from, 2, claim, 10_000)
	c.Update(10_100, 1)
	is.Equal(c.State().PeersAge, clock.Millis(-1))
	c.Hear(from, 4, claim, 10_100)
	c.Update(10_200, 1)
	is.Equal(c.State().PeersAge, clock.Millis(100))
}

// TestSuspendedProcessForgets guards against a level by the waits of a process that was suspended.
func TestSuspendedProcessForgets(t *testing.T) {
	is := is.New(t)
	m := settled(1)
	is.True(m.anyOn())
	m.nodes[0].c.Waiting(0, 20)
	m.nodes[0].c.Update(m.now+3000, 1)
	is.True(!m.anyOn())
}

// TestManyPriorities guards against priorities without bound, and against levels that refuse the more urgent first.
func TestManyPriorities(t *testing.T) {
	is := is.New(t)
	c := urgency.New(ttl)
	now := clock.Millis(10_000)
	c.Update(now, 1)
	for range 10 {
		now += urgency.Interval
		for p := range uint32(50) {
			c.Arrived(p)
			c.Granted(p, 2)
		}
		c.Update(now, 1)
	}
	is.True(c.State().On)
	claim, _ := c.Claim()
	n := 0
	claim.Arrivals.Each(func(uint32, float64) { n++ })
	is.Equal(n, urgency.MaxKinds)
	admitted := true
	for p := range uint32(50) {
		now := c.Admits(p, 0.7)
		is.True(admitted || !now)
		admitted = now
	}
	is.True(!admitted)
}

// pressed returns a control of a node in a lack, with so many peers that report it.
func pressed(peers int) (c *urgency.Control, now clock.Millis) {
	const ever = 1 << 40
	c, now = urgency.New(ever), 10_000
	c.Update(now, 1)
	var rates urgency.Rates
	rates.Add(0, 100)
	rates.Add(1, 300)
	for i := range peers {
		c.Hear(ident.Process{Node: ident.Node(fmt.Sprint("n", i)), Incarnation: 1}, 1, &urgency.Claim{Wait: 1, Share: 0.5, Granted: 200, Arrivals: rates}, now)
	}
	for range 5 {
		now += urgency.Interval
		c.Arrived(0)
		c.Arrived(1)
		c.Granted(1, 1)
		c.Update(now, 1)
	}
	return c, now
}

// TestDecisionAllocatesNothing guards against garbage for each request that is refused.
func TestDecisionAllocatesNothing(t *testing.T) {
	is := is.New(t)
	c, now := pressed(40)
	is.True(c.State().On)
	is.Equal(testing.AllocsPerRun(100, func() {
		now += urgency.Interval
		c.Arrived(1)
		c.Admits(1, 0.5)
		c.Waiting(1, 1)
		c.Update(now, 1)
	}), 0.0)
}

// BenchmarkDecision decides on a request in a lack.
func BenchmarkDecision(b *testing.B) {
	c, _ := pressed(40)
	b.ReportAllocs()
	for b.Loop() {
		c.Arrived(1)
		c.Admits(1, 0.5)
	}
}

// BenchmarkUpdate moves the level, with 40 peers that report a lack.
func BenchmarkUpdate(b *testing.B) {
	c, now := pressed(40)
	b.ReportAllocs()
	for b.Loop() {
		now += urgency.Interval
		c.Update(now, 1)
	}
}
