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

// Limits of one message and of one probe.
const (
	updatesPerMessage = 8
	relayCount        = 3
	// leaveFanout is how many others are told of a planned stop at once: all of a small fleet.
	leaveFanout = 48
	// maxHealthScore bounds healthScore, by which a node that misses acks lengthens its own time-outs; 0 is healthy.
	maxHealthScore = 4
	// bulkMergeThreshold is the number of new records in one merge above which this node was out of date itself,
	// and broadcasts none of them.
	bulkMergeThreshold = 16
	// pauseThreshold is the gap between ticks from which this process counts as having been paused.
	pauseThreshold = 1 * clock.Second
	// goneRetention is how long a gone node is kept, and probed from time to time.
	goneRetention = 10 * clock.Minute
	// unclaimedProbeInterval is how often an unclaimed address is probed.
	unclaimedProbeInterval = 5 * clock.Second
)

// Timing holds the intervals and time-outs of failure detection.
type Timing struct {
	ProbeInterval clock.Millis
	// RelayAfter is how long after a probe others are asked to probe too.
	RelayAfter clock.Millis
	// SuspectAfter is how long after a probe a node without an ack becomes suspect.
	SuspectAfter clock.Millis
	// GoneAfter is how long a suspect has to refute.
	GoneAfter clock.Millis
	// IsolatedAfter is how long without any ack this node counts as isolated.
	IsolatedAfter clock.Millis
}

// DefaultTiming detects a dead node in about five seconds.
var DefaultTiming = Timing{
	ProbeInterval: 500,
	RelayAfter:    250,
	SuspectAfter:  700,
	GoneAfter:     2500,
	IsolatedAfter: 3000,
}

// A Message struct is a gossip message and the address to send it to.
type Message struct {
	Address string
	Gossip  *tlv1.Gossip
}

// A Table struct is one node's membership list. It is safe for concurrent use.
type Table struct {
	clock  clock.Clock
	timing Timing
	rand   *rand.Rand

	mu      sync.Mutex
	self    *tlv1.Member
	entries map[string]*entry
	// notAlive holds the names of entries that are suspect or gone.
	notAlive   map[string]bool
	index      index
	probeOrder []string
	// probeOrder and hallOrder hold the rest of the current probe rounds, over all nodes and over this hall's.
	hallOrder  []string
	probeCount uint64
	seeds      []string
	// contacts are further addresses at which nodes may run.
	contacts           []string
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
	// startedAt is when this process started.
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

// AddSeeds adds addresses at which nodes may run. They are never removed.
func (t *Table) AddSeeds(addresses []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.seeds = append(t.seeds, addresses...)
	t.index.unclaimed = nil
}

// SetContacts replaces the further addresses at which nodes may run, and returns a ping to each that no live node uses.
func (t *Table) SetContacts(addresses []string) []Message {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.contacts = addresses
	t.index.unclaimed = nil
	var sends []Message
	for _, address := range t.unclaimedAddresses() {
		if slices.Contains(addresses, address) {
			sends = append(sends, t.ping("", address, t.clock.Now()))
		}
	}
	return sends
}

// Left reports whether the node has announced itself that it ends.
func (t *Table) Left(node ident.Node) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[string(node)]
	return e != nil && e.member.GetLeaving()
}

// Self returns the node's own record.
func (t *Table) Self() *tlv1.Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	return proto.CloneOf(t.self)
}

// Live returns the other nodes that are alive or suspect, sorted by name. The caller must change neither the
// records nor the list.
func (t *Table) Live() []*tlv1.Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.index.shared = true
	return t.index.members
}

// Get returns the live node of that name, or nil. The caller must not change it.
func (t *Table) Get(node ident.Node) *tlv1.Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.entries[string(node)]; e != nil && live(e.member) {
		return e.member
	}
	return nil
}

// All returns all records, the node's own first. The caller must not change them.
func (t *Table) All() []*tlv1.Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := []*tlv1.Member{proto.CloneOf(t.self)}
	for _, name := range slices.Sorted(maps.Keys(t.entries)) {
		list = append(list, t.entries[name].member)
	}
	return list
}

