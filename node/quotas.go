package node

import (
	"context"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/tinladder/tinladder/access"
	"github.com/tinladder/tinladder/clock"
	"github.com/tinladder/tinladder/desired"
	"github.com/tinladder/tinladder/ident"
	"github.com/tinladder/tinladder/limit"
	tlv1 "github.com/tinladder/tinladder/schema/tinladder/v1"
)

const (
	// loanTimeout is how long a request waits for a loan from other nodes: several round trips between halls.
	loanTimeout clock.Millis = 25
	// startupLoanTimeout is the same on a process that has just started. It is about the pause after which a refused
	// caller would be back.
	startupLoanTimeout = 1 * clock.Second
	// maxRemoteLenders is how many nodes of other halls are asked for a loan, besides all sharers of this hall.
	maxRemoteLenders = 6
	// missingSeedsPeriod is how long after its start a process that is in contact with others, and cannot read the contacts,
	// considers the seeds that are missing gone.
	missingSeedsPeriod = 1 * clock.Minute
	// coldStartWindow is the maximum difference between the start times of processes that started together, by the clocks of
	// their VMs. coldStartOldShare is the share of nodes that may have started earlier.
	coldStartWindow   = 3 * clock.Second
	coldStartOldShare = 0.05
)

// quotas enforces workspace limits across the fleet: nodes lend each other shares of a limit.
type quotas struct {
	node     *Node
	table    *limit.Table
	peakLive recentMax
	// reachedAllSeeds is set once this process has been in contact with all configured seeds at the same time.
	reachedAllSeeds atomic.Bool
	// hasEnoughPeers reports whether this node was in contact with enough others to know its share, as of the last tick.
	hasEnoughPeers atomic.Bool

	mu      sync.Mutex
	startup *limit.Startup
	// loanArrived is closed and replaced when a loan arrives.
	loanArrived chan struct{}
}

func newQuotas(n *Node) *quotas {
	w := n.settings().Workspaces
	b := limit.Bounds{Window: w.Window.Millis(), Overshoot: w.Overshoot, Slack: w.Slack}
	return &quotas{node: n, table: limit.New(n.clock, b), peakLive: recentMax{window: limitPeakNodesWindow}, startup: limit.NewStartup(n.clock.Now()), loanArrived: make(chan struct{})}
}

// tick follows changes of the nodes that share the limits.
func (q *quotas) tick() {
	v := q.view()
	q.hasEnoughPeers.Store(v.HasEnoughPeers())
	if share, changed := q.table.Tick(v); changed {
		q.node.log.WithFields(logrus.Fields{
			"event": "limit_share", "share": fmt.Sprintf("%.4f", share), "carriers": v.SharerCount, "carries": v.IsSharer,
			"live": v.Live, "known": v.PeakLive, "alone": v.Isolated, "young": v.JustStarted,
		}).Info()
	}
	for _, c := range q.table.OrderChanges() {
		q.node.log.WithFields(logrus.Fields{"event": "limit_order", "workspace": c.Workspace, "active": c.Active}).Info()
	}
}

// view returns this node's view of the nodes that share the limits.
func (q *quotas) view() limit.View {
	n := q.node
	now := n.clock.Now()
	live := len(n.members.Live()) + 1
	sharing := n.carriers.sharers()
	started := now-n.duty.startedAt < limit.ColdStartPeriod
	seeds, reached := q.seedsReached()
	v := limit.View{
		Seeds: seeds, SeedsReached: reached,
		Sharers: nodeNames(sharing), IsSharer: n.isAmong(sharing),
		SharerCount: len(sharing), Live: live, PeakLive: q.peakLive.observe(live, now),
		Isolated: q.isIsolated(), ColdStart: started && q.isColdStart(),
	}
	if v.ReachedAllSeeds() {
		q.reachedAllSeeds.Store(true)
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.startup.Observe(v, now)
}

// isIsolated reports whether this process has never been in contact with another one, though there should be some, and has
// not read the contacts. However long that lasts, the others may use what it does not know of.
func (q *quotas) isIsolated() bool {
	_, _, read := q.node.contacts.list.Reached(nil)
	return q.node.peers.isAlone() && !read
}

// reachesMostSeeds reports whether this node is in contact with most of its seeds or contacts.
func (q *quotas) reachesMostSeeds() bool {
	seeds, reached := q.seedsReached()
	return !q.isIsolated() && limit.View{Seeds: seeds, SeedsReached: reached}.ReachedMostSeeds()
}

// seedsReached returns the number of configured seeds and how many of them are in contact. Once the contacts have been read,
// these take the place of the seeds, which may be stale. It returns 0, 0 once all have been reached at the same time, and if
// the contacts cannot be read after missingSeedsPeriod.
func (q *quotas) seedsReached() (configured, reached int) {
	n := q.node
	if q.reachedAllSeeds.Load() {
		return 0, 0
	}
	live := n.members.Live()
	if named, reached, read := n.contacts.list.Reached(live); read {
		return named, reached
	}
	if n.clock.Now()-n.duty.startedAt >= missingSeedsPeriod {
		return 0, 0
	}
	seeds := slices.Compact(slices.Sorted(slices.Values(n.settings().Fleet.Seeds)))
	heard := map[string]bool{n.settings().Node.PeersAddress(): true}
	for _, m := range live {
		heard[m.GetGossipAddress()] = true
		heard[m.GetPeerAddress()] = true
	}
	for _, a := range seeds {
		if heard[a] {
			reached++
		}
	}
	return len(seeds), reached
}

// isColdStart reports whether nearly all known nodes started together with this one.
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

// A limitRefusal is why a workspace may not make a request now.
type limitRefusal struct {
	wait clock.Millis
	// reached reports that the limit is known to be reached: a node that is in contact with too few others has no share
	// of it. byOrder reports that what is left of it is for more urgent requests.
	reached, byOrder bool
}

// admit returns nil if the workspace may make a request of the route now. A request waits for quota for a part of its
// timeout at the most.
func (q *quotas) admit(r *http.Request, w *access.Workspace, route *desired.Route) *limitRefusal {
	if !w.Rate.Bounded() {
		return nil
	}
	inOrder := q.node.settings().Balance.LimitOrder
	take, retry := q.table.Take, q.table.Retry
	if inOrder {
		x := limit.OrderedRequest{Priority: route.Priority, Caller: callerHash(r)}
		take = func(name ident.Workspace, rate limit.Rate) (bool, *limit.LoanRequest) {
			return q.table.TakeInOrder(name, rate, x)
		}
		retry = func(name ident.Workspace, rate limit.Rate) (bool, *limit.LoanRequest) {
			return q.table.RetryInOrder(name, rate, x)
		}
	}
	admitted, question := take(w.Name, w.Rate)
	if question != nil {
		q.requestLoan(question)
	}
	if admitted || q.waitForLoan(r.Context(), w, route.Timeout/limitPatience, retry) {
		return nil
	}
	refusal := &limitRefusal{reached: q.hasEnoughPeers.Load()}
	if inOrder {
		refusal.wait, refusal.byOrder = q.table.RefuseInOrder(w.Name, w.Rate)
	} else {
		refusal.wait = q.table.Refuse(w.Name, w.Rate)
	}
	return refusal
}

// callerHash returns a hash of the caller's address without its port.
func callerHash(r *http.Request) uint64 {
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		host = r.RemoteAddr
	}
	h := fnv.New64a()
	_, _ = h.Write([]byte(host))
	return h.Sum64()
}

