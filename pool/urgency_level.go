package pool

import (
	"math"

	"github.com/tinladder/tinladder/clock"
	"github.com/tinladder/tinladder/ident"
	"github.com/tinladder/tinladder/pool/urgency"
	tlv1 "github.com/tinladder/tinladder/schema/tinladder/v1"
)

// The load pattern: a service lacks room and its callers are spread unevenly, so that one node turns urgent requests away
// while another takes less urgent ones (docs/design/22-urgency-level.md).

// claimTTL is how long a report of a lack counts: nodes of other halls hear one each half second, and a level must not
// outlast a lack by more than a second or two.
const claimTTL clock.Millis = 1500

// earlyRefusal is the share of its objective within which a request that waits may be refused by the level: its caller has
// time to come again. Later it keeps its place.
const earlyRefusal = 0.25

// checkUrgency returns an error if the service admits only more urgent requests at present. A request that has been at a
// target was admitted.
func (p *Pool) checkUrgency(a *Request) error {
	if p.urgency == nil || len(a.Exclude) > 0 {
		return nil
	}
	now := p.clock.Now()
	p.updateUrgency(now)
	p.urgency.Arrived(a.Priority)
	a.draw = p.rand.Float64()
	if p.urgency.Admits(a.Priority, a.draw) {
		return nil
	}
	return p.lessUrgentError(now)
}

func (p *Pool) lessUrgentError(now clock.Millis) error {
	retry := max(p.spreadRetry(float64(p.urgency.RetryAfter(now))), minRetryAfter)
	return &BusyError{RetryAfter: retry, Reason: "the service admits only more urgent requests at present", ByUrgency: true}
}

// recordGrant records that a request gets a slot after a wait.
func (p *Pool) recordGrant(a *Request, wait clock.Millis) {
	if p.urgency != nil && len(a.Exclude) == 0 {
		p.urgency.Granted(a.Priority, p.relativeWait(a, wait))
	}
}

// relativeWait returns a wait as a multiple of what the request's objective allows.
func (p *Pool) relativeWait(a *Request, wait clock.Millis) float64 {
	return float64(wait) / max(p.tuning.Hold*float64(a.Objective), 1)
}

// updateUrgency moves the level if that is due, and refuses the waiters that it does not admit any more.
func (p *Pool) updateUrgency(now clock.Millis) {
	if p.urgency == nil || !p.urgency.Due(now) {
		return
	}
	for w := range p.waiting.each {
		p.urgency.Waiting(w.request.Priority, p.relativeWait(w.request, now-w.since))
	}
	p.urgency.Update(now, p.utilization(now))
	var refused []grant
	for w := range p.waiting.each {
		a := w.request
		early := float64(now-w.since) <= earlyRefusal*float64(a.Objective)
		if early && len(a.Exclude) == 0 && !p.urgency.Admits(a.Priority, a.draw) {
			p.waiting.remove(w)
			refused = append(refused, grant{waiter: w, err: p.lessUrgentError(now)})
		}
	}
	deliver(refused)
	if s := p.urgency.State(); p.levelLog.due(s, now) {
		p.addEvent(Event{Kind: LevelChanged, Level: s})
	}
}

// utilization returns the share of the slots in use, at the targets that may be given work.
func (p *Pool) utilization(now clock.Millis) float64 {
	used, slots := 0.0, 0.0
	for _, t := range p.order {
		if p.usable(t, now) {
			n := p.concurrency(t, now)
			slots += n
			used += min(float64(p.inFlight(t, now)), n)
		}
	}
	return used / max(slots, 1)
}

// UrgencyLevel returns the level of urgency that the service admits at present.
func (p *Pool) UrgencyLevel() urgency.State {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.urgency == nil {
		return urgency.State{Share: 1}
	}
	return p.urgency.State()
}

// tenths is the unit of rates in reports.
const tenths = 10

// reportedLack returns what the other nodes are told of a lack of room; nil if there is none.
func (p *Pool) reportedLack() *tlv1.Lack {
	if p.urgency == nil {
		return nil
	}
	c, lacks := p.urgency.Claim()
	if !lacks {
		return nil
	}
	l := &tlv1.Lack{Wait: uint32(c.Wait * permille), Share: uint32(c.Share * permille), Granted: uint32(c.Granted * tenths)}
	c.Arrivals.Each(func(priority uint32, perSecond float64) {
		l.Arrivals = append(l.Arrivals, &tlv1.Arrivals{Rank: priority, PerSecond: uint32(min(math.Ceil(perSecond*tenths), math.MaxUint32))})
	})
	return l
}

// applyReportedLack applies what another node reports of a lack of room. Whole reports may be older than they look: they
// are kept for those that ask.
func (p *Pool) applyReportedLack(from ident.Process, r *tlv1.Report, now clock.Millis) {
	if p.urgency == nil || r.GetWhole() {
		return
	}
	if r.GetLack() == nil {
		p.urgency.Hear(from, r.GetSeq(), nil, now)
		return
	}
	l := r.GetLack()
	c := urgency.Claim{Wait: float64(l.GetWait()) / permille, Share: float64(l.GetShare()) / permille, Granted: float64(l.GetGranted()) / tenths}
	for i, a := range l.GetArrivals() {
		if i < urgency.MaxKinds {
			c.Arrivals.Add(a.GetRank(), float64(a.GetPerSecond())/tenths)
		}
	}
	p.urgency.Hear(from, r.GetSeq(), &c, now)
}

// A levelLog bounds the lines about a service's level.
type levelLog struct {
	last urgency.State
	at   clock.Millis
}

const (
	levelLogInterval = 1 * clock.Second
	// notableChange is by how much the fraction must differ to be logged anew.
	notableChange = 0.1
)

// due reports whether the state is to be logged now.
func (l *levelLog) due(s urgency.State, now clock.Millis) bool {
	differs := s.On != l.last.On || s.On && (s.Priority != l.last.Priority || math.Abs(s.Fraction-l.last.Fraction) >= notableChange)
	if !differs || now-l.at < levelLogInterval {
		return false
	}
	l.last, l.at = s, now
	return true
}
