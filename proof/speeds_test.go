package proof_test

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/tinladder/tinladder/ident"
	"github.com/tinladder/tinladder/pool"
	"github.com/tinladder/tinladder/pool/speed"
	tlv1 "github.com/tinladder/tinladder/schema/tinladder/v1"
)

const (
	// knowers is how many nodes report the true speeds: together they outweigh what a node sees itself.
	knowers = 12
	// speedLoss is how much less may be in aim than with the true speeds known.
	speedLoss = 0.02
)

// tellSpeeds has nodes that serve nothing report the true speeds to all others until the play is over.
func (p *player) tellSpeeds() {
	for time.Since(p.start).Seconds() < p.Seconds {
		time.Sleep(tickTurn.after(200 * time.Millisecond))
		report := &tlv1.Report{}
		for i := range p.Targets {
			id := ident.Target(fmt.Sprint("t", i))
			x := 1.0
			if e := p.hits("slow", id); e != nil {
				x = e.X
			}
			report.Seen = append(report.Seen, &tlv1.Seen{Target: string(id), OkMs: -1, FailedMs: -1, RelativeTime: uint32(math.Round(1000 * x)), TimeSamples: 16})
		}
		for _, n := range p.nodes {
			for i := range knowers {
				n.ApplyReport(ident.Process{Node: ident.Node(fmt.Sprint("knows", i)), Incarnation: 1}, report)
			}
		}
	}
}

// TestSpeedsAreKnownNearlyAsWellAsIfTold guards against estimates of targets' speeds that cost callers much of what a choice
// by the true speeds would give them.
func TestSpeedsAreKnownNearlyAsWellAsIfTold(t *testing.T) {
	list := loads(t)
	r := list[slices.IndexFunc(list, func(r replay) bool { return r.Without == "target-speeds" })]
	play := func(told, learns bool, tuning pool.Tuning) float64 {
		sum := newReplayed()
		for _, x := range plays(t, replaySeeds, func(seed uint64) *replayed {
			p := newPlayer(r, tuning, seed+1)
			if learns {
				p.works = map[string]*speed.Work{}
			}
			if told {
				go p.tellSpeeds()
			}
			got := p.play()
			synctest.Wait()
			return got
		}) {
			sum.add(x)
		}
		t.Logf("speeds told %v, work learned %v: %v", told, learns, sum)
		for _, k := range r.Kinds {
			t.Logf("%s: in aim %.3f", k.Name, sum.kind(k.Name).inAimShare())
		}
		return share(sum.inAim, sum.asked)
	}
	known := play(true, false, r.tuning(t))
	estimated := play(false, false, r.tuning(t))
	before := play(false, false, r.tuning(t, r.Without))
	learned := play(false, true, r.tuning(t))
	t.Logf("in aim: speeds told %.3f, estimated %.3f, with the work learned too %.3f, without %.3f", known, estimated, learned, before)
	if min(estimated, learned) < known-speedLoss {
		t.Errorf("%.3f in aim, %.3f with the work learned; with the speeds told %.3f", estimated, learned, known)
	}
}
