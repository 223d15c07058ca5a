package limit_test

import (
	"fmt"
	"testing"

	"github.com/tinladder/tinladder/clock"
	"github.com/tinladder/tinladder/ident"
	"github.com/tinladder/tinladder/limit"
)

// TestFloodUsesTheBound has a workspace ask for three times its rate for 30 s at all carriers. The reserve leaves 0.95 of
// the bound; of this, each window may lose a slot, and each carrier a fraction of a request.
func TestFloodUsesTheBound(t *testing.T) {
	const reserve, slot = 0.05, 0.02
	r := limit.Rate{PerSecond: 96, Burst: 96}
	for _, size := range []struct{ nodes, carriers int }{{30, 6}, {99, 10}} {
		t.Run(fmt.Sprintf("%d of %d nodes", size.carriers, size.nodes), func(t *testing.T) {
			f := newFleet(t, size.nodes, size.carriers, true, 3)
			f.run(8*clock.Second, rates, f.evenLoad(0))
			f.run(30*clock.Second, rates, func(w ident.Workspace, n *node) float64 {
				if w != "large" || n.id >= f.carriers {
					return 0
				}
				return 3 * r.PerSecond / float64(f.carriers)
			})
			f.check("flood")
			from := f.clock.Now() - 25*clock.Second
			got := 0.0
			for _, x := range f.admitted["large"] {
				if x > from {
					got++
				}
			}
			use := got / 5 / f.bounds.Allowed(r)
			t.Logf("used %.3f of the bound", use)
			if least := 1 - reserve - slot - float64(f.carriers)/f.bounds.Allowed(r); use < least {
				t.Errorf("used %.3f of the bound in the mean window, want %.2f", use, least)
			}
		})
	}
}
