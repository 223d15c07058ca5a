package pool

import (
	"slices"

	"github.com/tinladder/tinladder/clock"
)

// A tally counts requests that ended, and those that got no good answer.
type tally struct {
	asked, unserved int
}

func (t *tally) add(o tally) {
	t.asked += o.asked
	t.unserved += o.unserved
}

// windowParts is how finely a window moves on.
const windowParts = 8

// A window counts what ended lately.
type window struct {
	part  clock.Millis
	parts [windowParts]tally
	last  clock.Millis
}

func newWindow(span clock.Millis) *window {
	return &window{part: max(span/windowParts, 1)}
}

// turn moves the window on to now.
func (w *window) turn(now clock.Millis) {
	n := now / w.part
	for i := max(w.last+1, n-windowParts+1); i <= n; i++ {
		w.parts[i%windowParts] = tally{}
	}
	w.last = max(w.last, n)
}

func (w *window) count(now clock.Millis, served bool) {
	w.turn(now)
	t := &w.parts[w.last%windowParts]
	t.asked++
	if !served {
		t.unserved++
	}
}

func (w *window) sum(now clock.Millis) (s tally) {
	w.turn(now)
	for _, t := range w.parts {
		s.add(t)
	}
	return s
}

// Ended tells how a request ended: whether its caller got a good answer.
func (p *Pool) Ended(served bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ended.count(p.clock.Now(), served)
}

// minTroubled is the fewest requests that say anything.
const minTroubled = 10

// troubled says whether so many requests of the service fail, over the nodes that are heard, that
// all sound targets must be given work.
func (p *Pool) troubled(now clock.Millis) bool {
	s := p.ended.sum(now)
	for from, o := range p.peerEnded {
		if now-o.at <= p.tuning.PeerAge {
			s.add(o.tally)
		} else {
			delete(p.peerEnded, from)
		}
	}
	return s.asked >= minTroubled && float64(s.unserved) > p.tuning.TroubleShare*float64(s.asked)
}

// explore returns a target that should be tried since too little is known of it, or nil. Only
// targets of this node's part are tried, so that the halls do not all try the same.
func (p *Pool) explore(a *Ask, now clock.Millis) *target {
	troubled, short := p.troubled(now), p.short(now)
	var best *target
	for _, t := range p.order {
		if !t.Ours || !p.usable(t, now) || slices.Contains(a.Not, t.ID) || p.inFlight(t, now) >= t.Slots {
			continue
		}
		if !p.due(t, a, troubled, now) && !(short && p.unknown(t, now)) {
			continue
		}
		if best == nil || p.sooner(t, best, now) {
			best = t
		}
	}
	return best
}

// due says whether the request should try the target, since nobody has for long.
func (p *Pool) due(t *target, a *Ask, troubled bool, now clock.Millis) bool {
	if t.usedAt == 0 {
		return now-t.known > p.tuning.JoinWait
	}
	idle := now - t.usedAt
	if a.Repeatable && len(a.Not) == 0 && idle > p.tuning.ExploreIdle {
		return p.budget.Left() > spareAttempts
	}
	return troubled && idle > p.tuning.TroubleIdle && t.belief.Failing(&p.tuning.Model, now) < p.tuning.TroubleBelow
}

// spareAttempts are further attempts that trials leave for requests that fail by chance.
const spareAttempts = 2

// short says whether too few slots are free at targets that are known to be sound.
func (p *Pool) short(now clock.Millis) bool {
	slots, used := 0, p.waiting.Len()
	for _, t := range p.order {
		if !t.Ours || !p.usable(t, now) {
			continue
		}
		n := p.inFlight(t, now)
		used += n
		if t.belief.Failing(&p.tuning.Model, now) < p.tuning.KnownBelow {
			slots += t.Slots
		}
	}
	return float64(used+1) > p.tuning.Reserve*float64(slots)
}

// unknown says whether the target may be sound and may be failing, and is not being tried.
func (p *Pool) unknown(t *target, now clock.Millis) bool {
	f := t.belief.Failing(&p.tuning.Model, now)
	return f >= p.tuning.KnownBelow && f < p.tuning.TroubleBelow && p.inFlight(t, now) == 0
}

// sooner says whether a is to be tried before b: one that nobody has used, then the likelier sound.
func (p *Pool) sooner(a, b *target, now clock.Millis) bool {
	if (a.usedAt == 0) != (b.usedAt == 0) {
		return a.usedAt == 0
	}
	return a.belief.Failing(&p.tuning.Model, now) < b.belief.Failing(&p.tuning.Model, now)
}
