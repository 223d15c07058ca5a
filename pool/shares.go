package pool

import (
	"math"

	"github.com/tinladder/tinladder/clock"
	"github.com/tinladder/tinladder/ident"
	"github.com/tinladder/tinladder/pool/fair"
	tlv1 "github.com/tinladder/tinladder/schema/tinladder/v1"
)

const (
	// leaveTime is how long a free slot is left to the waiters of other nodes: three intervals of reports within a hall. Then
	// it is used in spite of them.
	leaveTime clock.Millis = 60
	// reportInterval is the time between a node's reports within a hall; maxUntold bounds the share of the requests known to
	// be in flight that have ended meanwhile.
	reportInterval clock.Millis = 20
	maxUntold                   = 0.25
	// reviewInterval is how often the queue is searched for requests that cannot be served in time any more.
	reviewInterval clock.Millis = 20
	// holdReportInterval is the least time between two events on workspaces held to their shares.
	holdReportInterval = clock.Second
	// releaseAfter is how long a workspace must not have been held to count as released.
	releaseAfter = clock.Second
	// entryMargin is how much longer than estimated the wait for a workspace's share is taken to be when a request is
	// queued: shares move with the others' demand, and a request refused later has waited for nothing.
	entryMargin = 1.2
	// maxTracked bounds the workspaces whose holds are tracked.
	maxTracked = 64
)

// shares holds a service's workspaces to their shares of its room while requests wait (docs/design/21-fair-shares.md).
type shares struct {
	book  *fair.Book
	queue *fair.Queue[*waiter]
	// leftSince is since when a free slot is left to waiters of other nodes; 0 if none is.
	leftSince, drawnAt clock.Millis
	reviewedAt         clock.Millis
	// heldAt is when a workspace was last held, reported whether an event told so.
	heldAt     map[ident.Workspace]clock.Millis
	reported   map[ident.Workspace]bool
	reportedAt clock.Millis
	refused    uint64
	// work is the running mean of how long targets work on requests, in milliseconds.
	work float64
	// nearTold and farTold say that this hall's nodes, and those of all halls, were last told of waiters.
	nearTold, farTold bool
}

// newShares returns the shares of the pool's room.
func newShares(p *Pool) *shares {
	b := fair.New(p.room, p.rand.Float64, p.tuning.PeerTTL)
	return &shares{book: b, queue: fair.NewQueue[*waiter](b), work: p.serviceTime, heldAt: map[ident.Workspace]clock.Millis{}, reported: map[ident.Workspace]bool{}}
}

// room returns how many requests may be known to be in flight: as many as the usable targets have slots, each counted as far
// as it is likely to be healthy, and those of two intervals between reports: of ended ones that are not told yet, and of ones
// that began at the same slot as another node's.
func (p *Pool) room() float64 {
	now := p.clock.Now()
	slots := 0.0
	for _, t := range p.order {
		if p.usable(t, now) {
			slots += p.concurrency(t, now) * (1 - t.belief.FailingProb(&p.tuning.Model, now))
		}
	}
	return slots * (1 + min(2*float64(reportInterval)/max(p.shares.work, 1), maxUntold))
}

// Place implements fair.Entry.
func (w *waiter) Place() (priority uint32, space ident.Workspace, work float64) {
	return w.request.Priority, w.request.Workspace, w.work
}

// workOf returns how long a target works on the request, in milliseconds.
func (p *Pool) workOf(a *Request) float64 {
	if a.Work > 0 {
		return float64(a.Work)
	}
	return p.serviceTime
}

// leaseTo returns a lease on the chosen target for the request.
func (p *Pool) leaseTo(a *Request, c choice) *Lease {
	l := p.lease(c, p.clock.Now())
	if p.shares != nil {
		l.workspace = a.Workspace
		p.shares.work += (p.workOf(a) - p.shares.work) / smoothing
		p.shares.book.Begin(a.Workspace)
	}
	return l
}

// endShare counts the lease's slot as given back.
func (p *Pool) endShare(l *Lease) {
	if p.shares != nil {
		p.shares.book.End(l.workspace)
	}
}

