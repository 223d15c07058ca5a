// Package fair divides the slots of a service among workspaces by max-min shares. It does no I/O.
//
// The load pattern: one workspace sends many times its usual to a service with too few slots. In order of coming it would
// hold all slots and the queue, and all others would be late or refused.
package fair

import (
	"cmp"
	"math"
	"slices"
)

// A Demand is what a claimant wants of the room, in slots, and its weight. Several equal claimants may be one demand, with
// the sum of their weights.
type Demand struct {
	Slots, Weight float64
}

// Level returns the slots for each unit of weight that max-min shares of the room allow: a claimant gets what it wants, at
// most its weight times the level. It is infinite if the room suffices for all. Level reorders the demands.
func Level(room float64, demands []Demand) float64 {
	weight := 0.0
	for _, d := range demands {
		weight += d.Weight
	}
	slices.SortFunc(demands, func(a, b Demand) int {
		return cmp.Or(cmp.Compare(a.Slots/a.Weight, b.Slots/b.Weight), cmp.Compare(a.Weight, b.Weight))
	})
	for _, d := range demands {
		if d.Slots/d.Weight > room/weight {
			return room / weight
		}
		room -= d.Slots
		weight -= d.Weight
	}
	return math.Inf(1)
}
