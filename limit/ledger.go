package limit

import (
	"math"
	"slices"

	"github.com/tinladder/tinladder/clock"
)

// slotsPerWindow is the time resolution of a ledger. What is taken within a slot counts as taken at its latest time, so
// a workspace that stays at its limit loses half a slot per window, 2 %.
const slotsPerWindow = 25

// allocation is the share of each limit that the node holds from a time on.
type allocation struct {
	at    clock.Millis
	share float64
}

// grant is a node's quota of one workspace's limit.
type grant struct {
	window clock.Millis
	// perMilli is what the whole fleet accrues per millisecond, capacity what it may save, and initial what it had when
	// the first allocation began.
	perMilli, capacity, initial float64
	// allocations are sorted by time, the earliest first. There is at least one.
	allocations []allocation
}

// ownCapacity returns how much this node may save.
func (g grant) ownCapacity() float64 {
	return g.capacity * g.allocations[len(g.allocations)-1].share
}

// ledger records what was taken from an account within the last window. In any interval from s to t no longer than
// that, a node may take at most
//
//	capacity x its least share from s to t + perMilli x (its share, summed over the milliseconds from s to t)
//
// Shares add up to at most one at any time, so all nodes together take at most capacity + perMilli x (t - s), however
// the shares change. What was taken more than a window ago no longer counts: a workspace that constantly asks for more
// than accrues gets, in each window, the capacity on top.
type ledger struct {
	// slots are sorted by time, the earliest first.
	slots []slot
}

// slot records what was taken and credited within a short time.
type slot struct {
	first, last     clock.Millis
	taken, credited float64
	// borrowed counts requests admitted on loans that were not saved.
	borrowed int
}

// trim drops slots that are older than the window.
func (l *ledger) trim(g grant, now clock.Millis) {
	n := 0
	for n < len(l.slots) && l.slots[n].last < now-g.window {
		n++
	}
	if n > 0 {
		l.slots = slices.Delete(l.slots, 0, n)
	}
}

// walk goes back in time from now, summing up what may be taken since then and what was.
type walk struct {
	g        grant
	at       clock.Millis
	index    int
	minShare float64
	accrued  float64
	taken    float64
	// credited is what was credited since creditedFrom; it counts for earlier times only.
	credited     float64
	creditedFrom clock.Millis
}

// moveTo moves to an earlier time within the same allocation.
func (w *walk) moveTo(to clock.Millis) {
	if to < w.at {
		w.accrued += w.g.perMilli * w.g.allocations[w.index].share * float64(w.at-to)
		w.at = to
	}
}

// remaining returns how much of the bound since that time is left.
func (w *walk) remaining() float64 {
	return w.g.capacity*w.minShare + w.accrued - w.taken
}

// enterPrevious moves to just before the current allocation began.
func (w *walk) enterPrevious() {
	w.moveTo(w.g.allocations[w.index].at)
	if w.at <= w.creditedFrom {
		w.taken -= w.credited
		w.credited = 0
	}
	w.index--
	w.minShare = min(w.minShare, w.g.allocations[w.index].share)
}

// eachBound calls f with each time since which the amount taken is bounded, and what is left of that bound.
func (l *ledger) eachBound(g grant, now clock.Millis, f func(from clock.Millis, left float64)) {
	w := walk{g: g, at: now, index: len(g.allocations) - 1, minShare: g.allocations[len(g.allocations)-1].share}
	f(now, w.remaining())
	for i := len(l.slots) - 1; i >= 0; i-- {
		s := &l.slots[i]
		for w.index > 0 && g.allocations[w.index].at > s.last {
			w.enterPrevious()
			f(w.at, w.remaining())
		}
		w.moveTo(s.last)
		w.taken += s.taken - w.credited
		w.credited, w.creditedFrom = s.credited, s.first
		f(s.last, w.remaining())
	}
	for w.index > 0 && g.allocations[w.index].at >= now-g.window {
		w.enterPrevious()
		f(w.at, w.remaining())
	}
	if first := g.allocations[0]; w.index == 0 && first.at >= now-g.window {
		w.moveTo(first.at)
		f(first.at, g.initial*first.share+w.accrued-w.taken+w.credited)
	}
}

