package pool

import (
	"math"

	"github.com/tinladder/tinladder/clock"
)

// Work is spread over the targets because the platform holds a service to a floor: while more than a tenth of its
// requests are not served, seven tenths of its healthy targets must get work within any two seconds. A target that
// failed by itself counts as healthy two seconds after it stopped, and only a trial shows when that was.
//
// The load pattern: three in ten targets fail for some time, and many are avoided for longer than they fail. In
// calm times that does no harm. But when power is lost everywhere, or a fifth of the targets crash, the requests
// that were in flight make the two seconds before count as trouble too, so it is too late to spread work once
// trouble shows. Therefore a share of the targets that are likely healthy has work at any time. In deep trouble
// nearly all targets have work that did not fail just now, whatever their estimated health.
//
// The cost: run-once requests are exposed to failures by trials (TestMeasureFloor).

// coverage is the share of targets that must have had work within Tuning.SpreadIdle.
type coverage struct {
	share float64
	// ignoreBelief counts every target that did not fail just now; otherwise each counts by the probability that it
	// is healthy.
	ignoreBelief bool
}

// requiredCoverage returns the coverage that the recent requests call for. Requests that timed out count as far as
// there are more of them than usual.
func (p *Pool) requiredCoverage(now clock.Millis) coverage {
	s := p.recentTotals(now)
	share, asked := p.tuning.FloorShare, float64(s.asked)
	byChance := share*asked + chanceDeviations*math.Sqrt(share*(1-share)*asked)
	if late := p.timeoutBaseline.excess(s, now); s.asked > 0 && float64(s.failed)+late > min(byChance, p.tuning.FloorLimit*asked) {
		return coverage{share: p.tuning.DeepSpread, ignoreBelief: true}
	}
	return coverage{share: p.tuning.CalmSpread}
}

// chanceDeviations is how many standard deviations failures must be above the share not to count as chance.
const chanceDeviations = 2

// sparse reports whether there are too few requests for most targets to have work, whatever becomes of them.
//
// The load pattern: hundreds of targets for a few requests a second. Spreading work there would send each request
// to an unknown target, fail as often as targets do, and never use what is known. So requests go to targets that
// responded well recently, and to others as those fail or fill up.
func (p *Pool) sparse(now clock.Millis) bool {
	asked := max(p.recentTotals(now).asked, p.started.sum(now).asked)
	return float64(asked) < p.tuning.SparseBelow*p.tuning.CalmSpread*float64(len(p.order))
}

// belowCoverage reports whether too few of the targets assigned to this node had work recently. What other halls do
// with their targets is known too late and only in part.
func (p *Pool) belowCoverage(n coverage, now clock.Millis) bool {
	worked, healthy := 0.0, 0.0
	for _, t := range p.order {
		if !t.Assigned || !p.usable(t, now) {
			continue
		}
		w := p.coverageWeight(t, n, now)
		healthy += w
		if now-p.workedAt(t, now) <= p.tuning.SpreadIdle {
			worked += w
		}
	}
	return worked < n.share*healthy
}

// coverageWeight returns how much the target counts among those that may be healthy.
func (p *Pool) coverageWeight(t *target, n coverage, now clock.Millis) float64 {
	switch {
	case !n.ignoreBelief:
		return 1 - t.belief.FailingProb(&p.tuning.Model, now)
	case now-t.lastFailed > p.tuning.RecoveryTime:
		return 1
	}
	return 0
}

// needsWork reports whether this node should give the target work to meet the coverage.
func (p *Pool) needsWork(t *target, n coverage, now clock.Millis) bool {
	if n.ignoreBelief && now-t.lastFailed <= p.tuning.RecoveryTime+t.trialDelay() {
		return false
	}
	return now-p.workedAt(t, now) > p.tuning.SpreadIdle+t.trialDelay()
}

// workedAt returns when the target last had work. A request in flight counts as work from its start, and only until
// it turns out that it could not connect. Otherwise a node that is cut off from a target would keep the nodes
// ranked after it from trying the target, trial by trial, or for as long as its requests hang there. Requests of a
// node that cannot connect there now do not count either, since its trials come on top of those that hang.
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
