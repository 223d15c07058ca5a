package fair

import (
	"cmp"
	"math"
	"slices"

	"github.com/tinladder/tinladder/clock"
	"github.com/tinladder/tinladder/ident"
)

const (
	// MaxNamed is how many workspaces a node names to the others.
	MaxNamed = 4
	// maxAccounts bounds how many workspaces are known from other nodes' claims.
	maxAccounts = 4096
	// minRefresh and maxRefresh are how long shares hold before they are computed anew: longer the more claims there are,
	// claimsPerMilli for each millisecond, so that it takes a small part of a processor; no longer than the interval of
	// reports within a hall.
	minRefresh, maxRefresh clock.Millis = 2, 20
	claimsPerMilli                      = 50
	// maxOver is how many times the room the work in flight that one node claims may be; a claim beyond is not believed.
	maxOver = 2
)

// A Claim is what one workspace, or Members of them together, have in flight and waiting at a node.
type Claim struct {
	Workspace         ident.Workspace
	InFlight, Waiting int
	// Rank is the most urgent priority of the requests that wait.
	Rank    uint32
	Members int
}

// An account is what is known of one workspace.
type account struct {
	workspace ident.Workspace
	weight    float64
	// here and waiting count this node's requests in flight and waiting, told and waitingTold what other nodes claim.
	here, waiting, told, waitingTold int
	// groups and claims are what refers to the account.
	groups, claims int
	// draw is a random number that decides about parts of a slot, drawn at drawnAt.
	draw    float64
	drawnAt clock.Millis
	// wanted and wantedElsewhere are what waits of the priority whose shares are being computed.
	wanted, wantedElsewhere int
}

// load returns the work in flight for the weight.
func (a *account) load() float64 {
	return float64(a.here+a.told) / a.weight
}

// A peer is what another node claims.
type peer struct {
	named  []Claim
	others Claim
	seq    uint64
	at     clock.Millis
}

// waits reports whether the peer claims that requests wait there.
func (p *peer) waits() bool {
	return p.others.Waiting > 0 || slices.ContainsFunc(p.named, func(c Claim) bool { return c.Waiting > 0 })
}

// queue is what a Book needs to know of its Queue.
type queue interface {
	reorder(a *account)
	visitWaiting(priority uint32, visit func(a *account, n int))
	rank(w ident.Workspace) uint32
	Len() int
}

// shares are those of requests of one priority.
type shares struct {
	at clock.Millis
	// level is in slots for a unit of weight.
	level float64
	// unmet is how many slots the waiters of other nodes lack that are within their shares.
	unmet float64
	// room is the number of slots.
	room float64
	// contested says that more than one workspace wants room.
	contested bool
}

// A Book holds what workspaces have of a service's room, here and at the other nodes. Its memory is bounded by what is in
// flight and waiting here and by the other nodes' claims.
type Book struct {
	room     func() float64
	random   func() float64
	ttl      clock.Millis
	accounts map[ident.Workspace]*account
	free     []*account
	peers    map[ident.Process]*peer
	queue    queue
	// slotsThen is the room at slotsAt.
	slotsThen float64
	slotsAt   clock.Millis
	// inFlight is the sum over all workspaces and nodes.
	inFlight int
	// waitingPeers counts the peers that claim waiters.
	waitingPeers int
	expiredAt    clock.Millis
	byPriority   map[uint32]*shares
	demands      []Demand
}

// New returns a book of nothing. room returns the service's slots, random numbers below 1, and claims of other nodes count
// for ttl.
func New(room, random func() float64, ttl clock.Millis) *Book {
	return &Book{
		room: room, random: random, ttl: ttl, accounts: map[ident.Workspace]*account{}, peers: map[ident.Process]*peer{}, byPriority: map[uint32]*shares{},
	}
}

// Begin counts a request of the workspace that has got a slot, End one that has given it back.
func (b *Book) Begin(w ident.Workspace) {
	a := b.open(w)
	a.here++
	b.inFlight++
	b.queue.reorder(a)
}

// End is the opposite of Begin.
func (b *Book) End(w ident.Workspace) {
	a := b.open(w)
	a.here--
	b.inFlight--
	b.queue.reorder(a)
	b.close(a)
}

