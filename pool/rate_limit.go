package pool

import (
	"math"

	"github.com/tinladder/tinladder/clock"
	"github.com/tinladder/tinladder/ident"
)

// rateLimit is the rate at which a target takes requests from all nodes together, as its responses name it.
type rateLimit struct {
	// named says that the target limits its requests, to perSecond.
	named     bool
	perSecond float64
	// statedAt is when the latest response came that says whether the target limits its requests.
	statedAt clock.Millis
}

// statedLimit is what one response says of its target's rate limit.
type statedLimit struct {
	named     bool
	perSecond float64
}

// SetRateLimit records what the response to the lease's request says of the target's rate limit: the requests a second
// that it takes from all nodes together, or that it names none. Call it before Done; without it, what is known stays.
func (l *Lease) SetRateLimit(named bool, perSecond float64) {
	l.stated = &statedLimit{named: named, perSecond: perSecond}
}

// applyStatedLimit applies what the response to the lease's request says, and reports whether other nodes should know
// at once. A limit ends with a good response that names none: a target that fails or turns requests away may leave it
// out. Nor does the response end it to a request that began before the limit was named.
func (p *Pool) applyStatedLimit(l *Lease, o Outcome, now clock.Millis) (changed bool) {
	t := l.target
	switch s := l.stated; {
	case s == nil || o == Replaced:
		return false
	case !s.named && (!t.limit.named || o != Good || l.start < t.limit.statedAt):
		return false
	default:
		return p.updateLimit(t, *s, "", now)
	}
}

// notableRateChange is the relative change of a rate limit that is logged, and reported to other nodes at once.
const notableRateChange = 0.1

// updateLimit updates the target's limit, and reports whether it has changed notably.
func (p *Pool) updateLimit(t *target, s statedLimit, by ident.Node, at clock.Millis) (changed bool) {
	old := t.limit
	t.limit = rateLimit{named: s.named, perSecond: s.perSecond, statedAt: at}
	switch {
	case s.named && (!old.named || math.Abs(s.perSecond-old.perSecond) > notableRateChange*old.perSecond):
		p.addEvent(Event{Kind: TargetLimited, Target: t.ID, PerSecond: s.perSecond, By: by})
	case !s.named && old.named:
		p.addEvent(Event{Kind: TargetUnlimited, Target: t.ID, By: by})
	default:
		return false
	}
	return true
}
