package node

import (
	"maps"
	"slices"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/tinladder/tinladder/clock"
	"github.com/tinladder/tinladder/delta"
	"github.com/tinladder/tinladder/replica"
	tlv1 "github.com/tinladder/tinladder/schema/tinladder/v1"
	"github.com/tinladder/tinladder/store"
	"google.golang.org/protobuf/proto"
)

const (
	// minPackRecords is how many records of a kind a node must hold to send them as a pack.
	minPackRecords = 256
	// packDiffShare is the share of a set's buckets that must differ for the whole set to be sent.
	packDiffShare = 0.5
	// packMaxAge is how long a pack is sent although records have changed since: the next comparison finds those.
	packMaxAge = 1 * clock.Second
	// packRetention is how long packs are kept, and maxSnapshots how many earlier sets of a kind are remembered.
	packRetention = 10 * clock.Second
	maxSnapshots  = 32
	// maxPackBytes limits the size of a decompressed pack, as protection against a corrupt one.
	maxPackBytes = 64 << 20
	// packSpeedup is how many times less processor time a cached pack takes than a response that is built.
	packSpeedup = 10
)

// packs caches responses for nodes that lack whole sets of records. Nodes that start together lack the same records, and
// building a response for each of them would use up the processor time that is needed for the start.
type packs struct {
	node *Node

	mu sync.Mutex
	// cache holds the packs by their content, and snapshots the sets that this node held recently, oldest first.
	cache     map[packKey]pack
	snapshots map[store.Kind][]snapshot
}

// A packKey identifies a pack: all records of the kind with a version above after.
type packKey struct {
	kind  store.Kind
	after uint64
}

// A snapshot identifies a set that this node held by its sum and its newest version. Records added since have higher
// versions.
type snapshot struct {
	sum, newest uint64
}

// A pack is a compressed response.
type pack struct {
	answer []byte
	sum    uint64
	madeAt clock.Millis
}

func newPacks(n *Node) *packs {
	return &packs{node: n, cache: map[packKey]pack{}, snapshots: map[store.Kind][]snapshot{}}
}

// addSnapshot notes the set that this node holds of a kind.
func (p *packs) addSnapshot(k store.Kind, sum, newest uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.snapshots[k]
	if len(list) > 0 && list[len(list)-1].sum == sum {
		return
	}
	p.snapshots[k] = append(list[max(0, len(list)-maxSnapshots+1):len(list):len(list)], snapshot{sum: sum, newest: newest})
}

// shouldPack reports whether a node gets its missing records of a kind as a pack, which is so if most buckets of the two
// sets differ. The pack holds the records above version after: those added since a snapshot equal to the other node's set,
// or all if there is no such snapshot.
func (p *packs) shouldPack(k store.Kind, theirs *tlv1.KindSum) (after uint64, wanted bool) {
	set := p.node.records.sets[k]
	if set.Len() < minPackRecords {
		return 0, false
	}
	p.mu.Lock()
	for _, x := range p.snapshots[k] {
		if x.sum == theirs.GetSum() {
			after = x.newest
		}
	}
	p.mu.Unlock()
	mine, sums := set.BucketSums(), theirs.GetSums()
	if len(sums) != len(mine) {
		return 0, false
	}
	differ := 0
	for i := range mine {
		if mine[i] != sums[i] {
			differ++
		}
	}
	return after, float64(differ) > packDiffShare*float64(len(mine))
}

// cached returns a cached pack, if there is one that is recent enough to be sent.
func (p *packs) cached(key packKey) (x pack, found bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	x, found = p.cache[key]
	return x, found && (x.sum == p.node.records.sets[key.kind].Sum() || p.node.clock.Now()-x.madeAt < packMaxAge)
}

// build builds and caches a pack, and returns its uncompressed size. It removes expired packs of the same kind.
func (p *packs) build(key packKey) (x pack, bytes int, err error) {
	now := p.node.clock.Now()
	set := p.node.records.sets[key.kind]
	x = pack{sum: set.Sum(), madeAt: now}
	list := slices.DeleteFunc(set.All(), func(r replica.Record) bool { return r.Version <= key.after })
	res := &tlv1.SyncResponse{Records: []*tlv1.Records{p.node.records.toWire(key.kind, list)}}
	x.answer, bytes, err = compressResponse(res)
	if err != nil {
		return x, bytes, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	maps.DeleteFunc(p.cache, func(k packKey, old pack) bool { return k.kind == key.kind && now-old.madeAt > packRetention })
	p.cache[key] = x
	return x, bytes, nil
}

// wire returns the pack as it is sent at time now.
func (x pack) wire(now clock.Millis) *tlv1.Pack {
	return &tlv1.Pack{Answer: x.answer, AgeMs: int64(max(now-x.madeAt, 0))}
}

// compressResponse returns the compressed response and its uncompressed size.
func compressResponse(res *tlv1.SyncResponse) (answer []byte, bytes int, err error) {
	raw, err := proto.Marshal(res)
	if err != nil {
		return nil, 0, errors.Wrap(err, "pack answer")
	}
	answer, err = delta.Pack(nil, raw)
	return answer, len(raw), err
}

// decompressResponse returns the response in a pack, with the ages of its records advanced by the pack's age.
func decompressResponse(p *tlv1.Pack) (res *tlv1.SyncResponse, err error) {
	defer func() { err = errors.Wrap(err, "unpack answer") }()
	raw, err := delta.Unpack(nil, p.GetAnswer(), maxPackBytes)
	if err != nil {
		return nil, err
	}
	res = &tlv1.SyncResponse{}
	if err := proto.Unmarshal(raw, res); err != nil {
		return nil, err
	}
	for _, list := range res.GetRecords() {
		for _, r := range list.GetRecords() {
			r.AgeMs += p.GetAgeMs()
		}
	}
	return res, nil
}
