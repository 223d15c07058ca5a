// Package speed estimates how many times longer a target takes than others do for the same work, from its own good
// responses and from what other nodes say of theirs. Times are ratios on a log scale, in octaves: 1 is twice as long.
// It does no I/O.
//
// The load pattern: targets of one service take one, two and four times the usual time, for good or for some seconds, while
// requests of several kinds share them, and 3 in 100 of them take seven times as long as usual anywhere.
package speed

import (
	"math"
	"slices"

	"github.com/tinladder/tinladder/clock"
)

const (
	// halfLife is the time in which half of the samples are forgotten: a target that has recovered is to have its share
	// back within seconds.
	halfLife = 2 * clock.Second
	// maxSamples bounds the weight of one node's samples: with more, a change would take longer to show.
	maxSamples = 16
	// maxStep bounds a sample's distance from the mean of those before it, in octaves. A tail of seven times is 2.8.
	maxStep = 1.5
	// maxOctaves bounds all estimates: 1/8 to 8 times.
	maxOctaves = 3
	// prior is how many samples stand for a target being like the others.
	prior = 1
	// unusedGrace is how long after a target's latest request its estimate holds; then half of it is forgotten each
	// halfLife, however many samples stand behind it.
	unusedGrace = clock.Second
	// Differences of up to byChance, in octaves, are those of equal targets with ten samples, whose times vary by half; from
	// certain on they are not.
	byChance, certain = 0.2, 0.5
	// minSamples is how many samples a target must have to count for the median.
	minSamples = 1
)

func limit(x, most float64) float64 {
	return min(max(x, -most), most)
}

// decay returns the share of samples that is left after the time.
func decay(d clock.Millis) float64 {
	if d <= 0 {
		return 1
	}
	return math.Exp2(-float64(d) / float64(halfLife))
}

// Ratio returns octaves as a ratio of times.
func Ratio(octaves float64) float64 {
	return math.Exp2(octaves)
}

// Octaves returns how many times longer took is than usual, in octaves, without a limit. Times under a millisecond count as
// one.
func Octaves(took, usual float64) float64 {
	return math.Log2(max(took, 1) / max(usual, 1))
}

// A Mean is a running mean of samples that forgets them with time, and that no single sample moves far. The zero value has
// none.
type Mean struct {
	octaves, weight float64
	at              clock.Millis
}

// Add adds a sample.
func (m *Mean) Add(octaves float64, now clock.Millis) {
	m.weight = min(m.Weight(now)+1, maxSamples)
	m.at = now
	m.octaves = limit(m.octaves+limit(octaves-m.octaves, maxStep)/m.weight, maxOctaves)
}

// Octaves returns the mean.
func (m *Mean) Octaves() float64 {
	return m.octaves
}

// Weight returns how many samples are not forgotten.
func (m *Mean) Weight(now clock.Millis) float64 {
	return m.weight * decay(now-m.at)
}

// View returns what the mean says now.
func (m *Mean) View(now clock.Millis) View {
	return View{octaves: m.octaves, weight: m.Weight(now), at: now}
}

// permille is the unit of reported ratios.
const permille = 1000

// A View is what one node says of one target. The zero value says nothing.
type View struct {
	octaves, weight float64
	at              clock.Millis
}

// ReadView returns what a report says: the ratio in thousandths, and how many samples stand behind it. A ratio that no node
// reports says nothing.
func ReadView(ratio, samples uint32, now clock.Millis) View {
	octaves := math.Log2(float64(ratio) / permille)
	if samples == 0 || ratio == 0 || math.Abs(octaves) > maxOctaves {
		return View{}
	}
	return View{octaves: octaves, weight: float64(min(samples, maxSamples)), at: now}
}

// Report returns the view as ReadView takes it; zeros if it says nothing.
func (v View) Report() (ratio, samples uint32) {
	samples = uint32(math.Round(v.weight))
	if samples == 0 {
		return 0, 0
	}
	return uint32(min(max(math.Round(permille*Ratio(v.octaves)), permille/8), permille*8)), samples
}

// Views sums up what other nodes say of one target. All views lose weight alike with time, so two sums hold them.
type Views struct {
	sum, weight float64
	at          clock.Millis
}

// Replace replaces a view that was added before. The new one gets no more weight than all others, own and the prior
// together; it returns the view as added.
func (j *Views) Replace(old, v View, own float64, now clock.Millis) View {
	left := decay(now - j.at)
	j.sum, j.weight, j.at = j.sum*left, j.weight*left, now
	gone := old.weight * decay(now-old.at)
	j.sum -= gone * old.octaves
	j.weight = max(j.weight-gone, 0)
	v.weight = min(v.weight, j.weight+own+prior)
	j.sum += v.weight * v.octaves
	j.weight += v.weight
	return v
}

// An Estimate is what is known of one target by all nodes together.
type Estimate struct {
	octaves, weight float64
}

// Join joins what this node has seen with what the others say.
func Join(own *Mean, others *Views, now clock.Millis) Estimate {
	w, left := own.Weight(now), decay(now-others.at)
	e := Estimate{weight: w + others.weight*left}
	if e.weight > 0 {
		e.octaves = limit((w*own.octaves+others.sum*left)/e.weight, maxOctaves)
	}
	return e
}

// Samples returns how many samples stand behind the estimate.
func (e Estimate) Samples() float64 {
	return e.weight
}

// Relative returns how many times longer the target takes than the median target, in octaves, as far as the samples carry
// it after so long without a request, and as they say.
func (e Estimate) Relative(median float64, unused clock.Millis) (expected, seen float64) {
	if e.weight == 0 {
		return 0, 0
	}
	seen = limit(e.octaves-median, maxOctaves)
	return withoutNoise(seen * e.weight / (e.weight + prior) * decay(unused-unusedGrace)), seen
}

// withoutNoise returns 0 for differences that may be chance, the octaves themselves for clear ones, and rises in between.
// Where a request has little time to spare, a difference of a few hundredths would decide.
func withoutNoise(octaves float64) float64 {
	x := math.Abs(octaves)
	if x < certain {
		x = max(x-byChance, 0) * certain / (certain - byChance)
	}
	return math.Copysign(x, octaves)
}

// Median returns the median of the targets that have been seen, in octaves, and 0 if there are none. It uses buf for its
// work and returns it.
func Median(list []Estimate, buf []float64) (median float64, used []float64) {
	buf = buf[:0]
	for _, e := range list {
		if e.weight >= minSamples {
			buf = append(buf, e.octaves)
		}
	}
	if len(buf) == 0 {
		return 0, buf
	}
	slices.Sort(buf)
	return (buf[(len(buf)-1)/2] + buf[len(buf)/2]) / 2, buf
}