// HallAt returns the hall of the live node that uses the gossip address.
func (t *Table) HallAt(address string) (hall string, known bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	h, known := t.index.owners[address]
	return h.hall, known
}

// Version increases with every change that affects routing.
func (t *Table) Version() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.version
}

// Isolated reports whether other nodes are known and none has acknowledged a probe within IsolatedAfter.
func (t *Table) Isolated() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.isolated()
}

func (t *Table) isolated() bool {
	return len(t.entries) > 0 && t.clock.Now()-t.lastAck > t.timing.IsolatedAfter
}

// Superseded reports whether a later process of the same node is known.
func (t *Table) Superseded() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.superseded
}

// AnnounceLeaving marks the node as leaving and returns messages that tell the others at once: nodes that learned
// it from a probe only would send it callers for up to a second more.
func (t *Table) AnnounceLeaving() []Message {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.self.Leaving = true
	t.publishSelf()
	return t.broadcast(leaveFanout)
}

// AnnounceCutOff sets whether this node reaches no targets though others do, and returns messages that tell the others
// at once if that has changed.
func (t *Table) AnnounceCutOff(cutOff bool) []Message {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.self.GetCutOff() == cutOff {
		return nil
	}
	t.self.CutOff = cutOff
	t.publishSelf()
	return t.broadcast(leaveFanout)
}

// AnnounceGone marks the node as gone and returns messages that tell the others.
func (t *Table) AnnounceGone() []Message {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.self.State = tlv1.NodeState_NODE_STATE_GONE
	t.publishSelf()
	return t.broadcast(2 * relayCount)
}

// broadcast returns messages with pending updates to up to count random nodes.
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

// retransmits is how often an update is sent, enough to reach all nodes with near certainty. Each node that
// receives it sends it as often; of 300 nodes, about one in 10^8 misses an update that all others send 20 times.
func (t *Table) retransmits() int {
	return 2 * (bits.Len(uint(len(t.entries)+1)) + 1)
}

// loadRetransmits is how often a change of load is sent. It is less than retransmits, since a newer value follows
// soon.
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

// Receive applies a message and returns the messages to send in reply.
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

// ack returns the ack of a ping. It carries the sender's own record if that is not alive or is of another process.
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

// Merge applies the records of another node and broadcasts those that are new. Many new records at once mean that
// this node was out of date, and are not broadcast.
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

// apply applies a record and, if it supersedes the known one, broadcasts it and returns true.
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

// affectsRouting reports whether replacing a by b may change where requests go. The load is left out: it changes
// often, and is read at intervals.
func affectsRouting(a, b *tlv1.Member) bool {
	return lifeOf(a) != lifeOf(b) || a.GetIncarnation() != b.GetIncarnation() || a.GetState() != b.GetState() ||
		a.GetLeaving() != b.GetLeaving() || a.GetCutOff() != b.GetCutOff() || a.GetWeight() != b.GetWeight() || a.GetHall() != b.GetHall() ||
		a.GetGossipAddress() != b.GetGossipAddress() || a.GetPeerAddress() != b.GetPeerAddress() || a.GetCallerAddress() != b.GetCallerAddress()
}

// SetBusy broadcasts the approximate number of requests that this process has in flight.
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

// applySelf handles a record of this node: it refutes a suspicion, takes over from an earlier process at this
// address, and notes a later process.
func (t *Table) applySelf(m *tlv1.Member) {
	switch {
	case m.GetIncarnation() != t.self.GetIncarnation():
		t.applyOtherProcess(m)
	case m.GetState() == tlv1.NodeState_NODE_STATE_ALIVE || m.GetRumor() < t.self.GetRumor():
		return
	case t.isolated():
		return // nobody can reach this node, so the suspicion is right
	case t.self.GetState() == tlv1.NodeState_NODE_STATE_ALIVE:
		t.self.Rumor = m.GetRumor()
		t.publishSelf()
	}
}

// takeoverWindow is how long after its start a process treats an apparently later process at its own address as an
// earlier one, started before the VM's clock was set back. It is longer than updates about the earlier process
// take to arrive.
const takeoverWindow = 5 * clock.Second

// applyOtherProcess handles a record of another process of this node. One with this process's gossip address has
// ended, since this process listens there.
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
