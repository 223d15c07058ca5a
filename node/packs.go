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
	// minPackRecords is how many records a node must hold of a kind to give them as a pack.
	minPackRecords = 256
	// packDiffShare is the share of the parts of a set that must differ for all of it to be given.
	packDiffShare = 0.5
	// packMaxAge is how long a pack is given though some records have changed since: those are found by the next comparison.
	packMaxAge = 1 * clock.Second
	// packRetention is for how long packs are kept at all, and pointsKept how many sets are remembered.
	packRetention = 10 * clock.Second
	maxSnapshots  = 32
	// maxPack bounds what a pack may come to, against a broken one.
	maxPack = 64 << 20
	// packSpeedup is how many times as fast as other answers ready ones are given, by the processor.
	packSpeedup = 10
)

// packs are the answers that this node keeps ready for others that lack whole sets of records. Nodes that start together all
// lack the same: made for each of them, the answers would take the processor time that a start has.
type packs struct {
	node *Node

	mu sync.Mutex
	// made are the packs by what is in them, and points the sets that this node held of late.
	made      map[packKey]pack
	snapshots map[store.Kind][]snapshot
}

// A packKey names a pack: all records of the kind that are newer than the version.
type packKey struct {
	kind  store.Kind
	after uint64
}

// A snapshot is a set that this node held: its sum, and the newest version in it. What it holds besides by now is newer.
type snapshot struct {
	sum, newest uint64
}

// A pack is one answer, compressed.
type pack struct {
	answer []byte
	sum    uint64
	madeAt clock.Millis
}

func newPacks(n *Node) *packs {
	return &packs{node: n, made: map[packKey]pack{}, snapshots: map[store.Kind][]snapshot{}}
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

// shouldPack says whether a node is given many records of a kind at once, and after which version: all that are newer than a
// set that this node held too, or all there are where most parts of the sets differ.
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

// ready returns a pack, if there is one that may still be given.
func (p *packs) ready(key packKey) (x pack, found bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	x, found = p.made[key]
	return x, found && (x.sum == p.node.records.sets[key.kind].Sum() || p.node.clock.Now()-x.madeAt < packMaxAge)
}

// make makes a pack, and returns how many bytes it has unpacked. It drops those of its kind that are old.
func (p *packs) make(key packKey) (x pack, bytes int, err error) {
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
	maps.DeleteFunc(p.made, func(k packKey, old pack) bool { return k.kind == key.kind && now-old.madeAt > packRetention })
	p.made[key] = x
	return x, bytes, nil
}

// wire returns the pack as it is sent now.
func (x pack) wire(now clock.Millis) *tlv1.Pack {
	return &tlv1.Pack{Answer: x.answer, AgeMs: int64(max(now-x.madeAt, 0))}
}

// compressResponse compresses an answer.
func compressResponse(res *tlv1.SyncResponse) (answer []byte, bytes int, err error) {
	raw, err := proto.Marshal(res)
	if err != nil {
		return nil, 0, errors.Wrap(err, "pack answer")
	}
	answer, err = delta.Pack(nil, raw)
	return answer, len(raw), err
}

// decompressResponse returns what a pack holds, its ages as of now.
func decompressResponse(p *tlv1.Pack) (res *tlv1.SyncResponse, err error) {
	defer func() { err = errors.Wrap(err, "unpack answer") }()
	raw, err := delta.Unpack(nil, p.GetAnswer(), maxPack)
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
