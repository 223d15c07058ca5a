package node

import (
	"context"
	"time"

	"github.com/tinladder/tinladder/clock"
)

// A part is something that runs in the background until told to stop. Done is closed at its end.
type part struct {
	stop context.CancelFunc
	done chan struct{}
}

// start runs f as a part.
func start(ctx context.Context, f func(ctx context.Context)) *part {
	ctx, cancel := context.WithCancel(ctx)
	p := &part{stop: cancel, done: make(chan struct{})}
	go func() {
		defer close(p.done)
		f(ctx)
	}()
	return p
}

// every starts a part that calls f again and again.
func every(ctx context.Context, d clock.Millis, f func(ctx context.Context)) *part {
	return start(ctx, func(ctx context.Context) {
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

// end stops the part and waits for its end.
func (p *part) end() {
	p.stop()
	<-p.done
}

// pause waits, and returns false if the context ends first.
func pause(ctx context.Context, d clock.Millis) bool {
	t := time.NewTimer(d.Duration())
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
