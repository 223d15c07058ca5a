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

// Part says what part of the processor a kind of work may take.
type Part struct {
	// Share is the part of the processor's time.
	Share float64
	// Measured is the part of a job's time that is spent within Do.
	Measured float64
	// Ahead is how much may be promised ahead.
	Ahead clock.Millis
}

// A Work struct does jobs of one kind, one at a time, and no more of them than its part of the processor allows. It is safe
// for concurrent use.
type Work struct {
	clock clock.Clock
	part  Part
	pacer *Pacer

	mu sync.Mutex
}

// NewWork returns the work of one kind.
func NewWork(c clock.Clock, p Part) *Work {
	return &Work{clock: c, part: p, pacer: New(c, p.Ahead)}
}

// Do does the job if there is room for it. The job returns how long it takes on an idle processor, in milliseconds; where
// it took longer, that counts.
func (w *Work) Do(job func() (millis float64)) (done bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.pacer.Admits() {
		return false
	}
	start := w.clock.Now()
	estimate := job()
	took := float64(w.clock.Now()-start) / w.part.Measured
	counts := min(max(estimate, took), maxSlowdown*estimate)
	w.pacer.Charge(min(counts/w.part.Share, float64(maxChargePerJob)))
	return true
}
