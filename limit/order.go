package limit

import (
	"cmp"
	"math"
	"slices"

	"github.com/tinladder/tinladder/clock"
	"github.com/tinladder/tinladder/ident"
)

const (
	// orderPeriod is how long after a refusal a workspace's limit is spent by priority. Callers of refused requests are
	// back within it.
	orderPeriod = 3 * clock.Second
	// orderAhead is the span of expected demand of more urgent requests that others leave over, and maxOrderReserve the
	// most of a node's quota for a window that this may be: what is left over is unused in each window.
	orderAhead      clock.Millis = 250
	maxOrderReserve              = 0.015
	// minKindShare is the least share of a kind's requests that is admitted, relative to that of all requests.
	// minLaterShare is the least part of all admitted requests that goes to those which are not the most urgent.
	minKindShare, minLaterShare = 0.25, 0.1
	// maxOwed bounds the requests that a kind is owed.
	maxOwed = 3.0
	// maxKinds is the number of priorities told apart, the first ones seen; another one counts as the next less urgent of
	// these, or the last.
	maxKinds = 8
)

// order decides which requests of a workspace are admitted while it asks for more than its limit: urgent ones first,
// a share of each of the others, and within that callers which had less. It answers a flood of one workspace that has
// urgent and bulk requests alike, in which who is refused would be left to the order of arrival. Nothing is held back
// unless a request was refused of late.
type order struct {
	// kinds are sorted by priority, the most urgent first.
	kinds []kind
	// admitted is the moving average of admitted requests per millisecond.
	admitted average
	callers  callers
	// refusedAt is when a request was last refused; 0 if none was.
	refusedAt clock.Millis
	reported  bool
}

// OrderedRequest is what the order tells a workspace's requests apart by.
type OrderedRequest struct {
	// Priority is 0 for the most urgent.
	Priority uint32
	// Caller is a hash of the caller's address.
	Caller uint64
}

const (
	// callerBuckets is the number of callers told apart; those with the same remainder share an entry.
	callerBuckets = 16
	// aheadFactor is how many times an equal part, and a request a second more, a caller has at least if it is ahead.
	// Few requests are not spread evenly.
	aheadFactor = 2
)

// callers are moving averages of requests per millisecond by caller.
type callers struct {
	asked, admitted [callerBuckets]float64
	at              clock.Millis
}

func (c *callers) decay(now clock.Millis) {
	if now <= c.at {
		return
	}
	f := math.Exp(-float64(now-c.at) / float64(demandWindow))
	for i := range c.asked {
		c.asked[i] *= f
		c.admitted[i] *= f
	}
	c.at = now
}

// isAhead reports whether the caller had clearly more than an equal part of what was admitted to those that ask.
func (c *callers) isAhead(caller uint64, now clock.Millis) bool {
	c.decay(now)
	n, all := 0, 0.0
	for i := range c.asked {
		all += c.admitted[i]
		if c.asked[i]*float64(clock.Second) >= 1 {
			n++
		}
	}
	return n > 1 && c.admitted[caller%callerBuckets] > aheadFactor*all/float64(n)+1/float64(demandWindow)
}

// kind is the requests of one priority.
type kind struct {
	priority uint32
	demand   average
	// owed is how many requests the kind is to be admitted whatever the others ask for.
	owed float64
}

// average is a moving average of events per millisecond.
type average struct {
	value float64
	at    clock.Millis
}

func (a *average) decay(now clock.Millis) float64 {
	if now > a.at {
		a.value *= math.Exp(-float64(now-a.at) / float64(demandWindow))
		a.at = now
	}
	return a.value
}

func (a *average) add(now clock.Millis) {
	a.decay(now)
	a.value += 1 / float64(demandWindow)
}

// index returns the index of the priority, which it adds.
func (o *order) index(priority uint32) int {
	i, found := slices.BinarySearchFunc(o.kinds, priority, func(k kind, p uint32) int { return cmp.Compare(k.priority, p) })
	if !found && len(o.kinds) >= maxKinds {
		return min(i, maxKinds-1)
	}
	if !found {
		o.kinds = slices.Insert(o.kinds, i, kind{priority: priority})
	}
	return i
}

// isActive reports whether the workspace is held to the order.
func (o *order) isActive(now clock.Millis) bool {
	return o.refusedAt > 0 && now-o.refusedAt < orderPeriod
}

// arrive counts a request and what its kind is owed for it.
func (o *order) arrive(x OrderedRequest, now clock.Millis) {
	i := o.index(x.Priority)
	o.callers.decay(now)
	o.callers.asked[x.Caller%callerBuckets] += 1 / float64(demandWindow)
	o.kinds[i].demand.add(now)
	if !o.isActive(now) {
		o.kinds[i].owed = 0
		return
	}
	all, later := 0.0, 0.0
	for j := range o.kinds {
		d := o.kinds[j].demand.decay(now)
		all += d
		if j > 0 {
			later += d
		}
	}
	share := min(o.admitted.decay(now)/all, 1)
	least := minKindShare * share
	if i > 0 {
		least = max(least, minLaterShare*share*all/later)
	}
	o.kinds[i].owed = min(o.kinds[i].owed+min(least, 1), maxOwed)
}

