package node

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/tinladder/tinladder/access"
	"github.com/tinladder/tinladder/clock"
	"github.com/tinladder/tinladder/ident"
	"github.com/tinladder/tinladder/limit"
	tlv1 "github.com/tinladder/tinladder/schema/tinladder/v1"
)

const (
	// loanTimeout is how long a request waits for what this node asks others for: a way between halls and back,
	// several times.
	loanTimeout clock.Millis = 25
	// startupLoanTimeout is the same on a process that has just started.
	startupLoanTimeout clock.Millis = 300
	// maxRemoteLenders is how many nodes of other halls are asked beside those of this one.
	maxRemoteLenders = 6
	// startupPeriod is for how long a process that has started takes others for unknown to it, and aloneFor for how long
	// one that should meet others and has not takes itself for cut off.
	startupPeriod   = 2 * clock.Second
	isolationPeriod = 1 * clock.Minute
	// settledPeriod is for how long no other node must have become known for all to be.
	settledPeriod clock.Millis = 350
	// coldStartWindow is how far apart processes may have started, by their VMs' clocks, to have started at once; freshOld
	// is the share of others that may be older.
	coldStartWindow   = 3 * clock.Second
	coldStartOldShare = 0.05
)

// quotas holds workspaces to their limits over the fleet: it moves what nodes lend each other.
type quotas struct {
	node     *Node
	table    *limit.Table
	peakLive peak
	// reachedAllSeeds says that this process has heard all of the nodes that its settings name at the same time.
	reachedAllSeeds atomic.Bool
	// hasEnoughPeers says that this node heard enough others to know its part when last looked.
	hasEnoughPeers atomic.Bool

	mu sync.Mutex
	// live is how many nodes were heard when last looked, and liveAt since when it has been so many.
	live          int
	liveChangedAt clock.Millis
	// loanArrived is closed when something was lent to this node.
	loanArrived chan struct{}
}

func newQuotas(n *Node) *quotas {
	w := n.settings().Workspaces
	b := limit.Bounds{Window: w.Window.Millis(), Overshoot: w.Overshoot, Slack: w.Slack}
	return &quotas{node: n, table: limit.New(n.clock, b), peakLive: peak{keep: limitKnownFor}, loanArrived: make(chan struct{})}
}

// tick follows who shares the limits.
func (q *quotas) tick() {
	v := q.view()
	q.hasEnoughPeers.Store(v.HasEnoughPeers())
	if share, changed := q.table.Tick(v); changed {
		q.node.log.WithFields(logrus.Fields{
			"event": "limit_share", "share": fmt.Sprintf("%.4f", share), "carriers": v.SharerCount, "carries": v.IsSharer,
			"live": v.Live, "known": v.PeakLive, "alone": v.Isolated, "young": v.JustStarted,
		}).Info()
	}
}

// view is what this node sees of those that share limits.
func (q *quotas) view() limit.View {
	n := q.node
	now := n.clock.Now()
	live := len(n.members.Live()) + 1
	sharing := n.carriers.sharers()
	q.observeLive(live, now)
	started := now-n.duty.since < startupPeriod
	named, met := q.seedsReached()
	v := limit.View{
		Seeds: named, SeedsReached: met,
		Sharers: nodeNames(sharing), IsSharer: n.isAmong(sharing),
		SharerCount: len(sharing), Live: live, PeakLive: q.peakLive.see(live, now),
		Isolated: n.peers.lonely() && now-n.duty.since < isolationPeriod, JustStarted: q.justStarted(), ColdStart: started && q.isColdStart(),
	}
	if v.ReachedAllSeeds() {
		q.reachedAllSeeds.Store(true)
	}
	return v
}

// seedsReached returns how many nodes the settings name, and how many of them are heard, while the process has not met all of
// them at once yet. After a while those are taken for gone.
func (q *quotas) seedsReached() (named, met int) {
	n := q.node
	seeds := slices.Compact(slices.Sorted(slices.Values(n.settings().Fleet.Seeds)))
	if q.reachedAllSeeds.Load() || n.clock.Now()-n.duty.since >= isolationPeriod {
		return 0, 0
	}
	heard := map[string]bool{n.settings().Node.PeersAddress(): true}
	for _, m := range n.members.Live() {
		heard[m.GetGossipAddress()] = true
		heard[m.GetPeerAddress()] = true
	}
	for _, a := range seeds {
		if heard[a] {
			met++
		}
	}
	return len(seeds), met
}

// isColdStart says whether nearly all nodes that are known have started when this one did.
func (q *quotas) isColdStart() bool {
	n := q.node
	old := 0
	live := n.members.Live()
	for _, m := range live {
		if apart := int64(m.GetIncarnation()) - int64(n.self.Incarnation); max(apart, -apart) > int64(coldStartWindow) {
			old++
		}
	}
	return float64(old) <= coldStartOldShare*float64(len(live))
}

