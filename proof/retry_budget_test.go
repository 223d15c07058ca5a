package proof_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/tinladder/tinladder/assign"
	"github.com/tinladder/tinladder/clock"
	"github.com/tinladder/tinladder/ident"
	"github.com/tinladder/tinladder/pool"
)

// A retryModel is a fleet whose nodes keep to the retry budget of one service, in virtual time. Targets turn part of the
// requests away, and nodes are killed, stopped, frozen and cut off meanwhile, so that requests move among them.
type retryModel struct {
	nodes, halls int
	// rate is requests a second, strayShare the part of them that go to any node, rather than to one that carries the service.
	rate, strayShare float64
	ratio, slack     float64
	disruptions      []disruption
	shedFrom, shedTo clock.Millis
	shed             float64

	clock *clock.Manual
	rand  *rand.Rand
	fleet []*retryNode
	// sent are the times of requests, more those of arrivals beyond the first of their request.
	sent, more []clock.Millis
}

// A disruption strikes the nodes that pick selects, at each of its times.
type disruption struct {
	kind  disruptionKind
	at    []clock.Millis
	lasts clock.Millis
	// share of the nodes are struck; those that carry the service if carriers is set. In turn, each gap after the one before.
	share    float64
	carriers bool
	gap      clock.Millis
}

type disruptionKind int

const (
	killed disruptionKind = iota
	frozen
	cutFromOthers
)

const (
	retryWindow = 10 * clock.Second
	modelStep   = 10
	modelTick   = 100
	// modelStart is when requests begin, after the nodes.
	modelStart = 12 * clock.Second
	modelEnd   = modelStart + 32*clock.Second
	// heardAfter is how long a node must be up for others to count it as live, missedAfter how long it must be away not to.
	heardAfter  = 200
	missedAfter = 1 * clock.Second
	maxTries    = 6
)

// retryNode is one node: its process, and what it takes from its view of the others.
type retryNode struct {
	name    ident.Node
	hall    int
	budget  *pool.RetryBudget
	sharers *assign.Sharers
	peak    int
	startAt clock.Millis
	// Until downUntil no process runs, until frozenUntil it does not go on, until cutUntil the node hears no other.
	downUntil, frozenUntil, cutUntil clock.Millis
	// struckAt is when struckBy strikes it.
	struckAt clock.Millis
	struckBy disruption
	// awayAt is when it last ceased to be heard.
	awayAt clock.Millis
	last   clock.Millis
}

func (n *retryNode) runs(now clock.Millis) bool {
	return now >= n.downUntil && now >= n.frozenUntil
}

// heard reports whether others that can hear the node take it for live.
func (n *retryNode) heard(now clock.Millis) bool {
	back := max(n.downUntil, n.frozenUntil, n.cutUntil)
	if now < back {
		return now-n.awayAt < missedAfter
	}
	return now-back >= heardAfter || back-n.awayAt < missedAfter
}

// newProcess starts a process of the node.
func (m *retryModel) newProcess(n *retryNode) {
	n.startAt, n.peak, n.sharers = m.clock.Now(), 0, assign.NewSharers()
	n.budget = pool.NewRetryBudget(m.clock, m.rand, m.ratio*pool.RatioShare, 0, retryWindow)
	n.budget.SetSlack(m.share(n, true))
}

// live returns the nodes that the node takes for live, itself included.
func (m *retryModel) live(n *retryNode) (list []*retryNode) {
	now := m.clock.Now()
	for _, other := range m.fleet {
		switch {
		case other == n:
		case now < n.cutUntil && now-n.awayAt >= missedAfter, now-n.startAt < heardAfter:
			continue
		case !other.heard(now):
			continue
		}
		list = append(list, other)
	}
	return list
}

// carriersOf returns the first nodes of each hall.
func (m *retryModel) carriersOf(live []*retryNode) (list []*retryNode) {
	inHall := map[int]int{}
	for _, n := range live {
		if inHall[n.hall] < 2 {
			inHall[n.hall]++
			list = append(list, n)
		}
	}
	return list
}

// share returns the node's part of the slack, as a node takes it from its view.
func (m *retryModel) share(n *retryNode, first bool) float64 {
	now := m.clock.Now()
	live := m.live(n)
	n.peak = max(n.peak, len(live))
	v := pool.FleetView{Live: len(live), PeakLive: n.peak}
	carriers := m.carriersOf(live)
	var names []ident.Node
	for _, c := range carriers {
		names = append(names, c.name)
	}
	v.SharerCount, v.IsSharer = n.sharers.Observe(names, slices.Contains(carriers, n) && v.HasQuorum(), first, now)
	return m.slack * pool.SlackShare(v)
}

// strike applies the disruptions that are due.
func (m *retryModel) strike(now clock.Millis) {
	for _, d := range m.disruptions {
		for _, at := range d.at {
			if now == at {
				m.strikeAll(d, now)
			}
		}
	}
}

func (m *retryModel) strikeAll(d disruption, now clock.Millis) {
	var list []*retryNode
	if d.carriers {
		var up []*retryNode
		for _, n := range m.fleet {
			if n.runs(now) {
				up = append(up, n)
			}
		}
		list = m.carriersOf(up)
	} else {
		for _, i := range m.rand.Perm(len(m.fleet))[:int(d.share*float64(len(m.fleet)))] {
			list = append(list, m.fleet[i])
		}
	}
	for i, n := range list {
		n.struckAt, n.struckBy = now+clock.Millis(i)*d.gap, d
	}
}

// suffer applies the disruption that the node is due for.
func (n *retryNode) suffer(now clock.Millis) {
	if n.struckAt != now {
		return
	}
	n.awayAt = now
	switch until := now + n.struckBy.lasts; n.struckBy.kind {
	case killed:
		n.budget, n.downUntil = nil, until
	case frozen:
		n.frozenUntil = until
	case cutFromOthers:
		n.cutUntil = until
	}
}

