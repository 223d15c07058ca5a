// Package clock is the only source of time, in milliseconds.
package clock

import (
	"sync/atomic"
	"time"
)

// Millis is a point in time or a duration, in milliseconds.
type Millis int64

// Common durations.
const (
	Second Millis = 1000
	Minute        = 60 * Second
)

// Duration converts m to a time.Duration.
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

// A Manual struct is a clock for tests that moves only when told to.
type Manual struct {
	now atomic.Int64
}

// NewManual returns a manual clock set to now.
func NewManual(now Millis) *Manual {
	c := &Manual{}
	c.now.Store(int64(now))
	return c
}

// Now implements Clock.
func (c *Manual) Now() Millis {
	return Millis(c.now.Load())
}

// Advance moves the clock forward by d.
func (c *Manual) Advance(d Millis) {
	c.now.Add(int64(d))
}
