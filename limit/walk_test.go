package limit_test

import (
	"fmt"
	"testing"

	"github.com/tinladder/tinladder/clock"
	"github.com/tinladder/tinladder/ident"
	"github.com/tinladder/tinladder/limit"
	"pgregory.net/rapid"
)

// TestAnyWindowHoldsOverTheFleet walks a fleet at random: floods at any nodes, cuts, kills, standstills, lost messages,
// doubts among nodes, carriers that change. No window of any workspace has more than a plain counter allows. All nodes are killed twice in
// a window at the most.
func TestAnyWindowHoldsOverTheFleet(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		nodes := rapid.IntRange(2, 24).Draw(t, "nodes")
		f := newFleet(t, nodes, rapid.IntRange(1, min(nodes, 8)).Draw(t, "carriers"), true, rapid.Uint64().Draw(t, "seed"))
		var killed []clock.Millis
		for range rapid.IntRange(1, 14).Draw(t, "steps") {
			switch rapid.IntRange(0, 8).Draw(t, "step") {
			case 0:
				f.partition(rapid.IntRange(0, nodes).Draw(t, "cut"))
			case 1:
				n := f.nodes[rapid.IntRange(0, nodes-1).Draw(t, "node")]
				if n.down = !n.down; !n.down {
					f.start(n)
				}
			case 2:
				n := f.nodes[rapid.IntRange(0, nodes-1).Draw(t, "node")]
				n.paused = !n.paused
			case 3:
				f.lossRate = rapid.Float64Range(0, 0.5).Draw(t, "lost")
			case 4:
				if len(killed) < 2 || f.clock.Now()-killed[len(killed)-2] > window {
					killed = append(killed, f.clock.Now())
					f.killAll(clock.Millis(rapid.IntRange(100, 1000).Draw(t, "down")))
				}
			case 5:
				f.carriers = rapid.IntRange(1, min(nodes, 8)).Draw(t, "carriers")
			case 6:
				f.suspectAtRandom(rapid.Float64Range(0, 0.5).Draw(t, "doubts"))
			default:
			}
			first, last := rapid.IntRange(0, nodes-1).Draw(t, "first"), rapid.IntRange(0, nodes-1).Draw(t, "last")
			times := rapid.SampledFrom([]float64{0, 0.1, 1, 2, 8}).Draw(t, "times")
			f.run(clock.Millis(rapid.IntRange(1, 60).Draw(t, "span"))*100, rates, func(w ident.Workspace, n *node) float64 {
				if n.id < min(first, last) || n.id > max(first, last) {
					return 0
				}
				return times * rates[w].PerSecond / float64(max(first, last)-min(first, last)+1)
			})
		}
		f.check("walk")
	})
}

// TestLedgerAgainstACounter has two nodes with a half each that lend each other, and give back what did not run. What
// ran is counted plainly: no window has more than what may be saved and what is given meanwhile.
func TestLedgerAgainstACounter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := clock.NewManual(50_000)
		r := limit.Rate{PerSecond: rapid.Float64Range(0.1, 100).Draw(t, "rate"), Burst: rapid.Float64Range(0, 100).Draw(t, "burst")}
		half := limit.View{IsSharer: true, SharerCount: 2, Live: 2, PeakLive: 2}
		tables := []*limit.Table{limit.New(c, bounds), limit.New(c, bounds)}
		var ran, open []clock.Millis
		var by []*limit.Table
		pass := func(span clock.Millis) {
			for ; span > 0; span -= 100 {
				for _, table := range tables {
					table.Tick(half)
				}
				c.Advance(min(span, 100))
			}
		}
		pass(10 * clock.Second)
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			table := tables[rapid.IntRange(0, 1).Draw(t, "table")]
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				pass(clock.Millis(rapid.IntRange(0, 1500).Draw(t, "ms")))
			case 1:
				if len(open) > 0 { // the last one did not run
					by[len(by)-1].Refund("w", open[len(open)-1])
					open, by = open[:len(open)-1], by[:len(by)-1]
				}
			default:
				for range rapid.IntRange(1, 30).Draw(t, "requests") {
					ok, q := table.Take("w", r)
					if !ok && q != nil {
						other := tables[0]
						if other == table {
							other = tables[1]
						}
						lent := other.Lend("w", r, rapid.Float64Range(0, 40).Draw(t, "amount"))
						pass(clock.Millis(rapid.IntRange(0, 400).Draw(t, "way")))
						table.AddLoan("w", "n", lent, q.Seq)
						ok, _ = table.Retry("w", r)
					}
					if ok {
						open, by = append(open, c.Now()), append(by, table)
					}
				}
			}
		}
		ran = open
		from := 0
		for i, at := range ran {
			for ran[from] <= at-bounds.Window {
				from++
			}
			if n := float64(i - from + 1); n > bounds.Allowed(r)*0.95+1 {
				t.Fatalf("%v requests in a window, %v are allowed, 0.95 of them without a start", n, bounds.Allowed(r))
			}
		}
	})
}

