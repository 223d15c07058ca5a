package pool

import (
	"math"

	"github.com/tinladder/tinladder/clock"
)

// The duty to spread work. The platform holds a service to a floor: while more than a tenth of its requests are not
// served, seven tenths of its sound targets must get work within any two seconds. A target that failed by itself
// counts as sound two seconds after it stopped, and nobody knows when that was but by trying.
//
// The load pattern: three in ten targets fail by spells, and many are avoided for longer than their spell lasts. On
// a calm day that harms nobody. But when power is lost everywhere, or a fifth of the targets crash, what was in
// flight makes the two seconds before a time of trouble: who waits for trouble to spread work is too late. So at
// any time a share of the targets that are likely sound has work. In deep trouble nearly all have it that did not
// fail just now, whatever is believed of them.
//
// What it costs: run-once requests can only be tried with harm (TestMeasureFloor).

// A coverage is what share of which targets must have had work within Tuning.SpreadIdle.
type coverage struct {
	share float64
	// ignoreBelief counts every target that did not fail just now; otherwise each counts as far as it is believed to be sound.
	ignoreBelief bool
}

// requiredCoverage says what the requests of late ask for. Requests that ran out of time count as far as there are more of
// them than usual.
func (p *Pool) requiredCoverage(now clock.Millis) coverage {
	s := p.recentTotals(now)
	share, asked := p.tuning.FloorShare, float64(s.asked)
	byChance := share*asked + chanceDeviations*math.Sqrt(share*(1-share)*asked)
	if late := p.timeoutBaseline.excess(s, now); s.asked > 0 && float64(s.failed)+late > min(byChance, p.tuning.FloorLimit*asked) {
		return coverage{share: p.tuning.DeepSpread, ignoreBelief: true}
	}
	return coverage{share: p.tuning.CalmSpread}
}

// chanceDeviations is how far above the share failures must be, in standard chanceDeviations, not to be chance.
const chanceDeviations = 2

// sparse says whether there are too few requests for most targets to have work, whatever becomes of them.
//
// The load pattern: hundreds of targets for a few requests a second. If work is spread all the same, each request goes
// to a target that nobody knows, and fails as often as targets do; what is known is never used. So requests go to
// targets that answered well of late, and to others as those fail or fill up.
func (p *Pool) sparse(now clock.Millis) bool {
	asked := max(p.recentTotals(now).asked, p.started.sum(now).asked)
	return float64(asked) < p.tuning.SparseBelow*p.tuning.CalmSpread*float64(len(p.order))
}

// belowCoverage says whether too few of this hall's targets had work of late. What other halls do with theirs is known too
// late and in part.
func (p *Pool) belowCoverage(n coverage, now clock.Millis) bool {
	worked, sound := 0.0, 0.0
	for _, t := range p.order {
		if !t.Assigned || !p.usable(t, now) {
			continue
		}
		w := p.coverageWeight(t, n, now)
		sound += w
		if now-p.workedAt(t, now) <= p.tuning.SpreadIdle {
			worked += w
		}
	}
	return worked < n.share*sound
}

// coverageWeight says how much the target coverageWeight among those that may be sound.
func (p *Pool) coverageWeight(t *target, n coverage, now clock.Millis) float64 {
	switch {
	case !n.ignoreBelief:
		return 1 - t.belief.FailingProb(&p.tuning.Model, now)
	case now-t.lastFailed > p.tuning.RecoveryTime:
		return 1
	}
	return 0
}

// needsWork says whether this node should give the target work to meet the need.
func (p *Pool) needsWork(t *target, n coverage, now clock.Millis) bool {
	if n.ignoreBelief && now-t.lastFailed <= p.tuning.RecoveryTime+t.trialDelay() {
		return false
	}
	return now-p.workedAt(t, now) > p.tuning.SpreadIdle+t.trialDelay()
}

// workedAt is when the target last had work. A request that is in flight counts as such, from when it came, until it
// turns out that it could not connect: else a node that is cut from a target would keep those whose turn comes after its
// own from it, trial by trial, or for as long as its requests hang there. What a node has in flight that cannot connect
// there now is no work either, since its trials come on top of what hangs.
func (p *Pool) workedAt(t *target, now clock.Millis) clock.Millis {
	at := t.usedAt
	if t.localInFlight > 0 {
		at = max(at, t.triedAt)
	}
	if p.peersInFlight(t, now) > 0 {
		at = max(at, t.peerTriedAt)
	}
	return at
}