// open returns the workspace's account.
func (b *Book) open(w ident.Workspace) *account {
	a := b.accounts[w]
	if a != nil {
		return a
	}
	if n := len(b.free); n > 0 {
		a, b.free = b.free[n-1], b.free[:n-1]
	} else {
		a = &account{}
	}
	*a = account{workspace: w, weight: 1}
	b.accounts[w] = a
	return a
}

// maxFree bounds the accounts that are kept for use again.
const maxFree = 64

// close forgets the account if nothing refers to it.
func (b *Book) close(a *account) {
	if a.here != 0 || a.groups != 0 || a.claims != 0 {
		return
	}
	delete(b.accounts, a.workspace)
	if len(b.free) < maxFree {
		b.free = append(b.free, a)
	}
}

// load returns the workspace's work in flight for its weight.
func (b *Book) load(w ident.Workspace) float64 {
	if a := b.accounts[w]; a != nil {
		return a.load()
	}
	return 0
}

// Apply replaces what another node claims. An older claim than the last one, and one that claims more than can be,
// changes nothing.
func (b *Book) Apply(from ident.Process, seq uint64, named []Claim, others Claim, now clock.Millis) {
	if len(b.peers) > 0 {
		b.expire(now)
	}
	old := b.peers[from]
	if old != nil && seq < old.seq && now-old.at <= b.ttl {
		return
	}
	if old == nil && len(named) == 0 && others == (Claim{}) {
		return
	}
	if !b.credible(named, others, now) {
		return
	}
	b.drop(from)
	p := &peer{others: b.bounded(others, now), seq: seq, at: now}
	b.inFlight += others.InFlight
	for _, c := range named {
		if b.accounts[c.Workspace] == nil && len(b.accounts) >= maxAccounts {
			continue
		}
		c = b.bounded(c, now)
		a := b.open(c.Workspace)
		a.claims++
		a.told += c.InFlight
		b.inFlight += c.InFlight
		a.waitingTold += c.Waiting
		b.queue.reorder(a)
		p.named = append(p.named, c)
	}
	b.peers[from] = p
	if p.waits() {
		b.waitingPeers++
	}
}

// slots returns the room, which is asked for at most once in maxRefresh: it is a sum over all targets.
func (b *Book) slots(now clock.Millis) float64 {
	if b.slotsAt == 0 || now-b.slotsAt >= maxRefresh {
		b.slotsAt, b.slotsThen = now, b.room()
	}
	return b.slotsThen
}

// credible reports whether the claims can be true of one node.
func (b *Book) credible(named []Claim, others Claim, now clock.Millis) bool {
	if len(named) > MaxNamed || others.InFlight < 0 || others.Waiting < 0 || others.Members < 0 {
		return false
	}
	sum := others.InFlight
	for _, c := range named {
		if c.InFlight < 0 || c.Waiting < 0 {
			return false
		}
		sum += c.InFlight
	}
	return float64(sum) <= maxOver*max(b.slots(now), 1)
}

// bounded returns the claim with no more waiters than there are slots, as more change no share, and with no workspaces that
// have and want nothing.
func (b *Book) bounded(c Claim, now clock.Millis) Claim {
	c.Waiting = min(c.Waiting, int(math.Ceil(b.slots(now))))
	c.Members = min(c.Members, c.InFlight+c.Waiting)
	return c
}

// drop forgets what a node claims.
func (b *Book) drop(from ident.Process) {
	p := b.peers[from]
	if p == nil {
		return
	}
	for _, c := range p.named {
		a := b.accounts[c.Workspace]
		a.claims--
		a.told -= c.InFlight
		b.inFlight -= c.InFlight
		a.waitingTold -= c.Waiting
		b.queue.reorder(a)
		b.close(a)
	}
	b.inFlight -= p.others.InFlight
	if p.waits() {
		b.waitingPeers--
	}
	delete(b.peers, from)
}

