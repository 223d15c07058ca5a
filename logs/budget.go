package logs

import (
	"sync"

	"github.com/tinladder/tinladder/clock"
)

// A Limiter limits the log lines of one kind per second, and counts the others, for one line that reports them. The number of
// events that a node sees grows with the fleet, and its log must not. It is safe for concurrent use.
type Limiter struct {
	clock     clock.Clock
	perSecond int

	mu         sync.Mutex
	second     clock.Millis
	used       int
	suppressed int
}

// NewLimiter returns a limiter that allows perSecond lines a second.
func NewLimiter(c clock.Clock, perSecond int) *Limiter {
	return &Limiter{clock: c, perSecond: perSecond}
}

// Allow reports whether a line may be written now, and counts it as suppressed otherwise.
func (b *Limiter) Allow() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := b.clock.Now() / clock.Second; s != b.second {
		b.second, b.used = s, 0
	}
	if b.used < b.perSecond {
		b.used++
		return true
	}
	b.suppressed++
	return false
}

// TakeSuppressed returns the number of suppressed lines and resets it. It returns 0 until the second in which Allow was last
// called is over.
func (b *Limiter) TakeSuppressed() (count int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.clock.Now()/clock.Second == b.second {
		return 0
	}
	count, b.suppressed = b.suppressed, 0
	return count
}
