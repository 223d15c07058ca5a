// Package pacer limits the share of a link or processor that one kind of work takes, so that requests and the desired
// state keep the rest. Work is charged with the time that it takes at the allowed rate, and no more is admitted while too
// much of that time lies ahead. It does no I/O.
package pacer

import (
	"sync"

	"github.com/tinladder/tinladder/clock"
)

// A Pacer admits work at a limited rate. It is safe for concurrent use.
type Pacer struct {
	clock    clock.Clock
	maxAhead clock.Millis

	mu sync.Mutex
	// busyUntil is when the work charged so far ends at the allowed rate, in milliseconds of the clock.
	busyUntil float64
}

// New returns a Pacer that admits work while at most maxAhead of charged time lies ahead.
func New(c clock.Clock, maxAhead clock.Millis) *Pacer {
	return &Pacer{clock: c, maxAhead: maxAhead}
}

// Admits reports whether more work may be done now.
func (p *Pacer) Admits() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.busyUntil-float64(p.clock.Now()) <= float64(p.maxAhead)
}

// Charge records work that takes the given time at the allowed rate.
func (p *Pacer) Charge(millis float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.busyUntil = max(p.busyUntil, float64(p.clock.Now())) + millis
}
