package pool

import (
	"container/list"
	"iter"

	"github.com/tinladder/tinladder/clock"
	"github.com/tinladder/tinladder/pool/fair"
)

// A waiter is a request that waits for a slot.
type waiter struct {
	request *Request
	granted chan grant
	element *list.Element
	// since is when it was queued.
	since clock.Millis
	// mayOvercommit says that the waiter may be given to a target's own queue.
	mayOvercommit bool
	// work is how long a target works on the request, in milliseconds.
	work float64
}

// isQueued reports whether the waiter has neither been granted a slot nor given up.
func (w *waiter) isQueued() bool {
	return w.element != nil
}

// A waitList holds the requests that wait for a slot, in the order in which they are to get one.
type waitList struct {
	list *list.List
	// fair orders the requests of a priority by their workspaces' shares; nil without fair shares.
	fair *fair.Queue[*waiter]
}

func newWaitList() waitList {
	return waitList{list: list.New()}
}

// len returns the number of waiters.
func (l waitList) len() int {
	return l.list.Len()
}

// isNext reports whether no waiter goes before the request.
func (l waitList) isNext(a *Request) bool {
	if l.fair != nil {
		return l.fair.IsNext(a.Priority, a.Workspace)
	}
	e := l.list.Front()
	return e == nil || e.Value.(*waiter).request.Priority > a.Priority
}

// ahead returns how many waiters go before the request.
func (l waitList) ahead(a *Request) int {
	n := 0
	for w := range l.each {
		if w.request.Priority <= a.Priority {
			n++
		}
	}
	return n
}

// insert queues the waiter behind those of its priority.
func (l waitList) insert(w *waiter) {
	if l.fair != nil {
		l.fair.Add(w)
		w.element = l.list.PushBack(w)
		return
	}
	for e := l.list.Back(); e != nil; e = e.Prev() {
		if e.Value.(*waiter).request.Priority <= w.request.Priority {
			w.element = l.list.InsertAfter(w, e)
			return
		}
	}
	w.element = l.list.PushFront(w)
}

// remove takes the waiter out of the queue.
func (l waitList) remove(w *waiter) {
	if l.fair != nil {
		l.fair.Remove(w)
	}
	l.list.Remove(w.element)
	w.element = nil
}

// all yields the waiters in order. The one that was yielded last may be removed.
func (l waitList) all() iter.Seq[*waiter] {
	if l.fair != nil {
		return l.allFair
	}
	return l.each
}

// each yields all waiters; in the order of shares, which takes longer to find, only all does. The one that was yielded last
// may be removed.
func (l waitList) each(yield func(*waiter) bool) {
	for e := l.list.Front(); e != nil; {
		next := e.Next()
		if !yield(e.Value.(*waiter)) {
			return
		}
		e = next
	}
}

// allFair yields the waiters in the order of shares, which the removal of one may change.
func (l waitList) allFair(yield func(*waiter) bool) {
	var skipped []*waiter
	for {
		w, found := l.fair.Next(skipped)
		if !found || !yield(w) {
			return
		}
		if w.isQueued() {
			skipped = append(skipped, w)
		}
	}
}