// reserve returns how much quota a request has to leave over, of what the node has for a window.
func (o *order) reserve(x OrderedRequest, perWindow float64, now clock.Millis) float64 {
	if !o.isActive(now) {
		return 0
	}
	i, sum := o.index(x.Priority), 0.0
	if o.callers.isAhead(x.Caller, now) {
		sum++
	}
	if o.kinds[i].owed >= 1 {
		return sum
	}
	for j := range o.kinds {
		switch k := &o.kinds[j]; {
		case j < i:
			d := k.demand.decay(now)
			sum += d*float64(orderAhead) + min(d*float64(clock.Second), 1)
		case j > i && k.owed >= 1:
			sum++
		}
	}
	return min(sum, max(maxOrderReserve*perWindow, 1))
}

// admit counts an admitted request.
func (o *order) admit(x OrderedRequest, now clock.Millis) {
	k := &o.kinds[o.index(x.Priority)]
	o.callers.decay(now)
	o.callers.admitted[x.Caller%callerBuckets] += 1 / float64(demandWindow)
	k.owed = max(k.owed-1, 0)
	o.admitted.add(now)
}

// expected returns how many requests that are at least as urgent are expected within the span, and the next one if it
// is expected within a second.
func (o *order) expected(priority uint32, span, now clock.Millis) (sum float64) {
	for j := range o.kinds {
		if k := &o.kinds[j]; k.priority <= priority {
			d := k.demand.decay(now)
			sum += d*float64(span) + min(d*float64(clock.Second), 1)
		}
	}
	return sum
}

// inOrder completes a loan request: in a flood, a node without a share borrows for the most urgent requests that come.
// Sharers have their part already, and what they lend each other counts for longer than what they take themselves.
func (t *Table) inOrder(a *account, q *LoanRequest, priority uint32, now clock.Millis) *LoanRequest {
	o := a.order
	if q == nil || !o.isActive(now) || t.currentShare() > 0 {
		return q
	}
	q.Priority, q.Ordered = priority, true
	for j := range o.kinds {
		if k := &o.kinds[j]; k.demand.decay(now)*float64(clock.Second) >= 1 {
			q.Priority = min(q.Priority, k.priority)
			break
		}
	}
	q.Amount = (1 + o.expected(q.Priority, loanSpan, now)) * askShare
	return q
}

// LendInOrder is Lend for a request of a workspace that asks for more than its limit. The node keeps what it expects to
// need for requests that are as urgent, and lends what it has for others.
func (t *Table) LendInOrder(w ident.Workspace, r Rate, amount float64, priority uint32) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	a, g := t.account(w, r, now)
	a.decayDemand(now)
	return a.lend(g, amount, a.orderOf().expected(priority, reserveFor, now), now)
}

// TakeInOrder is Take for a request with a priority, 0 being the most urgent: while the workspace asks for more than its
// limit, urgent requests go first, and no caller takes all.
func (t *Table) TakeInOrder(w ident.Workspace, r Rate, x OrderedRequest) (admitted bool, ask *LoanRequest) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	a, g := t.account(w, r, now)
	a.countArrival(now)
	a.orderOf().arrive(x, now)
	available := a.available(g, now)
	if admitted = a.takeInOrder(g, available, x, now); admitted {
		available--
	}
	return admitted, t.inOrder(a, t.loanRequest(w, a, admitted, available, now), x.Priority, now)
}

// RetryInOrder is Retry for a request with a priority.
func (t *Table) RetryInOrder(w ident.Workspace, r Rate, x OrderedRequest) (admitted bool, ask *LoanRequest) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	a, g := t.account(w, r, now)
	a.orderOf()
	available := a.available(g, now)
	if a.takeInOrder(g, available, x, now) {
		return true, nil
	}
	return false, t.inOrder(a, t.loanRequest(w, a, false, available, now), x.Priority, now)
}

// RefuseInOrder is Refuse for a request with a priority. It reports also whether there was quota that was left over for
// more urgent requests.
func (t *Table) RefuseInOrder(w ident.Workspace, r Rate) (wait clock.Millis, byOrder bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	a, g := t.account(w, r, now)
	a.refused++
	a.orderOf().refusedAt = now
	return a.ledger.waitTime(g, now), a.available(g, now) >= 1
}

// orderOf returns the account's order, which it begins if needed.
func (a *account) orderOf() *order {
	if a.order == nil {
		a.order = &order{}
	}
	return a.order
}

// takeInOrder takes one request from the available quota if the order allows it.
func (a *account) takeInOrder(g grant, available float64, x OrderedRequest, now clock.Millis) bool {
	share := g.allocations[len(g.allocations)-1].share
	perWindow := (g.capacity + g.perMilli*float64(g.window)) * share
	if available < 1+a.order.reserve(x, perWindow, now) || !a.takeOne(g, available, now) {
		return false
	}
	a.used++
	a.order.admit(x, now)
	return true
}

// OrderChange is that a workspace begins or ends to be held to the order.
type OrderChange struct {
	Workspace ident.Workspace
	Active    bool
}

// maxOrderChanges bounds the changes reported at a time.
const maxOrderChanges = 20

// OrderChanges returns the changes that were not reported yet.
func (t *Table) OrderChanges() (changes []OrderChange) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	for w, a := range t.accounts {
		if a.order != nil && a.order.isActive(now) != a.order.reported && len(changes) < maxOrderChanges {
			a.order.reported = !a.order.reported
			changes = append(changes, OrderChange{Workspace: w, Active: a.order.reported})
		}
	}
	return changes
}
