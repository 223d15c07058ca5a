package pool

import (
	"sync"

	"github.com/tinladder/tinladder/clock"
)

// RetryBudget limits the retries and hedges of one service to a share of its requests plus a fixed slack, within a
// sliding window. Each node keeps to its own part of the fleet's budget, so nodes need not coordinate. It is safe
// for concurrent use.
type RetryBudget struct {
	clock clock.Clock

	mu sync.Mutex
	// ratio is the number of further attempts allowed per request, slack the number allowed on top.
	ratio    float64
	slack    float64
	window   clock.Millis
	requests []clock.Millis
	retries  []clock.Millis
	// made and denied count since the start.
	made, denied uint64
}

// NewRetryBudget returns a budget that allows ratio further attempts per request, plus slack, within any window.
func NewRetryBudget(c clock.Clock, ratio, slack float64, window clock.Millis) *RetryBudget {
	return &RetryBudget{clock: c, ratio: ratio, slack: slack, window: window}
}

// SetSlack sets how many further attempts are allowed on top of the ratio.
func (b *RetryBudget) SetSlack(slack float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.slack = slack
}

// AddRequest counts the first attempt of a request.
func (b *RetryBudget) AddRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	b.requests = append(dropUntil(b.requests, now-b.window), now)
}

// RemoveRequest takes back the latest AddRequest, for a request that another node counts.
func (b *RetryBudget) RemoveRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if n := len(b.requests); n > 0 {
		b.requests = b.requests[:n-1]
	}
}

// Allow reports whether another attempt may be made, and counts it if so.
func (b *RetryBudget) Allow() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	b.requests = dropUntil(b.requests, now-b.window)
	b.retries = dropUntil(b.retries, now-b.window)
	if float64(len(b.retries)+1) > b.ratio*float64(len(b.requests))+b.slack {
		b.denied++
		return false
	}
	b.retries = append(b.retries, now)
	b.made++
	return true
}

// BudgetStats describes a retry budget at one moment.
type BudgetStats struct {
	// Requests and Retries are those of the last window, Slack what is allowed beyond the ratio.
	Requests, Retries int
	Slack             float64
	// Made and Denied count the further attempts that were allowed and denied since the start.
	Made, Denied uint64
}

// Stats returns the budget's state.
func (b *RetryBudget) Stats() BudgetStats {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	b.requests = dropUntil(b.requests, now-b.window)
	b.retries = dropUntil(b.retries, now-b.window)
	return BudgetStats{Requests: len(b.requests), Retries: len(b.retries), Slack: b.slack, Made: b.made, Denied: b.denied}
}

// Remaining returns how many further attempts the budget allows now.
func (b *RetryBudget) Remaining() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	b.requests = dropUntil(b.requests, now-b.window)
	b.retries = dropUntil(b.retries, now-b.window)
	return b.ratio*float64(len(b.requests)) + b.slack - float64(len(b.retries))
}

// dropUntil removes the times up to and including bound; times are in ascending order.
func dropUntil(times []clock.Millis, bound clock.Millis) []clock.Millis {
	n := 0
	for n < len(times) && times[n] <= bound {
		n++
	}
	return times[n:]
}