// chooseWithin chooses a target as choose does, unless the free slot belongs to a waiter of another node. Targets' own queues
// are not for workspaces beyond their share.
func (p *Pool) chooseWithin(a *Request, mayOvercommit bool) choice {
	s := p.shares
	if s == nil {
		return p.choose(a, mayOvercommit)
	}
	now := p.clock.Now()
	if mayOvercommit && s.book.Beyond(a.Priority, a.Workspace, now) {
		mayOvercommit = false
	}
	if !s.book.Leaves(a.Priority, a.Workspace, now) {
		return p.choose(a, mayOvercommit)
	}
	c := p.choose(a, false)
	if c.target == nil {
		s.leftSince = 0
		return c
	}
	if s.leftSince == 0 {
		s.leftSince = now
	}
	if !p.takesLeft(now) {
		return choice{}
	}
	return c
}

// freeSlots returns how many slots the usable targets are known to have free.
func (p *Pool) freeSlots(now clock.Millis) int {
	n := 0
	for _, t := range p.order {
		if p.usable(t, now) {
			n += max(t.Slots-p.inFlight(t, now), 0)
		}
	}
	return n
}

// takesLeft reports whether a slot that was left to others is to be used here. All nodes that have waiters see the same slot,
// so each draws, for each of the free slots once in leaveTime over the fleet.
func (p *Pool) takesLeft(now clock.Millis) bool {
	s := p.shares
	if now-s.leftSince < leaveTime || now-s.drawnAt < reportInterval {
		return false
	}
	s.drawnAt = now
	return p.rand.Float64()*float64(s.book.WaitingNodes()) < float64(p.freeSlots(now))*float64(reportInterval)/float64(leaveTime)
}

// expectedFairWait estimates the wait in the order that shares make: for a slot behind the waiters that go before, of which
// over requests are at targets beyond their slots already, and for the workspace's own share.
func (p *Pool) expectedFairWait(a *Request, over int, slots float64) clock.Millis {
	now := p.clock.Now()
	left := float64(a.Deadline-now) * slots
	work := p.shares.queue.Ahead(a.Priority, a.Workspace, left) + float64(over+1)*p.serviceTime
	wait := work / slots
	if p.shares.book.Contended(now) {
		waiting := p.shares.book.Holder(a.Priority, a.Workspace, now).Waiting
		wait = max(wait, entryMargin*p.shares.book.Wait(a.Priority, a.Workspace, float64(waiting), now)*p.workOf(a))
	}
	return clock.Millis(wait)
}

// deadlineReason returns why a request is refused that would miss its deadline in the queue.
func (p *Pool) deadlineReason(a *Request) string {
	if p.shares == nil || !p.shares.book.Beyond(a.Priority, a.Workspace, p.clock.Now()) {
		return "the deadline would pass in the queue"
	}
	p.shares.refused++
	return "the workspace is beyond its share, and the deadline would pass in the queue"
}

// reviewShares refuses the waiters of workspaces beyond their share that can no longer be served in time, and notes which
// workspaces are held.
func (p *Pool) reviewShares() (grants []grant) {
	s := p.shares
	now := p.clock.Now()
	if s == nil || now-s.reviewedAt < reviewInterval {
		return nil
	}
	s.reviewedAt = now
	if s.queue.Len() > 0 {
		for _, g := range s.queue.Beyond(now) {
			p.noteHeld(g.Workspace, now)
			grants = append(grants, p.refuseLate(g, now)...)
		}
	}
	p.reportHolds(now)
	return grants
}

// refuseLate refuses the waiters of the group that its workspace's share cannot serve in time.
func (p *Pool) refuseLate(g fair.Group[*waiter], now clock.Millis) (grants []grant) {
	s := p.shares
	waiting := s.book.Holder(g.Priority, g.Workspace, now).Waiting
	perEntry := float64(waiting) / float64(len(g.Entries)) // those that wait at other nodes take their turns
	ahead := 0.0
	for _, w := range g.Entries {
		wait := clock.Millis(s.book.Wait(g.Priority, g.Workspace, ahead, now) * w.work)
		if now+wait+clock.Millis(w.work) <= w.request.Deadline {
			ahead += perEntry
			continue
		}
		p.waiting.remove(w)
		s.refused++
		err := &BusyError{RetryAfter: p.retryAfter(wait, now), Reason: "the workspace is beyond its share, and the deadline would pass in the queue"}
		grants = append(grants, grant{waiter: w, err: err})
	}
	return grants
}

