package limit

import (
	"math"
	"slices"

	"github.com/tinladder/tinladder/clock"
)

// slotsPerWindow is how many parts of a window a ledger tells apart. What is taken within one of them counts as taken at
// the last of its times, so a workspace at its limit for long loses half a slot in a window, 2 in 100.
const slotsPerWindow = 25

// An allocation is what the node had of each limit from then on.
type allocation struct {
	at    clock.Millis
	share float64
}

// A grant is what a workspace's limit comes to on this node.
type grant struct {
	window clock.Millis
	// perMilli is what the whole fleet is given by the millisecond, capacity what it may save, and initial what it had when
	// the first of the parts began.
	perMilli, capacity, initial float64
	// allocations are the node's allocations of that, the oldest first. There is one at least.
	allocations []allocation
}

// ownCapacity is how much this node may save.
func (g grant) ownCapacity() float64 {
	return g.capacity * g.allocations[len(g.allocations)-1].share
}

// A ledger holds what was taken from one account within the last window. In any time from s to t that is no longer,
// a node may take so much:
//
//	capacity x its least part from s to t + perMilli x (its part, summed over the milliseconds from s to t)
//
// Parts add up to one at any time, so all nodes together take capacity + perMilli x (t - s), however the parts move. What
// was taken longer ago than a window no longer counts: a workspace that asks more than it is given by the second for
// long gets, in each window, what may be saved besides.
type ledger struct {
	// slots are times when something was taken or came in, the oldest first.
	slots []slot
}

// A slot is what was taken and what came in within a short time.
type slot struct {
	first, last     clock.Millis
	taken, credited float64
	// borrowed counts requests that ran on what was borrowed and not saved.
	borrowed int
}

// trim drops what no longer counts.
func (l *ledger) trim(g grant, now clock.Millis) {
	n := 0
	for n < len(l.slots) && l.slots[n].last < now-g.window {
		n++
	}
	if n > 0 {
		l.slots = slices.Delete(l.slots, 0, n)
	}
}

// A walk goes back in time from now, and keeps what may be taken from then on, and what was.
type walk struct {
	g        grant
	at       clock.Millis
	index    int
	minShare float64
	accrued  float64
	taken    float64
	// credited is what came in since creditedFrom, and counts for times before it.
	credited     float64
	creditedFrom clock.Millis
}

// moveTo moves to an earlier time within the same part.
func (w *walk) moveTo(to clock.Millis) {
	if to < w.at {
		w.accrued += w.g.perMilli * w.g.allocations[w.index].share * float64(w.at-to)
		w.at = to
	}
}

// remaining is what may still be taken from that time on.
func (w *walk) remaining() float64 {
	return w.g.capacity*w.minShare + w.accrued - w.taken
}

// enterPrevious moves to just before the present part began.
func (w *walk) enterPrevious() {
	w.moveTo(w.g.allocations[w.index].at)
	if w.at <= w.creditedFrom {
		w.taken -= w.credited
		w.credited = 0
	}
	w.index--
	w.minShare = min(w.minShare, w.g.allocations[w.index].share)
}

// eachBound calls f with all times from which on what is taken is bounded, and what is left of that bound.
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

// balance is how much may be taken now.
func (l *ledger) balance(g grant, now clock.Millis) float64 {
	l.trim(g, now)
	if last := len(g.allocations) - 1; g.allocations[last].at < now-g.window {
		return l.steadyBalance(g, g.allocations[last].share, now)
	}
	balance := math.Inf(1)
	l.eachBound(g, now, func(_ clock.Millis, left float64) { balance = min(balance, left) })
	return balance
}

// steadyBalance is the same while the node's part is what it was a window ago, as it nearly always is.
func (l *ledger) steadyBalance(g grant, share float64, now clock.Millis) float64 {
	most, perMilli := g.capacity*share, g.perMilli*share
	balance, taken := most, 0.0
	for i := len(l.slots) - 1; i >= 0; i-- {
		s := &l.slots[i]
		taken += s.taken
		balance = min(balance, most+perMilli*float64(max(now-s.last, 0))-taken)
		taken -= s.credited
	}
	return balance
}

// waitTime is how long it takes until one request may be taken.
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

// reset makes a limit that was changed the one that counts: there is so much now, and what was lent a moment ago still
// counts, since whoever borrowed it may use it yet.
func (l *ledger) reset(g grant, balance float64, now clock.Millis) {
	l.slots = slices.DeleteFunc(l.slots, func(s slot) bool { return s.last <= now })
	for i := range l.slots {
		l.slots[i].credited = 0
	}
	if excess := l.balance(g, now) - balance; excess > 0 {
		l.debit(g, excess, now)
	}
}

// slot returns the one of that time. None reaches over a change of parts.
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

// debit notes that so much was taken.
func (l *ledger) debit(g grant, amount float64, at clock.Millis) {
	l.slot(g, at).taken += amount
}

// credit takes in what came from elsewhere as far as it can be saved, and returns the rest.
func (l *ledger) credit(g grant, amount float64, now clock.Millis) (rest float64) {
	s := l.slot(g, now)
	first, balance, room := s.first, math.Inf(1), g.ownCapacity()
	l.eachBound(g, now, func(from clock.Millis, left float64) {
		balance = min(balance, left)
		if from >= first { // what comes in now does not count for times that begin after it
			room = min(room, left)
		}
	})
	credited := min(max(room-balance, 0), amount)
	s.credited += credited
	return amount - credited
}

// refund undoes what one request took at that time.
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
