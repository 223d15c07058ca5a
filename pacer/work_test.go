package pacer_test

import (
	"testing"

	"github.com/matryer/is"
	"github.com/tinladder/tinladder/clock"
	"github.com/tinladder/tinladder/pacer"
)

// TestRunnerKeepsItsShare offers jobs all the time on processors of different speeds. What they take stays within the share
// also where each takes many times the estimate: beside busy processes a node gave 57 large answers in 5.46 s and did
// nothing else, since each was charged for as on an idle machine.
func TestRunnerKeepsItsShare(t *testing.T) {
	const (
		span     = 20 * clock.Second
		estimate = 23.0
	)
	part := pacer.Share{Fraction: 0.25, MeasuredFraction: 0.2, MaxAhead: 100}
	cases := []struct {
		name string
		// within is how long a job takes within Do, in milliseconds.
		within clock.Millis
		// least is how many jobs must be done all the same.
		least int
	}{
		{"as estimated", 4, 200},
		{"twice as long", 10, 95},
		{"ten times as long", 46, 15},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			m := clock.NewManual(1000)
			w := pacer.NewRunner(m, part)
			done := 0
			for end := m.Now() + span; m.Now() < end; m.Advance(1) {
				if w.Do(func() float64 { m.Advance(c.within); return estimate }) {
					done++
				}
			}
			whole := float64(c.within) / part.MeasuredFraction
			t.Logf("%d jobs of %.0f ms in %d ms", done, whole, span)
			is.True(float64(done)*whole <= part.Fraction*float64(span)+float64(part.MaxAhead)+2*whole)
			is.True(done >= c.least)
		})
	}
}

// TestStalledJobChargeIsBounded has a process stand still for a minute in the middle of a large job.
func TestStalledJobChargeIsBounded(t *testing.T) {
	is := is.New(t)
	m := clock.NewManual(1000)
	w := pacer.NewRunner(m, pacer.Share{Fraction: 0.25, MeasuredFraction: 0.2, MaxAhead: 100})
	job := func() float64 { return 23 }
	is.True(w.Do(func() float64 { m.Advance(clock.Minute); return 23 }))
	is.True(!w.Do(job))
	m.Advance(clock.Second)
	is.True(w.Do(job))
}

// TestInterruptedJobChargeIsBounded interrupts small jobs for some milliseconds each, as busy machines do. Nodes
// that started gave each other the desired state without its targets, since the answer before had been interrupted.
func TestInterruptedJobChargeIsBounded(t *testing.T) {
	is := is.New(t)
	m := clock.NewManual(1000)
	w := pacer.NewRunner(m, pacer.Share{Fraction: 0.25, MeasuredFraction: 0.2, MaxAhead: 100})
	for range 100 {
		is.True(w.Do(func() float64 { m.Advance(20); return 0.1 }))
	}
}
