// Package belief estimates whether a target is failing. A target is modelled as alternating between healthy and
// failing periods, at rates that are the same for all targets of a service. Each response is evidence on the
// present period, and counts less as time goes by. It does no I/O.
package belief

import (
	"math"

	"github.com/tinladder/tinladder/clock"
)

// Model describes how targets behave.
type Model struct {
	// MeanHealthy and MeanFailing are the mean lengths of the periods.
	MeanHealthy clock.Millis
	MeanFailing clock.Millis
	// HealthyFailRate and FailingFailRate are the shares of requests that fail in each.
	HealthyFailRate float64
	FailingFailRate float64
}

// DefaultModel has three in ten targets fail at any time, for nine seconds on average (docs/design/12-choice.md).
var DefaultModel = Model{MeanHealthy: 21 * clock.Second, MeanFailing: 9 * clock.Second, HealthyFailRate: 0.015, FailingFailRate: 0.85}

// Prior returns the share of targets that are failing at any time.
func (m *Model) Prior() float64 {
	return float64(m.MeanFailing) / float64(m.MeanHealthy+m.MeanFailing)
}

// rate returns how fast evidence decays, per millisecond.
func (m *Model) rate() float64 {
	return 1/float64(m.MeanHealthy) + 1/float64(m.MeanFailing)
}

// Belief is the probability that one target is failing. Its zero value is not usable.
type Belief struct {
	failing float64
	at      clock.Millis
}

// New returns the belief about a target without evidence.
func New(m *Model, now clock.Millis) Belief {
	return Belief{failing: m.Prior(), at: now}
}

// FromPeer returns the belief of another node, as it was at the time.
func FromPeer(failing float64, at clock.Millis) Belief {
	return Belief{failing: min(max(failing, 0), 1), at: at}
}

// FailingProb returns the probability that the target is failing now.
func (b *Belief) FailingProb(m *Model, now clock.Millis) float64 {
	if now <= b.at {
		return b.failing
	}
	prior := m.Prior()
	return prior + (b.failing-prior)*math.Exp(-m.rate()*float64(now-b.at))
}

// FailureProb returns the probability that a request sent now fails.
func (b *Belief) FailureProb(m *Model, now clock.Millis) float64 {
	f := b.FailingProb(m, now)
	return f*m.FailingFailRate + (1-f)*m.HealthyFailRate
}

// ObserveSuccess records a good response.
func (b *Belief) ObserveSuccess(m *Model, now clock.Millis) {
	b.update(m, now, 1-m.FailingFailRate, 1-m.HealthyFailRate)
}

// ObserveFailure records a failure.
func (b *Belief) ObserveFailure(m *Model, now clock.Millis) {
	b.update(m, now, m.FailingFailRate, m.HealthyFailRate)
}

// ObserveLate records that no response came within the time that usual requests need. It is slightly weaker
// evidence than a failure: a healthy target is late now and then, one that fails by not responding nearly always.
func (b *Belief) ObserveLate(m *Model, now clock.Millis) {
	b.update(m, now, lateIfFailing, lateIfHealthy)
}

// lateIfFailing and lateIfHealthy are how often responses are late in each period. Where targets fail by not
// responding, 0.3 and 0.04 let one request in 200 more be lost (3.1% against 2.9% not served); where they fail with
// errors nothing changes.
const (
	lateIfFailing = 0.7
	lateIfHealthy = 0.02
)

func (b *Belief) update(m *Model, now clock.Millis, ifFailing, ifHealthy float64) {
	f := b.FailingProb(m, now)
	b.failing = f * ifFailing / (f*ifFailing + (1-f)*ifHealthy)
	b.at = max(now, b.at)
}
