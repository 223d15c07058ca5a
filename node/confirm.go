package node

import (
	"math/rand/v2"
	"slices"

	"github.com/tinladder/tinladder/clock"
	"github.com/tinladder/tinladder/ident"
	tlv1 "github.com/tinladder/tinladder/schema/tinladder/v1"
	"github.com/tinladder/tinladder/store"
	"github.com/tinladder/tinladder/watcher"
)

// nearPasses is how many of so many words and comparisons by chance stay in the hall: bytes between halls cost the
// most.
const nearPasses, passes = 3, 4

// tick tells the hall now and then what the store holds, for as long as this node watches, and a node of each
// other hall, which may have nobody that the store answers.
func (d *duty) tick() {
	speaks := d.speaks()
	d.mu.Lock()
	now := d.node.clock.Now()
	watching := false
	for _, at := range d.asked {
		watching = watching || now-at < watchWait+watcher.StaleAfter
	}
	due := watching && speaks && now-d.told >= confirmEvery || d.confirming
	d.confirming = false
	repair := now-d.passed >= repairEvery
	if repair {
		d.passed = now
	}
	d.mu.Unlock()
	if due {
		d.confirm()
		d.tell(d.onePerHall())
	}
	if repair {
		d.pass(1)
	}
}

// speaks says whether this node tells its hall of the store: the first to watch does, or whoever asks while the hall hears
// nobody. Each that has asked of late would send as many words as there are pairs of nodes.
func (d *duty) speaks() bool {
	return !d.hall.HeardWithin(confirmEvery) || d.rank() == 0
}

// confirm tells this node's hall what is known of the store.
func (d *duty) confirm() {
	d.mu.Lock()
	d.told = d.node.clock.Now()
	d.mu.Unlock()
	d.tell(d.hallPeers())
}

// confirmSoon does the same, once for all that is sent within a tick.
func (d *duty) confirmSoon() {
	d.mu.Lock()
	now := d.node.clock.Now()
	wait := now-d.told < tickEvery
	d.confirming = wait
	d.mu.Unlock()
	if !wait {
		d.confirm()
	}
}

// hallPeers returns where the other nodes of this hall hear datagrams.
func (d *duty) hallPeers() []string {
	n := d.node
	return gossipAddresses(n.members.Live(), func(m *tlv1.Member) bool { return hallOf(m) == n.hall() })
}

// byHall returns the nodes of each other hall.
func (d *duty) byHall() map[ident.Hall][]*tlv1.Member {
	list := map[ident.Hall][]*tlv1.Member{}
	for _, m := range d.node.members.Live() {
		if hall := hallOf(m); hall != d.node.hall() && isReady(m) {
			list[hall] = append(list[hall], m)
		}
	}
	return list
}

// onePerHall returns where one node of each other hall, by chance, hears datagrams.
func (d *duty) onePerHall() []string {
	var list []string
	for _, members := range d.byHall() {
		list = append(list, members[rand.IntN(len(members))].GetGossipAddress())
	}
	return list
}

// relays returns where the nodes hear datagrams that tell their halls what other halls know: the first of each
// hall's watchers, and one by chance, since the first may have ended just now.
func (d *duty) relays() []string {
	list := d.onePerHall()
	for _, members := range d.byHall() {
		weights := map[ident.Node]uint32{}
		for _, m := range members {
			weights[ident.Node(m.GetNode())] = m.GetWeight()
		}
		first := watcher.First(weights)
		for _, m := range members {
			if ident.Node(m.GetNode()) == first && !slices.Contains(list, m.GetGossipAddress()) {
				list = append(list, m.GetGossipAddress())
			}
		}
	}
	return list
}

// pass tells a few nodes by chance what this one holds, so that news goes on where a watcher's word
// was lost.
func (d *duty) pass(count int) {
	live := d.node.someNodes()
	d.tell(gossipAddresses(live[:min(count, len(live))], func(*tlv1.Member) bool { return true }))
}

// someNodes returns other nodes by chance: those of this hall, or now and then of all.
func (n *Node) someNodes() []*tlv1.Member {
	near := rand.IntN(passes) < nearPasses
	live := slices.DeleteFunc(slices.Clone(n.members.Live()), func(m *tlv1.Member) bool { return near && hallOf(m) != n.hall() })
	rand.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
	return live
}

func (d *duty) tell(addresses []string) {
	n := d.node
	n.wire.send(&tlv1.Parcel{Body: &tlv1.Parcel_Confirm{Confirm: &tlv1.Confirm{
		Node: string(n.self.Node), Incarnation: uint64(n.self.Incarnation), Hall: string(n.hall()),
		PeerAddress: n.settings().Node.PeersAddress(), Kinds: d.kindSums(), Deaf: d.hall.Failing(),
	}}}, addresses...)
}

