package pool

import (
	"sync"

	"github.com/tinladder/tinladder/clock"
)

// A RetryBudget struct bounds further attempts of requests for one service to a share of the requests
// themselves, and a little more, within a window. Each node keeps to its own part, so that the
// fleet keeps to the whole without having to ask. It is safe for concurrent use.
type RetryBudget struct {
	clock clock.Clock

	mu sync.Mutex
	// ratio is how many further attempts each request allows, and slack how many more there may be.
	ratio    float64
	slack    float64
	window   clock.Millis
	requests []clock.Millis
	retries  []clock.Millis
}

// NewRetryBudget returns a budget that allows ratio further attempts for each request, and slack more,
// within any window.
func NewRetryBudget(c clock.Clock, ratio, slack float64, window clock.Millis) *RetryBudget {
	return &RetryBudget{clock: c, ratio: ratio, slack: slack, window: window}
}

// SetSlack changes how many further attempts there may be besides the share.
func (b *RetryBudget) SetSlack(slack float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.slack = slack
}

// AddRequest counts a request.
func (b *RetryBudget) AddRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	b.requests = append(dropUntil(b.requests, now-b.window), now)
}

// Allow says whether one more attempt may be made, and counts it.
func (b *RetryBudget) Allow() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	b.requests = dropUntil(b.requests, now-b.window)
	b.retries = dropUntil(b.retries, now-b.window)
	if float64(len(b.retries)+1) > b.ratio*float64(len(b.requests))+b.slack {
		return false
	}
	b.retries = append(b.retries, now)
	return true
}

// Remaining returns how many further attempts there may be now.
func (b *RetryBudget) Remaining() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	b.requests = dropUntil(b.requests, now-b.window)
	b.retries = dropUntil(b.retries, now-b.window)
	return b.ratio*float64(len(b.requests)) + b.slack - float64(len(b.retries))
}

// dropUntil drops the times up to the bound; they are in order.
func dropUntil(times []clock.Millis, bound clock.Millis) []clock.Millis {
	n := 0
	for n < len(times) && times[n] <= bound {
		n++
	}
	return times[n:]
}
