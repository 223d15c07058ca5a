package throttle_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/tinladder/tinladder/assign"
	"github.com/tinladder/tinladder/clock"
	"github.com/tinladder/tinladder/ident"
	"github.com/tinladder/tinladder/pool"
	"github.com/tinladder/tinladder/throttle"
)

var limits = []throttle.Limit{
	{PerSecond: 6, Overshoot: 1.5, Slack: 8}, {PerSecond: 2, Overshoot: 1.2, Slack: 5}, {PerSecond: 50, Overshoot: 1.5, Slack: 10},
}

// carrier is a node that might send to the target, with what it knows of the other nodes.
type carrier struct {
	name    ident.Node
	pool    *pool.Pool
	started clock.Millis
	// lastContact is when it last received a packet from each other node, livenessTimeout how long it takes each for
	// live without one.
	lastContact, livenessTimeout map[int]clock.Millis
	known                        int
	// evidence is set while there is evidence to report to all nodes at once.
	evidence bool
}

// model is a hall of carriers that all send to one target that is warming up, as much as they may.
type model struct {
	clock *clock.Manual
	rand  *rand.Rand
	limit throttle.Limit
	nodes []*carrier
	// partition is the part of the fleet that each node is in; dropped are the pairs of nodes of which the first
	// gets no packets from the second.
	partition []int
	dropped   map[[2]int]bool
	sent      []clock.Millis
}

func newModel(seed uint64, l throttle.Limit, nodes int) *model {
	m := &model{clock: clock.NewManual(10_000), rand: rand.New(rand.NewPCG(seed, 1)), limit: l, partition: make([]int, nodes), dropped: map[[2]int]bool{}}
	for i := range nodes {
		m.nodes = append(m.nodes, m.start(i))
		m.nodes[i].started = 0
		for j := range nodes {
			m.nodes[i].lastContact[j] = m.clock.Now()
		}
	}
	return m
}

func (m *model) start(i int) *carrier {
	c := &carrier{
		name: ident.Node(fmt.Sprint("n", i)), started: m.clock.Now(), lastContact: map[int]clock.Millis{}, livenessTimeout: map[int]clock.Millis{},
		known: len(m.partition),
	}
	for j := range m.partition {
		c.livenessTimeout[j] = 400 + clock.Millis(m.rand.Int64N(1500))
	}
	b := pool.NewRetryBudget(m.clock, rand.New(rand.NewPCG(3, 4)), 0.2, 100, 10*clock.Second)
	c.pool = pool.New(pool.DefaultTuning, m.clock, m.rand, b, func(k pool.ChangeKind, _ ident.Hall) { c.evidence = c.evidence || k == pool.HealthEvidence }, func(pool.Event) {})
	return c
}

// candidates updates what a node sees of the others, and returns the nodes that it is in contact with.
func (m *model) candidates(i int) []assign.Candidate {
	c := m.nodes[i]
	now := m.clock.Now()
	candidates := []assign.Candidate{{Node: c.name, Weight: assign.FullWeight}}
	for j, o := range m.nodes {
		if j == i {
			continue
		}
		if m.partition[i] == m.partition[j] && !m.dropped[[2]int{i, j}] {
			c.lastContact[j] = now
		}
		if at, met := c.lastContact[j]; met && now-at < c.livenessTimeout[j] {
			candidates = append(candidates, assign.Candidate{Node: o.name, Weight: assign.FullWeight})
		}
	}
	return candidates
}

// updateView updates what a node sees of the others, and the rate at which it may send.
func (m *model) updateView(i int) {
	c, now := m.nodes[i], m.clock.Now()
	candidates := m.candidates(i)
	v := throttle.View{
		Owner: assign.Position("target", candidates, c.name) == 0, Live: len(candidates), PeakLive: c.known, Converged: now-c.started >= 2*clock.Second,
	}
	c.pool.SetTargets([]pool.Target{{ID: "t", Slots: 1000, SameHall: true, WarmupUntil: now + clock.Minute, WarmupRate: m.limit.Rate(v)}})
}

// injectFault partitions the network, drops packets in one direction, ends that, or restarts nodes.
func (m *model) injectFault() {
	switch m.rand.IntN(5) {
	case 0: // partition the network
		parts := 1 + m.rand.IntN(4)
		for i := range m.partition {
			m.partition[i] = m.rand.IntN(parts)
		}
	case 1: // packets pass in one direction only
		for range len(m.partition) {
			m.dropped[[2]int{m.rand.IntN(len(m.partition)), m.rand.IntN(len(m.partition))}] = true
		}
	case 2:
		clear(m.dropped)
	case 3: // restart a few nodes
		for range 1 + m.rand.IntN(3) {
			i := m.rand.IntN(len(m.nodes))
			m.nodes[i] = m.start(i)
		}
	case 4: // restart all nodes
		if m.rand.IntN(10) == 0 {
			for i := range m.nodes {
				m.nodes[i] = m.start(i)
			}
		}
	}
}

func (m *model) send(c *carrier) {
	now := m.clock.Now()
	for {
		l := c.pool.TryAcquire(&pool.Request{Began: now, Objective: 1000, Deadline: now + clock.Minute})
		if l == nil {
			return
		}
		l.Done(pool.Good, false)
		m.sent = append(m.sent, now)
	}
}

// maxPerSecond returns the most sends in any second.
func (m *model) maxPerSecond() (most int) {
	from := 0
	for i, at := range m.sent {
		for at-m.sent[from] >= clock.Second {
			from++
		}
		most = max(most, i-from+1)
	}
	return most
}

// TestWarmupLimitHolds has all nodes of a hall send what they may to one target that is warming up, while
// the network is partitioned, packets pass in one direction only, and nodes restart: in any second the target gets
// no more than its limit from all of them together. It also checks that the target gets work.
func TestWarmupLimitHolds(t *testing.T) {
	for _, l := range limits {
		for _, nodes := range []int{3, 8, 40} {
			for seed := range uint64(12) {
				m := newModel(seed, l, nodes)
				for step := range 1500 {
					if step > 100 && m.rand.IntN(20) == 0 {
						m.injectFault()
					}
					for i, c := range m.nodes {
						if step%5 == i%5 {
							m.updateView(i)
						}
						m.send(c)
					}
					m.clock.Advance(20)
				}
				if got := float64(m.maxPerSecond()); got > l.Max() {
					t.Errorf("limit %v, %d nodes, seed %d: %v requests in a second, %v allowed", l, nodes, seed, got, l.Max())
				}
				if len(m.sent) == 0 {
					t.Errorf("limit %v, %d nodes, seed %d: the target got nothing", l, nodes, seed)
				}
			}
		}
	}
}
