package node

import (
	"sync"

	"github.com/tinladder/tinladder/ident"
)

// A limiter shares one node's concurrency among workspaces. It is safe for concurrent
// use.
type limiter struct {
	total int

	mu   sync.Mutex
	used map[ident.Workspace]int
	sum  int
}

// newLimiter returns a limiter of total requests at a time.
func newLimiter(total int) *limiter {
	return &limiter{total: total, used: map[ident.Workspace]int{}}
}

// acquire counts a request in, unless the workspace is over its own limit, or has taken more than
// is still free: one workspace alone gets half, and later ones always find some.
func (l *limiter) acquire(w ident.Workspace, limit int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := l.used[w]
	if n >= limit || n >= l.total-l.sum {
		return false
	}
	l.used[w]++
	l.sum++
	return true
}

// release counts a request out.
func (l *limiter) release(w ident.Workspace) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sum--
	l.used[w]--
	if l.used[w] == 0 {
		delete(l.used, w)
	}
}

// inUse returns how many requests are counted in.
func (l *limiter) inUse() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.sum
}
