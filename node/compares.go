package node

import (
	"github.com/tinladder/tinladder/clock"
	"github.com/tinladder/tinladder/pacer"
)

const (
	// compareShare is the share of a node's processor that its answers to comparisons may take, and compareAhead how much
	// of that is promised ahead.
	compareShare                 = 0.25
	compareMaxAhead clock.Millis = 100
	// compareBytesPerMs is how many bytes of answers a whole core makes in a millisecond, and compareMeasured the part of that
	// time in which the records are put together; the rest is for marshalling and compressing.
	compareBytesPerMs = 36 << 10
	compareMeasured   = 0.2
	// compareLinkShare is the share of a node's link that answers may take.
	compareLinkShare = 0.5
)

// comparisonLimiter bounds what this node does for others that lack records. Seeds are asked by all nodes that start, and a watcher
// by all of its hall that lack what it has; each gives up after 0.4 s and asks again, while the work for it goes on. Those
// turned away ask others: what one node does for them does not grow with the fleet.
type comparisonLimiter struct {
	work *pacer.Runner
	// bytesPerMilli is how many bytes of answers the processor makes in a millisecond if it does nothing else, and
	// linkBytesPerMilli how many the link carries.
	bytesPerMilli, linkBytesPerMilli float64
}

func newComparisonLimiter(c clock.Clock, cores, linkMbps float64) *comparisonLimiter {
	part := pacer.Share{Fraction: compareShare, MeasuredFraction: compareMeasured, MaxAhead: compareMaxAhead}
	return &comparisonLimiter{work: pacer.NewRunner(c, part), bytesPerMilli: cores * compareBytesPerMs, linkBytesPerMilli: linkMbps * bytesPerMilliMbps}
}

// give makes an answer, if there is room for one, and counts its bytes: those that were made, and those that are sent.
func (c *comparisonLimiter) give(answer func() (made, sent int)) (given bool) {
	return c.work.Do(func() float64 {
		made, sent := answer()
		return max(float64(made)/c.bytesPerMilli, float64(sent)/c.linkBytesPerMilli*compareShare/compareLinkShare)
	})
}
