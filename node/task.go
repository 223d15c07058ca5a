package node

import (
	"context"
	"time"

	"github.com/tinladder/tinladder/clock"
)

// A task runs in the background until it is stopped. Done is closed when it has ended.
type task struct {
	cancel context.CancelFunc
	done   chan struct{}
}

// startTask runs f as a task.
func startTask(ctx context.Context, f func(ctx context.Context)) *task {
	ctx, cancel := context.WithCancel(ctx)
	p := &task{cancel: cancel, done: make(chan struct{})}
	go func() {
		defer close(p.done)
		f(ctx)
	}()
	return p
}

// startPeriodic starts a task that calls f at each interval.
func startPeriodic(ctx context.Context, d clock.Millis, f func(ctx context.Context)) *task {
	return startTask(ctx, func(ctx context.Context) {
		t := time.NewTicker(d.Duration())
		defer t.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-t.C:
				f(ctx)
			}
		}
	})
}

// stop cancels the task and waits for its end.
func (p *task) stop() {
	p.cancel()
	<-p.done
}

// sleep waits for d; it returns false if the context ends first.
func sleep(ctx context.Context, d clock.Millis) bool {
	t := time.NewTimer(d.Duration())
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
