package member

import (
	"maps"
	"math/bits"
	"math/rand/v2"
	"slices"
	"sync"

	"github.com/tinladder/tinladder/clock"
	"github.com/tinladder/tinladder/ident"
	tlv1 "github.com/tinladder/tinladder/schema/tinladder/v1"
	"google.golang.org/protobuf/proto"
)

// Bounds of one datagram and of one probe.
const (
	updatesPerMessage = 8
	relayCount        = 3
	// leaveFanout is how many others hear of a planned stop at once: all of a small fleet.
	leaveFanout = 48
	// maxHealthScore bounds how far a node that misses answers stretches its own time-outs.
	maxHealthScore = 4
	// bulkMergeThreshold is how much news at once is taken for a node's own ignorance.
	bulkMergeThreshold = 16
	// pauseThreshold is a gap between ticks that means that this process was stopped.
	pauseThreshold = 1 * clock.Second
	// goneRetention is how long a gone node is remembered, and now and then probed again.
	goneRetention = 10 * clock.Minute
	// unclaimedProbeInterval is how often an address is probed that no live node is known at.
	unclaimedProbeInterval = 5 * clock.Second
)

// Timing sets the pace of probes.
type Timing struct {
	ProbeInterval clock.Millis
	// RelayAfter is when others are asked to probe too.
	RelayAfter clock.Millis
	// SuspectAfter is when a node without answer is held suspect.
	SuspectAfter clock.Millis
	// GoneAfter is how long a suspect has to say otherwise.
	GoneAfter clock.Millis
	// IsolatedAfter is how long without any answer makes this node isolated.
	IsolatedAfter clock.Millis
}

// DefaultTiming finds a dead node in about five seconds.
var DefaultTiming = Timing{
	ProbeInterval: 500,
	RelayAfter:    250,
	SuspectAfter:  700,
	GoneAfter:     2500,
	IsolatedAfter: 3000,
}

// A Message struct is a message to be sent.
type Message struct {
	Address string
	Gossip  *tlv1.Gossip
}

// A Table struct is one node's list of members. It is safe for concurrent use.
type Table struct {
	clock  clock.Clock
	timing Timing
	rand   *rand.Rand

	mu      sync.Mutex
	self    *tlv1.Member
	entries map[string]*entry
	// notAlive names the entries that are suspect or gone.
	notAlive   map[string]bool
	index      index
	probeOrder []string
	// hallOrder is of the nodes of this hall.
	hallOrder          []string
	probeCount         uint64
	seeds              []string
	broadcasts         *broadcasts
	seq                uint64
	probes             map[uint64]probe
	relays             map[uint64]relay
	healthScore        int
	lastTick           clock.Millis
	lastProbe          clock.Millis
	lastUnclaimedProbe clock.Millis
	lastAck            clock.Millis
	superseded         bool
	version            uint64
	// startedAt is when this process began.
	startedAt clock.Millis
}

// New returns a table that knows only the node itself.
func New(self *tlv1.Member, t Timing, c clock.Clock, r *rand.Rand) *Table {
	me := proto.CloneOf(self)
	me.State = tlv1.NodeState_NODE_STATE_ALIVE
	now := c.Now()
	return &Table{
		clock:      c,
		timing:     t,
		rand:       r,
		self:       me,
		entries:    map[string]*entry{},
		notAlive:   map[string]bool{},
		broadcasts: newBroadcasts(),
		probes:     map[uint64]probe{},
		relays:     map[uint64]relay{},
		lastTick:   now,
		lastAck:    now,
		startedAt:  now,
	}
}

// AddSeeds adds addresses where nodes may live, for good.
func (t *Table) AddSeeds(addresses []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.seeds = append(t.seeds, addresses...)
	t.index.unclaimed = nil
}

// Self returns what the node says of itself.
func (t *Table) Self() *tlv1.Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	return proto.CloneOf(t.self)
}

// Live returns the other nodes that are not held gone, by name. The caller must change neither them nor the list.
func (t *Table) Live() []*tlv1.Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.index.shared = true
	return t.index.members
}

// Get returns the live node of the name, or nil. The caller must not change it.
func (t *Table) Get(node ident.Node) *tlv1.Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.entries[string(node)]; e != nil && live(e.member) {
		return e.member
	}
	return nil
}

// All returns everything known, the node itself first. The caller must not change it.
func (t *Table) All() []*tlv1.Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := []*tlv1.Member{proto.CloneOf(t.self)}
	for _, name := range slices.Sorted(maps.Keys(t.entries)) {
		list = append(list, t.entries[name].member)
	}
	return list
}

