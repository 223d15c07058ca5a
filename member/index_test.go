package member_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"
	"github.com/tinladder/tinladder/clock"
	"github.com/tinladder/tinladder/member"
	tlv1 "github.com/tinladder/tinladder/schema/tinladder/v1"
)

// TestIndexFollowsTheEntries applies random updates: nodes join, change address and hall, leave, are given up and
// return. After each update the live nodes and the hall at each address must match the table's entries.
func TestIndexFollowsTheEntries(t *testing.T) {
	is := is.New(t)
	r := rand.New(rand.NewPCG(1, 2))
	c := clock.NewManual(1000)
	table := member.New(&tlv1.Member{Node: "self", GossipAddress: "self", Hall: "h0"}, member.DefaultTiming, c, r)
	handedOut := table.Live()
	for i := range 3000 {
		n := r.IntN(30)
		table.Merge([]*tlv1.Member{{
			Node: fmt.Sprint("n", n), Incarnation: uint64(1 + i/500), Rumor: uint64(i), Hall: fmt.Sprint("h", r.IntN(3)),
			GossipAddress: fmt.Sprint("a", n, "-", i/900), State: tlv1.NodeState(1 + r.IntN(3)), Leaving: r.IntN(4) == 0,
		}})
		if r.IntN(20) == 0 {
			c.Advance(clock.Millis(r.IntN(3000)))
			table.Tick()
		}
		var want []string
		for _, m := range table.All()[1:] {
			if m.GetState() != tlv1.NodeState_NODE_STATE_GONE {
				want = append(want, m.GetNode())
				hall, known := table.HallAt(m.GetGossipAddress())
				is.True(known)
				is.Equal(hall, m.GetHall())
			}
		}
		before := fmt.Sprint(handedOut)
		live := table.Live()
		is.Equal(before, fmt.Sprint(handedOut)) // a returned list never changes
		var got []string
		for _, m := range live {
			got = append(got, m.GetNode())
		}
		is.Equal(got, want)
		handedOut = live
	}
}