// expire forgets the claims that are too old.
func (b *Book) expire(now clock.Millis) {
	if now-b.expiredAt < maxRefresh {
		return
	}
	b.expiredAt = now
	for from, p := range b.peers {
		if now-p.at > b.ttl {
			b.drop(from)
		}
	}
}

// WaitingElsewhere reports whether another node claims that requests wait there.
func (b *Book) WaitingElsewhere(now clock.Millis) bool {
	if b.waitingPeers == 0 {
		return false
	}
	b.expire(now)
	return b.waitingPeers > 0
}

// WaitingNodes returns how many nodes have waiters, this one included.
func (b *Book) WaitingNodes() int {
	return b.waitingPeers + 1
}

// Claims returns what this node claims: of the workspaces with the most work in flight and waiting each, of the others
// together.
func (b *Book) Claims() (named []Claim, others Claim) {
	others.Rank = math.MaxUint32
	for _, a := range b.accounts {
		if a.here+a.waiting == 0 {
			continue
		}
		c := Claim{Workspace: a.workspace, InFlight: a.here, Waiting: a.waiting, Members: 1}
		i, _ := slices.BinarySearchFunc(named, c, heavierFirst)
		if i < MaxNamed {
			named = slices.Insert(named, i, c)
		} else {
			b.addTo(&others, c)
		}
		if len(named) > MaxNamed {
			b.addTo(&others, named[MaxNamed])
			named = named[:MaxNamed]
		}
	}
	for i := range named {
		named[i].Rank = b.queue.rank(named[i].Workspace)
	}
	if others.Waiting == 0 {
		others.Rank = 0
	}
	return named, others
}

// addTo adds a workspace to the claim for several.
func (b *Book) addTo(others *Claim, c Claim) {
	others.InFlight += c.InFlight
	others.Waiting += c.Waiting
	others.Members++
	if c.Waiting > 0 {
		others.Rank = min(others.Rank, b.queue.rank(c.Workspace))
	}
}

// heavierFirst orders claims by their work, then by name.
func heavierFirst(a, b Claim) int {
	return cmp.Or(cmp.Compare(b.InFlight+b.Waiting, a.InFlight+a.Waiting), cmp.Compare(a.Workspace, b.Workspace))
}

// maxPriorities bounds how many priorities' shares are kept.
const maxPriorities = 16

// shares returns the shares for requests of the priority: what waits with less urgency does not count.
func (b *Book) shares(priority uint32, now clock.Millis) *shares {
	s := b.byPriority[priority]
	if s == nil {
		if len(b.byPriority) >= maxPriorities {
			clear(b.byPriority)
		}
		s = &shares{at: -maxRefresh}
		b.byPriority[priority] = s
	}
	if now-s.at >= b.refresh() {
		s.at = now
		b.compute(s, priority, now)
	}
	return s
}

// refresh returns how long shares hold.
func (b *Book) refresh() clock.Millis {
	n := len(b.accounts) + (MaxNamed+1)*len(b.peers)
	return min(max(clock.Millis(n/claimsPerMilli), minRefresh), maxRefresh)
}

// compute computes the shares for requests of the priority.
func (b *Book) compute(s *shares, priority uint32, now clock.Millis) {
	b.expire(now)
	b.demands = b.demands[:0]
	for _, a := range b.accounts {
		a.wanted, a.wantedElsewhere = 0, 0
	}
	b.queue.visitWaiting(priority, func(a *account, n int) { a.wanted += n })
	for _, p := range b.peers {
		for _, c := range p.named {
			if c.Rank <= priority {
				b.accounts[c.Workspace].wantedElsewhere += c.Waiting
			}
		}
		if n := float64(p.others.Members); n > 0 {
			b.demands = append(b.demands, Demand{Slots: p.others.wanted(priority), Weight: n})
		}
	}
	for _, a := range b.accounts {
		if d := a.here + a.told + a.wanted + a.wantedElsewhere; d > 0 {
			b.demands = append(b.demands, Demand{Slots: float64(d), Weight: a.weight})
		}
	}
	s.contested = len(b.demands) > 1
	s.room = b.slots(now)
	s.level = Level(s.room, b.demands)
	s.unmet = 0
	if math.IsInf(s.level, 1) {
		return
	}
	for _, a := range b.accounts {
		s.unmet += min(float64(a.wantedElsewhere), max(s.level*a.weight-float64(a.here+a.told), 0))
	}
	for _, p := range b.peers {
		if p.others.Rank <= priority {
			s.unmet += min(float64(p.others.Waiting), max(s.level*float64(p.others.Members)-float64(p.others.InFlight), 0))
		}
	}
}

