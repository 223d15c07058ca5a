// Package stall bounds a call by its silence and not by its length: an answer that keeps coming may take as
// long as its size needs, and one that stops coming is given up.
package stall

import (
	"context"
	"io"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// Errors that a call ends with, as the cause of its context.
var (
	// ErrSilent says that nothing came for too long.
	ErrSilent = errors.New("nothing came for too long")
	// ErrEndless says that the answer kept coming for longer than any answer may.
	ErrEndless = errors.New("the answer does not end")
)

// Limits are the longest times that a call may take.
type Limits struct {
	// First is until the first byte of the answer's body, and Next between two pieces of it.
	First, Next time.Duration
	// Most is all in all.
	Most time.Duration
}

// A Guard struct ends one call when it stalls.
type Guard struct {
	next   time.Duration
	silent *time.Timer
	most   *time.Timer
	cancel context.CancelCauseFunc
	read   atomic.Int64
}

// Watch returns a context for a call, and the guard that ends it. The guard must be closed once the answer has
// been read.
func Watch(ctx context.Context, l Limits) (context.Context, *Guard) {
	ctx, cancel := context.WithCancelCause(ctx)
	g := &Guard{next: l.Next, cancel: cancel}
	g.silent = time.AfterFunc(l.First, func() { cancel(ErrSilent) })
	g.most = time.AfterFunc(l.Most, func() { cancel(ErrEndless) })
	return ctx, g
}

// Body returns the answer's body, so that what is read of it counts as life.
func (g *Guard) Body(body io.ReadCloser) io.ReadCloser {
	return &watched{ReadCloser: body, guard: g}
}

// Read returns how many bytes of the body have come.
func (g *Guard) Read() int64 {
	return g.read.Load()
}

// Close ends the guard, and the call if it still goes on.
func (g *Guard) Close() {
	g.silent.Stop()
	g.most.Stop()
	g.cancel(nil)
}

// piece is the most that one read takes: a reader of chunks goes on until the buffer that it is given is full, and on a
// small link a large one takes longer to fill than any pause may be.
const piece = 16 << 10

type watched struct {
	io.ReadCloser
	guard *Guard
}

// Read implements io.Reader.
func (w *watched) Read(p []byte) (int, error) {
	n, err := w.ReadCloser.Read(p[:min(len(p), piece)])
	if n > 0 {
		w.guard.read.Add(int64(n))
		w.guard.silent.Reset(w.guard.next)
	}
	return n, err
}
