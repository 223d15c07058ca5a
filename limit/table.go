package limit

import (
	"cmp"
	"maps"
	"slices"
	"sync"

	"github.com/tinladder/tinladder/assign"
	"github.com/tinladder/tinladder/clock"
	"github.com/tinladder/tinladder/ident"
)

const (
	// minAskInterval is the least time between two questions for a workspace, and maxAskInterval the time after several that
	// brought nothing: what cannot be had is not asked for as often as requests come.
	minAskInterval clock.Millis = 40
	maxAskInterval clock.Millis = 640
	// loanSpan is for how much of the usual work is borrowed at once.
	loanSpan clock.Millis = 300
	// askShare is the part of that which each of those that are asked is asked for: some have nothing to spare. What
	// comes beyond need lapses or lies idle.
	askShare = 0.2
	// maxTickGap is how long a process that runs is never without a look at the time: after more it stood still, and
	// others may have been given its part.
	maxTickGap clock.Millis = 700
	// maxAccounts bounds the workspaces that are kept; those unused for idleTimeout are forgotten first.
	maxAccounts         = 1 << 14
	idleTimeout         = 1 * clock.Minute
	minLoan     float64 = 0.01
)

// A Table struct holds what one node may still admit, by workspace. It is safe for concurrent use.
type Table struct {
	clock  clock.Clock
	bounds Bounds

	mu       sync.Mutex
	accounts map[ident.Workspace]*account
	// allocations are the node's allocations of each limit within the last window, and the one before.
	allocations []allocation
	// startedAt is when the process did.
	startedAt clock.Millis
	tickedAt  clock.Millis
	// coldStart says that all nodes started with this process: it has what fleets have when they start.
	coldStart   bool
	sharers     *assign.Sharers
	seedContact seedContact
	// nominalShare is the node's share, of which it may use a part.
	nominalShare float64
}

// New returns a table of a node that has just started: it has no part of any limit yet.
func New(c clock.Clock, b Bounds) *Table {
	now := c.Now()
	return &Table{clock: c, bounds: b, accounts: map[ident.Workspace]*account{}, allocations: []allocation{{at: now}}, startedAt: now, tickedAt: now, sharers: assign.NewSharers()}
}

// Tick says that the process runs, and what its part of each limit is by its view of the others. It returns the part,
// and whether it has changed.
func (t *Table) Tick(v View) (share float64, changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	t.checkPause(now)
	previous := t.currentShare()
	t.nominalShare = v.withSettledSharers(t.sharers, now).Share(t.nominalShare)
	share = t.nominalShare * t.seedContact.fraction(v, now)
	switch coldStart := v.ColdStart && len(t.allocations) == 1 && t.allocations[0].at == t.startedAt && now-t.tickedAt <= maxTickGap; {
	case coldStart:
		t.allocations, t.coldStart = append(t.allocations[:0], allocation{at: t.startedAt, share: share}), true
	case share != previous:
		t.setShare(now, share)
	}
	t.tickedAt = now
	return share, share != previous
}

// checkPause takes the part back that a process had while it stood still: others may have used it. What is asked of the table
// comes here first, since a process that wakes reads requests before it looks at the time.
func (t *Table) checkPause(now clock.Millis) {
	if now-t.tickedAt <= maxTickGap || t.currentShare() == 0 {
		return
	}
	t.setShare(t.tickedAt, 0)
	t.nominalShare = 0
	t.dropLoans()
}

// setShare notes another part, and drops those that no longer count.
func (t *Table) setShare(at clock.Millis, share float64) {
	n := 0
	for n+1 < len(t.allocations) && t.allocations[n+1].at < at-t.bounds.Window-loanTTL {
		n++
	}
	t.allocations = append(slices.Delete(t.allocations, 0, n), allocation{at: at, share: share})
}

// dropLoans forgets what was borrowed.
func (t *Table) dropLoans() {
	for _, a := range t.accounts {
		a.loans = nil
	}
}

// currentShare is what the node has of each limit now.
func (t *Table) currentShare() float64 {
	return t.allocations[len(t.allocations)-1].share
}

// Share returns the node's part of each limit.
func (t *Table) Share() float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.currentShare()
}

func (t *Table) grant(r Rate) grant {
	return t.bounds.grant(r, t.allocations, t.coldStart)
}

// account returns the workspace's account, and what it is given now.
func (t *Table) account(w ident.Workspace, r Rate, now clock.Millis) (*account, grant) {
	t.checkPause(now)
	g := t.grant(r)
	a := t.accounts[w]
	switch {
	case a == nil:
		if len(t.accounts) >= maxAccounts {
			t.evict(now)
		}
		a = &account{rate: r, demandAt: now, askInterval: minAskInterval}
		t.accounts[w] = a
	case a.rate != r:
		a.ledger.reset(g, max(a.ledger.balance(t.grant(a.rate), now), 0), now)
		a.rate = r
	}
	a.usedAt = now
	return a, g
}