// HallAt returns the hall of the live node that hears gossip at the address.
func (t *Table) HallAt(address string) (hall string, known bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	h, known := t.index.owners[address]
	return h.hall, known
}

// Version is raised with every change to who is live or leaving.
func (t *Table) Version() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.version
}

// Isolated says that the node knows of others, and none has answered it for too long.
func (t *Table) Isolated() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.isolated()
}

func (t *Table) isolated() bool {
	return len(t.entries) > 0 && t.clock.Now()-t.lastAck > t.timing.IsolatedAfter
}

// Superseded says that a later process of the same node has been heard of.
func (t *Table) Superseded() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.superseded
}

// AnnounceLeaving says that the node is leaving, and returns the word to others that carries the news at once: a node
// that hears of it by a probe only would send it callers for up to a second more.
func (t *Table) AnnounceLeaving() []Message {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.self.Leaving = true
	t.publishSelf()
	return t.broadcast(leaveFanout)
}

// AnnounceGone returns the node's last word to the others: that it is gone.
func (t *Table) AnnounceGone() []Message {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.self.State = tlv1.NodeState_NODE_STATE_GONE
	t.publishSelf()
	return t.broadcast(2 * relayCount)
}

// broadcast returns the news to so many others.
func (t *Table) broadcast(count int) []Message {
	var sends []Message
	for _, name := range t.randomLive(count, "") {
		sends = append(sends, t.message(tlv1.GossipKind_GOSSIP_KIND_ACK, 0, t.entries[name].member.GetGossipAddress()))
	}
	return sends
}

func (t *Table) publishSelf() {
	t.self.Rumor++
	t.version++
	t.broadcasts.set(t.self.GetNode(), t.retransmits())
}

// retransmits is how often news is passed on: enough to reach all with near certainty. Each node that hears it passes it
// on as often; of 300, one in 10^8 or so misses what is passed on 20 times by all others.
func (t *Table) retransmits() int {
	return 2 * (bits.Len(uint(len(t.entries)+1)) + 1)
}

// loadRetransmits is how often it is passed on how busy a node is: there is a newer word soon.
func (t *Table) loadRetransmits() int {
	return bits.Len(uint(len(t.entries) + 1))
}

func (t *Table) message(kind tlv1.GossipKind, seq uint64, address string) Message {
	g := &tlv1.Gossip{Kind: kind, Seq: seq, From: proto.CloneOf(t.self)}
	for _, node := range t.broadcasts.next(updatesPerMessage) {
		if e := t.entries[node]; e != nil {
			g.Members = append(g.Members, e.member)
		}
	}
	return Message{Address: address, Gossip: g}
}

// Receive takes a message in and returns what to send.
func (t *Table) Receive(g *tlv1.Gossip) []Message {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	if g.GetFrom().GetNode() == "" || g.GetFrom().GetNode() == t.self.GetNode() {
		t.applySelf(g.GetFrom())
		return nil
	}
	t.apply(g.GetFrom(), now)
	for _, m := range g.GetMembers() {
		t.apply(m, now)
	}
	switch g.GetKind() {
	case tlv1.GossipKind_GOSSIP_KIND_PING:
		return []Message{t.ack(g)}
	case tlv1.GossipKind_GOSSIP_KIND_RELAY:
		return t.relayPing(g, now)
	case tlv1.GossipKind_GOSSIP_KIND_ACK:
		return t.handleAck(g, now)
	}
	return nil
}

// ack returns the ack of a ping. It tells the sender what is held of it, if that is bad, or of
// another process.
func (t *Table) ack(g *tlv1.Gossip) Message {
	s := t.message(tlv1.GossipKind_GOSSIP_KIND_ACK, g.GetSeq(), g.GetFrom().GetGossipAddress())
	e := t.entries[g.GetFrom().GetNode()]
	if e != nil && (e.member.GetState() != tlv1.NodeState_NODE_STATE_ALIVE || e.member.GetIncarnation() != g.GetFrom().GetIncarnation()) {
		s.Gossip.Members = append(s.Gossip.Members, e.member)
	}
	return s
}

func (t *Table) relayPing(g *tlv1.Gossip, now clock.Millis) []Message {
	t.seq++
	t.relays[t.seq] = relay{address: g.GetFrom().GetGossipAddress(), seq: g.GetSeq(), at: now}
	return []Message{t.message(tlv1.GossipKind_GOSSIP_KIND_PING, t.seq, g.GetRelayAddress())}
}

