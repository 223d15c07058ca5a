// Package assign ranks nodes for a service or a duty by rendezvous hashing over the live nodes. Every
// node works it out alone; small differences in view move little work.
package assign

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/tinladder/tinladder/ident"
)

// FullWeight is the weight of a node that takes an ordinary share.
const FullWeight = 100

// A Candidate struct is a node that may be given work.
type Candidate struct {
	Node ident.Node
	Hall ident.Hall
	// Weight is its share of work, in hundredths; 0 takes none.
	Weight uint32
}

type scored struct {
	Candidate
	score float64
}

// Rank returns the candidates for the key, best first, without those of weight 0. The order of
// two candidates does not depend on the others.
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

// score is the weighted rendezvous score -w/ln(u), u uniform in (0,1).
func score(key string, c Candidate) float64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(string(c.Node))
	u := (float64(d.Sum64()>>11) + 0.5) / (1 << 53)
	return -float64(c.Weight) / math.Log(u)
}

// Strongest returns the candidates that carry the most for the key, as many as together weigh need, and a few at least. Those
// that weigh the same are ranked; of a large fleet that is the few strong ones, so most are never scored.
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

// withWeight returns the candidates of that weight, each with the same chance.
func withWeight(candidates []Candidate, w uint32) (list []Candidate) {
	for _, c := range candidates {
		if c.Weight == w {
			c.Weight = FullWeight
			list = append(list, c)
		}
	}
	return list
}

// Busiest returns the processes that ask the most, at most so many of them, the busiest first.
func Busiest(requests map[ident.Process]int, most int) []ident.Process {
	list := slices.SortedFunc(maps.Keys(requests), func(a, b ident.Process) int {
		return cmp.Or(cmp.Compare(requests[b], requests[a]), cmp.Compare(a.Node, b.Node), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	return list[:min(most, len(list))]
}

// Position returns the place of a node in the ranking for a duty, from 0, or -1 if it has none.
//
// It ranks nobody else, which costs less than the whole ranking and allocates nothing.
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

// First returns the node that is best for the duty; "" if there is none.
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
