package soak

import (
	"net/http"
	"slices"
	"time"

	"github.com/tinladder/tinladder/platform/standin"
)

const (
	// For floorFor, requests must reach floorShare of a service's sound targets while over floorLeast and under
	// floorMost of its requests are not served.
	floorFor              = 2 * time.Second
	floorShare            = 0.7
	floorLeast, floorMost = 0.1, 0.5
	// floorStep is how far one window begins after the one before.
	floorStep = 100 * time.Millisecond
	// floorEach is how many requests a window must have for each sound target: with fewer, chance alone leaves one out.
	floorEach = 4
)

// soundIn says whether the target was ready, and nothing struck it, throughout the time and long before.
func (b *backend) soundIn(from, to time.Time) bool {
	long := from.Add(-2 * contact)
	return b.joinedAt.Before(long) && (b.leftAt.IsZero() || b.leftAt.After(to)) && !overlaps(b.hurt, long, to) && !b.limitedBelowFloor(long, to)
}

// limitedBelowFloor says whether the target named a limit in the time by which it takes less than one request in floorFor.
func (b *backend) limitedBelowFloor(from, to time.Time) bool {
	return slices.ContainsFunc(b.limits, func(l limitSpan) bool {
		return l.perSecond < 1/floorFor.Seconds() && overlaps([]span{l.span}, from, to)
	})
}

// storeStable says whether nothing struck the way of any node to the store in the time, or shortly before.
func (w *world) storeStable(from, to time.Time) bool {
	return !slices.ContainsFunc(w.nodes, func(p *process) bool { return overlaps(p.deaf, from.Add(-contact), to) })
}

// checkFloor: while a part of a service's requests fails, most of its sound targets have work. Requests at nodes that are
// not in touch do not count: a rule that holds for a time is for nodes in touch. Nor do those whose key a state that may
// still be in force does not hold; that it is held in time is checked elsewhere.
func (o *oracle) checkFloor() {
	for i, service := range services {
		var asked []*sent
		for _, s := range o.sent {
			if s.once == (i == 1) && !s.stray && s.status != http.StatusUnauthorized && s.node.inTouch(s.at.Add(-contact), s.end) {
				asked = append(asked, s)
			}
		}
		if len(asked) == 0 {
			continue
		}
		slices.SortFunc(asked, func(a, b *sent) int { return a.at.Compare(b.at) })
		last := asked[len(asked)-1].at
		for from := asked[0].at; from.Add(floorFor).Before(last); from = from.Add(floorStep) {
			if o.belowFloor(service, asked, from, from.Add(floorFor)) {
				break
			}
		}
	}
}

// belowFloor notes a breach of the floor within the time, and says whether there was one.
func (o *oracle) belowFloor(service string, asked []*sent, from, to time.Time) bool {
	all, unserved, at := 0, 0, map[string]int{}
	for _, s := range asked {
		if !s.at.Before(from) && s.at.Before(to) {
			all++
			if s.status != http.StatusOK {
				unserved++
				at[s.node.name]++
			}
		}
	}
	share := float64(unserved) / float64(max(all, 1))
	if share <= floorLeast || share >= floorMost || !o.world.storeStable(from, to) {
		return false
	}
	sound, reached, names := 0, 0, []string{}
	for _, t := range o.world.all() {
		if t.Service != service || !t.soundIn(from, to) {
			continue
		}
		sound++
		if slices.ContainsFunc(t.Seen(), func(x standin.Seen) bool { return x.At.After(from) && x.At.Before(to) }) {
			reached++
		} else {
			names = append(names, t.ID)
		}
	}
	if all < floorEach*sound || reached == 0 || float64(reached) >= floorShare*float64(sound) {
		return false
	}
	o.breach("floor", "service %s from %s on: %d of %d requests were not served (at %v), and %d of %d sound targets had work, %v had none",
		service, from.Format("15:04:05.000"), unserved, all, at, reached, sound, names)
	return true
}