// wanted returns the slots that the claim has and wants, as far as requests of the priority are concerned.
func (c Claim) wanted(priority uint32) float64 {
	if c.Rank > priority {
		return float64(c.InFlight)
	}
	return float64(c.InFlight + c.Waiting)
}

// Beyond reports whether the workspace has its share of the room or more while others use the service too.
func (b *Book) Beyond(priority uint32, w ident.Workspace, now clock.Millis) bool {
	s := b.shares(priority, now)
	return s.contested && b.load(w) >= s.level
}

// Leaves reports whether the workspace has to leave a free slot: to a waiter of another node, or since there is as much in
// flight as there are slots. Then other targets have more than their slots, and what comes next is to find this one free.
//
// A workspace that wants more than its share and has less takes what is missing a part at a time at each node where it has
// waiters: if all took it at once, as soon as they hear of it, the workspace would have its share several times over.
func (b *Book) Leaves(priority uint32, w ident.Workspace, now clock.Millis) bool {
	if !b.Contended(now) {
		return false
	}
	s := b.shares(priority, now)
	if !s.contested || math.IsInf(s.level, 1) {
		return false
	}
	if b.load(w) >= s.level {
		return s.unmet > 0 || float64(b.inFlight) >= s.room
	}
	a := b.accounts[w]
	if a == nil || a.waitingTold == 0 || float64(a.here+a.told+a.waiting+a.waitingTold) <= s.level*a.weight {
		return false
	}
	if now-a.drawnAt >= maxRefresh {
		a.drawnAt, a.draw = now, b.random()
	}
	part := float64(a.waiting+1) / float64(a.waiting+1+a.waitingTold)
	return (s.level*a.weight-float64(a.here+a.told))*part < a.draw
}

// Contended reports whether requests wait, here or as another node claims.
func (b *Book) Contended(now clock.Millis) bool {
	return b.queue.Len() > 0 || b.WaitingElsewhere(now)
}

// A Holder is a workspace that has or wants room, over the fleet as far as it is known here.
type Holder struct {
	Workspace         ident.Workspace
	InFlight, Waiting int
	// Share is in slots; infinite while there is room for all.
	Share float64
}

// Holder returns what is known of the workspace.
func (b *Book) Holder(priority uint32, w ident.Workspace, now clock.Millis) Holder {
	h := Holder{Workspace: w, Share: b.shares(priority, now).level}
	if a := b.accounts[w]; a != nil {
		h.InFlight, h.Waiting, h.Share = a.here+a.told, a.waiting+a.waitingTold, h.Share*a.weight
	}
	return h
}

// Holders returns all workspaces that have or want room, the ones with the most first.
func (b *Book) Holders(now clock.Millis) []Holder {
	b.expire(now)
	var list []Holder
	for w := range b.accounts {
		list = append(list, b.Holder(math.MaxUint32, w, now))
	}
	slices.SortFunc(list, func(x, y Holder) int {
		return cmp.Or(cmp.Compare(y.InFlight+y.Waiting, x.InFlight+x.Waiting), cmp.Compare(x.Workspace, y.Workspace))
	})
	return list
}

// Wait returns how many slot times a request of the workspace waits behind n others of its own, for its workspace's share
// alone; 0 if the workspace stays within its share with them.
func (b *Book) Wait(priority uint32, w ident.Workspace, n float64, now clock.Millis) float64 {
	s := b.shares(priority, now)
	if math.IsInf(s.level, 1) {
		return 0
	}
	share, inFlight := s.level, 0
	if a := b.accounts[w]; a != nil {
		share, inFlight = share*a.weight, a.here+a.told
	}
	return max(float64(inFlight)+n+1-share, 0) / max(share, 1)
}