// balance returns how much may be taken now. It is negative if too much was taken.
func (l *ledger) balance(g grant, now clock.Millis) float64 {
	l.trim(g, now)
	if last := len(g.allocations) - 1; g.allocations[last].at < now-g.window {
		return l.steadyBalance(g, g.allocations[last].share, now)
	}
	balance := math.Inf(1)
	l.eachBound(g, now, func(_ clock.Millis, left float64) { balance = min(balance, left) })
	return balance
}

// steadyBalance computes the balance for the usual case that the share has not changed within the window.
func (l *ledger) steadyBalance(g grant, share float64, now clock.Millis) float64 {
	capacity, perMilli := g.capacity*share, g.perMilli*share
	balance, taken := capacity, 0.0
	for i := len(l.slots) - 1; i >= 0; i-- {
		s := &l.slots[i]
		taken += s.taken
		balance = min(balance, capacity+perMilli*float64(max(now-s.last, 0))-taken)
		taken -= s.credited
	}
	return balance
}

// waitTime returns how long it takes until one request may be taken.
func (l *ledger) waitTime(g grant, now clock.Millis) clock.Millis {
	perMilli := g.perMilli * g.allocations[len(g.allocations)-1].share
	if perMilli <= 0 {
		return 0
	}
	wait := clock.Millis(0)
	l.eachBound(g, now, func(from clock.Millis, left float64) {
		enough := clock.Millis(math.Ceil(max(1-left, 0) / perMilli))
		wait = max(wait, min(enough, max(from, now-g.window)+g.window-now))
	})
	return wait
}

// reset starts over under a changed limit, with the given balance. Slots in the future, which hold what was lent
// recently, still count, since the borrower may yet use it.
func (l *ledger) reset(g grant, balance float64, now clock.Millis) {
	l.slots = slices.DeleteFunc(l.slots, func(s slot) bool { return s.last <= now })
	for i := range l.slots {
		l.slots[i].credited = 0
	}
	if excess := l.balance(g, now) - balance; excess > 0 {
		l.debit(g, excess, now)
	}
}

// slot returns the slot for a time, which it adds if needed. No slot spans a change of allocation.
func (l *ledger) slot(g grant, at clock.Millis) *slot {
	width := max(g.window/slotsPerWindow, 1)
	first := max(at-at%width, min(g.allocations[len(g.allocations)-1].at, at))
	i := len(l.slots)
	for i > 0 && l.slots[i-1].first > first {
		i--
	}
	if i == 0 || l.slots[i-1].first != first {
		l.slots = slices.Insert(l.slots, i, slot{first: first, last: at})
		i++
	}
	s := &l.slots[i-1]
	s.last = max(s.last, at)
	return s
}

func (l *ledger) debit(g grant, amount float64, at clock.Millis) {
	l.slot(g, at).taken += amount
}

// credit adds a loan as far as it can be saved, and returns the rest.
func (l *ledger) credit(g grant, amount float64, now clock.Millis) (rest float64) {
	s := l.slot(g, now)
	first, balance, room := s.first, math.Inf(1), g.ownCapacity()
	l.eachBound(g, now, func(from clock.Millis, left float64) {
		balance = min(balance, left)
		if from >= first { // a credit doesn't count for bounds that begin after it
			room = min(room, left)
		}
	})
	credited := min(max(room-balance, 0), amount)
	s.credited += credited
	return amount - credited
}

// refund reverts the debit of one request at the given time.
func (l *ledger) refund(at clock.Millis) {
	for i := len(l.slots) - 1; i >= 0; i-- {
		s := &l.slots[i]
		switch {
		case s.first > at || s.last < at:
			continue
		case s.borrowed > 0:
			s.borrowed--
		default:
			s.taken -= min(s.taken, 1)
		}
		return
	}
}
