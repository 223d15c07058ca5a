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

// nearlyFull is the share of the slots in use from which on peers' claims of a lack count: reports of requests that ended
// are under way.
const nearlyFull = 0.85

// checkUrgency returns an error if the service admits only more urgent requests at present. A request that has been at a
// target was admitted.
func (p *Pool) checkUrgency(a *Request) error {
	if p.urgency == nil || len(a.Exclude) > 0 {
		return nil
	}
	now := p.clock.Now()
	p.updateUrgency(now)
	if p.urgency.Admit(a.Priority) {
		return nil
	}
	retry := max(p.spreadRetry(float64(p.urgency.RetryAfter(now))), minRetryAfter)
	return &BusyError{RetryAfter: retry, Reason: "the service admits only more urgent requests at present", ByUrgency: true}
}

// recordWait records for how long a request waited for a slot.
func (p *Pool) recordWait(a *Request, wait clock.Millis) {
	if p.urgency != nil {
		p.urgency.Waited(p.relativeWait(a, wait))
	}
}

// relativeWait returns a wait as a multiple of what the request's objective allows.
func (p *Pool) relativeWait(a *Request, wait clock.Millis) float64 {
	return float64(wait) / max(p.tuning.Hold*float64(a.Objective), 1)
}

// updateUrgency moves the level if that is due.
func (p *Pool) updateUrgency(now clock.Millis) {
	if p.urgency == nil || !p.urgency.Due(now) {
		return
	}
	for w := range p.waiting.all() {
		p.recordWait(w.request, now-w.since)
	}
	p.urgency.Update(now, p.utilization(now) >= nearlyFull)
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
	l := &tlv1.Lack{Wait: uint32(c.Wait * permille), Share: uint32(c.Share * permille)}
	c.Arrivals.Each(func(priority uint32, perSecond float64) {
		l.Arrivals = append(l.Arrivals, &tlv1.Arrivals{Rank: priority, PerSecond: uint32(min(math.Ceil(perSecond*tenths), math.MaxUint32))})
	})
	return l
}

// applyReportedLack applies what another node reports of a lack of room.
func (p *Pool) applyReportedLack(from ident.Process, r *tlv1.Report, now clock.Millis) {
	if p.urgency == nil {
		return
	}
	if r.GetLack() == nil {
		p.urgency.Hear(from, r.GetSeq(), nil, now)
		return
	}
	c := urgency.Claim{Wait: float64(r.GetLack().GetWait()) / permille, Share: float64(r.GetLack().GetShare()) / permille}
	for i, a := range r.GetLack().GetArrivals() {
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
