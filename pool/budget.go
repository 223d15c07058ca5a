package pool

import (
	"math/rand/v2"
	"sync"

	"github.com/tinladder/tinladder/clock"
)

// RetryBudget limits the retries and hedges of one service to a share of its requests plus a fixed slack, within a
// sliding window. Each node keeps to its own part of the fleet's budget, so nodes need not coordinate. It is safe
// for concurrent use.
//
// The load pattern: processes end and start again, and their requests move to other nodes, several times within a
// window. A node that could save what its requests allow for a window, spend it at once and lose its requests to
// another node, which may do the same, would use twice what the requests allow. Therefore what a request allows lapses
// soon, and only the slack is saved. A part of the slack may be used once the node has held it for a whole window:
// whoever held it before, perhaps an earlier process of this node, may have used it until then.
type RetryBudget struct {
	clock clock.Clock
	// ratio is the number of further attempts allowed per request.
	ratio  float64
	window clock.Millis

	mu sync.Mutex
	// earned is what the requests of the last savedShare of the window allow, less what was used of it.
	earned float64
	recent []clock.Millis
	// remainder is what denied attempts left of less than one. It begins at a random value, so that over many nodes
	// the remainders add up to what the nodes have left.
	remainder float64
	// slack has the parts of the slack that the node held within the window, and used what was used of them.
	slack trailingMin
	used  []slackUse
	// heldUntil is when the part of the slack lapses unless it is set again; 0 if it does not.
	heldUntil clock.Millis
	// requests and retries are those of the window, for Stats.
	requests, retries []clock.Millis
	// made and denied count since the start.
	made, denied uint64
	// order decides whose turn it is while the budget is short; nil if attempts get it in the order of coming.
	order *retryOrder
}

// A slackUse is an amount of slack that was used.
type slackUse struct {
	at     clock.Millis
	amount float64
}

const (
	// savedShare is the share of the window for which a request's part of the budget may be used. Within any window,
	// the nodes use the parts of its requests and of those in this share of a window before: RatioShare accounts for
	// them.
	savedShare = 0.25
	// slackHold is how long a node holds its part of the slack without renewing it. Others give the part of a node
	// that they have not heard of for so long to another one.
	slackHold = 3 * clock.Second
	// maxDebt bounds what a node owes for requests that other nodes have counted after all.
	maxDebt = 1
)

// NewRetryBudget returns a budget that allows ratio further attempts per request, plus slack, within any window. What is
// less than one attempt is rounded at random.
func NewRetryBudget(c clock.Clock, r *rand.Rand, ratio, slack float64, window clock.Millis) *RetryBudget {
	b := &RetryBudget{clock: c, ratio: ratio, window: window, remainder: r.Float64()}
	b.slack.add(slack, c.Now())
	return b
}

// SetSlack sets how many further attempts are allowed on top of the ratio. A larger number holds once it has been set for
// a whole window. It lapses after a few seconds unless it is set again.
func (b *RetryBudget) SetSlack(slack float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	if b.lapsed(now) {
		b.slack.add(0, now)
	}
	b.slack.add(slack, now)
	b.heldUntil = now + slackHold
}

// lapsed reports whether the part of the slack may be with another node by now.
func (b *RetryBudget) lapsed(now clock.Millis) bool {
	return b.heldUntil > 0 && now > b.heldUntil
}

// AddRequest counts the first attempt of a request.
func (b *RetryBudget) AddRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	b.trim(now)
	b.requests = append(b.requests, now)
	b.recent = append(b.recent, now)
	b.earned += b.ratio
	if b.order != nil {
		b.order.addRequests(1, now)
	}
}

// RemoveRequest takes back the latest AddRequest, for a request that another node counts.
func (b *RetryBudget) RemoveRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.requests = b.requests[:max(len(b.requests)-1, 0)]
	b.recent = b.recent[:max(len(b.recent)-1, 0)]
	b.earned = max(b.earned-b.ratio, -maxDebt)
	if b.order != nil {
		b.order.addRequests(-1, b.clock.Now())
	}
}

// Allow reports whether another attempt may be made, and counts it if so.
func (b *RetryBudget) Allow() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	b.trim(now)
	return b.allow(now)
}

// A Permit says whether a further attempt may be made.
type Permit int

// Permits.
const (
	// Allowed attempts may be made; the budget counts them.
	Allowed Permit = iota
	// DeniedForLack means that nothing is left of the budget.
	DeniedForLack
	// DeniedForOrder means that the budget is short, and needed for others.
	DeniedForOrder
)

func (p Permit) String() string {
	return [...]string{"allowed", "lack", "order"}[p]
}

// AllowInOrder says whether the attempt may be made, and counts it if so. While the budget is short it goes to the most
// urgent attempts, if the tuning of the budget's pool says so.
func (b *RetryBudget) AllowInOrder(a FurtherAttempt) Permit {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	b.trim(now)
	switch {
	case b.order != nil && !b.order.allows(a, b.room(now), now):
		b.denied++
		return DeniedForOrder
	case !b.allow(now):
		return DeniedForLack
	}
	return Allowed
}

// Short reports whether the budget is short for what is asked of it in order. It never is if attempts get it in the order of
// coming.
func (b *RetryBudget) Short() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	b.trim(now)
	return b.short(now)
}

