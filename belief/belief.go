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
	// Sound and Failing are how long spells last on average.
	Sound   clock.Millis
	Failing clock.Millis
	// SoundFails and FailingFails are the shares of requests that fail in each.
	SoundFails   float64
	FailingFails float64
}

// DefaultModel has three in ten targets fail at any time, for nine seconds on average (docs/design/12-choice.md).
var DefaultModel = Model{Sound: 21 * clock.Second, Failing: 9 * clock.Second, SoundFails: 0.015, FailingFails: 0.85}

// Prior is the share of targets that fail at any time.
func (m *Model) Prior() float64 {
	return float64(m.Failing) / float64(m.Sound+m.Failing)
}

// rate is how fast what was seen is forgotten, per millisecond.
func (m *Model) rate() float64 {
	return 1/float64(m.Sound) + 1/float64(m.Failing)
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

// Taken returns the belief of another node, as it was at the time.
func Taken(failing float64, at clock.Millis) Belief {
	return Belief{failing: min(max(failing, 0), 1), at: at}
}

// Failing returns how likely it is that the target is failing now.
func (b *Belief) Failing(m *Model, now clock.Millis) float64 {
	if now <= b.at {
		return b.failing
	}
	prior := m.Prior()
	return prior + (b.failing-prior)*math.Exp(-m.rate()*float64(now-b.at))
}

// Fails returns how likely it is that a request fails that is sent now.
func (b *Belief) Fails(m *Model, now clock.Millis) float64 {
	f := b.Failing(m, now)
	return f*m.FailingFails + (1-f)*m.SoundFails
}

// Good takes in a good answer.
func (b *Belief) Good(m *Model, now clock.Millis) {
	b.update(m, now, 1-m.FailingFails, 1-m.SoundFails)
}

// Failed takes in a failure.
func (b *Belief) Failed(m *Model, now clock.Millis) {
	b.update(m, now, m.FailingFails, m.SoundFails)
}

// Late takes in an answer that did not come in the time that usual ones need. It says a little less than
// a failure: a sound target is late now and then, one that fails by silence nearly always.
func (b *Belief) Late(m *Model, now clock.Millis) {
	b.update(m, now, lateIfFailing, lateIfSound)
}

// How often answers are late. Where targets fail by silence, 0.3 and 0.04 let one request in 200 more be
// lost (virtual time, 3.1% against 2.9% not served); where they fail with errors nothing changes.
const (
	lateIfFailing = 0.7
	lateIfSound   = 0.02
)

func (b *Belief) update(m *Model, now clock.Millis, ifFailing, ifSound float64) {
	f := b.Failing(m, now)
	b.failing = f * ifFailing / (f*ifFailing + (1-f)*ifSound)
	b.at = max(now, b.at)
}
