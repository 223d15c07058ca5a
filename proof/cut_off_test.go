package proof_test

import (
	"testing"
	"time"

	"github.com/tinladder/tinladder/pool"
)

// cutOffDeployments are services most of whose nodes lose the paths to all targets for 9 s of each 15 s, or to nearly all.
func cutOffDeployments() []deployment {
	calm := usual.with("cut from all", func(d *deployment) {
		d.nodes, d.cutNodes, d.cutShare, d.rate, d.failing = 6, 4, 1, 60, time.Second
	})
	return []deployment{
		calm,
		calm.with("cut from all but one", func(d *deployment) { d.cutShare = 0.93 }),
		calm.with("few requests", func(d *deployment) { d.rate = 12 }),
		calm.with("one node is left", func(d *deployment) { d.cutNodes, d.rate = 5, 40 }),
		calm.with("failing targets", func(d *deployment) { d.failing = usual.failing }),
	}
}

// TestCallersOfCutOffNodesAreServed guards against nodes that are cut from all targets, or nearly all, and serve their
// callers far worse than nodes that are not: from 3 s after a cut began, at least two thirds as often.
func TestCallersOfCutOffNodesAreServed(t *testing.T) {
	for _, d := range cutOffDeployments() {
		t.Run(d.name, func(t *testing.T) {
			var cutOff, others servedCount
			for _, s := range plays(t, modelSeeds, func(seed uint64) *simulation {
				s := newSimulation(d, pool.DefaultTuning, seed)
				s.play(seed)
				return s
			}) {
				cutOff = servedCount{cutOff.asked + s.cutOff.asked, cutOff.served + s.cutOff.served}
				others = servedCount{others.asked + s.others.asked, others.served + s.others.served}
			}
			t.Logf("nodes that are cut off served %.3f of %d, the others %.3f of %d", cutOff.share(), cutOff.asked, others.share(), others.asked)
			if cutOff.share() < 2.0/3*others.share() || cutOff.asked == 0 {
				t.Errorf("nodes that are cut off served %.3f of their requests, the others %.3f", cutOff.share(), others.share())
			}
		})
	}
}
