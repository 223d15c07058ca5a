package proof_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/tinladder/tinladder/assign"
	"github.com/tinladder/tinladder/clock"
	"github.com/tinladder/tinladder/ident"
	"github.com/tinladder/tinladder/pool"
)

// TestSlackHoldsUnderDoubts has nodes doubt each other for up to 2.5 s, each another few, as they do where many messages
// are lost. Who ranks behind those that a node doubts takes itself for one of the six that carry a service, and has a
// carrier's part of the slack at once: within a retry window the nodes had 1.50 of the slack that the whole fleet has where
// they doubt half of the others, and 0.95 to 1.02 where they doubt three of ten.
func TestSlackHoldsUnderDoubts(t *testing.T) {
	const nodes, carriers, window = 30, 6, 10 * clock.Second
	for seed := range uint64(3) {
		r := rand.New(rand.NewPCG(seed, 1))
		most := make([]float64, nodes)
		doubts := map[[2]int]clock.Millis{}
		sharers := make([]*assign.Sharers, nodes)
		for i := range sharers {
			sharers[i] = assign.NewSharers()
		}
		for now := 10_000 - assign.SettleTime; now < 10_000+window; now += 100 {
			for i := range nodes {
				var sharing []ident.Node
				v := pool.FleetView{Live: nodes, PeakLive: nodes}
				for j := range nodes {
					if now >= 10_000 && now%2000 == 0 && i != j && r.Float64() < 0.5 {
						doubts[[2]int{i, j}] = now + clock.Millis(r.IntN(2500))
					}
					if len(sharing) < carriers && doubts[[2]int{i, j}] <= now {
						sharing = append(sharing, ident.Node(fmt.Sprint(j)))
						v.Carries = v.Carries || i == j
					}
				}
				v.Carriers, v.Carries = sharers[i].Observe(sharing, v.Carries, now == 10_000-assign.SettleTime, now)
				most[i] = max(most[i], pool.SlackShare(v))
			}
		}
		sum := 0.0
		for _, share := range most {
			sum += share
		}
		t.Logf("parts of the slack within a window: %.2f", sum)
		if sum > 1 {
			t.Errorf("seed %d: nodes had %.2f of the slack within a window", seed, sum)
		}
	}
}
