package latency_test

import (
	"testing"

	"github.com/matryer/is"
	"github.com/tinladder/tinladder/clock"
	"github.com/tinladder/tinladder/latency"
)

// TestQuantile adds the times 1 to 100 ms.
func TestQuantile(t *testing.T) {
	is := is.New(t)
	tr := latency.New(clock.NewManual(1000))
	_, known := tr.Quantile(0.9)
	is.True(!known)
	for ms := range clock.Millis(100) {
		tr.Add(ms + 1)
	}
	q, known := tr.Quantile(0.9)
	is.True(known)
	is.True(q >= 85 && q <= 99)
}

// TestOldSamplesAreDropped has a kind become slower. After half a minute only the new times count.
func TestOldSamplesAreDropped(t *testing.T) {
	is := is.New(t)
	c := clock.NewManual(1000)
	tr := latency.New(c)
	for range 1000 {
		tr.Add(10)
	}
	for range 40 {
		c.Advance(1 * clock.Second)
		tr.Add(400)
	}
	q, known := tr.Quantile(0.1)
	is.True(known)
	is.True(q > 300)
	c.Advance(5 * clock.Minute)
	_, known = tr.Quantile(0.5)
	is.True(!known)
}

// TestBounds takes times that no request should have.
func TestBounds(t *testing.T) {
	is := is.New(t)
	tr := latency.New(clock.NewManual(0))
	for range 20 {
		tr.Add(-5)
		tr.Add(24 * 60 * clock.Minute)
	}
	_, known := tr.Quantile(1)
	is.True(known)
}
