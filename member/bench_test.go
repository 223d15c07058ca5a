package member_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/tinladder/tinladder/clock"
	"github.com/tinladder/tinladder/member"
	tlv1 "github.com/tinladder/tinladder/schema/tinladder/v1"
)

// BenchmarkMemberChanges has one of 986 members change its leaving flag, then reads the members and returns an
// ack: the work of each node of a large fleet for each update. Rebuilding and sorting the lists on each change
// took 1.1 ms, against 73 us.
func BenchmarkMemberChanges(b *testing.B) {
	const members = 986
	of := func(i int) *tlv1.Member {
		return &tlv1.Member{
			Node: fmt.Sprint("n", i), Incarnation: 1, GossipAddress: fmt.Sprint("10.0.0.", i), Hall: fmt.Sprint("h", i%5),
			State: tlv1.NodeState_NODE_STATE_ALIVE,
		}
	}
	t := member.New(of(0), member.DefaultTiming, clock.NewManual(1000), rand.New(rand.NewPCG(1, 2)))
	var all []*tlv1.Member
	for i := 1; i < members; i++ {
		all = append(all, of(i))
	}
	t.Merge(all)
	n := uint64(0)
	for b.Loop() {
		n++
		m := of(int(n%(members-1)) + 1)
		m.Rumor, m.Leaving = n, n%2 == 0
		t.Receive(&tlv1.Gossip{Kind: tlv1.GossipKind_GOSSIP_KIND_PING, From: m})
		if len(t.Live()) != members-1 {
			b.Fatal(len(t.Live()))
		}
		if _, known := t.HallAt(m.GetGossipAddress()); !known {
			b.Fatal(m)
		}
	}
}
