package node

import (
	"slices"

	"github.com/sirupsen/logrus"
	"github.com/tinladder/tinladder/replica"
	tlv1 "github.com/tinladder/tinladder/schema/tinladder/v1"
	"github.com/tinladder/tinladder/store"
)

const (
	// maxParcelRecords and bytesPerParcel bound one datagram of records.
	maxParcelRecords = 8
	maxParcelBytes   = 4 << 10
	// bulkRecords is how many records at once are asked for by those that lack them, packed, in place of being sent to each
	// node one datagram after the other.
	bulkRecords = 128
	// freshConfirmAge is the age up to which a hall's word of the store is fresh: two words of its watcher.
	freshConfirmAge = 2 * confirmEvery
	// extraConfirms is how many more nodes a watcher tells of a large record, besides its own hall: each hall has a
	// watcher of its own.
	extraConfirms = 4
)

// broadcast tells this hall, and a few nodes of each other one, of records that the store had. A node that does not
// watch tells of its sums alone: each hall has one that does, and if all that ask for themselves sent what they
// find to all, a store that comes back would have as many copies sent as there are pairs of nodes.
func (d *duty) broadcast(k store.Kind, news []replica.Record) {
	if k != store.State && len(news) > bulkRecords {
		d.confirm()
		d.tell(d.relays())
		return
	}
	if d.rank() > 0 && k != store.State && k != store.Evacuations {
		d.confirm()
		return
	}
	d.send(k, news, append(d.hallPeers(), d.relays()...))
	d.tell(d.relays())
}

// forwardToHall tells this hall of records that another hall's watcher told this node of, if the hall has no fresh word of its
// own: else its own watcher tells it, and each record would come once from each hall. The watcher itself tells of what it
// hears so, since the store's answer brings it no news then.
func (d *duty) forwardToHall(k store.Kind, news []replica.Record) {
	if k == store.State || !d.hasFreshConfirm(k) || d.rank() == 0 {
		d.send(k, news, d.hallPeers())
	}
}

// hasFreshConfirm says whether this hall's word of the store is so young that its watcher will tell of what is new.
func (d *duty) hasFreshConfirm(k store.Kind) bool {
	return d.age(k) <= freshConfirmAge && d.hall.HeardWithin(freshConfirmAge)
}

// send sends records, and tells this hall of their sums.
func (d *duty) send(k store.Kind, news []replica.Record, to []string) {
	if k == store.State {
		d.sendState(news, to)
		d.confirm()
		return
	}
	d.sendBatches(k, news, to)
	d.confirmSoon()
}

// sendBatches sends records in parts of the size of a datagram. Large ones are asked for by those that lack them.
func (d *duty) sendBatches(k store.Kind, news []replica.Record, to []string) {
	for part := range slices.Chunk(news, maxParcelRecords) {
		size := 0
		for _, r := range part {
			size += len(r.Value)
		}
		if size <= maxParcelBytes {
			d.sendRecords(d.node.records.toWire(k, part), to)
		}
	}
}

// sendState sends a small state, or what has changed if that is small. Of a large one it tells a few more nodes,
// and those that lack it ask for it.
func (d *duty) sendState(news []replica.Record, to []string) {
	n := d.node
	if len(news[0].Value) <= maxParcelBytes {
		d.sendRecords(n.records.toWire(store.State, news), to)
		return
	}
	x, err := n.stateTransfer.encodeDelta()
	if err != nil {
		n.log.WithFields(logrus.Fields{"event": "state_not_packed", "error": err}).Error()
	}
	if x != nil && len(x.GetPacked()) <= maxDatagramRecordBytes {
		d.sendRecords(&tlv1.Records{Kind: string(store.State), Records: []*tlv1.Record{x}}, to)
		return
	}
	d.pass(extraConfirms)
}

func (d *duty) sendRecords(r *tlv1.Records, addresses []string) {
	r.Hall = string(d.node.hall())
	d.node.wire.send(&tlv1.Parcel{Body: &tlv1.Parcel_Records{Records: r}}, addresses...)
}
