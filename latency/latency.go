// Package latency estimates how long requests of a kind take, from the successful responses of the last 15 to 30 seconds.
// It does no I/O.
package latency

import (
	"sync"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/tinladder/tinladder/clock"
)

const (
	// window is the minimum time for which a sample counts; the maximum is twice that.
	window = 15 * clock.Second
	// maxMillis is the largest value recorded, and significantDigits the precision: one digit is accurate to 10 %.
	maxMillis         = 60000
	significantDigits = 1
	// minSamples is the number of samples required for a quantile.
	minSamples = 20
)

// A Tracker holds the recent latencies of one kind of request. It is safe for concurrent use. It takes about 4 KB of
// memory.
type Tracker struct {
	clock clock.Clock

	mu          sync.Mutex
	windowStart clock.Millis
	// current holds the samples since windowStart, and total those of the previous window as well.
	current *hdrhistogram.Histogram
	total   *hdrhistogram.Histogram
}

// New returns an empty Tracker.
func New(c clock.Clock) *Tracker {
	return &Tracker{clock: c, windowStart: c.Now(), current: histogram(), total: histogram()}
}

func histogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxMillis, significantDigits)
}

// Add records a latency. For an attempt that was abandoned, it is the time waited so far: without these samples, slow
// responses would be missing and the quantiles would be too low.
func (t *Tracker) Add(took clock.Millis) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rotate()
	ms := min(max(int64(took), 1), maxMillis)
	_ = t.current.RecordValue(ms) // cannot fail within the bounds
	_ = t.total.RecordValue(ms)
}

// rotate drops samples that are too old.
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

// Quantile returns the latency that the given share of the samples does not exceed, and false if there are too few
// samples.
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