func (t *Table) handleAck(g *tlv1.Gossip, now clock.Millis) []Message {
	if r, found := t.relays[g.GetSeq()]; found {
		delete(t.relays, g.GetSeq())
		s := t.message(tlv1.GossipKind_GOSSIP_KIND_ACK, r.seq, r.address)
		s.Gossip.From = g.GetFrom()
		s.Gossip.RelayAddress = t.self.GetGossipAddress()
		return []Message{s}
	}
	if _, found := t.probes[g.GetSeq()]; !found {
		return nil
	}
	delete(t.probes, g.GetSeq())
	t.healthScore = max(t.healthScore-1, 0)
	t.lastAck = now
	return nil
}

// Merge takes in what another node knows. A little of it may be news to others as well; much of
// it means that this node is the one that knew too little.
func (t *Table) Merge(members []*tlv1.Member) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	var added []string
	for _, m := range members {
		pending := t.broadcasts.remaining[m.GetNode()]
		if t.apply(m, now) && pending == 0 {
			added = append(added, m.GetNode())
		}
	}
	if len(added) > bulkMergeThreshold {
		for _, node := range added {
			delete(t.broadcasts.remaining, node)
		}
	}
}

// apply takes in news of one node, and passes it on if it was new, which it returns.
func (t *Table) apply(m *tlv1.Member, now clock.Millis) bool {
	if m.GetNode() == t.self.GetNode() {
		t.applySelf(m)
		return false
	}
	e, found := t.entries[m.GetNode()]
	if found && !newer(m, e.member) {
		return false
	}
	if !found && !live(m) {
		return false
	}
	routingChanged := !found || affectsRouting(e.member, m)
	next := &entry{member: proto.CloneOf(m)}
	t.notAlive[m.GetNode()] = m.GetState() != tlv1.NodeState_NODE_STATE_ALIVE
	if !t.notAlive[m.GetNode()] {
		delete(t.notAlive, m.GetNode())
	}
	switch m.GetState() {
	case tlv1.NodeState_NODE_STATE_SUSPECT:
		next.suspectAt = int64(now)
	case tlv1.NodeState_NODE_STATE_GONE:
		next.goneAt = int64(now)
	}
	t.entries[m.GetNode()] = next
	var old *tlv1.Member
	if found {
		old = e.member
	}
	t.index.update(m.GetNode(), old, next.member)
	if !routingChanged {
		t.broadcasts.raise(m.GetNode(), t.loadRetransmits())
		return true
	}
	t.version++
	t.broadcasts.set(m.GetNode(), t.retransmits())
	return true
}

// affectsRouting says whether work may go elsewhere by the news b of a node of which a was known. How busy it is changes
// often, and is looked at now and then.
func affectsRouting(a, b *tlv1.Member) bool {
	return lifeOf(a) != lifeOf(b) || a.GetIncarnation() != b.GetIncarnation() || a.GetState() != b.GetState() ||
		a.GetLeaving() != b.GetLeaving() || a.GetWeight() != b.GetWeight() || a.GetHall() != b.GetHall() ||
		a.GetGossipAddress() != b.GetGossipAddress() || a.GetPeerAddress() != b.GetPeerAddress() || a.GetCallerAddress() != b.GetCallerAddress()
}

// SetBusy tells the others about how many requests this process has in flight.
func (t *Table) SetBusy(requests uint32) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.self.GetBusy() == requests {
		return
	}
	t.self.Busy = requests
	t.self.Rumor++
	t.broadcasts.raise(t.self.GetNode(), t.loadRetransmits())
}

// applySelf answers bad news of this process, outlives an earlier process in this place, and notes a
// later one.
func (t *Table) applySelf(m *tlv1.Member) {
	switch {
	case m.GetIncarnation() != t.self.GetIncarnation():
		t.applyOtherProcess(m)
	case m.GetState() == tlv1.NodeState_NODE_STATE_ALIVE || m.GetRumor() < t.self.GetRumor():
		return
	case t.isolated():
		return // it is true that nobody can reach us
	case t.self.GetState() == tlv1.NodeState_NODE_STATE_ALIVE:
		t.self.Rumor = m.GetRumor()
		t.publishSelf()
	}
}

// takeoverWindow is how long after its start a process takes one that seems to be later than itself for
// an earlier one, of the time before the VM's clock went back. It is longer than news of the
// earlier one takes to come.
const takeoverWindow = 5 * clock.Second

// applyOtherProcess takes in news of another process of this node. One that had this process's address has
// ended, since this one listens there.
func (t *Table) applyOtherProcess(m *tlv1.Member) {
	switch {
	case lifeOf(m) < lifeOf(t.self):
		return
	case m.GetGossipAddress() == t.self.GetGossipAddress() && t.clock.Now()-t.startedAt < takeoverWindow:
		t.self.Life = lifeOf(m) + 1
		t.publishSelf()
	default:
		t.superseded = true
	}
}
