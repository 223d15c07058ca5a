package node

import (
	"fmt"

	"github.com/sirupsen/logrus"
	"github.com/tinladder/tinladder/clock"
	tlv1 "github.com/tinladder/tinladder/schema/tinladder/v1"
)

// trafficInterval is how often the bytes sent to other nodes are logged.
const trafficInterval = 10 * clock.Second

// traffic logs at intervals how much this node sends to other nodes, by kind of message, and how often it called the
// store. Bytes that leave the hall cost the most, so they are counted separately.
type traffic struct {
	node        *Node
	loggedAt    clock.Millis
	loggedBytes map[peerTraffic]uint64
	// loggedCalls are the calls to the store up to the last log line.
	loggedCalls uint64
}

func newTraffic(n *Node) *traffic {
	return &traffic{node: n, loggedBytes: map[peerTraffic]uint64{}}
}

// tick logs what was sent since the last time, if anything.
func (t *traffic) tick() {
	now := t.node.clock.Now()
	if now-t.loggedAt < trafficInterval {
		return
	}
	t.loggedAt = now
	f := logrus.Fields{"event": "traffic"}
	for _, p := range allPeerTraffic() {
		if sum := t.node.metrics.peers[p].Get(); sum > t.loggedBytes[p] {
			f[p.logField()] = sum - t.loggedBytes[p]
			t.loggedBytes[p] = sum
		}
	}
	if calls := t.node.metrics.storeCalls.Get(); calls > t.loggedCalls {
		f["store_calls"] = calls - t.loggedCalls
		t.loggedCalls = calls
	}
	if len(f) > 1 {
		t.node.log.WithFields(f).Info()
	}
}

// Kinds of messages between nodes. For syncs and pulls, which use connections, the bytes of the responses read are
// counted.
const (
	kindGossip  = "gossip"
	kindConfirm = "confirm"
	kindRecords = "records"
	kindReport  = "report"
	kindSync    = "sync"
	kindPull    = "pull"
)

// peerTraffic is one kind of message, within the hall or to other halls.
type peerTraffic struct {
	kind string
	far  bool
}

func allPeerTraffic() (list []peerTraffic) {
	for _, kind := range []string{kindGossip, kindConfirm, kindRecords, kindReport, kindSync, kindPull} {
		list = append(list, peerTraffic{kind, false}, peerTraffic{kind, true})
	}
	return list
}

func (p peerTraffic) metric() string {
	return fmt.Sprintf(`tinladder_peer_bytes_total{kind=%q,far="%v"}`, p.kind, p.far)
}

// logField returns the key in the log.
func (p peerTraffic) logField() string {
	if p.far {
		return p.kind + "_far"
	}
	return p.kind + "_near"
}

// kindOfParcel returns the kind of a datagram; all kinds without a name of their own count as reports.
func kindOfParcel(p *tlv1.Parcel) string {
	switch p.GetBody().(type) {
	case *tlv1.Parcel_Gossip:
		return kindGossip
	case *tlv1.Parcel_Confirm:
		return kindConfirm
	case *tlv1.Parcel_Records:
		return kindRecords
	}
	return kindReport
}

// far reports whether the address is in another hall. Addresses of no live node count as near.
func (n *Node) far(address string) bool {
	hall, known := n.members.HallAt(address)
	return known && hall != string(n.hall())
}
