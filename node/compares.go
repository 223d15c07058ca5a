package node

import (
	"github.com/tinladder/tinladder/clock"
	"github.com/tinladder/tinladder/pacer"
)

const (
	// compareShare is the share of a node's processor that its answers to comparisons may take, and compareAhead how much
	// of that is promised ahead.
	compareShare              = 0.25
	compareAhead clock.Millis = 100
	// compareBytes is how many bytes of answers a whole core makes in a millisecond, and compareMeasured the part of that
	// time in which the records are put together; the rest is for marshalling and compressing.
	compareBytes    = 36 << 10
	compareMeasured = 0.2
)

// compares bounds what this node does for others that lack records. Seeds are asked by all nodes that start, and a watcher
// by all of its hall that lack what it has; each gives up after 0.4 s and asks again, while the work for it goes on. Those
// turned away ask others: what one node does for them does not grow with the fleet.
type compares struct {
	work *pacer.Work
	// bytesPerMilli is how many bytes of answers the processor makes in a millisecond if it does nothing else.
	bytesPerMilli float64
}

func newCompares(c clock.Clock, cores float64) *compares {
	part := pacer.Part{Share: compareShare, Measured: compareMeasured, Ahead: compareAhead}
	return &compares{work: pacer.NewWork(c, part), bytesPerMilli: cores * compareBytes}
}

// give makes an answer, if there is room for one, and counts its bytes.
func (c *compares) give(answer func() (bytes int)) {
	c.work.Do(func() float64 { return float64(answer()) / c.bytesPerMilli })
}
