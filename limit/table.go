package limit

import (
	"cmp"
	"maps"
	"slices"
	"sync"

	"github.com/tinladder/tinladder/clock"
	"github.com/tinladder/tinladder/ident"
)

const (
	// askPause is the least time between two questions for a workspace, and askPauseMost the time after several that
	// brought nothing: what cannot be had is not asked for as often as requests come.
	askPause     clock.Millis = 40
	askPauseMost clock.Millis = 640
	// askFor is for how much of the usual work is borrowed at once.
	askFor clock.Millis = 400
	// askShare is the part of that which each of those that are asked is asked for: some have nothing to spare.
	askShare = 0.5
	// stalled is how long a process that runs is never without a look at the time: after more it stood still, and
	// others may have been given its part.
	stalled clock.Millis = 700
	// maxAccounts bounds the workspaces that are kept; those unused for idleFor are forgotten.
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
	share    float64
	// began is when the process did, and since from when the accounts that were not opened yet have been filling.
	began  clock.Millis
	since  clock.Millis
	ticked clock.Millis
	// fresh says that all nodes started with this process, and that it had a part ever since: it has what fleets have
	// when they start.
	fresh bool
}

// New returns a table of a node that has just started: it has no part of any limit yet.
func New(c clock.Clock, b Bounds) *Table {
	now := c.Now()
	return &Table{clock: c, bounds: b, accounts: map[ident.Workspace]*account{}, began: now, since: now, ticked: now}
}

// Tick says that the process runs, and what its part of each limit is by its view of the others. It returns the part,
// and whether it has changed.
func (t *Table) Tick(v View) (share float64, changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	share = v.Share(t.share)
	fresh := v.Fresh && t.since == t.began && now-t.ticked <= stalled
	if now-t.ticked > stalled || t.share == 0 && share > 0 && !fresh {
		t.beginAnew(now)
	}
	t.ticked, t.fresh = now, t.fresh || fresh
	if share == t.share {
		return share, false
	}
	gained := share - t.share
	for _, a := range t.accounts {
		t.fill(a, now) // at the old share up to now
		if fresh {
			a.level = max(a.level+gained*(t.bounds.start(a.rate)+t.bounds.perMilli(a.rate)*float64(now-t.began)), 0)
		}
	}
	t.share = share
	for _, a := range t.accounts {
		t.fill(a, now) // no more than the new one allows
	}
	return share, true
}

// beginAnew forgets what was saved before: while this process stood still or had no part, others used it.
func (t *Table) beginAnew(now clock.Millis) {
	t.since, t.fresh = now, false
	for _, a := range t.accounts {
		a.level, a.at, a.loans = 0, now, nil
	}
}

// Share returns the node's part of each limit.
func (t *Table) Share() float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.share
}

func (t *Table) fill(a *account, now clock.Millis) {
	a.fill(t.bounds.perMilli(a.rate)*t.share, t.bounds.most(a.rate)*t.share, now)
}

// account returns the workspace's account, filled up to now. One that was not open has been filling since the node
// got its part.
func (t *Table) account(w ident.Workspace, r Rate, now clock.Millis) *account {
	a := t.accounts[w]
	if a == nil {
		if len(t.accounts) >= maxAccounts {
			t.forget(now)
		}
		a = &account{rate: r, at: t.since, usualAt: now, pause: askPause}
		if t.fresh {
			a.level = t.bounds.start(r) * t.share
		}
		t.accounts[w] = a
	}
	t.fill(a, now)
	a.rate = r
	t.fill(a, now)
	return a
}

// forget drops accounts that were not used for long: they are full, and one opened anew is too. All go if none is.
func (t *Table) forget(now clock.Millis) {
	maps.DeleteFunc(t.accounts, func(_ ident.Workspace, a *account) bool { return now-a.usualAt > idleFor })
	if len(t.accounts) >= maxAccounts {
		clear(t.accounts)
		t.since = now
	}
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
	a := t.account(w, r, now)
	a.came(now)
	if admitted = a.takeOne(); admitted {
		a.used++
	}
	return admitted, t.question(w, a, now)
}

// Again admits a request that was not admitted before, if there is something for it by now.
func (t *Table) Again(w ident.Workspace, r Rate) (admitted bool, q *Question) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	a := t.account(w, r, now)
	if admitted = a.takeOne(); admitted {
		a.used++
		return true, nil
	}
	return false, t.question(w, a, now)
}

// Refused counts a request that was not admitted, and returns when the node will have a part for one, and for those
// that were refused before it.
func (t *Table) Refused(w ident.Workspace, r Rate) clock.Millis {
	t.mu.Lock()
	defer t.mu.Unlock()
	a := t.account(w, r, t.clock.Now())
	a.refused++
	perMilli := t.bounds.perMilli(r) * t.share
	if perMilli <= 0 {
		return 0
	}
	return clock.Millis((1 - a.held()) / perMilli)
}

// Return gives back what was taken for a request that did not run.
func (t *Table) Return(w ident.Workspace) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if a := t.accounts[w]; a != nil && a.used > 0 {
		a.used--
		a.level = min(a.level+1, t.bounds.most(a.rate)*t.share)
	}
}

// question says what to ask others for, if the node runs short of its usual work and may ask now.
func (t *Table) question(w ident.Workspace, a *account, now clock.Millis) *Question {
	want := 1 + a.soon(askFor)
	if a.held() >= want/2 || now < a.askAt {
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
	a := t.account(w, r, now)
	a.learn(now)
	given := min(amount, a.level-a.soon(keepFor))
	if !(given > smallest) {
		return 0
	}
	a.level -= given
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
	t.fill(a, now)
	room := max(t.bounds.most(a.rate)*t.share-a.level, 0)
	a.level += min(room, amount)
	if amount > room {
		a.loans = append(a.loans, loan{amount: amount - room, until: a.asked + lentFor})
	}
	a.pause, a.askAt = askPause, a.asked+askPause
}

// A Use struct is what a workspace made of its limit on this node.
type Use struct {
	Workspace     ident.Workspace
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
		t.fill(a, now)
		list = append(list, Use{Workspace: w, Used: a.used, Refused: a.refused, Held: a.held()})
	}
	slices.SortFunc(list, func(a, b Use) int {
		return cmp.Or(cmp.Compare(b.Used+b.Refused, a.Used+a.Refused), cmp.Compare(a.Workspace, b.Workspace))
	})
	return list
}