// waitForLoan waits for a loan that was requested just now. A process that has just started waits longer, since it discovers
// the other nodes one by one.
func (q *quotas) waitForLoan(ctx context.Context, w *access.Workspace, patience clock.Millis, retry func(ident.Workspace, limit.Rate) (bool, *limit.LoanRequest)) bool {
	wait := loanTimeout
	if q.isStarting() {
		wait = max(loanTimeout, min(startupLoanTimeout, patience))
	}
	ctx, cancel := context.WithTimeout(ctx, wait.Duration())
	defer cancel()
	for ctx.Err() == nil {
		came := q.loanArrival()
		admitted, question := retry(w.Name, w.Rate)
		switch {
		case admitted:
			return true
		case question != nil:
			q.requestLoan(question)
		case !q.isStarting() && !q.table.LoanPending(w.Name, loanTimeout):
			return false
		}
		select {
		case <-came:
		case <-ctx.Done():
		case <-time.After(loanTimeout.Duration()):
		}
	}
	admitted, _ := retry(w.Name, w.Rate)
	return admitted
}

// isStarting reports whether this process started recently and may not know all nodes yet.
func (q *quotas) isStarting() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.startup.IsStarting(q.node.clock.Now())
}

// loanArrival returns a channel that is closed when the next loan arrives.
func (q *quotas) loanArrival() <-chan struct{} {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.loanArrived
}

// requestLoan asks all sharers of this hall and some random ones of other halls.
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
		Priority: x.Priority, Ordered: x.Ordered,
	}}}, append(near, far[:min(maxRemoteLenders, len(far))]...)...)
}

// lend gives a share of what this node may admit to the requesting node, if it can spare any.
func (q *quotas) lend(b *tlv1.Borrow) {
	t := q.node.records.table.Load()
	if t == nil || t.Access == nil || b.GetNode() == string(q.node.self.Node) {
		return
	}
	w := t.Access.Workspaces()[ident.Workspace(b.GetWorkspace())]
	if w == nil || !w.Rate.Bounded() {
		return
	}
	var amount float64
	if b.GetOrdered() && q.node.settings().Balance.LimitOrder {
		amount = q.table.LendInOrder(w.Name, w.Rate, b.GetAmount(), b.GetPriority())
	} else {
		amount = q.table.Lend(w.Name, w.Rate, b.GetAmount())
	}
	if amount == 0 {
		return
	}
	q.node.wire.send(&tlv1.Parcel{Body: &tlv1.Parcel_Lend{Lend: &tlv1.Lend{
		Node: string(q.node.self.Node), Workspace: string(w.Name), Amount: amount, Seq: b.GetSeq(),
	}}}, b.GetAddress())
}

// addLoan takes in a loan from another node.
func (q *quotas) addLoan(x *tlv1.Lend) {
	q.table.AddLoan(ident.Workspace(x.GetWorkspace()), ident.Node(x.GetNode()), x.GetAmount(), x.GetSeq())
	q.mu.Lock()
	defer q.mu.Unlock()
	close(q.loanArrived)
	q.loanArrived = make(chan struct{})
}

// A limitTicket refunds the limit for a request that did not run.
type limitTicket struct {
	noTicket
	table     *limit.Table
	workspace ident.Workspace
	// at is when the limit was charged.
	at clock.Millis
}

// Void implements ticket.
func (t limitTicket) Void() {
	t.table.Refund(t.workspace, t.at)
}
