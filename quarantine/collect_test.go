package quarantine_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/tinladder/tinladder/clock"
	"github.com/tinladder/tinladder/ident"
	"github.com/tinladder/tinladder/quarantine"
)

// collectingFleet is a modelFleet whose nodes report a first crash to the request's collectors alone. Every send reaches
// another node, so that no node sees two crashes.
type collectingFleet struct {
	*modelFleet
	// deaf holds nodes that receive nothing, though the others still count them.
	deaf map[int]bool
	// left holds nodes that the others know to be leaving.
	left map[int]bool
	// announcements holds what collectors are about to announce.
	announcements []modelSend
	// rows holds the versions of the request's row.
	rows []modelRow
	// hasStore is set if the nodes reach the store.
	hasStore          bool
	datagrams, writes int
}

func (f *collectingFleet) known(by int) (names []ident.Node) {
	for i := range f.nodes {
		if f.groups[i] == f.groups[by] && !f.left[i] {
			names = append(names, nodeName(i))
		}
	}
	return names
}

func nodeName(i int) ident.Node { return ident.Node(fmt.Sprint("n", i)) }

// tell has a node receive what another one knows.
func (f *collectingFleet) tell(from, to int, c quarantine.Suspect) {
	f.datagrams++
	if from == to || f.deaf[to] || f.groups[from] != f.groups[to] {
		return
	}
	l := f.nodes[to].list
	got, _ := quarantine.FromWire(quarantine.ToWire(c, f.clock.Now()), f.clock.Now())
	change := l.AddCrashes(got)
	if got.Recurring() {
		l.MarkAnnounced(testFingerprint, len(got.Crashes))
	}
	if _, recurs := l.Unannounced(testFingerprint); change == quarantine.Unchanged || !recurs {
		return
	}
	if rank := slices.Index(quarantine.Collectors(testFingerprint, f.known(to)), nodeName(to)); rank >= 0 {
		f.announcements = append(f.announcements, modelSend{node: to, at: f.clock.Now() + quarantine.AnnounceDelay(rank)})
	}
}

// crash has the node that sent the request report the crash of its target.
func (f *collectingFleet) crash(s modelSend) {
	f.crashes = append(f.crashes, f.clock.Now())
	l := f.nodes[s.node].list
	report := crashReport(f.clock, fmt.Sprint("t", len(f.crashes)))
	report.Crashes[0].SentAt = s.at
	l.AddCrashes(report)
	c, _, _ := l.Get(testFingerprint)
	near := f.known(s.node)
	if c.Recurring() || len(near)*5 <= len(f.nodes)*2 {
		l.MarkDirty(testFingerprint)
	}
	if !c.Recurring() {
		near = quarantine.Collectors(testFingerprint, near)
	} else {
		l.MarkAnnounced(testFingerprint, len(c.Crashes))
	}
	for i := range f.nodes {
		if slices.Contains(near, nodeName(i)) {
			f.tell(s.node, i, c)
		}
	}
}

func (f *collectingFleet) step() {
	now := f.clock.Now()
	due := func(s modelSend, delay clock.Millis, act func(modelSend)) bool {
		if now-s.at < delay {
			return false
		}
		act(s)
		return true
	}
	sends, announcements := f.inFlight, f.announcements
	f.inFlight, f.announcements = nil, nil
	for _, s := range sends {
		if !due(s, crashDelay, f.crash) {
			f.inFlight = append(f.inFlight, s)
		}
	}
	for _, s := range announcements {
		if !due(s, 0, f.announce) {
			f.announcements = append(f.announcements, s)
		}
	}
	for _, n := range f.nodes {
		f.followStore(n)
	}
}

