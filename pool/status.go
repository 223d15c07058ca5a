package pool

import "github.com/tinladder/tinladder/ident"

// A Condition says how a target is used.
type Condition int

// Conditions of targets.
const (
	// InUse targets take work.
	InUse Condition = iota
	// Avoided targets are thought to be failing, and take work when the others are full.
	Avoided
	// Blocked targets took no connection from this node just now.
	Blocked
	// Leaving targets take no new work.
	Leaving
	// Closed targets get nothing from this node: their hall is evacuated, or another node sends to them while they are cold.
	Closed
)

// String returns the condition's name in reports.
func (c Condition) String() string {
	return [...]string{"in-use", "avoided", "unreachable", "leaving", "closed"}[c]
}

// A Status struct is how one target stands on this node.
type Status struct {
	Target    ident.Target
	Condition Condition
	InFlight  int
	// Failing is how likely it is that the target is failing.
	Failing float64
}

// Status returns how each target stands.
func (p *Pool) Status() []Status {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	list := make([]Status, len(p.order))
	for i, t := range p.order {
		s := Status{Target: t.ID, InFlight: p.inFlight(t, now), Failing: t.belief.FailingProb(&p.tuning.Model, now)}
		switch {
		case t.Leaving || t.announcedLeave:
			s.Condition = Leaving
		case t.closed(now):
			s.Condition = Closed
		case now < t.blockedUntil:
			s.Condition = Blocked
		case t.avoided && !t.keptForFloor:
			s.Condition = Avoided
		}
		list[i] = s
	}
	return list
}

// String returns the outcome's name in logs.
func (o Outcome) String() string {
	return [...]string{"good", "failed", "late", "silent", "unreachable", "shed", "replaced", "abandoned"}[o]
}
