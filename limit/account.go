package limit

import (
	"math"
	"slices"

	"github.com/tinladder/tinladder/clock"
	"github.com/tinladder/tinladder/ident"
)

const (
	// demandWindow is the time constant of the moving average of a workspace's demand.
	demandWindow = 1 * clock.Second
	// reserveFor is the span of expected demand that a node doesn't lend.
	reserveFor clock.Millis = 250
)

// account is the quota of one workspace on one node.
type account struct {
	rate   Rate
	ledger ledger
	// loans are sorted by expiry, the earliest first.
	loans []loan
	// demand is the moving average of requests per millisecond, as of demandAt.
	demand   float64
	demandAt clock.Millis
	// usedAt is when the account was last accessed.
	usedAt clock.Millis
	// used and refused count requests since the account was opened.
	used, refused uint64
	// nextAskAt is the earliest time of the next loan request, askInterval the time between two, and askedAt the time
	// of the last one.
	nextAskAt, askInterval clock.Millis
	askedAt                clock.Millis
	seq                    uint64
	// lenders have answered the last loan request.
	lenders []ident.Node
	// order is nil unless the limit is spent by priority.
	order *order
}

// loan is quota received from another node.
type loan struct {
	amount    float64
	expiresAt clock.Millis
}

func (a *account) dropExpired(now clock.Millis) {
	n := 0
	for n < len(a.loans) && a.loans[n].expiresAt <= now {
		n++
	}
	if n > 0 {
		a.loans = slices.Delete(a.loans, 0, n)
	}
}

// available returns how many requests the account can admit, loans included.
func (a *account) available(g grant, now clock.Millis) float64 {
	a.dropExpired(now)
	sum := max(a.ledger.balance(g, now), 0)
	for _, l := range a.loans {
		sum += l.amount
	}
	return sum
}

// takeOne takes one request from the available quota, from the loans that expire first.
func (a *account) takeOne(g grant, available float64, now clock.Millis) bool {
	if available < 1 {
		return false
	}
	need := 1.0
	for i := range a.loans {
		used := min(a.loans[i].amount, need)
		a.loans[i].amount -= used
		need -= used
	}
	a.ledger.debit(g, need, now)
	if need < 1 {
		a.ledger.slot(g, now).borrowed++
	}
	return true
}

func (a *account) countArrival(now clock.Millis) {
	a.decayDemand(now)
	a.demand += 1 / float64(demandWindow)
}

// decayDemand lets the moving average decay up to now.
func (a *account) decayDemand(now clock.Millis) {
	if now > a.demandAt {
		a.demand *= math.Exp(-float64(now-a.demandAt) / float64(demandWindow))
		a.demandAt = now
	}
}

// expected returns how many requests are expected within the span.
func (a *account) expected(span clock.Millis) float64 {
	return a.demand * float64(span)
}

// reserve returns the quota that isn't lent: the demand expected shortly, and the next request if one is expected
// within a second. Without the latter, nodes that all run short exchange fractions of a request that none of them can
// use.
func (a *account) reserve() float64 {
	return a.expected(reserveFor) + min(a.expected(clock.Second), 1)
}

// lend debits up to the amount for another node and returns it, less what is reserved.
func (a *account) lend(g grant, amount, reserved float64, now clock.Millis) float64 {
	given := min(amount, a.ledger.balance(g, now)-reserved)
	if !(given > minLoan) {
		return 0
	}
	a.ledger.debit(g, given, now+loanTTL)
	return given
}
