package speed

import (
	"math"

	"github.com/tinladder/tinladder/clock"
)

const (
	// maxWorkSamples bounds the weight of the samples behind a kind's work: it changes more slowly than the targets'
	// times, so that a target's change is not taken for one of the requests.
	maxWorkSamples = 64
	// minWorkSamples is how many samples make the work known.
	minWorkSamples = 8
)

// A Work is the running mean, on a log scale, of how long the median target takes for requests of one kind. The zero value
// has no samples.
type Work struct {
	octaves float64
	samples int
}

// Add adds a response's time, relative to the speed of its target, in milliseconds.
func (w *Work) Add(millis float64) {
	w.samples = min(w.samples+1, maxWorkSamples)
	x := math.Log2(max(millis, 1))
	if w.samples == 1 {
		w.octaves = x
		return
	}
	w.octaves += limit(x-w.octaves, maxStep) / float64(w.samples)
}

// Usual returns the mean; 0 if too little is known.
func (w *Work) Usual() clock.Millis {
	if w.samples < minWorkSamples {
		return 0
	}
	return clock.Millis(math.Round(math.Exp2(w.octaves)))
}