// kindSums says what this node holds of each kind that it follows.
func (d *duty) kindSums() []*tlv1.KindSum {
	var list []*tlv1.KindSum
	for _, k := range d.node.kinds() {
		s := &tlv1.KindSum{Kind: string(k), AgeMs: never}
		d.mu.Lock()
		s.Mark = uint64(d.marks[k]) // before the sum: what comes in between is no part of a later mark
		if at := d.confirmed[k]; at > 0 {
			s.AgeMs = int64(d.node.clock.Now() - at)
		}
		d.mu.Unlock()
		if k == store.State {
			s.Proved = int64(d.proof.Proved()) // before the sum, too
		}
		set := d.node.records.sets[k]
		s.Sum, s.Newest = set.State()
		d.node.packs.addSnapshot(k, s.Sum, s.Newest)
		list = append(list, s)
	}
	return list
}

// hear takes in another node's word on the store.
func (d *duty) hear(c *tlv1.Confirm) {
	p := ident.Process{Node: ident.Node(c.GetNode()), Incarnation: ident.Incarnation(c.GetIncarnation())}
	if p.Node == d.node.self.Node {
		return
	}
	far := ident.Hall(c.GetHall()) != d.node.hall()
	if !far {
		d.hall.Heard(p, c.GetDeaf())
	}
	// The first state comes by a comparison, with the targets: requests wait for it, and would find none.
	if d.node.records.table.Load() == nil || !d.hearKinds(c.GetKinds(), c.GetPeerAddress(), far) {
		d.node.peers.sync(d.giver(c.GetPeerAddress(), far), false)
	}
}

// giver returns the node to ask for what the one at the address holds and this one lacks. A node that has nothing yet asks
// those of its own hall that carry much: what crosses halls costs the most, and they hear of it first.
func (d *duty) giver(address string, far bool) string {
	n := d.node
	if !far || n.records.sets[store.Targets].Len() > 0 || n.isStrong(n.members.Self()) {
		return address
	}
	if m := n.strongNode(); m != nil {
		return m.GetPeerAddress()
	}
	return address
}

// differsFor is how long the records of another node must differ from this one's to be compared: records come by datagram,
// and what was sent before a word of sums may come after it.
const differsFor clock.Millis = 200

// A difference is one between this node's records of a kind and what others said that they hold.
type difference struct {
	since clock.Millis
	// newest is the newest record that any of them said to hold.
	newest uint64
}

// lacks takes in that another node's records differ, and says whether it is time to compare: at once while this one has just
// started, and else if they have differed for long.
func (d *duty) lacks(k store.Kind, newest uint64) bool {
	now := d.node.clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	x := d.differences[k]
	if x.since == 0 {
		x.since = now
	}
	x.newest = max(x.newest, newest)
	d.differences[k] = x
	return now-x.since >= differsFor || now-d.since <= watcher.StaleAfter
}

// matched takes in that another node holds the same records. One that lacks as much settles nothing.
func (d *duty) matched(k store.Kind, newest uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if newest >= d.differences[k].newest {
		delete(d.differences, k)
	}
}

// hearKinds takes in how long ago the store held what the node at the address holds. It returns false if this
// one should compare its records with that. A newer state is asked for; an older one is nothing to ask for, and
// neither are older records of another hall.
func (d *duty) hearKinds(kinds []*tlv1.KindSum, address string, far bool) bool {
	same := true
	now := d.node.clock.Now()
	for _, s := range kinds {
		k := store.Kind(s.GetKind())
		if !slices.Contains(d.node.kinds(), k) {
			continue
		}
		d.node.lag.observe(k, s.GetNewest(), address)
		if set := d.node.records.sets[k]; set.Sum() != s.GetSum() {
			if k == store.State {
				d.node.puller.fetch(s.GetNewest(), address)
			} else if (!far || s.GetNewest() >= set.Newest()) && d.lacks(k, s.GetNewest()) {
				same = false
			}
			continue
		}
		d.matched(k, s.GetNewest())
		if k == store.State && d.node.records.hasNewestState() {
			d.proof.Merge(clock.Millis(s.GetProved()), now)
		}
		if s.GetAgeMs() == never {
			continue
		}
		d.mu.Lock()
		d.confirmed[k] = max(d.confirmed[k], now-clock.Millis(s.GetAgeMs()))
		d.marks[k] = max(d.marks[k], store.Cursor(s.GetMark()))
		d.mu.Unlock()
	}
	return same
}