// play plays the fleet, and returns the largest excess over what the budget allows in any window.
func (m *retryModel) play(seed uint64) (excess float64) {
	m.clock, m.rand = clock.NewManual(1000), rand.New(rand.NewPCG(seed, 1))
	m.fleet, m.sent, m.more = nil, nil, nil
	for i := range m.nodes {
		m.fleet = append(m.fleet, &retryNode{name: ident.Node(fmt.Sprintf("n%02d", i)), hall: i % m.halls})
	}
	m.rand.Shuffle(len(m.fleet), func(i, j int) { m.fleet[i], m.fleet[j] = m.fleet[j], m.fleet[i] })
	for now := clock.Millis(1000); now < modelEnd; now += modelStep {
		m.strike(now)
		for i, n := range m.fleet {
			n.suffer(now)
			switch {
			case now < n.downUntil:
			case n.budget == nil:
				m.newProcess(n)
			case n.runs(now) && now-n.last >= modelTick+clock.Millis(i%3)*modelStep:
				n.last = now
				n.budget.SetSlack(m.share(n, false))
			}
		}
		if now >= modelStart {
			m.request(now)
		}
		m.clock.Advance(modelStep)
	}
	return m.excess()
}

// request has the requests of one step served.
func (m *retryModel) request(now clock.Millis) {
	var up []*retryNode
	for _, n := range m.fleet {
		if n.runs(now) && n.budget != nil {
			up = append(up, n)
		}
	}
	for due := m.rate * modelStep / 1000; m.rand.Float64() < due; due-- {
		m.sent = append(m.sent, now)
		if len(up) == 0 {
			continue
		}
		list := up
		if m.rand.Float64() >= m.strayShare {
			list = m.carriersOf(up)
		}
		m.serve(list[m.rand.IntN(len(list))], now)
	}
}

// serve has a node try the request until it is served or may not be retried.
func (m *retryModel) serve(n *retryNode, now clock.Millis) {
	n.budget.AddRequest()
	for tries := 1; tries < maxTries; tries++ {
		if now < m.shedFrom || now >= m.shedTo || m.rand.Float64() >= m.shed || !n.budget.Allow() {
			return
		}
		m.more = append(m.more, now)
	}
}

// excess returns by how many the arrivals beyond the first exceed what the budget allows, in the worst window.
func (m *retryModel) excess() float64 {
	worst := math.Inf(-1)
	for j, end := range m.more {
		n := 0
		for _, at := range m.more[:j+1] {
			if end-at < retryWindow {
				n++
			}
		}
		asked := 0
		for _, back := range []clock.Millis{0, retryWindow / 2, retryWindow} {
			count := 0
			for _, at := range m.sent {
				if at > end-back-retryWindow && at <= end-back {
					count++
				}
			}
			asked = max(asked, count)
		}
		worst = max(worst, float64(n)-m.ratio*float64(asked)-m.slack)
	}
	return worst
}

// at returns times in seconds after requests began.
func at(seconds ...float64) (list []clock.Millis) {
	for _, s := range seconds {
		list = append(list, modelStart+clock.Millis(s*1000))
	}
	return list
}

// TestRetryBudgetHoldsUnderDisruptionsInSeries guards against retries beyond the fleet's budget as processes end and start
// again several times in a window, the requests move to other nodes, and other nodes carry the service.
func TestRetryBudgetHoldsUnderDisruptionsInSeries(t *testing.T) {
	for _, x := range []struct {
		name        string
		disruptions []disruption
	}{
		{"calm", nil},
		{"half killed once", []disruption{{kind: killed, at: at(9), lasts: 500, share: 0.5}}},
		{"half killed three times", []disruption{{kind: killed, at: at(9, 12, 15), lasts: 500, share: 0.5}}},
		{"all killed six times", []disruption{{kind: killed, at: at(8, 9.5, 11, 12.5, 14, 15.5), lasts: 300, share: 1}}},
		{"carriers killed five times", []disruption{{kind: killed, at: at(8, 10, 12, 14, 16), lasts: 1500, carriers: true}}},
		{"stopped in turn, twice", []disruption{{kind: killed, at: at(8, 13), lasts: 500, share: 1, gap: 100}}},
		{"carriers frozen three times", []disruption{{kind: frozen, at: at(8, 12, 16), lasts: 3500, carriers: true}}},
		{"half frozen twice", []disruption{{kind: frozen, at: at(8, 13), lasts: 4000, share: 0.5}}},
		{"half cut off three times", []disruption{{kind: cutFromOthers, at: at(8, 12, 16), lasts: 2500, share: 0.5}}},
		{"all of these", []disruption{
			{kind: killed, at: at(7.5, 11, 14), lasts: 500, share: 0.4},
			{kind: frozen, at: at(9, 13), lasts: 3500, share: 0.3},
			{kind: cutFromOthers, at: at(10, 15), lasts: 2500, share: 0.3},
		}},
	} {
		t.Run(x.name, func(t *testing.T) {
			t.Parallel()
			worst := math.Inf(-1)
			for seed := range uint64(20) {
				m := &retryModel{
					nodes: 36, halls: 3, rate: 57, strayShare: 0.1, ratio: 0.2, slack: 58,
					disruptions: x.disruptions, shedFrom: at(7)[0], shedTo: at(23)[0], shed: 0.6,
				}
				if seed%2 == 1 {
					m.shed = 0.95
				}
				worst = max(worst, m.play(seed))
			}
			t.Logf("at most %.0f more than allowed", worst)
			if worst > 0 {
				t.Errorf("%.0f arrivals more than the budget allows", worst)
			}
		})
	}
}
