package node

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
	tlv1 "github.com/tinladder/tinladder/schema/tinladder/v1"
)

// memberHashBytes is the size of a member's hash. Among 1,000 members, one in 4 million collides and is then learned by
// gossip instead.
const memberHashBytes = 4

// memberHash hashes a member's identity and state, so that nodes can compare what they know of it.
func memberHash(m *tlv1.Member) uint32 {
	x := xxhash.New()
	_, _ = x.WriteString(m.GetNode())
	b := binary.LittleEndian.AppendUint64(nil, m.GetIncarnation())
	b = binary.LittleEndian.AppendUint64(b, m.GetLife())
	b = append(b, byte(m.GetState()))
	if m.GetLeaving() {
		b = append(b, 1)
	}
	_, _ = x.Write(b)
	return uint32(x.Sum64())
}

// memberHashes returns the concatenated hashes of the members.
func memberHashes(members []*tlv1.Member) (list []byte) {
	for _, m := range members {
		list = binary.LittleEndian.AppendUint32(list, memberHash(m))
	}
	return list
}

// missingMembers returns the members whose hashes are not among those known.
func missingMembers(members []*tlv1.Member, known []byte) (list []*tlv1.Member) {
	held := map[uint32]bool{}
	for ; len(known) >= memberHashBytes; known = known[memberHashBytes:] {
		held[binary.LittleEndian.Uint32(known)] = true
	}
	for _, m := range members {
		if !held[memberHash(m)] {
			list = append(list, m)
		}
	}
	return list
}
