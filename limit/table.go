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
	// minAskInterval is the least time between two loan requests for a workspace. It doubles up to maxAskInterval while
	// they bring nothing, so that loan requests are rarer than the requests that need them.
	minAskInterval clock.Millis = 40
	maxAskInterval clock.Millis = 640
	// loanSpan is the span of expected demand that is borrowed at once.
	loanSpan clock.Millis = 300
	// askShare is the fraction of it requested from each lender, as some have nothing to spare. What exceeds the need
	// expires or stays unused.
	askShare = 0.2
	// maxTickGap is the longest time between ticks of a running process. After a longer gap the process was paused, and
	// its share may have been given to others.
	maxTickGap clock.Millis = 700
	// maxAccounts bounds the number of workspaces; those unused for idleTimeout are evicted first.
	maxAccounts = 1 << 14
	idleTimeout = 1 * clock.Minute
	// minLoan is the smallest amount lent, in requests.
	minLoan float64 = 0.01
)

// Table admits requests on one node, by workspace. It is safe for concurrent use.
type Table struct {
	clock  clock.Clock
	bounds Bounds

	mu       sync.Mutex
	accounts map[ident.Workspace]*account
	// allocations are those of the last window, and the one before.
	allocations []allocation
	// startedAt is when the process started.
	startedAt clock.Millis
	tickedAt  clock.Millis
	// coldStart reports that the whole fleet started with this process, so that it has the initial quota.
	coldStart bool
	// starting reports that the process just started as of the last tick. Loan requests reach few lenders then.
	starting    bool
	sharers     *assign.Sharers
	hold        countHold
	seedContact seedContact
	// nominalShare is the node's share, of which it may use a fraction.
	nominalShare float64
}

// New returns a table for a node that has just started and holds no share yet.
func New(c clock.Clock, b Bounds) *Table {
	now := c.Now()
	return &Table{clock: c, bounds: b, accounts: map[ident.Workspace]*account{}, allocations: []allocation{{at: now}}, startedAt: now, tickedAt: now, sharers: assign.NewSharers()}
}

// Tick must be called regularly while the process runs. It updates the node's share from its view of the fleet, and
// returns it and whether it has changed.
func (t *Table) Tick(v View) (share float64, changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	t.checkPause(now)
	previous := t.currentShare()
	t.nominalShare = v.withSettledSharers(t.sharers, &t.hold, now).Share(t.nominalShare)
	share = t.nominalShare * t.seedContact.fraction(v, now)
	switch coldStart := v.ColdStart && len(t.allocations) == 1 && t.allocations[0].at == t.startedAt && now-t.tickedAt <= maxTickGap; {
	case coldStart:
		t.allocations, t.coldStart = append(t.allocations[:0], allocation{at: t.startedAt, share: share}), true
	case share != previous:
		t.setShare(now, share)
	}
	if t.starting && !v.JustStarted {
		t.askAtOnce()
	}
	t.starting = v.JustStarted
	t.tickedAt = now
	return share, share != previous
}

// checkPause drops the share of a process that was paused, since others may have used it. Take, Retry, Refuse and Lend
// check this first, because a resumed process may handle requests before its next tick.
func (t *Table) checkPause(now clock.Millis) {
	if now-t.tickedAt <= maxTickGap || t.currentShare() == 0 {
		return
	}
	t.setShare(t.tickedAt, 0)
	t.nominalShare = 0
	t.dropLoans()
}

// setShare adds an allocation and drops those that no longer count.
func (t *Table) setShare(at clock.Millis, share float64) {
	n := 0
	for n+1 < len(t.allocations) && t.allocations[n+1].at < at-t.bounds.Window-loanTTL {
		n++
	}
	t.allocations = append(slices.Delete(t.allocations, 0, n), allocation{at: at, share: share})
}

func (t *Table) dropLoans() {
	for _, a := range t.accounts {
		a.loans = nil
	}
}

// askAtOnce lets each account request a loan with its next request.
func (t *Table) askAtOnce() {
	for _, a := range t.accounts {
		a.askInterval, a.nextAskAt = minAskInterval, 0
	}
}

func (t *Table) currentShare() float64 {
	return t.allocations[len(t.allocations)-1].share
}

// Share returns the node's share of each limit.
func (t *Table) Share() float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.currentShare()
}

func (t *Table) grant(r Rate) grant {
	return t.bounds.grant(r, t.allocations, t.coldStart)
}

// account returns the workspace's account, which it opens if needed, and its current grant.
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

// evict drops accounts unused for idleTimeout or, if that isn't enough, for a window: their quota is full, as that of a
// new account is. If neither is enough, it drops all, and quota accrues from zero.
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

// LoanRequest is a request to other nodes for quota.
type LoanRequest struct {
	Workspace ident.Workspace
	Amount    float64
	Seq       uint64
	// Priority is that of the requests that lack quota, if Ordered is set.
	Priority uint32
	Ordered  bool
}

// Take admits a request if the node has quota for it. It may return a loan request to send to other nodes, also when
// the request is admitted, so that the node doesn't run out.
func (t *Table) Take(w ident.Workspace, r Rate) (admitted bool, ask *LoanRequest) {
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

// Retry admits a request that Take didn't, if there is quota for it by now.
func (t *Table) Retry(w ident.Workspace, r Rate) (admitted bool, ask *LoanRequest) {
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

// Refuse counts a request that was not admitted, and returns how long it takes until there is quota for one request.
func (t *Table) Refuse(w ident.Workspace, r Rate) clock.Millis {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	a, g := t.account(w, r, now)
	a.refused++
	return a.ledger.waitTime(g, now)
}

// Refund gives back the quota taken at that time for a request that did not run.
func (t *Table) Refund(w ident.Workspace, at clock.Millis) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if a := t.accounts[w]; a != nil && a.used > 0 {
		a.used--
		a.ledger.refund(at)
	}
}

// loanRequest returns a loan request if a request lacks quota, or the node runs short of its expected demand, and the
// interval since the last one has passed.
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

// LoanPending reports whether a loan may still arrive for a request sent within the given time.
func (t *Table) LoanPending(w ident.Workspace, within clock.Millis) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	a := t.accounts[w]
	return a != nil && a.seq > 0 && t.clock.Now()-a.askedAt < within
}

// Lend debits up to the amount for another node and returns it, less what this node expects to need itself.
func (t *Table) Lend(w ident.Workspace, r Rate, amount float64) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	a, g := t.account(w, r, now)
	a.decayDemand(now)
	return a.lend(g, amount, a.reserve(), now)
}

// AddLoan credits a loan that another node granted, once per lender and loan request.
func (t *Table) AddLoan(w ident.Workspace, from ident.Node, amount float64, seq uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	a := t.accounts[w]
	now := t.clock.Now()
	if a == nil || seq != a.seq || now-a.askedAt >= loanTTL || !(amount > 0) || slices.Contains(a.lenders, from) {
		return // the lender has less, and nobody has more
	}
	a.lenders = append(a.lenders, from)
	if rest := a.ledger.credit(t.grant(a.rate), amount, now); rest > 0 {
		a.dropExpired(now)
		a.loans = append(a.loans, loan{amount: rest, expiresAt: a.askedAt + loanTTL})
	}
	a.askInterval, a.nextAskAt = minAskInterval, a.askedAt+minAskInterval
}

// Usage is what a workspace used of its limit on this node.
type Usage struct {
	Workspace     ident.Workspace
	Rate          Rate
	Used, Refused uint64
	// Available is how many requests the node can admit now.
	Available float64
}

// Usage returns the usage of all workspaces, those with the most requests first.
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
