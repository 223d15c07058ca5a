// Package clock is the fleet's only source of time, in milliseconds.
package clock

import (
	"sync/atomic"
	"time"
)

// Millis is a point in time, or a span of it, in milliseconds.
type Millis int64

// Common spans.
const (
	Second Millis = 1000
	Minute        = 60 * Second
)

// Duration returns m as the standard library's duration.
func (m Millis) Duration() time.Duration {
	return time.Duration(m) * time.Millisecond
}

// FromDuration returns d in whole milliseconds.
func FromDuration(d time.Duration) Millis {
	return Millis(d.Milliseconds())
}

// A Clock tells the time. It never goes back.
type Clock interface {
	Now() Millis
}

// A Manual struct is a clock that moves only when told to.
type Manual struct {
	now atomic.Int64
}

// NewManual returns a clock that stands at now.
func NewManual(now Millis) *Manual {
	c := &Manual{}
	c.now.Store(int64(now))
	return c
}

// Now returns the time that the clock was last moved to.
func (c *Manual) Now() Millis {
	return Millis(c.now.Load())
}

// Advance moves the clock on by d.
func (c *Manual) Advance(d Millis) {
	c.now.Add(int64(d))
}
