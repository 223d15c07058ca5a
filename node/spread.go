package node

import (
	"slices"

	"github.com/sirupsen/logrus"
	"github.com/tinladder/tinladder/replica"
	tlv1 "github.com/tinladder/tinladder/schema/tinladder/v1"
	"github.com/tinladder/tinladder/store"
)

const (
	// maxParcelRecords and maxParcelBytes limit one datagram of records.
	maxParcelRecords = 8
	maxParcelBytes   = 4 << 10
	// bulkRecords is the number of records above which a change is not sent to each node in datagrams; nodes that lack the
	// records fetch them as a pack.
	bulkRecords = 128
	// freshConfirmAge is the age up to which the confirmation of a hall's watcher is fresh: two of its intervals.
	freshConfirmAge = 2 * confirmInterval
	// extraConfirms is how many nodes besides its own hall a watcher tells of a large record. Each hall has a watcher of
	// its own.
	extraConfirms = 4
)

// broadcast sends records that were read from the store to this hall and to a few nodes of each other one. A node that
// is not a watcher sends only its sums: each hall has a watcher, and if every node that queries the store itself sent what
// it finds to all, a store that recovers would cause as many copies as there are pairs of nodes.
func (d *duty) broadcast(k store.Kind, changed []replica.Record) {
	if k != store.State && len(changed) > bulkRecords {
		d.confirmToHall()
		d.sendConfirm(d.relays())
		return
	}
	if d.rank() > 0 && k != store.State && k != store.Evacuations {
		d.confirmToHall()
		return
	}
	d.send(k, changed, append(d.hallPeers(), d.relays()...))
	d.sendConfirm(d.relays())
}

// forwardToHall sends records from another hall's watcher to this hall if the hall has no fresh confirmation from its own
// watcher. Otherwise that watcher sends them, and forwarding would bring each record once from every hall. The watcher
// itself always forwards, since the records are not new any more when the store's response brings them.
func (d *duty) forwardToHall(k store.Kind, changed []replica.Record) {
	if k == store.State || !d.hasFreshConfirm(k) || d.rank() == 0 {
		d.send(k, changed, d.hallPeers())
	}
}

// hasFreshConfirm reports whether this hall's confirmation is so recent that its watcher will send what is new.
func (d *duty) hasFreshConfirm(k store.Kind) bool {
	return d.age(k) <= freshConfirmAge && d.hall.HeardWithin(freshConfirmAge)
}

// send sends records to the addresses, and their sums to this hall.
func (d *duty) send(k store.Kind, changed []replica.Record, to []string) {
	if k == store.State {
		d.sendState(changed, to)
		d.confirmToHall()
		return
	}
	d.sendBatches(k, changed, to)
	d.confirmSoon()
}

// sendBatches sends records in batches of the size of a datagram. Nodes that lack larger ones fetch them.
func (d *duty) sendBatches(k store.Kind, changed []replica.Record, to []string) {
	for part := range slices.Chunk(changed, maxParcelRecords) {
		size := 0
		for _, r := range part {
			size += len(r.Value)
		}
		if size <= maxParcelBytes {
			d.sendRecords(d.node.records.toWire(k, part), to)
		}
	}
}

// sendState sends the state, or its delta to the previous version, if that fits into a datagram. For a large one it sends
// confirmations to a few more nodes, and nodes that lack it fetch it.
func (d *duty) sendState(changed []replica.Record, to []string) {
	n := d.node
	if len(changed[0].Value) <= maxParcelBytes {
		d.sendRecords(n.records.toWire(store.State, changed), to)
		return
	}
	x, err := n.stateTransfer.encodeDelta()
	if err != nil {
		n.log.WithFields(logrus.Fields{"event": "state_not_packed", "error": err}).Error()
	}
	if x != nil && len(x.GetPacked()) <= maxDatagramRecordBytes {
		d.sendRecords(&tlv1.Records{Kind: wireName(store.State), Records: []*tlv1.Record{x}}, to)
		return
	}
	d.confirmToRandom(extraConfirms)
}

func (d *duty) sendRecords(r *tlv1.Records, addresses []string) {
	r.Hall = string(d.node.hall())
	d.node.wire.send(&tlv1.Parcel{Body: &tlv1.Parcel_Records{Records: r}}, addresses...)
}