// noteHeld notes that the workspace is held to its share.
func (p *Pool) noteHeld(w ident.Workspace, now clock.Millis) {
	if _, tracked := p.shares.heldAt[w]; tracked || len(p.shares.heldAt) < maxTracked {
		p.shares.heldAt[w] = now
	}
}

// reportHolds adds an event if a workspace has begun to be held to its share, or is no longer.
func (p *Pool) reportHolds(now clock.Millis) {
	s := p.shares
	for w, at := range s.heldAt {
		released := now-at > releaseAfter
		if released && !s.reported[w] {
			delete(s.heldAt, w)
		}
		if released != s.reported[w] || s.reportedAt > 0 && now-s.reportedAt < holdReportInterval {
			continue
		}
		e := Event{Kind: WorkspaceHeld, Workspace: s.book.Holder(math.MaxUint32, w, now)}
		if released {
			e.Kind = WorkspaceReleased
			delete(s.heldAt, w)
			delete(s.reported, w)
		} else {
			s.reported[w] = true
		}
		p.addEvent(e)
		s.reportedAt = now
	}
}

// Holders returns the workspaces that have or want room of the service, the ones with the most first; nil without fair
// shares.
func (p *Pool) Holders() []fair.Holder {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.shares == nil {
		return nil
	}
	return p.shares.book.Holders(p.clock.Now())
}

// claimsDue reports whether the other nodes have to be told of waiters, or that there are none any more, though no target's
// load has changed: a node may have waiters only.
func (p *Pool) claimsDue(nearby bool) bool {
	if p.shares == nil {
		return false
	}
	return p.shares.queue.Len() > 0 || p.shares.nearTold || !nearby && p.shares.farTold
}

// addClaims adds to the report what workspaces have and want here, while requests wait here or elsewhere.
func (p *Pool) addClaims(r *tlv1.Report, nearby bool, now clock.Millis) {
	if p.shares != nil {
		waiting := p.shares.queue.Len() > 0
		p.shares.nearTold, p.shares.farTold = waiting, waiting && !nearby || p.shares.farTold && nearby
	}
	if p.shares == nil || !p.shares.book.Contended(now) {
		return
	}
	named, others := p.shares.book.Claims()
	for _, c := range named {
		r.Heaviest = append(r.Heaviest, &tlv1.Claim{Workspace: string(c.Workspace), InFlight: uint32(c.InFlight), Waiting: uint32(c.Waiting), Rank: c.Rank})
	}
	if others.Members > 0 {
		r.Others = &tlv1.Claim{InFlight: uint32(others.InFlight), Waiting: uint32(others.Waiting), Rank: others.Rank, Workspaces: uint32(others.Members)}
	}
}

// applyClaims takes over what another node reports of workspaces.
func (p *Pool) applyClaims(from ident.Process, r *tlv1.Report, now clock.Millis) {
	if p.shares == nil || len(r.GetHeaviest()) > fair.MaxNamed {
		return
	}
	var named []fair.Claim
	for _, c := range r.GetHeaviest() {
		if len(c.GetWorkspace()) > maxClaimName {
			return
		}
		named = append(named, claimOf(c))
	}
	p.shares.book.Apply(from, r.GetSeq(), named, claimOf(r.GetOthers()), now)
}

// maxClaimName bounds the names of workspaces in reports, in bytes.
const maxClaimName = 256

func claimOf(c *tlv1.Claim) fair.Claim {
	if c == nil {
		return fair.Claim{}
	}
	return fair.Claim{
		Workspace: ident.Workspace(c.GetWorkspace()), InFlight: int(c.GetInFlight()), Waiting: int(c.GetWaiting()), Rank: c.GetRank(),
		Members: int(c.GetWorkspaces()),
	}
}
