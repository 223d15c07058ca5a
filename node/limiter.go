package node

import (
	"sync"

	"github.com/tinladder/tinladder/ident"
)

// A limiter divides one node's concurrency among workspaces. It is safe for concurrent use.
type limiter struct {
	total int

	mu          sync.Mutex
	byWorkspace map[ident.Workspace]int
	sum         int
}

// newLimiter returns a limiter that admits total requests at a time.
func newLimiter(total int) *limiter {
	return &limiter{total: total, byWorkspace: map[ident.Workspace]int{}}
}

// acquire admits a request unless the workspace is at its own limit or uses as much as is still free. A single workspace thus
// gets at most half, and later ones always find some capacity.
func (l *limiter) acquire(w ident.Workspace, limit int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := l.byWorkspace[w]
	if n >= limit || n >= l.total-l.sum {
		return false
	}
	l.byWorkspace[w]++
	l.sum++
	return true
}

// release ends a request that acquire admitted.
func (l *limiter) release(w ident.Workspace) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sum--
	l.byWorkspace[w]--
	if l.byWorkspace[w] == 0 {
		delete(l.byWorkspace, w)
	}
}

// inUse returns the number of admitted requests.
func (l *limiter) inUse() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.sum
}
