// Package assign ranks nodes for a service or a duty by rendezvous hashing over the live nodes. Each node computes the
// ranking alone; small differences between their views move little work.
package assign

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/tinladder/tinladder/ident"
)

// FullWeight is the weight of a node that takes a normal share of work.
const FullWeight = 100

// Candidate is a node that may be assigned work.
type Candidate struct {
	Node ident.Node
	Hall ident.Hall
	// Weight is its share of work, in percent of a normal one; 0 means none.
	Weight uint32
}

type scored struct {
	Candidate
	score float64
}

// Rank returns the candidates for the key, best first, without those of weight 0. The relative order of two candidates
// doesn't depend on the others.
func Rank(key string, candidates []Candidate) []Candidate {
	list := make([]scored, 0, len(candidates))
	for _, c := range candidates {
		if c.Weight > 0 {
			list = append(list, scored{Candidate: c, score: score(key, c)})
		}
	}
	slices.SortFunc(list, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.Node, b.Node))
	})
	ranked := make([]Candidate, len(list))
	for i, s := range list {
		ranked[i] = s.Candidate
	}
	return ranked
}

// score returns the weighted rendezvous score -w/ln(u), with u uniform in (0,1).
func score(key string, c Candidate) float64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(string(c.Node))
	u := (float64(d.Sum64()>>11) + 0.5) / (1 << 53)
	return -float64(c.Weight) / math.Log(u)
}

// Strongest returns the candidates with the highest weights, until these sum up to minWeight and there are at least
// minCount. Equal weights are ordered by rank. In a large fleet a few strong nodes suffice, so most candidates are
// never scored.
func Strongest(key string, candidates []Candidate, minWeight, minCount int) (list []Candidate) {
	weights := make([]uint32, 0, len(candidates))
	for _, c := range candidates {
		weights = append(weights, c.Weight)
	}
	slices.Sort(weights)
	weights = slices.Compact(weights)
	for _, w := range slices.Backward(weights) {
		for _, c := range Rank(key, withWeight(candidates, w)) {
			if minWeight <= 0 && len(list) >= minCount {
				return list
			}
			list = append(list, c)
			minWeight -= int(w)
		}
	}
	return list
}

// withWeight returns the candidates of that weight, with their weights set to FullWeight.
func withWeight(candidates []Candidate, w uint32) (list []Candidate) {
	for _, c := range candidates {
		if c.Weight == w {
			c.Weight = FullWeight
			list = append(list, c)
		}
	}
	return list
}

// Busiest returns up to most processes, those with the most requests, in descending order.
func Busiest(requests map[ident.Process]int, most int) []ident.Process {
	list := slices.SortedFunc(maps.Keys(requests), func(a, b ident.Process) int {
		return cmp.Or(cmp.Compare(requests[b], requests[a]), cmp.Compare(a.Node, b.Node), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	return list[:min(most, len(list))]
}

// Position returns the position of a node in the ranking for a duty, starting at 0, or -1 if it isn't in it. It doesn't
// rank the other nodes, and allocates nothing.
func Position(duty string, candidates []Candidate, n ident.Node) (position int) {
	own := slices.IndexFunc(candidates, func(c Candidate) bool { return c.Node == n })
	if own < 0 || candidates[own].Weight == 0 {
		return -1
	}
	mine := score(duty, candidates[own])
	for _, c := range candidates {
		if c.Weight == 0 || c.Node == n {
			continue
		}
		if theirs := score(duty, c); theirs > mine || theirs == mine && c.Node < n {
			position++
		}
	}
	return position
}

// First returns the best node for the duty; "" if there is none.
func First(duty string, candidates []Candidate) (best ident.Node) {
	most := 0.0
	for _, c := range candidates {
		if c.Weight == 0 {
			continue
		}
		if s := score(duty, c); best == "" || s > most || s == most && c.Node < best {
			best, most = c.Node, s
		}
	}
	return best
}
