// Package latency learns how long requests of a kind take, from the good answers of the last half
// minute. It does no I/O.
package latency

import (
	"sync"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/tinladder/tinladder/clock"
)

const (
	// window is how long an answer is counted at least; twice as long at most.
	window = 15 * clock.Second
	// maxMillis bounds what is told apart, in milliseconds, and digits how finely: one digit is within a tenth.
	maxMillis         = 60000
	significantDigits = 1
	// minSamples is how many answers say something of a quantile.
	minSamples = 20
)

// A Tracker struct holds how long one kind of request took of late. It is safe for concurrent use. It
// takes about 4 KB of memory.
type Tracker struct {
	clock clock.Clock

	mu          sync.Mutex
	windowStart clock.Millis
	// current counts since then, and all what came before, too.
	current *hdrhistogram.Histogram
	total   *hdrhistogram.Histogram
}

// New returns a track that knows nothing.
func New(c clock.Clock) *Tracker {
	return &Tracker{clock: c, windowStart: c.Now(), current: histogram(), total: histogram()}
}

func histogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxMillis, significantDigits)
}

// Add counts an answer that took so long. One that was not waited for to its end counts with the time
// that it was: left out, the slow ones would be missing and what is usual would shrink.
func (t *Tracker) Add(took clock.Millis) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rotate()
	ms := min(max(int64(took), 1), maxMillis)
	_ = t.current.RecordValue(ms) // within the bounds it does not fail
	_ = t.total.RecordValue(ms)
}

// rotate drops what is too old.
func (t *Tracker) rotate() {
	now := t.clock.Now()
	if now-t.windowStart < window {
		return
	}
	t.total.Reset()
	if now-t.windowStart < 2*window {
		t.total.Merge(t.current)
	}
	t.current.Reset()
	t.windowStart = now
}

// Quantile returns how long the share of the answers took at most, and false if too few are known.
func (t *Tracker) Quantile(share float64) (clock.Millis, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rotate()
	if t.total.TotalCount() < minSamples {
		return 0, false
	}
	return clock.Millis(t.total.ValueAtQuantile(share * percent)), true
}

const percent = 100
