package logs_test

import (
	"testing"

	"github.com/matryer/is"
	"github.com/tinladder/tinladder/clock"
	"github.com/tinladder/tinladder/logs"
)

// TestLinesAreBounded requests 10,000 lines in one second. A node that starts in a large fleet receives that many records,
// and used to log each of them.
func TestLinesAreBounded(t *testing.T) {
	is := is.New(t)
	c := clock.NewManual(5000)
	b := logs.NewLimiter(c, 16)
	written := 0
	for range 10_000 {
		if b.Allow() {
			written++
		}
	}
	is.Equal(written, 16)
	is.Equal(b.TakeSuppressed(), 0) // the second is not over
	c.Advance(clock.Second)
	is.Equal(b.TakeSuppressed(), 10_000-16)
	is.Equal(b.TakeSuppressed(), 0)
	is.True(b.Allow())
}
