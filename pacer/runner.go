package pacer

import (
	"sync"

	"github.com/tinladder/tinladder/clock"
)

const (
	// maxChargePerJob bounds the charge for one job: a process stalled within a job would otherwise admit no other for a
	// long time.
	maxChargePerJob = 1 * clock.Second
	// maxSlowdown bounds the charge as a multiple of the estimate: otherwise one interruption would make a small job count
	// as a large one.
	maxSlowdown = 20
)

// A Share is the part of the processor that a kind of work may take.
type Share struct {
	// Fraction is the fraction of processor time.
	Fraction float64
	// MeasuredFraction is the fraction of a job's total time that is spent within Do.
	MeasuredFraction float64
	// MaxAhead is how much charged time may lie ahead when a job is admitted.
	MaxAhead clock.Millis
}

// A Runner runs jobs of one kind, one at a time, within their share. It is safe for concurrent use.
type Runner struct {
	clock clock.Clock
	share Share
	pacer *Pacer

	mu sync.Mutex
}

// NewRunner returns a Runner with the given share.
func NewRunner(c clock.Clock, s Share) *Runner {
	return &Runner{clock: c, share: s, pacer: New(c, s.MaxAhead)}
}

// Do runs the job if the share admits it, and reports whether it did. The job returns its estimated time on an idle
// processor, in milliseconds; if it took longer, the measured time is charged.
func (r *Runner) Do(job func() (millis float64)) (done bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.pacer.Admits() {
		return false
	}
	start := r.clock.Now()
	estimate := job()
	took := float64(r.clock.Now()-start) / r.share.MeasuredFraction
	counts := min(max(estimate, took), maxSlowdown*estimate)
	r.pacer.Charge(min(counts/r.share.Fraction, float64(maxChargePerJob)))
	return true
}
