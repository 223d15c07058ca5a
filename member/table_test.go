package member_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"
	"github.com/tinladder/tinladder/clock"
	"github.com/tinladder/tinladder/ident"
	"github.com/tinladder/tinladder/member"
	tlv1 "github.com/tinladder/tinladder/schema/tinladder/v1"
)

const step clock.Millis = 100

// net is a fake network of tables in virtual time.
type net struct {
	clock  *clock.Manual
	rand   *rand.Rand
	tables map[string]*member.Table
	order  []string
	frozen map[string]bool
	cut    map[[2]string]bool
	loss   float64
	queue  []packet
}

type packet struct {
	from, to string
	gossip   *tlv1.Gossip
}

func newNet(n int, seed uint64) *net {
	w := &net{
		clock:  clock.NewManual(1_000_000),
		rand:   rand.New(rand.NewPCG(seed, 1)),
		tables: map[string]*member.Table{},
		frozen: map[string]bool{},
		cut:    map[[2]string]bool{},
	}
	for i := range n {
		w.start(fmt.Sprintf("n%02d", i), 1)
	}
	return w
}

func (w *net) start(name string, inc uint64) {
	self := &tlv1.Member{Node: name, Incarnation: inc, Hall: fmt.Sprint("h", int(name[len(name)-1])%3), GossipAddress: name}
	t := member.New(self, member.DefaultTiming, w.clock, rand.New(rand.NewPCG(w.rand.Uint64(), 2)))
	t.AddSeeds([]string{"n00", "n01"})
	if w.tables[name] == nil {
		w.order = append(w.order, name)
	}
	w.tables[name] = t
}

func (w *net) send(from string, sends []member.Message) {
	for _, s := range sends {
		w.queue = append(w.queue, packet{from: from, to: s.Address, gossip: s.Gossip})
	}
}

// run advances time by d; messages take up to one step.
func (w *net) run(d clock.Millis) {
	for range d / step {
		w.clock.Advance(step)
		batch := w.queue
		w.queue = nil
		for _, p := range batch {
			if w.cut[[2]string{p.from, p.to}] || w.frozen[p.to] || w.rand.Float64() < w.loss {
				continue
			}
			if t := w.tables[p.to]; t != nil {
				w.send(p.to, t.Receive(p.gossip))
			}
		}
		for _, name := range w.order {
			if t := w.tables[name]; t != nil && !w.frozen[name] {
				w.send(name, t.Tick())
			}
		}
	}
}

// seenBy counts the running nodes that list the name as live.
func (w *net) seenBy(name string) int {
	n := 0
	for _, other := range w.order {
		if other == name || w.tables[other] == nil || w.frozen[other] {
			continue
		}
		for _, m := range w.tables[other].Live() {
			if m.GetNode() == name {
				n++
			}
		}
	}
	return n
}

func TestAllFindEachOther(t *testing.T) {
	is := is.New(t)
	w := newNet(44, 1)
	w.run(30 * clock.Second)
	for _, name := range w.order {
		is.Equal(w.seenBy(name), 43)
	}
}

func TestDeadNodeIsNoticedEverywhere(t *testing.T) {
	is := is.New(t)
	w := newNet(44, 2)
	w.run(30 * clock.Second)
	w.tables["n07"] = nil
	w.run(8 * clock.Second)
	is.Equal(w.seenBy("n07"), 0)
}

func TestPausedNodeReturnsAndSuspectsNobody(t *testing.T) {
	is := is.New(t)
	w := newNet(20, 3)
	w.run(20 * clock.Second)
	w.frozen["n05"] = true
	w.run(60 * clock.Second)
	is.Equal(w.seenBy("n05"), 0)
	w.frozen["n05"] = false
	w.run(10 * clock.Second)
	for _, name := range w.order {
		is.Equal(w.seenBy(name), 19)
	}
}

func TestRestartAtTheSameAddressIsAnotherProcess(t *testing.T) {
	is := is.New(t)
	w := newNet(10, 4)
	w.run(10 * clock.Second)
	old := w.tables["n03"]
	w.start("n03", 2)
	w.run(10 * clock.Second)
	for _, m := range w.tables["n00"].Live() {
		if m.GetNode() == "n03" {
			is.Equal(m.GetIncarnation(), uint64(2))
		}
	}
	old.Merge(w.tables["n00"].All())
	is.True(old.Superseded())
}

// TestRestartAfterTheClockWentBack restarts a node with a lower incarnation than before. The new process must
// still replace the old one.
func TestRestartAfterTheClockWentBack(t *testing.T) {
	for _, down := range []clock.Millis{200, 3 * clock.Second, 20 * clock.Second} {
		t.Run(fmt.Sprint(down), func(t *testing.T) {
			is := is.New(t)
			w := newNet(20, 5)
			w.start("n05", 5000)
			w.run(20 * clock.Second)
			w.tables["n05"] = nil
			w.run(down)
			w.start("n05", 3000) // two seconds earlier by its own clock
			w.run(5 * clock.Second)
			is.True(!w.tables["n05"].Superseded())
			is.Equal(w.seenBy("n05"), 19)
			for _, name := range w.order {
				if name == "n05" {
					continue
				}
				for _, m := range w.tables[name].Live() {
					if m.GetNode() == "n05" {
						is.Equal(m.GetIncarnation(), uint64(3000))
					}
				}
			}
		})
	}
}

