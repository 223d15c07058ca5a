package node

import (
	"maps"
	"math/bits"
	"sync"

	"github.com/sirupsen/logrus"
	"github.com/tinladder/tinladder/clock"
	"github.com/tinladder/tinladder/ident"
)

const (
	// peakDecay is the factor applied to the peak of requests in flight at each tick: it halves in 7 s.
	peakDecay = 0.99
	// smoothingTicks is the number of ticks over which requests in flight are averaged.
	smoothingTicks = 8
	// demandInterval is the interval between two updates of the demand of each hall.
	demandInterval = 500 * clock.Millis(1)
)

// demand sums the requests in flight of each hall, as its nodes report them. Where targets have many more slots than requests
// need, a few nodes carry them: each node then receives fewer reports and knows more of the targets that it uses.
type demand struct {
	node *Node

	mu sync.Mutex
	// mean and peak are those of this node's requests in flight.
	mean, peak float64
	summedAt   clock.Millis
	byHall     map[ident.Hall]int
}

func newDemand(n *Node) *demand {
	return &demand{node: n, byHall: map[ident.Hall]int{}}
}

// tick samples this node's requests in flight, publishes their peak, and updates the demand of all halls.
func (d *demand) tick() {
	n := d.node
	now := n.clock.Now()
	d.mu.Lock()
	d.mean += (float64(n.leaving.inFlight.Load()) - d.mean) / smoothingTicks
	d.peak = max(d.mean, d.peak*peakDecay)
	due := now-d.summedAt >= demandInterval
	if due {
		d.summedAt = now
	}
	peak := uint32(d.peak + 1/2.0)
	d.mu.Unlock()
	if !due {
		return
	}
	n.members.SetBusy(nextPowerOfTwo(peak))
	if d.updateTotals() {
		n.carriers.demandChanged()
	}
}

// nextPowerOfTwo rounds up to a power of two, so that the published value changes rarely.
func nextPowerOfTwo(n uint32) uint32 {
	if n == 0 {
		return 0
	}
	return 1 << bits.Len32(n-1)
}

// updateTotals sums the demand of each hall, and reports whether that may change the carriers.
func (d *demand) updateTotals() bool {
	n := d.node
	byHall := map[ident.Hall]int{n.hall(): int(n.members.Self().GetBusy())}
	for _, m := range n.members.Live() {
		byHall[hallOf(m)] += int(m.GetBusy())
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	next := map[ident.Hall]int{}
	for hall, busy := range byHall {
		next[hall] = withHysteresis(d.byHall[hall], int(nextPowerOfTwo(uint32(busy))))
	}
	if maps.Equal(next, d.byHall) {
		return false
	}
	d.byHall = next
	n.log.WithFields(logrus.Fields{"event": "demand", "in_flight": next}).Info()
	return true
}

// withHysteresis follows increases at once, and decreases only to less than half, so that carriers change rarely.
func withHysteresis(old, now int) int {
	if now > old || 2*now < old {
		return now
	}
	return old
}

// inFlight returns the hall's number of requests in flight.
func (d *demand) inFlight(hall ident.Hall) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.byHall[hall]
}
