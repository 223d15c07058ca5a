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
	// busyFade is the part of a peak of requests in flight that is left a tick later: half of it after 7 s.
	busyFade = 0.99
	// busySmooth is over how many ticks requests in flight are averaged.
	busySmooth = 8
	// demandEvery is how often the demand of each hall is summed.
	demandEvery = 500 * clock.Millis(1)
)

// demand is how much work each hall has, by the word of its nodes: a few carry it where targets have many slots more
// than requests need. Each hears less, and knows more of the targets that it uses.
type demand struct {
	node *Node

	mu sync.Mutex
	// mean and peak are of this node's requests in flight.
	mean, peak float64
	summedAt   clock.Millis
	byHall     map[ident.Hall]int
}

func newDemand(n *Node) *demand {
	return &demand{node: n, byHall: map[ident.Hall]int{}}
}

// tick looks at what this node has in flight, and at the word of the others.
func (d *demand) tick() {
	n := d.node
	now := n.clock.Now()
	d.mu.Lock()
	d.mean += (float64(n.leaving.inFlight.Load()) - d.mean) / busySmooth
	d.peak = max(d.mean, d.peak*busyFade)
	due := now-d.summedAt >= demandEvery
	if due {
		d.summedAt = now
	}
	peak := uint32(d.peak + 1/2.0)
	d.mu.Unlock()
	if !due {
		return
	}
	n.members.SetBusy(step(peak))
	if d.sum() {
		n.carriers.demandChanged()
	}
}

// step rounds up to a power of two, so that little is told.
func step(n uint32) uint32 {
	if n == 0 {
		return 0
	}
	return 1 << bits.Len32(n-1)
}

// sum adds up what the nodes of each hall say, and returns whether that changes who carries its work.
func (d *demand) sum() bool {
	n := d.node
	byHall := map[ident.Hall]int{n.hall(): int(n.members.Self().GetBusy())}
	for _, m := range n.members.Live() {
		byHall[hallOf(m)] += int(m.GetBusy())
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	next := map[ident.Hall]int{}
	for hall, busy := range byHall {
		next[hall] = held(d.byHall[hall], int(step(uint32(busy))))
	}
	if maps.Equal(next, d.byHall) {
		return false
	}
	d.byHall = next
	n.log.WithFields(logrus.Fields{"event": "demand", "in_flight": next}).Info()
	return true
}

// held takes over more at once, and less only once it is less than half: carriers change little.
func held(old, now int) int {
	if now > old || 2*now < old {
		return now
	}
	return old
}

// of returns how many requests the hall has in flight.
func (d *demand) of(hall ident.Hall) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.byHall[hall]
}
