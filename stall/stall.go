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
	// ErrStalled says that nothing came for too long.
	ErrStalled = errors.New("nothing came for too long")
	// ErrTooLong says that the answer kept coming for longer than any answer may.
	ErrTooLong = errors.New("the answer does not end")
)

// Limits are the longest times that a call may take.
type Limits struct {
	// FirstByte is until the first byte of the answer's body, and Idle between two pieces of it.
	FirstByte, Idle time.Duration
	// Total is all in all.
	Total time.Duration
}

// A Guard struct ends one call when it stalls.
type Guard struct {
	idleLimit time.Duration
	idle      *time.Timer
	total     *time.Timer
	cancel    context.CancelCauseFunc
	read      atomic.Int64
}

// Watch returns a context for a call, and the guard that ends it. The guard must be closed once the answer has
// been read.
func Watch(ctx context.Context, l Limits) (context.Context, *Guard) {
	ctx, cancel := context.WithCancelCause(ctx)
	g := &Guard{idleLimit: l.Idle, cancel: cancel}
	g.idle = time.AfterFunc(l.FirstByte, func() { cancel(ErrStalled) })
	g.total = time.AfterFunc(l.Total, func() { cancel(ErrTooLong) })
	return ctx, g
}

// Body returns the answer's body, so that what is read of it counts as life.
func (g *Guard) Body(body io.ReadCloser) io.ReadCloser {
	return &guardedBody{ReadCloser: body, guard: g}
}

// BytesRead returns how many bytes of the body have come.
func (g *Guard) BytesRead() int64 {
	return g.read.Load()
}

// Close ends the guard, and the call if it still goes on.
func (g *Guard) Close() {
	g.idle.Stop()
	g.total.Stop()
	g.cancel(nil)
}

// maxRead is the most that one read takes: a reader of chunks goes on until the buffer that it is given is full, and on a
// small link a large one takes longer to fill than any pause may be.
const maxRead = 16 << 10

type guardedBody struct {
	io.ReadCloser
	guard *Guard
}

// Read implements io.Reader.
func (w *guardedBody) Read(p []byte) (int, error) {
	n, err := w.ReadCloser.Read(p[:min(len(p), maxRead)])
	if n > 0 {
		w.guard.read.Add(int64(n))
		w.guard.idle.Reset(w.guard.idleLimit)
	}
	return n, err
}
