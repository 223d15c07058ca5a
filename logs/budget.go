package logs

import (
	"sync"

	"github.com/tinladder/tinladder/clock"
)

// A Limiter bounds the lines of one kind: so many a second are written, the others are counted and told of in one line. What
// a node hears of grows with the fleet, and its log must not. It is safe for concurrent use.
type Limiter struct {
	clock     clock.Clock
	perSecond int

	mu         sync.Mutex
	second     clock.Millis
	used       int
	suppressed int
}

// NewLimiter returns a limiter of so many lines a second.
func NewLimiter(c clock.Clock, perSecond int) *Limiter {
	return &Limiter{clock: c, perSecond: perSecond}
}

// Allow says whether a line may be written now, and counts it otherwise.
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

// TakeSuppressed returns how many lines were not written since it was last called, once the second in which they came is over.
func (b *Limiter) TakeSuppressed() (count int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.clock.Now()/clock.Second == b.second {
		return 0
	}
	count, b.suppressed = b.suppressed, 0
	return count
}
