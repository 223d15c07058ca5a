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
	// askPause is the least time between two questions for a workspace, and askPauseMost the time after several that
	// brought nothing: what cannot be had is not asked for as often as requests come.
	askPause     clock.Millis = 40
	askPauseMost clock.Millis = 640
	// askFor is for how much of the usual work is borrowed at once.
	askFor clock.Millis = 300
	// askShare is the part of that which each of those that are asked is asked for: some have nothing to spare. What
	// comes beyond need lapses or lies idle.
	askShare = 0.2
	// stalled is how long a process that runs is never without a look at the time: after more it stood still, and
	// others may have been given its part.
	stalled clock.Millis = 700
	// maxAccounts bounds the workspaces that are kept; those unused for idleFor are forgotten first.
	maxAccounts         = 1 << 14
	idleFor             = 1 * clock.Minute
	smallest    float64 = 0.01
)

// A Table struct holds what one node may still admit, by workspace. It is safe for concurrent use.
type Table struct {
	clock  clock.Clock
	bounds Bounds

	mu       sync.Mutex
	accounts map[ident.Workspace]*account
	// parts are the node's parts of each limit within the last window, and the one before.
	parts []part
	// began is when the process did.
	began  clock.Millis
	ticked clock.Millis
	// fresh says that all nodes started with this process: it has what fleets have when they start.
	fresh   bool
	sharers *assign.Sharers
	meeting meeting
	// dealt is the node's share, of which it may use a part.
	dealt float64
}

// New returns a table of a node that has just started: it has no part of any limit yet.
func New(c clock.Clock, b Bounds) *Table {
	now := c.Now()
	return &Table{clock: c, bounds: b, accounts: map[ident.Workspace]*account{}, parts: []part{{at: now}}, began: now, ticked: now, sharers: assign.NewSharers()}
}

// Tick says that the process runs, and what its part of each limit is by its view of the others. It returns the part,
// and whether it has changed.
func (t *Table) Tick(v View) (share float64, changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	t.wake(now)
	held := t.part()
	t.dealt = v.settled(t.sharers, now).Share(t.dealt)
	share = t.dealt * t.meeting.part(v, now)
	switch fresh := v.Fresh && len(t.parts) == 1 && t.parts[0].at == t.began && now-t.ticked <= stalled; {
	case fresh:
		t.parts, t.fresh = append(t.parts[:0], part{at: t.began, share: share}), true
	case share != held:
		t.move(now, share)
	}
	t.ticked = now
	return share, share != held
}

// wake takes the part back that a process had while it stood still: others may have used it. What is asked of the table
// comes here first, since a process that wakes reads requests before it looks at the time.
func (t *Table) wake(now clock.Millis) {
	if now-t.ticked <= stalled || t.part() == 0 {
		return
	}
	t.move(t.ticked, 0)
	t.dealt = 0
	t.dropLoans()
}

// move notes another part, and drops those that no longer count.
func (t *Table) move(at clock.Millis, share float64) {
	n := 0
	for n+1 < len(t.parts) && t.parts[n+1].at < at-t.bounds.Window-lentFor {
		n++
	}
	t.parts = append(slices.Delete(t.parts, 0, n), part{at: at, share: share})
}

// dropLoans forgets what was borrowed.
func (t *Table) dropLoans() {
	for _, a := range t.accounts {
		a.loans = nil
	}
}

// part is what the node has of each limit now.
func (t *Table) part() float64 {
	return t.parts[len(t.parts)-1].share
}

// Share returns the node's part of each limit.
func (t *Table) Share() float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.part()
}

func (t *Table) grant(r Rate) grant {
	return t.bounds.grant(r, t.parts, t.fresh)
}

// account returns the workspace's account, and what it is given now.
func (t *Table) account(w ident.Workspace, r Rate, now clock.Millis) (*account, grant) {
	t.wake(now)
	g := t.grant(r)
	a := t.accounts[w]
	switch {
	case a == nil:
		if len(t.accounts) >= maxAccounts {
			t.forget(now)
		}
		a = &account{rate: r, usualAt: now, pause: askPause}
		t.accounts[w] = a
	case a.rate != r:
		a.ledger.begin(g, max(a.ledger.level(t.grant(a.rate), now), 0), now)
		a.rate = r
	}
	a.lastAt = now
	return a, g
}