func (b *RetryBudget) short(now clock.Millis) bool {
	if b.order == nil {
		return false
	}
	b.order.fade(now)
	return b.order.short(b.room(now))
}

// room returns what the budget has, for the order.
func (b *RetryBudget) room(now clock.Millis) room {
	return room{ratio: b.ratio, lapse: clock.Millis(savedShare * float64(b.window)), saved: b.left(now) + b.remainder, slack: b.slackLeft(now)}
}

// keepOrder has attempts get the budget by their rank while it is short.
func (b *RetryBudget) keepOrder() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.order == nil {
		b.order = &retryOrder{at: b.clock.Now()}
	}
}

// recordAttempt records how an attempt ended.
func (b *RetryBudget) recordAttempt(o Outcome) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.order != nil && o != Abandoned {
		b.order.addAttempt(o == Good, b.clock.Now())
	}
}

// allow takes one attempt of the budget, and reports whether it has one.
func (b *RetryBudget) allow(now clock.Millis) bool {
	if left := b.left(now); left < 1 {
		b.remainder += max(left, 0)
		b.take(max(left, 0), now)
		if b.remainder < 1 {
			b.denied++
			return false
		}
		b.remainder--
	} else {
		b.take(1, now)
	}
	b.retries = append(b.retries, now)
	b.made++
	return true
}

// Remaining returns how many further attempts the budget allows now.
func (b *RetryBudget) Remaining() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	b.trim(now)
	left := b.left(now)
	if left < 1 {
		left += b.remainder
	}
	return left
}

// trim drops what lies before the window, and what requests allowed too long ago.
func (b *RetryBudget) trim(now clock.Millis) {
	b.requests = dropUntil(b.requests, now-b.window)
	b.retries = dropUntil(b.retries, now-b.window)
	b.recent = dropUntil(b.recent, now-clock.Millis(savedShare*float64(b.window)))
	b.earned = min(b.earned, b.ratio*float64(len(b.recent)))
	n := 0
	for n < len(b.used) && b.used[n].at <= now-b.window {
		n++
	}
	b.used = b.used[n:]
}

// left returns what is left of the budget, apart from the remainder.
func (b *RetryBudget) left(now clock.Millis) float64 {
	return b.earned + b.slackLeft(now)
}

// slackLeft returns what is left of the part of the slack that the node has held for a whole window.
func (b *RetryBudget) slackLeft(now clock.Millis) float64 {
	if b.lapsed(now) {
		return 0
	}
	left := b.slack.least(now - b.window)
	for _, u := range b.used {
		left -= u.amount
	}
	return max(left, 0)
}

// take uses so much of what is left: first what would lapse sooner.
func (b *RetryBudget) take(amount float64, now clock.Millis) {
	ofEarned := min(amount, max(b.earned, 0))
	b.earned -= ofEarned
	if rest := amount - ofEarned; rest > 0 {
		b.used = append(b.used, slackUse{at: now, amount: rest})
	}
}

// BudgetStats describes a retry budget at one moment.
type BudgetStats struct {
	// Requests and Retries are those of the last window, Slack what may be used beyond the ratio.
	Requests, Retries int
	Slack             float64
	// Made and Denied count the further attempts that were allowed and denied since the start.
	Made, Denied uint64
	// Short says that the budget is short, and Chance which share of the latest attempts got a good response. Of those
	// denied, DeniedForOrder were denied for their order, DeniedByRank says which, and OtherDenied counts those of ranks
	// that are no longer told apart.
	Short                       bool
	Chance                      float64
	DeniedForOrder, OtherDenied uint64
	DeniedByRank                []RankDenied
}

// Stats returns the budget's state.
func (b *RetryBudget) Stats() BudgetStats {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	b.trim(now)
	s := BudgetStats{Requests: len(b.requests), Retries: len(b.retries), Slack: b.slackLeft(now), Made: b.made, Denied: b.denied}
	if o := b.order; o != nil {
		s.Short, s.Chance, s.DeniedForOrder, s.OtherDenied, s.DeniedByRank = b.short(now), o.chance(), o.denied, o.otherDenied, o.deniedByRank()
	}
	return s
}

// trailingMin has the least of a value within a time that ends now.
type trailingMin struct {
	// values increase, and so do the times until which they held.
	values []heldValue
}

// heldValue is a value, and until when it held; the last one holds still.
type heldValue struct {
	value float64
	until clock.Millis
}

// add sets the value that holds from now on.
func (m *trailingMin) add(value float64, now clock.Millis) {
	n := len(m.values)
	if n > 0 {
		m.values[n-1].until = now
	}
	for n > 0 && m.values[n-1].value >= value {
		n--
	}
	m.values = append(m.values[:n], heldValue{value: value, until: now})
}

// least returns the least value since then.
func (m *trailingMin) least(since clock.Millis) float64 {
	n := 0
	for n < len(m.values)-1 && m.values[n].until <= since {
		n++
	}
	m.values = m.values[n:]
	return m.values[0].value
}

// dropUntil removes the times up to and including bound; times are in ascending order.
func dropUntil(times []clock.Millis, bound clock.Millis) []clock.Millis {
	n := 0
	for n < len(times) && times[n] <= bound {
		n++
	}
	return times[n:]
}
