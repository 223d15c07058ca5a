package pool

import (
	"cmp"
	"slices"

	"github.com/tinladder/tinladder/clock"
)

// SetFloor sets how many slots must stay in use, whatever the estimated health of their targets.
func (p *Pool) SetFloor(slots int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.floor = slots
	p.applyFloor(p.clock.Now())
}

// applyFloor keeps avoided targets in use, those most likely to be healthy first, while the targets that are not
// avoided have fewer slots than the floor.
func (p *Pool) applyFloor(now clock.Millis) {
	left := p.floor
	var avoided []*target
	for _, t := range p.order {
		t.keptForFloor = false
		switch {
		case t.removed || t.Leaving || t.announcedLeave || p.closed(t, now):
		case t.avoided:
			avoided = append(avoided, t)
		default:
			left -= t.Slots
		}
	}
	if left <= 0 {
		return
	}
	m := &p.tuning.Model
	slices.SortStableFunc(avoided, func(a, b *target) int {
		return cmp.Compare(a.belief.FailingProb(m, now), b.belief.FailingProb(m, now))
	})
	for _, t := range avoided {
		if left <= 0 {
			return
		}
		t.keptForFloor = true
		left -= t.Slots
	}
}
