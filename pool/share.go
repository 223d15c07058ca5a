package pool

import (
	"github.com/tinladder/tinladder/belief"
	"github.com/tinladder/tinladder/clock"
	"github.com/tinladder/tinladder/ident"
	tlv1 "github.com/tinladder/tinladder/schema/tinladder/v1"
)

// refreshes is how often a load that does not change is told while it counts without being heard.
const refreshes = 3

// thousand is the unit of likelihoods in reports.
const thousand = 1000

// never stands for an age of what never was.
const never = -1

// Report returns what this node has seen of the targets that changed since the last call, and now
// and then of those that it has requests at, or of all if whole, for the other nodes; nil if there is
// nothing to tell.
func (p *Pool) Report(whole bool) *tlv1.Report {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	ended := p.ended.sum(now)
	r := &tlv1.Report{Whole: whole, Asked: uint32(ended.asked), Unserved: uint32(ended.unserved), Failed: uint32(ended.failed)}
	for _, t := range p.order {
		stale := t.mine > 0 && now-t.toldAt >= p.tuning.PeerAge/refreshes
		if !t.changed && !stale && !(whole && t.knownAt > 0) {
			continue
		}
		if !whole {
			t.changed, t.toldAt = false, now
		}
		r.Seen = append(r.Seen, &tlv1.Seen{
			Target: string(t.ID), OkMs: age(t.okAt, now), FailedMs: age(t.failedAt, now),
			Failed: t.failures, Late: t.lates, InFlight: uint32(t.mine), Unreachable: now < t.blockedUntil, Leaving: t.left,
			Life: t.lifeTold(), Failing: uint32(t.belief.Failing(&p.tuning.Model, now) * thousand), KnownMs: age(t.knownAt, now),
		})
	}
	if len(r.Seen) == 0 && !whole {
		return nil
	}
	p.reportSeq++
	r.Seq = p.reportSeq
	return r
}

const (
	// lifeBits of a life are told: two lives of one target are told apart by them.
	lifeBits = 0xffff
	// rebirthTold is how long after a target started again another node may not have heard of it.
	rebirthTold = 5 * clock.Second
)

// lifeTold is the target's life as other nodes are told of it; 0 if this node knows of no other.
func (t *target) lifeTold() uint32 {
	if t.rebornAt == 0 {
		return 0
	}
	return t.lifeTag()
}

func (t *target) lifeTag() uint32 {
	return uint32(t.Life&lifeBits) | (lifeBits + 1)
}

// otherLife says whether what another node has seen is of another life of the target: what it says of failures or
// of leaving is nothing to the present one.
func (t *target) otherLife(s *tlv1.Seen, now clock.Millis) bool {
	if s.GetLife() != 0 {
		return s.GetLife() != t.lifeTag()
	}
	return t.rebornAt > 0 && now-t.rebornAt < rebirthTold
}

func age(at, now clock.Millis) int64 {
	if at == 0 {
		return never
	}
	return int64(now - at)
}

// Hear takes in another node's report.
func (p *Pool) Hear(from ident.Process, r *tlv1.Report) {
	p.mu.Lock()
	now := p.clock.Now()
	p.peerEnded[from] = peerTally{tally: tally{asked: int(r.GetAsked()), unserved: int(r.GetUnserved()), failed: int(r.GetFailed())}, at: now}
	for _, s := range r.GetSeen() {
		if t := p.targets[ident.Target(s.GetTarget())]; t != nil && !t.otherLife(s, now) {
			p.hear(t, from, s, now)
		}
	}
	grants := p.grantWaiting()
	events := p.takeEvents()
	p.mu.Unlock()
	call(grants)
	p.tellAll(events)
}

// maxNews bounds how many failures one report counts for.
const maxNews = 2

func (p *Pool) hear(t *target, from ident.Process, s *tlv1.Seen, now clock.Millis) {
	m := &p.tuning.Model
	was := t.peers[from]
	if was == nil {
		was = &peerSeen{}
		t.peers[from] = was
	}
	if n := s.GetFailed() - was.failed; s.GetFailed() > was.failed && s.GetFailedMs() != never && clock.Millis(s.GetFailedMs()) < p.tuning.PeerAge {
		for range min(n, maxNews) {
			p.believe(t, from.Node, now, func(b *belief.Belief) { b.Failed(m, now) })
		}
	}
	if s.GetLate() > was.late {
		p.believe(t, from.Node, now, func(b *belief.Belief) { b.Late(m, now) })
	}
	was.late = s.GetLate()
	if t.knownAt == 0 && s.GetKnownMs() > 0 {
		t.knownAt = now - clock.Millis(s.GetKnownMs())
		p.believe(t, from.Node, now, func(b *belief.Belief) { *b = belief.Taken(float64(s.GetFailing())/thousand, now) })
	}
	okAt := now - clock.Millis(s.GetOkMs())
	if s.GetOkMs() != never && okAt > was.okAt+okGap && (s.GetFailedMs() == never || s.GetOkMs() < s.GetFailedMs()) && clock.Millis(s.GetOkMs()) < okFresh {
		p.believe(t, from.Node, now, func(b *belief.Belief) { b.Good(m, now) })
	}
	if s.GetOkMs() != never {
		was.okAt = okAt
	}
	p.worked = p.worked || s.GetInFlight() > 0
	for _, ms := range []int64{s.GetOkMs(), s.GetFailedMs()} {
		if ms != never {
			p.worked = true
			t.usedAt = max(t.usedAt, now-clock.Millis(ms))
		}
	}
	if s.GetFailedMs() != never {
		t.lastFailed = max(t.lastFailed, now-clock.Millis(s.GetFailedMs()))
	}
	p.hearWork(t, was, s, now)
	was.failed = s.GetFailed()
	if s.GetUnreachable() && (was.unreachableSince == 0 || was.okAt >= was.unreachableSince) {
		was.unreachableSince = now
	}
	was.inFlight, was.unreachable = int(s.GetInFlight()), s.GetUnreachable()
	was.at = now
	t.othersAt = 0
	if s.GetLeaving() {
		p.leave(t, from.Node, now)
	}
}

// hearWork notes what the report says of work at the target. A request in flight may be one that cannot connect, which
// shows when it ends.
func (p *Pool) hearWork(t *target, was *peerSeen, s *tlv1.Seen, now clock.Millis) {
	switch {
	case int(s.GetInFlight()) > was.inFlight:
		was.triedAt = now
	case s.GetInFlight() == 0 && was.inFlight > 0 && !s.GetUnreachable():
		t.usedAt = max(t.usedAt, was.triedAt)
	}
}

const (
	// okGap is how much later an answer must be than the last one to be another.
	okGap clock.Millis = 5
	// okFresh is how old a good answer may be to count.
	okFresh clock.Millis = 500
)
