package limit_test

import (
	"fmt"
	"testing"

	"github.com/tinladder/tinladder/clock"
	"github.com/tinladder/tinladder/ident"
)

// TestLongAtTheRate has one workspace ask 1.2 times its rate for 20 s, which no window forbids: it gets 0.97 of its
// rate at least, whether callers come to all carriers, to two of them, or to one.
func TestLongAtTheRate(t *testing.T) {
	t.Parallel()
	const times, least = 1.2, 0.97
	for _, nodes := range []int{30, 97} {
		for _, at := range []int{6, 2, 1} {
			for w, r := range rates {
				t.Run(fmt.Sprint(nodes, " nodes, callers at ", at, ", ", w), func(t *testing.T) {
					f := newFleet(t, nodes, 6, true, 11)
					f.run(8*clock.Second, rates, f.evenLoad(0))
					f.run(20*clock.Second, rates, func(asks ident.Workspace, n *node) float64 {
						if asks != w || n.id >= at {
							return 0
						}
						return times * r.PerSecond / float64(at)
					})
					f.check("long")
					got := float64(len(f.admitted[w])) / (20 * r.PerSecond)
					asked := float64(len(f.admitted[w])+f.refused[w]) / (20 * r.PerSecond)
					t.Logf("asked %.3f of its rate, got %.3f", asked, got)
					if got < least*min(asked, 1) {
						t.Errorf("got %.3f of its rate, want %.2f", got, least*min(asked, 1))
					}
				})
			}
		}
	}
}
