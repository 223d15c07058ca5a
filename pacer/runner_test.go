package pacer_test

import (
	"testing"

	"github.com/matryer/is"
	"github.com/tinladder/tinladder/clock"
	"github.com/tinladder/tinladder/pacer"
)

// Jobs are offered continuously on processors of different speeds and must stay within the share, also if each takes many
// times the estimate. Charged by the estimate alone, a node beside busy processes computed 57 large responses in 5.46 s and
// did nothing else.
func TestRunnerKeepsItsShare(t *testing.T) {
	const (
		span     = 20 * clock.Second
		estimate = 23.0
	)
	share := pacer.Share{Fraction: 0.25, MeasuredFraction: 0.2, MaxAhead: 100}
	cases := []struct {
		name string
		// within is the time that a job spends in Do.
		within clock.Millis
		// least is the minimum number of jobs that must be run.
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
			w := pacer.NewRunner(m, share)
			done := 0
			for end := m.Now() + span; m.Now() < end; m.Advance(1) {
				if w.Do(func() float64 { m.Advance(c.within); return estimate }) {
					done++
				}
			}
			whole := float64(c.within) / share.MeasuredFraction
			t.Logf("%d jobs of %.0f ms in %d ms", done, whole, span)
			is.True(float64(done)*whole <= share.Fraction*float64(span)+float64(share.MaxAhead)+2*whole)
			is.True(done >= c.least)
		})
	}
}

// A process is stalled for a minute within a large job: other jobs must be admitted again after a second.
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

// Small jobs are interrupted for some milliseconds each, as on busy machines, and must not exhaust the share: starting
// nodes once sent each other the desired state without its targets, since the previous response had been interrupted.
func TestInterruptedJobChargeIsBounded(t *testing.T) {
	is := is.New(t)
	m := clock.NewManual(1000)
	w := pacer.NewRunner(m, pacer.Share{Fraction: 0.25, MeasuredFraction: 0.2, MaxAhead: 100})
	for range 100 {
		is.True(w.Do(func() float64 { m.Advance(20); return 0.1 }))
	}
}