func TestOneWayCutOfAPairRemovesNobody(t *testing.T) {
	is := is.New(t)
	w := newNet(10, 5)
	w.run(10 * clock.Second)
	w.cut[[2]string{"n02", "n03"}] = true
	w.run(30 * clock.Second)
	is.Equal(w.seenBy("n03"), 9)
	is.Equal(w.seenBy("n02"), 9)
}

func TestDeafNodeKnowsThatItIsIsolated(t *testing.T) {
	is := is.New(t)
	w := newNet(10, 6)
	w.run(10 * clock.Second)
	for _, name := range w.order {
		w.cut[[2]string{name, "n04"}] = true
	}
	w.run(10 * clock.Second)
	is.True(w.tables["n04"].Isolated())
	is.Equal(w.seenBy("n04"), 0) // unreachable, so no node may list it as live
	is.True(!w.tables["n05"].Isolated())
	for range 5 { // it learns of the suspicion over its own connections, and must not refute it
		w.tables["n04"].Merge(w.tables["n00"].All())
		w.run(2 * clock.Second)
		is.Equal(w.seenBy("n04"), 0)
	}
	clear(w.cut)
	w.run(20 * clock.Second)
	is.Equal(w.seenBy("n04"), 9)
	is.True(!w.tables["n04"].Isolated())
}

func TestLossRemovesNobody(t *testing.T) {
	is := is.New(t)
	w := newNet(44, 7)
	w.run(30 * clock.Second)
	w.loss = 0.1
	missing := 0
	for range 60 {
		w.run(clock.Second)
		for _, name := range w.order {
			missing += 43 - w.seenBy(name)
		}
	}
	is.Equal(missing, 0)
}

func TestHallCutOffHeals(t *testing.T) {
	is := is.New(t)
	w := newNet(12, 8)
	w.run(20 * clock.Second)
	for i, a := range w.order {
		for j, b := range w.order {
			if (i < 4) != (j < 4) {
				w.cut[[2]string{a, b}] = true
			}
		}
	}
	w.run(60 * clock.Second)
	is.Equal(w.seenBy(w.order[0]), 3)
	is.Equal(w.seenBy(w.order[8]), 7)
	clear(w.cut)
	w.run(60 * clock.Second)
	for _, name := range w.order {
		is.Equal(w.seenBy(name), 11)
	}
}

func TestAnnounceLeavingAndGone(t *testing.T) {
	is := is.New(t)
	w := newNet(10, 9)
	w.run(10 * clock.Second)
	w.tables["n01"].AnnounceLeaving()
	w.run(3 * clock.Second)
	for _, m := range w.tables["n09"].Live() {
		is.Equal(m.GetLeaving(), m.GetNode() == "n01")
	}
	w.send("n01", w.tables["n01"].AnnounceGone())
	w.tables["n01"] = nil
	w.run(2 * clock.Second)
	is.Equal(w.seenBy("n01"), 0)
	is.Equal(member.ProcessOf(&tlv1.Member{Node: "a", Incarnation: 2}), ident.Process{Node: "a", Incarnation: 2})
}

// TestLiveReturnsTheNewestRecord has a member report its load, which does not affect routing, and then leave.
func TestLiveReturnsTheNewestRecord(t *testing.T) {
	is := is.New(t)
	c := clock.NewManual(1_000_000)
	table := member.New(&tlv1.Member{Node: "a", Incarnation: 1, GossipAddress: "a"}, member.DefaultTiming, c, rand.New(rand.NewPCG(1, 1)))
	b := &tlv1.Member{Node: "b", Incarnation: 1, GossipAddress: "b", State: tlv1.NodeState_NODE_STATE_ALIVE}
	is.Equal(len(table.Live()), 0)
	table.Merge([]*tlv1.Member{b})
	first := table.Live()
	is.Equal(len(first), 1)
	table.Merge([]*tlv1.Member{{Node: "b", Incarnation: 1, GossipAddress: "b", State: tlv1.NodeState_NODE_STATE_ALIVE, Rumor: 1, Busy: 8}})
	is.Equal(table.Live()[0].GetBusy(), uint32(8))
	is.Equal(first[0].GetBusy(), uint32(0)) // a returned list never changes
	table.Merge([]*tlv1.Member{{Node: "b", Incarnation: 1, GossipAddress: "b", State: tlv1.NodeState_NODE_STATE_GONE, Rumor: 2}})
	is.Equal(len(table.Live()), 0)
}