// admit says whether the workspace may make a request now. If not it says when to come back, and whether this node
// knows that the limit is reached: one that hears too few others has no part of it.
func (q *quotas) admit(ctx context.Context, w *access.Workspace) (admitted bool, wait clock.Millis, reached bool) {
	if !w.Rate.Bounded() {
		return true, 0, false
	}
	admitted, question := q.table.Take(w.Name, w.Rate)
	if question != nil {
		q.requestLoan(question)
	}
	if admitted || q.waitForLoan(ctx, w) {
		return true, 0, false
	}
	return false, q.table.Refuse(w.Name, w.Rate), q.hasEnoughPeers.Load()
}

// waitForLoan waits for what other nodes were asked for, if they were just now. On a process that has just started it
// waits longer: the others become known one after the other.
func (q *quotas) waitForLoan(ctx context.Context, w *access.Workspace) bool {
	wait := loanTimeout
	if q.justStarted() {
		wait = startupLoanTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, wait.Duration())
	defer cancel()
	for ctx.Err() == nil {
		came := q.loanArrival()
		admitted, question := q.table.Retry(w.Name, w.Rate)
		switch {
		case admitted:
			return true
		case question != nil:
			q.requestLoan(question)
		case !q.justStarted() && !q.table.LoanPending(w.Name, loanTimeout):
			return false
		}
		select {
		case <-came:
		case <-ctx.Done():
		case <-time.After(loanTimeout.Duration()):
		}
	}
	admitted, _ := q.table.Retry(w.Name, w.Rate)
	return admitted
}

// justStarted says whether this process has just started, and may not know yet who else there is: others become known one
// after the other, and then no more.
func (q *quotas) justStarted() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.node.clock.Now()
	return now-q.node.duty.since < startupPeriod && now-q.liveChangedAt < settledPeriod
}

// observeLive notes how many nodes are heard.
func (q *quotas) observeLive(live int, now clock.Millis) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if live != q.live {
		q.live, q.liveChangedAt = live, now
	}
}

// loanArrival returns what is closed when something is lent.
func (q *quotas) loanArrival() <-chan struct{} {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.loanArrived
}

// requestLoan asks those of this hall that share the limit, and some of the other halls by chance.
func (q *quotas) requestLoan(x *limit.LoanRequest) {
	n := q.node
	var near, far []string
	for _, m := range n.carriers.sharers() {
		switch {
		case m.GetNode() == string(n.self.Node):
		case hallOf(m) == n.hall():
			near = append(near, m.GetGossipAddress())
		default:
			far = append(far, m.GetGossipAddress())
		}
	}
	rand.Shuffle(len(far), func(i, j int) { far[i], far[j] = far[j], far[i] })
	n.wire.send(&tlv1.Parcel{Body: &tlv1.Parcel_Borrow{Borrow: &tlv1.Borrow{
		Node: string(n.self.Node), Address: n.settings().Node.PeersAddress(), Workspace: string(x.Workspace), Amount: x.Amount, Seq: x.Seq,
	}}}, append(near, far[:min(maxRemoteLenders, len(far))]...)...)
}

// lend hands over a part of what this node may admit, if it can spare any.
func (q *quotas) lend(b *tlv1.Borrow) {
	t := q.node.records.table.Load()
	if t == nil || t.Access == nil || b.GetNode() == string(q.node.self.Node) {
		return
	}
	w := t.Access.Workspaces()[ident.Workspace(b.GetWorkspace())]
	if w == nil || !w.Rate.Bounded() {
		return
	}
	amount := q.table.Lend(w.Name, w.Rate, b.GetAmount())
	if amount == 0 {
		return
	}
	q.node.wire.send(&tlv1.Parcel{Body: &tlv1.Parcel_Lend{Lend: &tlv1.Lend{
		Node: string(q.node.self.Node), Workspace: string(w.Name), Amount: amount, Seq: b.GetSeq(),
	}}}, b.GetAddress())
}

// addLoan takes in what another node hands over.
func (q *quotas) addLoan(x *tlv1.Lend) {
	q.table.AddLoan(ident.Workspace(x.GetWorkspace()), ident.Node(x.GetNode()), x.GetAmount(), x.GetSeq())
	q.mu.Lock()
	defer q.mu.Unlock()
	close(q.loanArrived)
	q.loanArrived = make(chan struct{})
}

// A limitTicket gives back what was taken for a request that did not run.
type limitTicket struct {
	noTicket
	table     *limit.Table
	workspace ident.Workspace
	// at is when it was taken.
	at clock.Millis
}

// Void implements ticket.
func (t limitTicket) Void() {
	t.table.Refund(t.workspace, t.at)
}
