package pool

import (
	"github.com/tinladder/tinladder/clock"
	"github.com/tinladder/tinladder/ident"
)

// namedState is what the responses of a target have said of the target's own state. Nodes that have few requests for a
// service drop its targets in between, and what these said is kept meanwhile. It applies to one life of the target.
type namedState struct {
	life      uint64
	droppedAt clock.Millis
	limit     rateLimit
	leaving   bool
	// restUntil is when the target's rest from this node ends.
	restUntil clock.Millis
}

// leavingRetention is how long the pool remembers that a target which it no longer has is leaving: longer than targets
// serve on after they have said so.
const leavingRetention = 10 * clock.Minute

func (t *target) namedState(now clock.Millis) namedState {
	return namedState{life: t.Life, droppedAt: now, limit: t.limit, leaving: t.announcedLeave, restUntil: t.restUntil}
}

// at returns what still holds of the state.
func (s namedState) at(now clock.Millis) namedState {
	if !s.limit.named || now-s.limit.statedAt > limitRetention {
		s.limit = rateLimit{}
	}
	s.leaving = s.leaving && now-s.droppedAt <= leavingRetention
	if s.restUntil <= now {
		s.restUntil = 0
	}
	return s
}

// empty reports whether the state says nothing.
func (s namedState) empty() bool {
	return !s.limit.named && !s.leaving && s.restUntil == 0
}

// keepStates stores the states of targets that the pool no longer has.
func (p *Pool) keepStates(dropped map[ident.Target]*target, now clock.Millis) {
	for id, s := range p.formerStates {
		if s.at(now).empty() {
			delete(p.formerStates, id)
		}
	}
	for _, t := range dropped {
		if t.removed {
			p.keepState(t, now)
		}
	}
}

func (p *Pool) keepState(t *target, now clock.Millis) {
	if s := t.namedState(now).at(now); !s.empty() {
		p.formerStates[t.ID] = s
	}
}

// restore gives the target the state that it named when the pool last had it, if that was in the same life.
func (t *target) restore(s namedState, life uint64, now clock.Millis) {
	if s.life == life {
		s = s.at(now)
		t.limit, t.announcedLeave, t.restUntil = s.limit, s.leaving, s.restUntil
	}
}

// sameLife returns what the pool has of the target now: another value, if it dropped the target since the request was
// sent and has it again in the same life.
func (p *Pool) sameLife(t *target) *target {
	if present := p.targets[t.ID]; present != nil && present.Life == t.Life {
		return present
	}
	return t
}
