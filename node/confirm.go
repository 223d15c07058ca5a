package node

import (
	"math/rand/v2"
	"slices"

	"github.com/tinladder/tinladder/clock"
	"github.com/tinladder/tinladder/ident"
	"github.com/tinladder/tinladder/replica"
	tlv1 "github.com/tinladder/tinladder/schema/tinladder/v1"
	"github.com/tinladder/tinladder/store"
	"github.com/tinladder/tinladder/watcher"
)

// Of so many random picks of nodes, sameHallPicks out of picks are from this hall: traffic between halls costs the
// most.
const sameHallPicks, picks = 3, 4

// tick sends the hall what the store holds at each confirmInterval while this node watches, and also one node of
// each other hall, where the store may answer nobody.
func (d *duty) tick() {
	speaks := d.sendsConfirms()
	d.mu.Lock()
	now := d.node.clock.Now()
	watching := false
	for _, at := range d.queriedAt {
		watching = watching || now-at < longPoll+watcher.StaleAfter
	}
	due := watching && speaks && now-d.confirmSentAt >= confirmInterval || d.confirmPending
	d.confirmPending = false
	repair := now-d.repairedAt >= repairInterval
	if repair {
		d.repairedAt = now
	}
	d.mu.Unlock()
	if due {
		d.confirmToHall()
		d.sendConfirm(d.onePerHall())
	}
	if repair {
		d.confirmToRandom(1)
	}
}

// sendsConfirms reports whether this node sends confirms to its hall: the first to watch does, or any that queries while
// the hall hears nobody. If each node that queried recently did, messages would grow with the pairs of nodes.
func (d *duty) sendsConfirms() bool {
	return !d.hall.HeardWithin(confirmInterval) || d.rank() == 0
}

// confirmToHall tells this node's hall what is known of the store.
func (d *duty) confirmToHall() {
	d.mu.Lock()
	d.confirmSentAt = d.node.clock.Now()
	d.mu.Unlock()
	d.sendConfirm(d.hallPeers())
}

// confirmSoon does the same, at most once within a tick.
func (d *duty) confirmSoon() {
	d.mu.Lock()
	now := d.node.clock.Now()
	wait := now-d.confirmSentAt < tickInterval
	d.confirmPending = wait
	d.mu.Unlock()
	if !wait {
		d.confirmToHall()
	}
}

// hallPeers returns the gossip addresses of the other nodes of this hall.
func (d *duty) hallPeers() []string {
	n := d.node
	return gossipAddresses(n.members.Live(), func(m *tlv1.Member) bool { return hallOf(m) == n.hall() })
}

// byHall returns the ready nodes of each other hall.
func (d *duty) byHall() map[ident.Hall][]*tlv1.Member {
	list := map[ident.Hall][]*tlv1.Member{}
	for _, m := range d.node.members.Live() {
		if hall := hallOf(m); hall != d.node.hall() && isReady(m) {
			list[hall] = append(list[hall], m)
		}
	}
	return list
}

// onePerHall returns the gossip address of one random node of each other hall.
func (d *duty) onePerHall() []string {
	var list []string
	for _, members := range d.byHall() {
		list = append(list, members[rand.IntN(len(members))].GetGossipAddress())
	}
	return list
}

// relays returns the gossip addresses of the nodes that pass on to their halls what other halls know: each hall's
// first watcher, and a random node, since the first may have just ended.
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

// confirmToRandom tells a few random nodes what this one holds, to repair the loss of a watcher's datagram.
func (d *duty) confirmToRandom(count int) {
	live := d.node.randomNodes()
	d.sendConfirm(gossipAddresses(live[:min(count, len(live))], func(*tlv1.Member) bool { return true }))
}

// randomNodes returns the other nodes of this hall, or in some calls of all halls, in random order.
func (n *Node) randomNodes() []*tlv1.Member {
	near := rand.IntN(picks) < sameHallPicks
	live := slices.DeleteFunc(slices.Clone(n.members.Live()), func(m *tlv1.Member) bool { return near && hallOf(m) != n.hall() })
	rand.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
	return live
}

func (d *duty) sendConfirm(addresses []string) {
	n := d.node
	n.wire.send(&tlv1.Parcel{Body: &tlv1.Parcel_Confirm{Confirm: &tlv1.Confirm{
		Node: string(n.self.Node), Incarnation: uint64(n.self.Incarnation), Hall: string(n.hall()),
		PeerAddress: n.settings().Node.PeersAddress(), Kinds: d.kindSums(), Deaf: d.hall.Failing(),
	}}}, addresses...)
}

