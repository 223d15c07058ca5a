package pool

import (
	"github.com/tinladder/tinladder/belief"
	"github.com/tinladder/tinladder/clock"
	"github.com/tinladder/tinladder/ident"
	tlv1 "github.com/tinladder/tinladder/schema/tinladder/v1"
)

// refreshesPerTTL is how often a load that does not change is told while it counts without being heard.
const refreshesPerTTL = 3

// permille is the unit of likelihoods in reports.
const permille = 1000

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
		stale := t.localInFlight > 0 && now-t.reportedAt >= p.tuning.PeerTTL/refreshesPerTTL
		if !t.reportPending && !stale && !(whole && t.evidenceAt > 0) {
			continue
		}
		if !whole {
			t.reportPending, t.reportedAt = false, now
		}
		r.Seen = append(r.Seen, &tlv1.Seen{
			Target: string(t.ID), OkMs: age(t.okAt, now), FailedMs: age(t.failedAt, now),
			Failed: t.failures, Late: t.lates, InFlight: uint32(t.localInFlight), Unreachable: now < t.blockedUntil, Leaving: t.announcedLeave,
			Life: t.reportedLife(), Failing: uint32(t.belief.FailingProb(&p.tuning.Model, now) * permille), KnownMs: age(t.evidenceAt, now),
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
	// restartGrace is how long after a target started again another node may not have heard of it.
	restartGrace = 5 * clock.Second
)

// reportedLife is the target's life as other nodes are told of it; 0 if this node knows of no other.
func (t *target) reportedLife() uint32 {
	if t.restartedAt == 0 {
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
	return t.restartedAt > 0 && now-t.restartedAt < restartGrace
}

func age(at, now clock.Millis) int64 {
	if at == 0 {
		return never
	}
	return int64(now - at)
}

// ApplyReport takes in another node's report.
func (p *Pool) ApplyReport(from ident.Process, r *tlv1.Report) {
	p.mu.Lock()
	now := p.clock.Now()
	p.peerTallies[from] = peerTally{tally: tally{asked: int(r.GetAsked()), unserved: int(r.GetUnserved()), failed: int(r.GetFailed())}, at: now}
	for _, s := range r.GetSeen() {
		if t := p.targets[ident.Target(s.GetTarget())]; t != nil && !t.otherLife(s, now) {
			p.applySeen(t, from, s, now)
		}
	}
	grants := p.grantWaiting()
	events := p.takeEvents()
	p.mu.Unlock()
	deliver(grants)
	p.emit(events)
}

// maxFailuresPerReport bounds how many failures one report counts for.
const maxFailuresPerReport = 2

func (p *Pool) applySeen(t *target, from ident.Process, s *tlv1.Seen, now clock.Millis) {
	m := &p.tuning.Model
	peer := t.peers[from]
	if peer == nil {
		peer = &peerView{}
		t.peers[from] = peer
	}
	if n := s.GetFailed() - peer.failed; s.GetFailed() > peer.failed && s.GetFailedMs() != never && clock.Millis(s.GetFailedMs()) < p.tuning.PeerTTL {
		for range min(n, maxFailuresPerReport) {
			p.updateBelief(t, from.Node, now, func(b *belief.Belief) { b.ObserveFailure(m, now) })
		}
	}
	if s.GetLate() > peer.late {
		p.updateBelief(t, from.Node, now, func(b *belief.Belief) { b.ObserveLate(m, now) })
	}
	peer.late = s.GetLate()
	if t.evidenceAt == 0 && s.GetKnownMs() > 0 {
		t.evidenceAt = now - clock.Millis(s.GetKnownMs())
		p.updateBelief(t, from.Node, now, func(b *belief.Belief) { *b = belief.FromPeer(float64(s.GetFailing())/permille, now) })
	}
	okAt := now - clock.Millis(s.GetOkMs())
	if s.GetOkMs() != never && okAt > peer.okAt+minOKGap && (s.GetFailedMs() == never || s.GetOkMs() < s.GetFailedMs()) && clock.Millis(s.GetOkMs()) < maxOKAge {
		p.updateBelief(t, from.Node, now, func(b *belief.Belief) { b.ObserveSuccess(m, now) })
	}
	if s.GetOkMs() != never {
		peer.okAt = okAt
	}
	p.sawTraffic = p.sawTraffic || s.GetInFlight() > 0
	for _, ms := range []int64{s.GetOkMs(), s.GetFailedMs()} {
		if ms != never {
			p.sawTraffic = true
			t.usedAt = max(t.usedAt, now-clock.Millis(ms))
		}
	}
	if s.GetFailedMs() != never {
		t.lastFailed = max(t.lastFailed, now-clock.Millis(s.GetFailedMs()))
	}
	p.inferWork(t, peer, s, now)
	peer.failed = s.GetFailed()
	if s.GetUnreachable() && (peer.unreachableSince == 0 || peer.okAt >= peer.unreachableSince) {
		peer.unreachableSince = now
	}
	peer.inFlight, peer.unreachable = int(s.GetInFlight()), s.GetUnreachable()
	peer.at = now
	t.peerInFlightAt = 0
	if s.GetLeaving() {
		p.markLeaving(t, from.Node, now)
	}
}

// inferWork notes what the report says of work at the target. A request in flight may be one that cannot connect, which
// shows when it ends.
func (p *Pool) inferWork(t *target, peer *peerView, s *tlv1.Seen, now clock.Millis) {
	switch {
	case int(s.GetInFlight()) > peer.inFlight:
		peer.triedAt = now
	case s.GetInFlight() == 0 && peer.inFlight > 0 && !s.GetUnreachable():
		t.usedAt = max(t.usedAt, peer.triedAt)
	}
}

const (
	// minOKGap is how much later an answer must be than the last one to be another.
	minOKGap clock.Millis = 5
	// maxOKAge is how old a good answer may be to count.
	maxOKAge clock.Millis = 500
)
