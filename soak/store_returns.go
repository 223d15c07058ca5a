package soak

import (
	"math/rand/v2"
	"time"

	"github.com/tinladder/tinladder/platform/standin"
)

const (
	// copyAgeMost is how old the copy may be that the store comes back from, and returnMost how long it may be away.
	copyAgeMost = 6 * time.Second
	returnMost  = 2 * time.Second
	// rewriteMost is how long after the return its writers may take to write their rows again.
	rewriteMost = 2 * time.Second
)

// returnStore has the store come back from a copy. What the operator and targets wrote since is written again, early or late.
func returnStore(w *world, r *rand.Rand, say func(string, ...any)) {
	kept := w.store.Copy()
	age, how := between(r, 200*time.Millisecond, copyAgeMost), aways[r.IntN(len(aways))]
	away, later := between(r, 20*time.Millisecond, returnMost), between(r, 0, rewriteMost)
	time.Sleep(age)
	say("%s for %s, from a copy of %s before, written again %s later", how, away, age, later)
	var ends []func()
	for _, p := range w.nodes {
		ends = append(ends, p.deafened())
		p.door.SetFaults(standin.Faults{Away: how})
	}
	time.Sleep(away)
	lost := w.store.RestoreCopy(kept)
	for _, p := range w.nodes {
		p.door.SetFaults(standin.Faults{})
	}
	time.Sleep(later)
	for _, l := range lost {
		w.store.WriteAgain(l)
		time.Sleep(time.Millisecond)
	}
	for _, end := range ends {
		end()
	}
}

// sendWithoutEnd has some of a service's targets send bytes without end.
func sendWithoutEnd(w *world, r *rand.Rand, say func(string, ...any)) {
	w.targetFault(r, standin.TargetFaults{Endless: 0.2 + 0.6*r.Float64()}, r.Float64()/2, say)
}
