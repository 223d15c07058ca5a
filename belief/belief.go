// Package belief estimates whether a target is in a spell of failing. A target is taken to go
// back and forth between being sound and failing, at rates that are the same for all targets of a
// service; each answer says something of the present spell, and says less as time goes by. It does
// no I/O.
package belief

import (
	"math"

	"github.com/tinladder/tinladder/clock"
)

// A Model struct says how targets behave.
type Model struct {
	// MeanHealthy and Failing are how long spells last on average.
	MeanHealthy clock.Millis
	MeanFailing clock.Millis
	// HealthyFailRate and FailingFails are the shares of requests that fail in each.
	HealthyFailRate float64
	FailingFailRate float64
}

// DefaultModel has three in ten targets fail at any time, for nine seconds on average (docs/design/12-choice.md).
var DefaultModel = Model{MeanHealthy: 21 * clock.Second, MeanFailing: 9 * clock.Second, HealthyFailRate: 0.015, FailingFailRate: 0.85}

// Prior is the share of targets that fail at any time.
func (m *Model) Prior() float64 {
	return float64(m.MeanFailing) / float64(m.MeanHealthy+m.MeanFailing)
}

// rate is how fast what was seen is forgotten, per millisecond.
func (m *Model) rate() float64 {
	return 1/float64(m.MeanHealthy) + 1/float64(m.MeanFailing)
}

// A Belief struct is how likely it is that one target is failing. Its zero value is not of use.
type Belief struct {
	failing float64
	at      clock.Millis
}

// New returns the belief about a target that nothing is known of.
func New(m *Model, now clock.Millis) Belief {
	return Belief{failing: m.Prior(), at: now}
}

// FromPeer returns the belief of another node, as it was at the time.
func FromPeer(failing float64, at clock.Millis) Belief {
	return Belief{failing: min(max(failing, 0), 1), at: at}
}

// FailingProb returns how likely it is that the target is failing now.
func (b *Belief) FailingProb(m *Model, now clock.Millis) float64 {
	if now <= b.at {
		return b.failing
	}
	prior := m.Prior()
	return prior + (b.failing-prior)*math.Exp(-m.rate()*float64(now-b.at))
}

// FailureProb returns how likely it is that a request fails that is sent now.
func (b *Belief) FailureProb(m *Model, now clock.Millis) float64 {
	f := b.FailingProb(m, now)
	return f*m.FailingFailRate + (1-f)*m.HealthyFailRate
}

// ObserveSuccess takes in a good answer.
func (b *Belief) ObserveSuccess(m *Model, now clock.Millis) {
	b.update(m, now, 1-m.FailingFailRate, 1-m.HealthyFailRate)
}

// ObserveFailure takes in a failure.
func (b *Belief) ObserveFailure(m *Model, now clock.Millis) {
	b.update(m, now, m.FailingFailRate, m.HealthyFailRate)
}

// ObserveLate takes in an answer that did not come in the time that usual ones need. It says a little less than
// a failure: a sound target is late now and then, one that fails by silence nearly always.
func (b *Belief) ObserveLate(m *Model, now clock.Millis) {
	b.update(m, now, lateIfFailing, lateIfHealthy)
}

// How often answers are late. Where targets fail by silence, 0.3 and 0.04 let one request in 200 more be
// lost (virtual time, 3.1% against 2.9% not served); where they fail with errors nothing changes.
const (
	lateIfFailing = 0.7
	lateIfHealthy = 0.02
)

func (b *Belief) update(m *Model, now clock.Millis, ifFailing, ifHealthy float64) {
	f := b.FailingProb(m, now)
	b.failing = f * ifFailing / (f*ifFailing + (1-f)*ifHealthy)
	b.at = max(now, b.at)
}
