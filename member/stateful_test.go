package member_test

import (
	"fmt"
	"testing"

	"github.com/tinladder/tinladder/clock"
	"github.com/tinladder/tinladder/member"
	"pgregory.net/rapid"
)

// TestMembership freezes nodes, cuts links in one direction, and restarts nodes in any order. A node must never go
// back to an earlier process of another node and never list itself; once all faults are over, all nodes must know
// exactly the running processes.
func TestMembership(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newNet(5, rapid.Uint64().Draw(t, "seed"))
		w.run(5 * clock.Second)
		inc := map[string]uint64{}
		for _, name := range w.order {
			inc[name] = 1
		}
		seen := map[*member.Table]map[string]uint64{}
		name := rapid.SampledFrom(w.order)
		t.Repeat(map[string]func(*rapid.T){
			"freeze": func(t *rapid.T) { w.frozen[name.Draw(t, "node")] = true },
			"thaw":   func(t *rapid.T) { w.frozen[name.Draw(t, "node")] = false },
			"cut":    func(t *rapid.T) { w.cut[[2]string{name.Draw(t, "from"), name.Draw(t, "to")}] = true },
			"mend":   func(*rapid.T) { clear(w.cut) },
			"lose":   func(t *rapid.T) { w.loss = rapid.SampledFrom([]float64{0, 0.3}).Draw(t, "loss") },
			"restart": func(t *rapid.T) {
				n := name.Draw(t, "node")
				inc[n]++
				w.start(n, inc[n])
				w.frozen[n] = false
			},
			"run": func(t *rapid.T) { w.run(clock.Millis(rapid.IntRange(1, 40).Draw(t, "steps")) * step) },
			"": func(t *rapid.T) {
				for _, n := range w.order {
					checkTable(t, n, w.tables[n], seen)
				}
			},
		})
		clear(w.cut)
		clear(w.frozen)
		w.loss = 0
		w.run(90 * clock.Second)
		for _, n := range w.order {
			live := w.tables[n].Live()
			if len(live) != len(w.order)-1 {
				t.Fatalf("%s knows %d others", n, len(live))
			}
			for _, m := range live {
				if m.GetIncarnation() != inc[m.GetNode()] {
					t.Fatalf("%s knows process %d of %s, and %d runs", n, m.GetIncarnation(), m.GetNode(), inc[m.GetNode()])
				}
			}
			if w.tables[n].Isolated() || w.tables[n].Superseded() {
				t.Fatalf("%s is isolated or superseded", n)
			}
		}
	})
}

func checkTable(t *rapid.T, name string, table *member.Table, seen map[*member.Table]map[string]uint64) {
	if seen[table] == nil {
		seen[table] = map[string]uint64{}
	}
	for _, m := range table.Live() {
		if m.GetNode() == name {
			t.Fatalf("%s lists itself", name)
		}
		if m.GetIncarnation() < seen[table][m.GetNode()] {
			t.Fatalf("%s went back to process %d of %s", name, m.GetIncarnation(), m.GetNode())
		}
		seen[table][m.GetNode()] = m.GetIncarnation()
	}
}

// TestDetectionTime logs how long it takes until the last of 43 others considers a node gone.
func TestDetectionTime(t *testing.T) {
	faults := map[string]func(w *net){
		"dead":   func(w *net) { w.tables["n07"] = nil },
		"paused": func(w *net) { w.frozen["n07"] = true },
		"deaf": func(w *net) {
			for _, other := range w.order {
				w.cut[[2]string{other, "n07"}] = true
			}
		},
		"mute": func(w *net) {
			for _, other := range w.order {
				w.cut[[2]string{"n07", other}] = true
			}
		},
	}
	for fault, f := range faults {
		t.Run(fault, func(t *testing.T) {
			worst, total := clock.Millis(0), clock.Millis(0)
			const runs = 6
			for seed := range uint64(runs) {
				w := newNet(44, seed)
				w.run(20 * clock.Second)
				f(w)
				start := w.clock.Now()
				for w.seenBy("n07") > 0 && w.clock.Now()-start < clock.Minute {
					w.run(step)
				}
				took := w.clock.Now() - start
				worst, total = max(worst, took), total+took
			}
			t.Log(fmt.Sprintf("%s: gone everywhere after %d ms on average, %d at worst", fault, total/runs, worst))
			if worst > 10*clock.Second {
				t.Fatalf("took %d ms", worst)
			}
		})
	}
}
