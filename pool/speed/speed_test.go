package speed_test

import (
	"math"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"
	"github.com/tinladder/tinladder/clock"
	"github.com/tinladder/tinladder/pool/speed"
)

// TestSampleMovesTheMeanByAStep guards against a single time that decides what is known of a target.
func TestSampleMovesTheMeanByAStep(t *testing.T) {
	is := is.New(t)
	var m speed.Mean
	for range 10 {
		m.Add(0, 1000)
	}
	m.Add(20, 1000)
	is.True(m.Octaves() > 0)
	is.True(m.Octaves() < 0.15)
}

// TestSamplesAreForgotten guards against weight that old samples keep.
func TestSamplesAreForgotten(t *testing.T) {
	is := is.New(t)
	var m speed.Mean
	for range 100 {
		m.Add(1, 1000)
	}
	is.Equal(m.Weight(1000), 16.0)
	is.True(math.Abs(m.Weight(5000)-4) < 1e-9)
	is.Equal(m.Weight(500), 16.0) // a clock that is set back
}

// TestReportedViewIsReadBack guards against a ratio that the reader drops.
func TestReportedViewIsReadBack(t *testing.T) {
	for _, octaves := range []float64{-9, -3, -1.5, 0, 0.3, 2, 3, 9} {
		var m speed.Mean
		for range 40 {
			m.Add(octaves, 1000)
		}
		ratio, samples := m.View(1000).Report()
		var j speed.Views
		j.Replace(speed.View{}, speed.ReadView(ratio, samples, 1000), 0, 1000)
		_, seen := speed.Join(&speed.Mean{}, &j, 1000).Relative(0, 0)
		if math.Abs(seen-m.Octaves()) > 0.01 {
			t.Errorf("%v octaves are read as %.3f", m.Octaves(), seen)
		}
	}
	if ratio, samples := (speed.View{}).Report(); ratio != 0 || samples != 0 {
		t.Errorf("nothing is reported as %d, %d", ratio, samples)
	}
}

// TestViewsStaySumsOfTheirParts guards against sums that drift from what the nodes said last, over many reports.
func TestViewsStaySumsOfTheirParts(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	var j speed.Views
	views := make([]speed.View, 50)
	now := clock.Millis(1000)
	for range 100_000 {
		now += clock.Millis(r.IntN(50))
		i := r.IntN(len(views))
		views[i] = j.Replace(views[i], speed.ReadView(uint32(125+r.IntN(7876)), uint32(r.IntN(20)), now), 5, now)
	}
	for i := range views {
		j.Replace(views[i], speed.View{}, 5, now)
	}
	if e := speed.Join(&speed.Mean{}, &j, now); e.Samples() > 1e-6 {
		t.Errorf("%v samples are left of none", e.Samples())
	}
}

// TestWorkIsRobust guards against a tail, or a first sample that is one, which decides what a kind's work is.
func TestWorkIsRobust(t *testing.T) {
	is := is.New(t)
	var w speed.Work
	is.Equal(w.Usual(), clock.Millis(0))
	w.Add(1400)
	for range 40 {
		w.Add(200)
	}
	is.True(w.Usual() < 230)
	w.Add(1400)
	is.True(w.Usual() < 240)
}