// evict drops accounts that were not used for long, or for a window at least if that is not enough: they are full, and
// one opened anew is too. All go if none is.
func (t *Table) evict(now clock.Millis) {
	for _, idle := range []clock.Millis{idleTimeout, t.bounds.Window + loanTTL} {
		maps.DeleteFunc(t.accounts, func(_ ident.Workspace, a *account) bool { return now-a.usedAt > idle })
		if len(t.accounts) < maxAccounts {
			return
		}
	}
	clear(t.accounts)
	t.allocations, t.coldStart = []allocation{{at: now, share: t.currentShare()}}, false
}

// A LoanRequest struct is what to ask other nodes for.
type LoanRequest struct {
	Workspace ident.Workspace
	Amount    float64
	Seq       uint64
}

// Take admits one request if the node has a part of the limit left for it. It may say what to ask others for, also
// when the request is admitted: before the node runs out.
func (t *Table) Take(w ident.Workspace, r Rate) (admitted bool, q *LoanRequest) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	a, g := t.account(w, r, now)
	a.countArrival(now)
	available := a.available(g, now)
	if admitted = a.takeOne(g, available, now); admitted {
		a.used++
		available--
	}
	return admitted, t.loanRequest(w, a, admitted, available, now)
}

// Retry admits a request that was not admitted before, if there is something for it by now.
func (t *Table) Retry(w ident.Workspace, r Rate) (admitted bool, q *LoanRequest) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	a, g := t.account(w, r, now)
	available := a.available(g, now)
	if admitted = a.takeOne(g, available, now); admitted {
		a.used++
		return true, nil
	}
	return false, t.loanRequest(w, a, false, available, now)
}

// Refuse counts a request that was not admitted, and returns when the node will have a part for one, and for those
// that were refused before it.
func (t *Table) Refuse(w ident.Workspace, r Rate) clock.Millis {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	a, g := t.account(w, r, now)
	a.refused++
	return a.ledger.waitTime(g, now)
}

// Refund gives back what was taken at that time for a request that did not run.
func (t *Table) Refund(w ident.Workspace, at clock.Millis) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if a := t.accounts[w]; a != nil && a.used > 0 {
		a.used--
		a.ledger.refund(at)
	}
}

// loanRequest says what to ask others for, if the node lacks what a request needs or runs short of its usual work, and may
// ask now.
func (t *Table) loanRequest(w ident.Workspace, a *account, admitted bool, available float64, now clock.Millis) *LoanRequest {
	want := 1 + a.expected(loanSpan)
	if admitted && available >= want/2 || now < a.nextAskAt {
		return nil
	}
	a.seq++
	a.lenders = nil
	a.askedAt, a.nextAskAt = now, now+a.askInterval
	a.askInterval = min(2*a.askInterval, maxAskInterval)
	return &LoanRequest{Workspace: w, Amount: want * askShare, Seq: a.seq}
}

// LoanPending says whether an answer to the last question may still come and be used.
func (t *Table) LoanPending(w ident.Workspace, within clock.Millis) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	a := t.accounts[w]
	return a != nil && a.seq > 0 && t.clock.Now()-a.askedAt < within
}

// Lend hands over up to so much to another node, and keeps what this one is about to need.
func (t *Table) Lend(w ident.Workspace, r Rate, amount float64) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	a, g := t.account(w, r, now)
	a.decayDemand(now)
	given := min(amount, a.ledger.balance(g, now)-a.reserve())
	if !(given > minLoan) {
		return 0
	}
	a.ledger.debit(g, given, now+loanTTL)
	return given
}

// AddLoan takes in what another node handed over for a question, once.
func (t *Table) AddLoan(w ident.Workspace, from ident.Node, amount float64, seq uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	a := t.accounts[w]
	now := t.clock.Now()
	if a == nil || seq != a.seq || now-a.askedAt >= loanTTL || !(amount > 0) || slices.Contains(a.lenders, from) {
		return // whoever lent it has less, and nobody has more
	}
	a.lenders = append(a.lenders, from)
	if rest := a.ledger.credit(t.grant(a.rate), amount, now); rest > 0 {
		a.dropExpired(now)
		a.loans = append(a.loans, loan{amount: rest, expiresAt: a.askedAt + loanTTL})
	}
	a.askInterval, a.nextAskAt = minAskInterval, a.askedAt+minAskInterval
}

// A Usage struct is what a workspace made of its limit on this node.
type Usage struct {
	Workspace     ident.Workspace
	Rate          Rate
	Used, Refused uint64
	// Available is what the node may still admit now.
	Available float64
}

// Usage returns what the workspaces made of their limits, the ones with the most requests first.
func (t *Table) Usage() []Usage {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	list := make([]Usage, 0, len(t.accounts))
	for w, a := range t.accounts {
		list = append(list, Usage{Workspace: w, Rate: a.rate, Used: a.used, Refused: a.refused, Available: a.available(t.grant(a.rate), now)})
	}
	slices.SortFunc(list, func(a, b Usage) int {
		return cmp.Or(cmp.Compare(b.Used+b.Refused, a.Used+a.Refused), cmp.Compare(a.Workspace, b.Workspace))
	})
	return list
}
