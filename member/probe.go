package member

import (
	"maps"
	"slices"

	"github.com/tinladder/tinladder/clock"
	tlv1 "github.com/tinladder/tinladder/schema/tinladder/v1"
	"google.golang.org/protobuf/proto"
)

type probe struct {
	node    string
	address string
	at      clock.Millis
	relayed bool
}

type relay struct {
	address string
	seq     uint64
	at      clock.Millis
}

// Tick advances the table to the current time and returns the messages to send. Call it about ten times a second.
func (t *Table) Tick() []Message {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	if now-t.lastTick > pauseThreshold {
		t.resume(now)
	}
	t.lastTick = now
	var sends []Message
	sends = append(sends, t.checkProbes(now)...)
	sends = append(sends, t.checkSuspects(now)...)
	if now-t.lastProbe >= t.timing.ProbeInterval {
		t.lastProbe = now
		sends = append(sends, t.probeNext(now)...)
	}
	return sends
}

// resume drops the probes whose acks a paused process cannot have received, and restarts the time-outs of
// suspects.
func (t *Table) resume(now clock.Millis) {
	clear(t.probes)
	clear(t.relays)
	for _, e := range t.entries {
		if e.suspectAt > 0 {
			e.suspectAt = int64(now)
		}
	}
}

func (t *Table) checkProbes(now clock.Millis) []Message {
	var sends []Message
	scale := clock.Millis(1 + t.healthScore)
	for seq, p := range t.probes {
		switch age := now - p.at; {
		case age >= t.timing.SuspectAfter*scale:
			delete(t.probes, seq)
			sends = append(sends, t.suspect(p.node, now)...)
		case age >= t.timing.RelayAfter && !p.relayed && p.node != "":
			p.relayed = true
			t.probes[seq] = p
			sends = append(sends, t.requestRelays(seq, p)...)
		}
	}
	for seq, r := range t.relays {
		if now-r.at > t.timing.SuspectAfter*maxHealthScore {
			delete(t.relays, seq)
		}
	}
	return sends
}

func (t *Table) requestRelays(seq uint64, p probe) []Message {
	var sends []Message
	for _, name := range t.randomLive(relayCount, p.node) {
		s := t.message(tlv1.GossipKind_GOSSIP_KIND_RELAY, seq, t.entries[name].member.GetGossipAddress())
		s.Gossip.RelayAddress = p.address
		sends = append(sends, s)
	}
	return sends
}

// suspect marks a node that acknowledged no probe as suspect and pings it at once, so that it can refute.
func (t *Table) suspect(node string, now clock.Millis) []Message {
	t.healthScore = min(t.healthScore+1, maxHealthScore)
	e := t.entries[node]
	if e == nil || e.member.GetState() != tlv1.NodeState_NODE_STATE_ALIVE {
		return nil
	}
	m := proto.CloneOf(e.member)
	m.State = tlv1.NodeState_NODE_STATE_SUSPECT
	t.apply(m, now)
	return []Message{t.pingSuspect(t.entries[node], now)}
}

// checkSuspects pings each suspect again half-way through its time-out, marks those that time out as gone, and
// removes entries that have been gone for goneRetention.
func (t *Table) checkSuspects(now clock.Millis) []Message {
	var sends []Message
	for _, name := range slices.Sorted(maps.Keys(t.notAlive)) {
		e := t.entries[name]
		switch e.member.GetState() {
		case tlv1.NodeState_NODE_STATE_SUSPECT:
			age := now - clock.Millis(e.suspectAt)
			if age >= t.timing.GoneAfter {
				t.markGone(e, now)
			} else if age >= t.timing.GoneAfter/2 && !e.notified {
				e.notified = true
				sends = append(sends, t.pingSuspect(e, now))
			}
		case tlv1.NodeState_NODE_STATE_GONE:
			if now-clock.Millis(e.goneAt) >= goneRetention {
				delete(t.entries, name)
				delete(t.notAlive, name)
				t.index.update(name, e.member, nil)
				t.version++
			}
		}
	}
	return sends
}

// pingSuspect returns a ping that carries the suspect's own record, so that it can refute it.
func (t *Table) pingSuspect(e *entry, now clock.Millis) Message {
	s := t.ping(e.member.GetNode(), e.member.GetGossipAddress(), now)
	s.Gossip.Members = append(s.Gossip.Members, e.member)
	return s
}

func (t *Table) markGone(e *entry, now clock.Millis) {
	m := proto.CloneOf(e.member)
	m.State = tlv1.NodeState_NODE_STATE_GONE
	t.apply(m, now)
}

// probeNext probes the next live node and, at intervals, an unclaimed address.
func (t *Table) probeNext(now clock.Millis) []Message {
	var sends []Message
	if name := t.nextLive(); name != "" {
		sends = append(sends, t.ping(name, t.entries[name].member.GetGossipAddress(), now))
	}
	unclaimed := t.unclaimedAddresses()
	if len(unclaimed) == 0 {
		return sends
	}
	if len(sends) == 0 || now-t.lastUnclaimedProbe >= unclaimedProbeInterval {
		t.lastUnclaimedProbe = now
		sends = append(sends, t.ping("", unclaimed[t.rand.IntN(len(unclaimed))], now))
	}
	return sends
}

// Join returns a ping to each unclaimed address, for a node that knows no others yet.
func (t *Table) Join() []Message {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	var sends []Message
	for _, address := range t.unclaimedAddresses() {
		sends = append(sends, t.ping("", address, now))
	}
	return sends
}

func (t *Table) ping(node, address string, now clock.Millis) Message {
	t.seq++
	t.probes[t.seq] = probe{node: node, address: address, at: now}
	return t.message(tlv1.GossipKind_GOSSIP_KIND_PING, t.seq, address)
}

// crossHallEvery is the interval, in probes, at which a probe may go to another hall. Traffic between halls costs
// more than within one, and the nodes of its own hall detect a failed node as well.
const crossHallEvery = 4

// nextLive returns the next live node of a shuffled round, more often one of this hall.
func (t *Table) nextLive() string {
	t.probeCount++
	if t.probeCount%crossHallEvery != 0 {
		if name := t.nextOf(&t.hallOrder, t.inHall); name != "" {
			return name
		}
	}
	return t.nextOf(&t.probeOrder, func(*entry) bool { return true })
}

// inHall reports whether e is in this node's hall.
func (t *Table) inHall(e *entry) bool {
	return e.member.GetHall() == t.self.GetHall()
}

// nextOf returns the next live node that keep accepts, and reshuffles order when it is used up.
func (t *Table) nextOf(order *[]string, keep func(e *entry) bool) string {
	for range 2 {
		for len(*order) > 0 {
			name := (*order)[len(*order)-1]
			*order = (*order)[:len(*order)-1]
			if e := t.entries[name]; e != nil && live(e.member) && keep(e) {
				return name
			}
		}
		*order = slices.DeleteFunc(slices.Clone(t.index.live), func(name string) bool { return !keep(t.entries[name]) })
		t.rand.Shuffle(len(*order), func(i, j int) { (*order)[i], (*order)[j] = (*order)[j], (*order)[i] })
	}
	return ""
}