// kindSums returns what this node holds of each kind.
func (d *duty) kindSums() []*tlv1.KindSum {
	var list []*tlv1.KindSum
	for _, k := range d.node.allKinds() {
		s := &tlv1.KindSum{Kind: wireName(k), AgeMs: neverConfirmed}
		d.mu.Lock()
		s.Mark = uint64(d.cursors[k]) // read before the sum: the cursor must not cover records that come in between
		if at := d.confirmedAt[k]; at > 0 {
			s.AgeMs = int64(d.node.clock.Now() - at)
		}
		d.mu.Unlock()
		if k == store.State {
			s.Proved = int64(d.proof.Proved()) // read before the sum, too
		}
		set := d.node.records.sets[k]
		s.Sum, s.Newest = set.State()
		d.node.packs.addSnapshot(k, s.Sum, s.Newest)
		list = append(list, s)
	}
	return list
}

// receiveConfirm merges another node's confirm.
func (d *duty) receiveConfirm(c *tlv1.Confirm) {
	p := ident.Process{Node: ident.Node(c.GetNode()), Incarnation: ident.Incarnation(c.GetIncarnation())}
	if p.Node == d.node.self.Node {
		return
	}
	far := ident.Hall(c.GetHall()) != d.node.hall()
	if !far {
		d.hall.Heard(p, c.GetDeaf())
	}
	// The first state comes by a sync, together with the targets: requests wait for it, and would find none.
	if d.node.records.table.Load() == nil || !d.mergeKindSums(c.GetKinds(), c.GetPeerAddress(), far) {
		d.node.peers.sync(d.syncSource(c.GetPeerAddress(), far), false)
	}
}

// syncSource returns the node to request what this one lacks and the one at the address holds. A node that has nothing
// yet asks one of its own hall with high capacity: those hear of it first, and traffic between halls costs the most.
func (d *duty) syncSource(address string, far bool) string {
	n := d.node
	if !far || n.records.sets[store.Targets].Len() > 0 || n.hasHighCapacity(n.members.Self()) {
		return address
	}
	if m := n.highCapacityNode(); m != nil {
		return m.GetPeerAddress()
	}
	return address
}

// mismatchDelay is how long another node's records must differ from this one's before a sync: records come by
// datagram, and those sent before a confirm may arrive after it.
const mismatchDelay clock.Millis = 200

// A difference is a mismatch between this node's records of a kind and the sums of other nodes.
type difference struct {
	since clock.Millis
	// newest is the newest record that any of them holds.
	newest uint64
}

// noteMismatch records that another node's records differ, and reports whether to sync now: at once while this node has
// just started, else after mismatchDelay.
func (d *duty) noteMismatch(k store.Kind, newest uint64) bool {
	now := d.node.clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	x := d.differences[k]
	if x.since == 0 {
		x.since = now
	}
	x.newest = max(x.newest, newest)
	d.differences[k] = x
	return now-x.since >= mismatchDelay || now-d.startedAt <= watcher.StaleAfter
}

// noteMatch records that another node holds the same records. One that lacks the same records proves nothing.
func (d *duty) noteMatch(k store.Kind, newest uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if newest >= d.differences[k].newest {
		delete(d.differences, k)
	}
}

// mergeKindSums merges the confirmations of the node at the address, for kinds of which both hold the same. It returns
// false if this node should sync with it. A newer state is pulled; an older state, and older records of another hall,
// need nothing.
func (d *duty) mergeKindSums(kinds []*tlv1.KindSum, address string, far bool) bool {
	same := true
	now := d.node.clock.Now()
	for _, s := range kinds {
		k := kindNamed(s.GetKind())
		if !slices.Contains(d.node.allKinds(), k) {
			continue
		}
		d.node.lag.observe(k, s.GetNewest(), address)
		era := replica.EraOf(s.GetMark())
		if s.GetMark() > 0 {
			d.noteEra(era)
		}
		if set := d.node.records.sets[k]; set.Sum() != s.GetSum() {
			if k == store.State {
				d.node.puller.fetch(s.GetNewest(), address)
			} else if (!far || s.GetNewest() >= set.Newest()) && d.noteMismatch(k, s.GetNewest()) {
				same = false
			}
			continue
		}
		d.noteMatch(k, s.GetNewest())
		if k == store.State && d.node.records.hasNewestState() && era == d.knownEra() { // a proof of an earlier era says nothing of this one
			d.proof.Merge(clock.Millis(s.GetProved()), now)
		}
		if s.GetAgeMs() == neverConfirmed {
			continue
		}
		d.mu.Lock()
		d.confirmedAt[k] = max(d.confirmedAt[k], now-clock.Millis(s.GetAgeMs()))
		d.cursors[k] = max(d.cursors[k], store.Cursor(s.GetMark()))
		d.mu.Unlock()
	}
	return same
}
