package assign_test

import (
	"cmp"
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"
	"github.com/tinladder/tinladder/assign"
	"github.com/tinladder/tinladder/ident"
)

func fleet(n, halls int) []assign.Candidate {
	list := make([]assign.Candidate, n)
	for i := range list {
		list[i] = assign.Candidate{
			Node:   ident.Node(fmt.Sprintf("n%d", i)),
			Hall:   ident.Hall(fmt.Sprintf("h%d", i%halls)),
			Weight: assign.FullWeight,
		}
	}
	return list
}

func TestLossOfOneNodeMovesOnlyItsWork(t *testing.T) {
	is := is.New(t)
	all := fleet(44, 1)
	for i := range 500 {
		key := fmt.Sprint(i)
		before := assign.Rank(key, all)[:3]
		after := assign.Rank(key, all[1:])[:3]
		kept := 0
		for _, b := range before {
			for _, a := range after {
				if a == b {
					kept++
				}
			}
		}
		lost := 0
		for _, b := range before {
			if b.Node == "n0" {
				lost = 1
			}
		}
		is.Equal(kept, 3-lost) // only the lost node's place is filled anew
	}
}

func TestWeightSharesWork(t *testing.T) {
	is := is.New(t)
	all := fleet(10, 1)
	all[0].Weight = 50
	all[1].Weight = 0
	first := map[ident.Node]int{}
	const keys = 20000
	for i := range keys {
		first[assign.Rank(fmt.Sprint(i), all)[0].Node]++
	}
	is.Equal(first["n1"], 0)
	want := keys * 50 / 850
	is.True(first["n0"] > want*9/10 && first["n0"] < want*11/10)
}

func TestFewNodes(t *testing.T) {
	is := is.New(t)
	is.Equal(len(assign.Rank("k", fleet(2, 1))), 2)
	is.Equal(len(assign.Rank("k", nil)), 0)
	is.Equal(assign.Position("poll", fleet(2, 1), "absent"), -1)
}

// TestStrongestAreThoseOfTheWholeRanking compares the strongest with the whole ranking, sorted by weight: for any need, the
// same candidates in the same order.
func TestStrongestAreThoseOfTheWholeRanking(t *testing.T) {
	is := is.New(t)
	for i := range 200 {
		all := fleet(60, 1)
		for j := range all {
			all[j].Weight = []uint32{32, 32, 56, 160}[(i*7+j*j)%4]
		}
		key, need, few := fmt.Sprint(i), i*17%900, i%5
		byNode := map[ident.Node]uint32{}
		even := fleet(60, 1)
		for _, c := range all {
			byNode[c.Node] = c.Weight
		}
		ranked := assign.Rank(key, even)
		slices.SortStableFunc(ranked, func(a, b assign.Candidate) int { return cmp.Compare(byNode[b.Node], byNode[a.Node]) })
		var want []ident.Node
		for left := need; (left > 0 || len(want) < few) && len(want) < len(ranked); {
			left -= int(byNode[ranked[len(want)].Node])
			want = append(want, ranked[len(want)].Node)
		}
		var got []ident.Node
		for _, c := range assign.Strongest(key, all, need, few) {
			got = append(got, c.Node)
		}
		is.Equal(got, want)
	}
}

// BenchmarkStrongest ranks the carriers of one hall of a large fleet: 197 nodes, of which 7 are strong. 5.6 us; the whole
// ranking, sorted by weight besides, took 65 us and more.
func BenchmarkStrongest(b *testing.B) {
	all := fleet(197, 1)
	for i := range all {
		all[i].Weight = 32
		if i%28 == 0 {
			all[i].Weight = 160
		}
	}
	for b.Loop() {
		assign.Strongest("group", all, 600, 2)
	}
}

// BenchmarkRank ranks all nodes of that hall.
func BenchmarkRank(b *testing.B) {
	all := fleet(197, 1)
	for b.Loop() {
		assign.Rank("group", all)
	}
}

// TestBusiestAreFew has a request come to each of 986 nodes now and then, and many to forty: a failure is told to a few of
// those, not to all.
func TestBusiestAreFew(t *testing.T) {
	is := is.New(t)
	asked := map[ident.Process]int{}
	for i := range 986 {
		asked[ident.Process{Node: ident.Node(fmt.Sprint("n", i)), Incarnation: 1}] = 1
		if i%25 == 0 {
			asked[ident.Process{Node: ident.Node(fmt.Sprint("n", i)), Incarnation: 1}] = 20 + i
		}
	}
	got := assign.Busiest(asked, 32)
	is.Equal(len(got), 32)
	is.Equal(got[0].Node, ident.Node("n975"))
	for _, p := range got {
		is.True(asked[p] > 1)
	}
	is.Equal(len(assign.Busiest(asked, 2000)), 986)
}
