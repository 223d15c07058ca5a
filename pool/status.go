package pool

import "github.com/tinladder/tinladder/ident"

// Condition says how a target is used.
type Condition int

// Conditions of targets.
const (
	// InUse targets take work.
	InUse Condition = iota
	// Avoided targets are estimated to be failing, and take work when the others are full.
	Avoided
	// Blocked targets recently accepted no connection from this node.
	Blocked
	// Leaving targets take no new work.
	Leaving
	// Resting targets have asked this node for a time without requests.
	Resting
	// Closed targets get nothing from this node: their hall is evacuated, or another node sends to them while they warm up.
	Closed
)

// String returns the condition's name in reports.
func (c Condition) String() string {
	return [...]string{"in-use", "avoided", "unreachable", "leaving", "resting", "closed"}[c]
}

// Status is the state of one target on this node.
type Status struct {
	Target    ident.Target
	Condition Condition
	InFlight  int
	// Failing is the probability that the target is failing.
	Failing float64
	// Slower is how many times longer than the median target the target is estimated to take for the same work, and
	// SpeedSamples how many recent samples of all nodes stand behind that; 1 and 0 if nothing is known.
	Slower, SpeedSamples float64
	// Slow says that the target counts as slow.
	Slow bool
}

// Status returns the state of each target.
func (p *Pool) Status() []Status {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	p.updateSpeeds(now)
	list := make([]Status, len(p.order))
	for i, t := range p.order {
		s := Status{Target: t.ID, InFlight: p.inFlight(t, now), Failing: t.belief.FailingProb(&p.tuning.Model, now), Slower: t.speed.factor, SpeedSamples: t.speed.samples, Slow: t.speed.slow}
		switch {
		case t.Leaving || t.announcedLeave || t.closing.isPresumedLeaving(now):
			s.Condition = Leaving
		case t.resting(now):
			s.Condition = Resting
		case p.closed(t, now):
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
