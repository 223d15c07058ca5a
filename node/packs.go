package node

import (
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/tinladder/tinladder/clock"
	"github.com/tinladder/tinladder/delta"
	tlv1 "github.com/tinladder/tinladder/schema/tinladder/v1"
	"github.com/tinladder/tinladder/store"
	"google.golang.org/protobuf/proto"
)

const (
	// leastPacked is how many records a node must hold of a kind to give them as a pack.
	leastPacked = 256
	// packShare is the share of the parts of a set that must differ for all of it to be given.
	packShare = 0.5
	// packFor is how long a pack is given though some records have changed since: those are found by the next comparison.
	packFor = 1 * clock.Second
	// maxPack bounds what a pack may come to, against a broken one.
	maxPack = 64 << 20
	// packFactor is how many times as fast as other answers ready ones are given, by the processor.
	packFactor = 10
)

// packs are the answers that this node keeps ready for others that lack whole sets of records. Nodes that start together all
// lack the same: made for each of them, the answers would take the processor time that a start has.
type packs struct {
	node *Node

	mu     sync.Mutex
	byKind map[store.Kind]pack
}

// A pack is one answer, compressed.
type pack struct {
	answer []byte
	sum    uint64
	madeAt clock.Millis
}

func newPacks(n *Node) *packs {
	return &packs{node: n, byKind: map[store.Kind]pack{}}
}

// wanted says whether a node with the sums is given all records of the kind.
func (p *packs) wanted(k store.Kind, theirs []uint64) bool {
	set := p.node.records.sets[k]
	mine := set.Sums()
	if len(theirs) != len(mine) || set.Len() < leastPacked {
		return false
	}
	differ := 0
	for i := range mine {
		if mine[i] != theirs[i] {
			differ++
		}
	}
	return float64(differ) > packShare*float64(len(mine))
}

// ready returns the pack of a kind, if there is one that may still be given.
func (p *packs) ready(k store.Kind) (x pack, found bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	x, found = p.byKind[k]
	return x, found && (x.sum == p.node.records.sets[k].Sum() || p.node.clock.Now()-x.madeAt < packFor)
}

// make makes the pack of a kind, and returns how many bytes it has unpacked.
func (p *packs) make(k store.Kind) (x pack, bytes int, err error) {
	set := p.node.records.sets[k]
	x = pack{sum: set.Sum(), madeAt: p.node.clock.Now()}
	res := &tlv1.SyncResponse{Records: []*tlv1.Records{p.node.records.wire(k, set.All())}}
	x.answer, bytes, err = packed(res)
	if err != nil {
		return x, bytes, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.byKind[k] = x
	return x, bytes, nil
}

// wire returns the pack as it is sent now.
func (x pack) wire(now clock.Millis) *tlv1.Pack {
	return &tlv1.Pack{Answer: x.answer, AgeMs: int64(max(now-x.madeAt, 0))}
}

// packed compresses an answer.
func packed(res *tlv1.SyncResponse) (answer []byte, bytes int, err error) {
	raw, err := proto.Marshal(res)
	if err != nil {
		return nil, 0, errors.Wrap(err, "pack answer")
	}
	answer, err = delta.Pack(nil, raw)
	return answer, len(raw), err
}

// unpacked returns what a pack holds, its ages as of now.
func unpacked(p *tlv1.Pack) (res *tlv1.SyncResponse, err error) {
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
