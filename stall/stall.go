// Package stall limits how long a response may stall instead of how long it may take: one that keeps arriving may
// take as long as its size needs, and one that stalls is cancelled.
package stall

import (
	"context"
	"io"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// Errors that are set as the cause of a call's context.
var (
	// ErrStalled means that no data arrived within the time limit.
	ErrStalled = errors.New("response stalled: no data within the time limit")
	// ErrTooLong means that the response exceeded the total time limit.
	ErrTooLong = errors.New("response exceeded the total time limit")
)

// Limits are the time limits of a call.
type Limits struct {
	// FirstByte is until the first byte of the response body, and Idle between two reads of it.
	FirstByte, Idle time.Duration
	// Total is for the whole call.
	Total time.Duration
}

// A Guard struct cancels one call when it exceeds its limits.
type Guard struct {
	idleLimit time.Duration
	idle      *time.Timer
	total     *time.Timer
	cancel    context.CancelCauseFunc
	read      atomic.Int64
}

// Watch returns a context for a call, and the guard that cancels it. Close the guard once the response was read.
func Watch(ctx context.Context, l Limits) (context.Context, *Guard) {
	ctx, cancel := context.WithCancelCause(ctx)
	g := &Guard{idleLimit: l.Idle, cancel: cancel}
	g.idle = time.AfterFunc(l.FirstByte, func() { cancel(ErrStalled) })
	g.total = time.AfterFunc(l.Total, func() { cancel(ErrTooLong) })
	return ctx, g
}

// Body wraps the response body, so that each read of data restarts the idle timer.
func (g *Guard) Body(body io.ReadCloser) io.ReadCloser {
	return &guardedBody{ReadCloser: body, guard: g}
}

// BytesRead returns the number of bytes read from the body.
func (g *Guard) BytesRead() int64 {
	return g.read.Load()
}

// Close stops the guard, and cancels the call if it is still running.
func (g *Guard) Close() {
	g.idle.Stop()
	g.total.Stop()
	g.cancel(nil)
}

// maxRead is the most that one read returns: within a chunk the library reads on until the buffer is full, and on
// a slow link a large one takes longer to fill than the idle limit.
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
