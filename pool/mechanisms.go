package pool

import (
	"maps"
	"math"
	"slices"

	"github.com/cockroachdb/errors"
	"github.com/tinladder/tinladder/clock"
)

// farFuture is a time that never comes.
const farFuture = clock.Millis(math.MaxInt64 / 4)

// mechanisms holds for each mechanism of a pool, by its name in settings, what switches it off.
var mechanisms = map[string]func(t *Tuning){
	"idle":         func(t *Tuning) { t.ExploreIdle = farFuture },
	"joined":       func(t *Tuning) { t.JoinWait = farFuture },
	"spare":        func(t *Tuning) { t.MaxUtilization = math.Inf(1) },
	"spread":       func(t *Tuning) { t.CalmSpread, t.FloorLimit, t.FloorShare = 0, 1, 1 },
	"deep-trouble": func(t *Tuning) { t.FloorLimit, t.FloorShare = 1, 1 },
	"calm-spread":  func(t *Tuning) { t.CalmSpread = 0 },
	"overcommit":   func(t *Tuning) { t.Overcommit = 0 },
	"hold":         func(t *Tuning) { t.Hold = 0 },
	"load":         func(t *Tuning) { t.LoadCost = 0 },
	"peers-load":   func(t *Tuning) { t.PeerLoad = false },
	"distance":     func(t *Tuning) { t.CrossHallCost, t.CrossHallByteCost, t.CrossRegionCost = 0, 0, 0 },
	"abroad":       func(t *Tuning) { t.CrossRegionCost = 0 },
	"bytes":        func(t *Tuning) { t.CrossHallCost, t.CrossHallByteCost = 0.04, 0 },
	"lateness":     func(t *Tuning) { t.LateCost = 0 },
	"fail-time":    func(t *Tuning) { t.MaxFailTime = 0 },
	"queue-time":   func(t *Tuning) { t.QueueTime = false },
	"hedge":        func(t *Tuning) { t.Hedge = false },
}

// optional holds the mechanisms that are off unless they are asked for, by their names in settings.
var optional = map[string]func(t *Tuning) *bool{
	"retry-order":   func(t *Tuning) *bool { return &t.RetryOrder },
	"fair-shares":   func(t *Tuning) *bool { return &t.FairShares },
	"urgency-level": func(t *Tuning) *bool { return &t.UrgencyLevel },
	"target-speeds": func(t *Tuning) *bool { return &t.TargetSpeeds },
}

// With returns the tuning with the named optional mechanisms switched on.
func (t Tuning) With(names ...string) (Tuning, error) {
	for _, name := range names {
		field, found := optional[name]
		if !found {
			return t, errors.Newf("no optional mechanism %q; there are %v", name, slices.Sorted(maps.Keys(optional)))
		}
		*field(&t) = true
	}
	return t, nil
}

// Mechanisms returns the names of the mechanisms that can be switched off.
func Mechanisms() []string {
	return slices.Sorted(maps.Keys(mechanisms))
}

// Without returns the tuning with the named mechanisms switched off, to measure their effect.
func (t Tuning) Without(names ...string) (Tuning, error) {
	for _, name := range names {
		if field, found := optional[name]; found {
			*field(&t) = false
			continue
		}
		switchOff, found := mechanisms[name]
		if !found {
			return t, errors.Newf("no mechanism %q; there are %v", name, Mechanisms())
		}
		switchOff(&t)
	}
	return t, nil
}
