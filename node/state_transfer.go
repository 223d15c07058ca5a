package node

import (
	"math/rand/v2"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/tinladder/tinladder/clock"
	"github.com/tinladder/tinladder/delta"
	"github.com/tinladder/tinladder/pacer"
	"github.com/tinladder/tinladder/replica"
	tlv1 "github.com/tinladder/tinladder/schema/tinladder/v1"
)

const (
	// maxVersions is how many versions of the state are kept as bases for deltas. A node is rarely more than two changes
	// behind; one that is gets the state without a base.
	maxVersions = 3
	// stateLinkShare is the share of a node's link that state transfers may take, so that requests keep the rest, and
	// stateMaxAhead how far transfers may be booked ahead. Concurrent transfers share the link: admitting more would
	// delay the first without speeding up the last. Nodes that are turned away ask the nodes served before.
	stateLinkShare              = 0.5
	stateMaxAhead  clock.Millis = 100
	// servedKept is how many served nodes are remembered.
	servedKept = 64
	// maxHoldersSent is how many served nodes are named to a node that is turned away.
	maxHoldersSent = 6
	// maxDatagramRecordBytes is the size up to which a packed record is sent by datagram to all nodes: one packet.
	maxDatagramRecordBytes = 1100
	// maxInlineRecordBytes is the size up to which a record is included unpacked in the response to a comparison.
	maxInlineRecordBytes = 16 << 10
	// maxRecordBytes limits the size of a decompressed record, as protection against a corrupt one.
	maxRecordBytes = 32 << 20
)

// errNoBase is returned for a record whose base version this node does not hold.
var errNoBase = errors.New("record is packed against a version that is not held")

// stateTransfer sends the newest desired state to other nodes, as a delta to the version that they hold, and to a few
// at a time: sending the whole state to all that ask would fill this node's link for many seconds.
type stateTransfer struct {
	clock clock.Clock
	link  *pacer.Pacer
	// bytesPerMilli is the part of the link's capacity that state transfers may take.
	bytesPerMilli float64

	mu sync.Mutex
	// versions are the last versions, oldest first.
	versions []replica.Record
	// encoded holds the newest version by the base version that it is encoded against, 0 for none.
	encoded map[uint64]*tlv1.Record
	// served are the addresses of the nodes that have got the newest version.
	served []string
}

func newStateTransfer(c clock.Clock, linkMbps float64) *stateTransfer {
	return &stateTransfer{clock: c, link: pacer.New(c, stateMaxAhead), bytesPerMilli: linkMbps * bytesPerMilliMbps * stateLinkShare, encoded: map[uint64]*tlv1.Record{}}
}

// bytesPerMilliMbps is how many bytes a link of 1 Mbit/s carries in a millisecond.
const bytesPerMilliMbps = 125

// addVersion records the version that this node holds now.
func (h *stateTransfer) addVersion(x replica.Record) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if n := len(h.versions); n > 0 && h.versions[n-1].Version >= x.Version {
		return
	}
	h.versions = append(h.versions, x)
	if len(h.versions) > maxVersions {
		h.versions = slices.Delete(h.versions, 0, 1)
	}
	clear(h.encoded)
	h.served = nil
}

// encodeFor returns the newest version, encoded for a node that holds another one, or nil if that is not older.
func (h *stateTransfer) encodeFor(held uint64) (*tlv1.Record, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.versions) == 0 || h.versions[len(h.versions)-1].Version <= held {
		return nil, nil
	}
	x := h.versions[len(h.versions)-1]
	base, found := h.valueAt(held)
	if !found {
		held = 0
	}
	packed := h.encoded[held]
	if packed == nil {
		raw, err := delta.Pack(base, x.Value)
		if err != nil {
			return nil, err
		}
		packed = &tlv1.Record{Key: x.Key, Version: x.Version, Row: x.Row, Packed: raw, Base: held, Check: xxhash.Sum64(x.Value)}
		h.encoded[held] = packed
	}
	return &tlv1.Record{
		Key: packed.Key, Version: packed.Version, Row: packed.Row, Packed: packed.Packed, Base: packed.Base, Check: packed.Check,
		AgeMs: int64(max(h.clock.Now()-x.ReadAt, 0)),
	}, nil
}

// encodeDelta returns the newest version encoded against the one before it, or nil if there is none.
func (h *stateTransfer) encodeDelta() (*tlv1.Record, error) {
	h.mu.Lock()
	n := len(h.versions)
	if n < 2 {
		h.mu.Unlock()
		return nil, nil
	}
	before := h.versions[n-2].Version
	h.mu.Unlock()
	return h.encodeFor(before)
}

func (h *stateTransfer) valueAt(v uint64) (value []byte, found bool) {
	for _, x := range h.versions {
		if x.Version == v {
			return x.Value, true
		}
	}
	return nil, false
}

// decode returns the value of a packed record from another node.
func (h *stateTransfer) decode(x *tlv1.Record) (value []byte, err error) {
	h.mu.Lock()
	base, found := h.valueAt(x.GetBase())
	h.mu.Unlock()
	if !found && x.GetBase() != 0 {
		return nil, errNoBase
	}
	value, err = delta.Unpack(base, x.GetPacked(), maxRecordBytes)
	if err != nil {
		return nil, err
	}
	if xxhash.Sum64(value) != x.GetCheck() {
		return nil, errors.New("record is not what was packed")
	}
	return value, nil
}

// admit reports whether the node at the address may be sent so many bytes now. If not, holders are other nodes to ask.
func (h *stateTransfer) admit(address string, bytes int) (admitted bool, holders []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.link.Admits() {
		holders = slices.Clone(h.served)
		rand.Shuffle(len(holders), func(i, j int) { holders[i], holders[j] = holders[j], holders[i] })
		return false, holders[:min(len(holders), maxHoldersSent)]
	}
	h.link.Charge(float64(bytes) / h.bytesPerMilli)
	if address != "" && !slices.Contains(h.served, address) && len(h.served) < servedKept {
		h.served = append(h.served, address)
	}
	return true, nil
}
