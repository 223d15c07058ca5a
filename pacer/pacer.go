// Package pacer bounds how much of a link or a processor one kind of work takes, so that requests and the desired state
// keep the rest. What was done is charged for as the time that it takes at the rate allowed, and nothing more is admitted
// while that lies ahead. It does no I/O.
package pacer

import (
	"sync"

	"github.com/tinladder/tinladder/clock"
)

// A Pacer struct admits work while what was charged for is nearly over. It is safe for concurrent use.
type Pacer struct {
	clock    clock.Clock
	maxAhead clock.Millis

	mu sync.Mutex
	// busyUntil is until when what was charged for takes, in milliseconds of the clock.
	busyUntil float64
}

// New returns a pacer that admits work while no more than ahead is promised.
func New(c clock.Clock, maxAhead clock.Millis) *Pacer {
	return &Pacer{clock: c, maxAhead: maxAhead}
}

// Admits says whether more may be done now.
func (p *Pacer) Admits() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.busyUntil-float64(p.clock.Now()) <= float64(p.maxAhead)
}

// Charge notes work that takes so many milliseconds at the rate allowed.
func (p *Pacer) Charge(millis float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.busyUntil = max(p.busyUntil, float64(p.clock.Now())) + millis
}
