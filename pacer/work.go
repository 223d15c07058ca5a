package pacer

import (
	"sync"

	"github.com/tinladder/tinladder/clock"
)

const (
	// maxChargePerJob bounds what one job is charged for: a process that stands still in the middle of one would do no other for
	// long.
	maxChargePerJob = 1 * clock.Second
	// maxSlowdown bounds how many times as long as estimated a job counts: a small one that is interrupted once would count
	// as a large one.
	maxSlowdown = 20
)

// Share says what part of the processor a kind of work may take.
type Share struct {
	// Fraction is the part of the processor's time.
	Fraction float64
	// MeasuredFraction is the part of a job's time that is spent within Do.
	MeasuredFraction float64
	// MaxAhead is how much may be promised ahead.
	MaxAhead clock.Millis
}

// A Runner struct does jobs of one kind, one at a time, and no more of them than its part of the processor allows. It is safe
// for concurrent use.
type Runner struct {
	clock clock.Clock
	share Share
	pacer *Pacer

	mu sync.Mutex
}

// NewRunner returns the work of one kind.
func NewRunner(c clock.Clock, s Share) *Runner {
	return &Runner{clock: c, share: s, pacer: New(c, s.MaxAhead)}
}

// Do does the job if there is room for it. The job returns how long it takes on an idle processor, in milliseconds; where
// it took longer, that counts.
func (w *Runner) Do(job func() (millis float64)) (done bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.pacer.Admits() {
		return false
	}
	start := w.clock.Now()
	estimate := job()
	took := float64(w.clock.Now()-start) / w.share.MeasuredFraction
	counts := min(max(estimate, took), maxSlowdown*estimate)
	w.pacer.Charge(min(counts/w.share.Fraction, float64(maxChargePerJob)))
	return true
}
