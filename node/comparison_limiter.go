package node

import (
	"github.com/tinladder/tinladder/clock"
	"github.com/tinladder/tinladder/pacer"
)

const (
	// compareShare is the share of a node's processor that responses to comparisons may take, and compareMaxAhead how far
	// it may be booked ahead.
	compareShare                 = 0.25
	compareMaxAhead clock.Millis = 100
	// compareBytesPerMs is how many bytes of responses a whole core produces in a millisecond. compareMeasured is the
	// part of that time that is spent on collecting the records; the rest goes to marshalling and compressing.
	compareBytesPerMs = 36 << 10
	compareMeasured   = 0.2
	// compareLinkShare is the share of a node's link that responses may take.
	compareLinkShare = 0.5
)

// comparisonLimiter limits the work that this node does for others that lack records. Seeds are asked by all nodes that
// start, and a watcher by all nodes of its hall that lack what it has; each gives up after 0.4 s and asks again, while the
// work for its first request continues. Nodes that are turned away ask others, so that the work of one node does not grow
// with the fleet.
type comparisonLimiter struct {
	work *pacer.Runner
	// bytesPerMilli is how many bytes of responses the processor produces in a millisecond with no other work, and
	// linkBytesPerMilli how many the link carries.
	bytesPerMilli, linkBytesPerMilli float64
}

func newComparisonLimiter(c clock.Clock, cores, linkMbps float64) *comparisonLimiter {
	part := pacer.Share{Fraction: compareShare, MeasuredFraction: compareMeasured, MaxAhead: compareMaxAhead}
	return &comparisonLimiter{work: pacer.NewRunner(c, part), bytesPerMilli: cores * compareBytesPerMs, linkBytesPerMilli: linkMbps * bytesPerMilliMbps}
}

// give produces a response if the limit allows it, and charges for the bytes built and the bytes sent. It reports whether it
// did.
func (c *comparisonLimiter) give(answer func() (made, sent int)) (given bool) {
	return c.work.Do(func() float64 {
		made, sent := answer()
		return max(float64(made)/c.bytesPerMilli, float64(sent)/c.linkBytesPerMilli*compareShare/compareLinkShare)
	})
}