// TestFleetThatStartsInACut ends all processes of a fleet that is cut in halves, and floods it when they start again:
// neither half has met the others. The one that hears most of the nodes that its settings name has the limits; without
// that rule both would, and 1,025 requests would run where 654 are allowed.
func TestFleetThatStartsInACut(t *testing.T) {
	f := newFleet(t, 30, 6, true, 1)
	f.run(10*clock.Second, rates, f.evenLoad(0.1))
	f.partition(15)
	f.killAll(500)
	f.run(12*clock.Second, rates, f.loadOnAll(8))
	f.check("started in a cut")
}

// TestFleetThatComesBackFromACut has four of five nodes cut into two and two, none of which has a part of limits, and come
// together again. Each knew of one sharer besides itself, and took a half of the limits at once: 667 requests ran within
// 5 s where 654 are allowed.
func TestFleetThatComesBackFromACut(t *testing.T) {
	f := newFleet(t, 5, 4, true, 0)
	f.run(800, rates, f.loadOnAll(0))
	f.nodes[4].down = true
	f.run(5700, rates, f.loadOnAll(0))
	f.partition(2)
	f.run(4600, rates, f.loadOnAll(0))
	f.partition(4)
	f.run(5700, rates, f.loadOnAll(12))
	f.check("back from a cut")
}

// TestCutThatMovesAsAFleetStarts has a fleet of 13 start while it is cut into 7 and 6, of which the 7 have the limits, and the
// cut move before they met, to 3 and 10. The three hear 3 of the 7 nodes that they ever heard and keep their parts, the
// ten hear all of the ten that they know and deal anew: 667 requests ran within 5 s where 654 are allowed.
func TestCutThatMovesAsAFleetStarts(t *testing.T) {
	f := newFleet(t, 13, 7, true, 9)
	flood := func(first, last int, times float64) func(ident.Workspace, *node) float64 {
		return func(w ident.Workspace, n *node) float64 {
			if n.id < first || n.id > last {
				return 0
			}
			return times * rates[w].PerSecond / float64(last-first+1)
		}
	}
	f.partition(7)
	f.run(1200, rates, flood(2, 9, 8))
	f.partition(3)
	f.run(6*clock.Second, rates, flood(0, 12, 2))
	f.check("a cut that moves")
}

// TestCutsThatMoveAsAFleetStarts has cuts of many sizes move to others while the nodes that lose their majority notice it
// at once, or go on for as long as a suspicion lasts. At no time may two sides hold the limits.
func TestCutsThatMoveAsAFleetStarts(t *testing.T) {
	t.Parallel()
	const nodes, flood = 13, 4
	for _, notices := range []clock.Millis{0, 2500} {
		for from := 1; from < nodes; from += 3 {
			for to := 1; to < nodes; to += 2 {
				for _, after := range []clock.Millis{300, 1200} {
					t.Run(fmt.Sprint(from, " to ", to, " after ", after, ", noticed after ", notices), func(t *testing.T) {
						f := newFleet(t, nodes, 7, true, 9)
						f.detectionDelay = notices
						f.partition(from)
						f.run(after, rates, f.loadOnAll(flood))
						f.partition(to)
						f.run(5*clock.Second, rates, f.loadOnAll(flood))
						f.check("moves")
					})
				}
			}
		}
	}
}