// forget drops accounts that were not used for long, or for a window at least if that is not enough: they are full, and
// one opened anew is too. All go if none is.
func (t *Table) forget(now clock.Millis) {
	for _, idle := range []clock.Millis{idleFor, t.bounds.Window + lentFor} {
		maps.DeleteFunc(t.accounts, func(_ ident.Workspace, a *account) bool { return now-a.lastAt > idle })
		if len(t.accounts) < maxAccounts {
			return
		}
	}
	clear(t.accounts)
	t.parts, t.fresh = []part{{at: now, share: t.part()}}, false
}

// A Question struct is what to ask other nodes for.
type Question struct {
	Workspace ident.Workspace
	Amount    float64
	Seq       uint64
}

// Take admits one request if the node has a part of the limit left for it. It may say what to ask others for, also
// when the request is admitted: before the node runs out.
func (t *Table) Take(w ident.Workspace, r Rate) (admitted bool, q *Question) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	a, g := t.account(w, r, now)
	a.came(now)
	held := a.held(g, now)
	if admitted = a.takeOne(g, held, now); admitted {
		a.used++
		held--
	}
	return admitted, t.question(w, a, admitted, held, now)
}

// Again admits a request that was not admitted before, if there is something for it by now.
func (t *Table) Again(w ident.Workspace, r Rate) (admitted bool, q *Question) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	a, g := t.account(w, r, now)
	held := a.held(g, now)
	if admitted = a.takeOne(g, held, now); admitted {
		a.used++
		return true, nil
	}
	return false, t.question(w, a, false, held, now)
}

// Refused counts a request that was not admitted, and returns when the node will have a part for one, and for those
// that were refused before it.
func (t *Table) Refused(w ident.Workspace, r Rate) clock.Millis {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	a, g := t.account(w, r, now)
	a.refused++
	return a.ledger.after(g, now)
}

// Return gives back what was taken at that time for a request that did not run.
func (t *Table) Return(w ident.Workspace, at clock.Millis) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if a := t.accounts[w]; a != nil && a.used > 0 {
		a.used--
		a.ledger.giveBack(at)
	}
}

// question says what to ask others for, if the node lacks what a request needs or runs short of its usual work, and may
// ask now.
func (t *Table) question(w ident.Workspace, a *account, admitted bool, held float64, now clock.Millis) *Question {
	want := 1 + a.soon(askFor)
	if admitted && held >= want/2 || now < a.askAt {
		return nil
	}
	a.seq++
	a.lenders = nil
	a.asked, a.askAt = now, now+a.pause
	a.pause = min(2*a.pause, askPauseMost)
	return &Question{Workspace: w, Amount: want * askShare, Seq: a.seq}
}

// Asking says whether an answer to the last question may still come and be used.
func (t *Table) Asking(w ident.Workspace, within clock.Millis) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	a := t.accounts[w]
	return a != nil && a.seq > 0 && t.clock.Now()-a.asked < within
}

// Lend hands over up to so much to another node, and keeps what this one is about to need.
func (t *Table) Lend(w ident.Workspace, r Rate, amount float64) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	a, g := t.account(w, r, now)
	a.learn(now)
	given := min(amount, a.ledger.level(g, now)-a.keep())
	if !(given > smallest) {
		return 0
	}
	a.ledger.take(g, given, now+lentFor)
	return given
}

// Borrowed takes in what another node handed over for a question, once.
func (t *Table) Borrowed(w ident.Workspace, from ident.Node, amount float64, seq uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	a := t.accounts[w]
	now := t.clock.Now()
	if a == nil || seq != a.seq || now-a.asked >= lentFor || !(amount > 0) || slices.Contains(a.lenders, from) {
		return // whoever lent it has less, and nobody has more
	}
	a.lenders = append(a.lenders, from)
	if rest := a.ledger.gain(t.grant(a.rate), amount, now); rest > 0 {
		a.lapse(now)
		a.loans = append(a.loans, loan{amount: rest, until: a.asked + lentFor})
	}
	a.pause, a.askAt = askPause, a.asked+askPause
}

// A Use struct is what a workspace made of its limit on this node.
type Use struct {
	Workspace     ident.Workspace
	Rate          Rate
	Used, Refused uint64
	// Held is what the node may still admit now.
	Held float64
}

// Uses returns what the workspaces made of their limits, the ones with the most requests first.
func (t *Table) Uses() []Use {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	list := make([]Use, 0, len(t.accounts))
	for w, a := range t.accounts {
		list = append(list, Use{Workspace: w, Rate: a.rate, Used: a.used, Refused: a.refused, Held: a.held(t.grant(a.rate), now)})
	}
	slices.SortFunc(list, func(a, b Use) int {
		return cmp.Or(cmp.Compare(b.Used+b.Refused, a.Used+a.Refused), cmp.Compare(a.Workspace, b.Workspace))
	})
	return list
}