// followStore has a node read the row as it was a moment ago, and write what it lacks.
func (f *collectingFleet) followStore(n *modelNode) {
	key := quarantine.RowKey(testFingerprint)
	seen := n.seen[key]
	for n.seen[key] < len(f.rows) && f.clock.Now()-f.rows[n.seen[key]].at >= storeDelay {
		n.seen[key]++
	}
	if n.seen[key] > seen {
		row := f.rows[n.seen[key]-1].row
		n.list.MergeRow(key, row)
		if n.list.KnowsMore(testFingerprint, row) {
			n.list.MarkDirty(testFingerprint)
		}
	}
	if !f.hasStore || len(n.list.Dirty()) == 0 {
		return
	}
	var was modelRow
	if len(f.rows) > 0 {
		was = f.rows[len(f.rows)-1]
	}
	f.rows = append(f.rows, modelRow{row: n.list.Row(testFingerprint, was.row), at: f.clock.Now()})
	n.list.MarkStored(testFingerprint)
	f.writes++
}

func (f *collectingFleet) announce(s modelSend) {
	l := f.nodes[s.node].list
	c, found := l.Unannounced(testFingerprint)
	if !found {
		return
	}
	l.MarkAnnounced(testFingerprint, len(c.Crashes))
	l.MarkDirty(testFingerprint)
	for i := range f.nodes {
		f.tell(s.node, i, c)
	}
}

// TestCollectorsAddUpCrashesOfDifferentNodes sends a request that crashes its targets to another node each time, in fleets of
// all sizes, with collectors that are down, or leave after the first crash, or with nodes cut into small groups. No node saw
// more than one crash, so each sent it on, and the number of crashes grew with the number of nodes.
func TestCollectorsAddUpCrashesOfDifferentNodes(t *testing.T) {
	for _, c := range []struct {
		name              string
		deaf, left, group int
	}{
		{name: "all are up"},
		{name: "the first collector is down", deaf: 1},
		{name: "two collectors are down", deaf: 2},
		{name: "the first collector leaves", left: 1},
		{name: "two are down, one of them leaves", deaf: 2, left: 1},
		{name: "groups of three", group: 3},
		{name: "groups of a tenth", group: 10},
	} {
		for _, nodes := range []int{6, 44, 300, 986} {
			t.Run(fmt.Sprint(c.name, "/", nodes), func(t *testing.T) {
				f := &collectingFleet{modelFleet: newModelFleet(t, uint64(nodes), nodes), deaf: map[int]bool{}, left: map[int]bool{}, hasStore: c.group > 0}
				for i := range nodes {
					switch c.group {
					case 3:
						f.groups[i] = i / 3
					case 10:
						f.groups[i] = i * 10 / nodes
					}
				}
				ranked := quarantine.Collectors(testFingerprint, f.known(0))
				for i := range nodes {
					f.deaf[i] = slices.Contains(ranked[:c.deaf], nodeName(i))
				}
				f.clock.Advance(propagationBound + tick)
				for i, at := range f.rand.Perm(nodes)[:min(nodes, 30)] {
					f.send(at)
					for range 10 {
						f.clock.Advance(tick)
						f.step()
					}
					for j := range nodes {
						f.left[j] = i > 0 && slices.Contains(ranked[:c.left], nodeName(j))
					}
				}
				late := 0
				for i, at := range f.sends {
					if i >= crashThreshold && at-f.crashes[crashThreshold-1] > propagationBound {
						late++
					}
				}
				if late > maxLateSends {
					t.Errorf("sent %d times later than %v ms after the third crash, %d times in all", late, propagationBound, len(f.sends))
				}
				if most := 2 * nodes * len(f.crashes); f.datagrams > most {
					t.Errorf("%d datagrams for %d crashes, more than %d", f.datagrams, len(f.crashes), most)
				}
				if most := 4 * len(f.crashes); f.writes > most {
					t.Errorf("%d writes to the store for %d crashes, more than %d", f.writes, len(f.crashes), most)
				}
				t.Logf("%d sends, %d crashes, %d datagrams, %d writes", len(f.sends), len(f.crashes), f.datagrams, f.writes)
			})
		}
	}
}
