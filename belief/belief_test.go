package belief_test

import (
	"testing"

	"github.com/matryer/is"
	"github.com/tinladder/tinladder/belief"
	"github.com/tinladder/tinladder/clock"
	"pgregory.net/rapid"
)

func TestOneFailureIsStrongEvidence(t *testing.T) {
	is := is.New(t)
	m := belief.DefaultModel
	b := belief.New(&m, 0)
	is.True(b.FailingProb(&m, 0) == m.Prior())
	b.ObserveFailure(&m, 0)
	is.True(b.FailingProb(&m, 0) > 0.9)
	b.ObserveSuccess(&m, 0)
	after := b.FailingProb(&m, 0)
	is.True(after < 0.95)
	b.ObserveSuccess(&m, 0)
	b.ObserveSuccess(&m, 0)
	is.True(b.FailingProb(&m, 0) < after/4)
}

func TestLateSaysLessThanFailed(t *testing.T) {
	is := is.New(t)
	m := belief.DefaultModel
	late, failed, good := belief.New(&m, 0), belief.New(&m, 0), belief.New(&m, 0)
	late.ObserveLate(&m, 0)
	failed.ObserveFailure(&m, 0)
	good.ObserveSuccess(&m, 0)
	is.True(good.FailingProb(&m, 0) < m.Prior())
	is.True(late.FailingProb(&m, 0) > m.Prior())
	is.True(late.FailingProb(&m, 0) < failed.FailingProb(&m, 0))
}

// TestBeliefs takes in answers at any times. A belief stays a likelihood, a failure never makes it
// less, a good answer never more, and time takes it towards the prior.
func TestBeliefs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := belief.DefaultModel
		now := clock.Millis(0)
		b := belief.New(&m, now)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			was := b.FailingProb(&m, now)
			later := now + clock.Millis(rapid.IntRange(0, 5000).Draw(t, "ms"))
			f := b.FailingProb(&m, later)
			if (f-m.Prior())*(was-m.Prior()) < 0 || abs(f-m.Prior()) > abs(was-m.Prior())+1e-12 {
				t.Fatalf("time took %v to %v, away from %v", was, f, m.Prior())
			}
			now = later
			switch rapid.IntRange(0, 2).Draw(t, "answer") {
			case 0:
				b.ObserveSuccess(&m, now)
				check(t, b.FailingProb(&m, now) <= f+1e-12, "a good answer made it likelier")
			case 1:
				b.ObserveFailure(&m, now)
				check(t, b.FailingProb(&m, now) >= f-1e-12, "a failure made it less likely")
			case 2:
				b.ObserveLate(&m, now)
				check(t, b.FailingProb(&m, now) >= f-1e-12, "a late answer made it less likely")
			}
			p := b.FailureProb(&m, now)
			check(t, p >= m.HealthyFailRate-1e-12 && p <= m.FailingFailRate+1e-12, "it is no likelihood")
		}
	})
}

func check(t *rapid.T, ok bool, what string) {
	if !ok {
		t.Fatal(what)
	}
}

func abs(x float64) float64 {
	return max(x, -x)
}

func TestPeerEstimateIsBounded(t *testing.T) {
	is := is.New(t)
	m := belief.DefaultModel
	for _, f := range []float64{-1, 0, 0.5, 1, 70} {
		b := belief.FromPeer(f, 10)
		is.True(b.FailingProb(&m, 10) >= 0)
		is.True(b.FailingProb(&m, 10) <= 1)
	}
}
