package limit

import (
	"math"
	"slices"

	"github.com/tinladder/tinladder/clock"
	"github.com/tinladder/tinladder/ident"
)

const (
	// demandWindow is the time over which a node learns how much a workspace asks of it.
	demandWindow = 1 * clock.Second
	// reserveFor is for how long of its own usual work a node keeps what it has from being lent.
	reserveFor clock.Millis = 250
)

// An account is what one node may still admit of one workspace's requests.
type account struct {
	rate   Rate
	ledger ledger
	// loans are what was borrowed, the first to lapse first.
	loans []loan
	// demand is how many requests come in a millisecond, of late.
	demand   float64
	demandAt clock.Millis
	// usedAt is when anyone last asked for it.
	usedAt clock.Millis
	// used and refused count requests since the account was opened.
	used, refused uint64
	// nextAskAt is when others may be asked again, askInterval the time between two questions, and askedAt the last one's time.
	nextAskAt, askInterval clock.Millis
	askedAt                clock.Millis
	seq                    uint64
	// lenders have answered the last question.
	lenders []ident.Node
}

// A loan is what another node handed over.
type loan struct {
	amount    float64
	expiresAt clock.Millis
}

// dropExpired drops loans that are no longer good.
func (a *account) dropExpired(now clock.Millis) {
	n := 0
	for n < len(a.loans) && a.loans[n].expiresAt <= now {
		n++
	}
	if n > 0 {
		a.loans = slices.Delete(a.loans, 0, n)
	}
}

// available is how much the account has, borrowed or not.
func (a *account) available(g grant, now clock.Millis) float64 {
	a.dropExpired(now)
	sum := max(a.ledger.balance(g, now), 0)
	for _, l := range a.loans {
		sum += l.amount
	}
	return sum
}

// takeOne takes one request's worth of what is held, of what lapses first.
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

// countArrival notes a request.
func (a *account) countArrival(now clock.Millis) {
	a.decayDemand(now)
	a.demand += 1 / float64(demandWindow)
}

// decayDemand lets what is usual fade with time.
func (a *account) decayDemand(now clock.Millis) {
	if now > a.demandAt {
		a.demand *= math.Exp(-float64(now-a.demandAt) / float64(demandWindow))
		a.demandAt = now
	}
}

// expected is how many requests are expected within the span.
func (a *account) expected(span clock.Millis) float64 {
	return a.demand * float64(span)
}

// reserve is what is not lent: what is expected shortly, and the next request if one comes within a second. Without the
// latter, nodes that are all short swap parts of requests that none of them can use.
func (a *account) reserve() float64 {
	return a.expected(reserveFor) + min(a.expected(clock.Second), 1)
}
