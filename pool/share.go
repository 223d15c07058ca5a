package pool

import (
	"github.com/tinladder/tinladder/belief"
	"github.com/tinladder/tinladder/clock"
	"github.com/tinladder/tinladder/ident"
	tlv1 "github.com/tinladder/tinladder/schema/tinladder/v1"
)

// refreshesPerTTL is how often an unchanged load is reported again within Tuning.PeerTTL.
const refreshesPerTTL = 3

// permille is the unit of probabilities in reports.
const permille = 1000

// never stands for the age of something that did not happen yet.
const never = -1

// Report returns what this node has observed of the targets, for the nodes of all halls: of those that changed, and
// periodically of those that it has requests at, or of all that it has evidence on if whole is set. It returns nil if
// there is nothing to report.
func (p *Pool) Report(whole bool) *tlv1.Report {
	p.mu.Lock()
	defer p.mu.Unlock()
	defer func() { p.reach.reportPending = p.reach.reportPending && whole }()
	now := p.clock.Now()
	return p.report(now, whole, false, func(t *target) bool {
		if whole {
			return t.evidenceAt > 0 || t.reportPending || p.refreshDue(t, now)
		}
		changed := t.reportPending || t.homeReportPending || t.farReportPending || t.localInFlight != t.farInFlight
		if !changed && !p.refreshDue(t, now) {
			return false
		}
		t.reportPending, t.homeReportPending, t.farReportPending = false, false, false
		t.farInFlight, t.reportedAt = t.localInFlight, now
		return true
	})
}

// ReportNearby returns what this node has observed of the targets that changed, for the nodes of this hall and of the hall
// home. The other halls are still to be told: Report includes these changes again.
func (p *Pool) ReportNearby(home ident.Hall) *tlv1.Report {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	return p.report(now, false, true, func(t *target) bool {
		atHome := t.Hall == home
		if !t.reportPending && !(atHome && t.homeReportPending) && !p.refreshDue(t, now) {
			return false
		}
		t.reportPending, t.reportedAt = false, now
		t.homeReportPending = t.homeReportPending && !atHome
		return true
	})
}

// report returns a report on the targets that include selects, or nil if it is empty. nearby says that it is not for all halls.
func (p *Pool) report(now clock.Millis, whole, nearby bool, include func(t *target) bool) *tlv1.Report {
	ended := p.ended.sum(now)
	r := &tlv1.Report{Whole: whole, Asked: uint32(ended.asked), Unserved: uint32(ended.unserved), Failed: uint32(ended.failed), CutOff: p.reach.cutOff, Lack: p.reportedLack()}
	for _, t := range p.order {
		if include(t) {
			r.Seen = append(r.Seen, p.seen(t, now))
		}
	}
	if len(r.Seen) == 0 && !whole && !p.reach.reportPending && !p.claimsDue(nearby) {
		return nil
	}
	p.addClaims(r, nearby, now)
	p.reportSeq++
	r.Seq = p.reportSeq
	return r
}

// seen returns what this node has observed of the target.
func (p *Pool) seen(t *target, now clock.Millis) *tlv1.Seen {
	ratio, samples := t.speed.own.View(now).Report()
	s := &tlv1.Seen{
		Target: string(t.ID), OkMs: age(t.okAt, now), FailedMs: age(t.failedAt, now),
		Failed: t.failures, Late: t.lates, InFlight: uint32(t.localInFlight), Unreachable: now < t.blockedUntil, Leaving: t.announcedLeave,
		Life: t.reportedLife(), Failing: uint32(t.belief.FailingProb(&p.tuning.Model, now) * permille), KnownMs: age(t.evidenceAt, now),
		RateLimit: t.reportedLimit(now), RelativeTime: ratio, TimeSamples: samples,
	}
	t.closing.report(s, now)
	return s
}

// refreshDue reports whether an unchanged load has to be reported again, so that other nodes do not drop it.
func (p *Pool) refreshDue(t *target, now clock.Millis) bool {
	return t.localInFlight > 0 && now-t.reportedAt >= p.tuning.PeerTTL/refreshesPerTTL
}

// markLoadChanged notes that the target's load has changed. Nodes of other halls than the target's are told with the next
// report to all, if the load differs from the last one that they were told.
func (t *target) markLoadChanged() {
	t.reportPending, t.homeReportPending = true, true
}

const (
	// lifeBits masks the bits of Target.Life that are reported: enough to distinguish two generations of a target.
	lifeBits = 0xffff
	// restartGrace is how long after a target's restart other nodes may not know of it.
	restartGrace = 5 * clock.Second
)

// reportedLife returns the target's generation for reports; 0 if this node knows of no restart.
func (t *target) reportedLife() uint32 {
	if t.restartedAt == 0 {
		return 0
	}
	return t.lifeTag()
}

func (t *target) lifeTag() uint32 {
	return uint32(t.Life&lifeBits) | (lifeBits + 1)
}

// otherLife reports whether another node's observation is of another generation of the target: its failures and its
// leaving do not apply to the present one.
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

// ApplyReport merges another node's report.
func (p *Pool) ApplyReport(from ident.Process, r *tlv1.Report) {
	p.mu.Lock()
	now := p.clock.Now()
	p.peerTallies[from] = peerTally{tally: tally{asked: int(r.GetAsked()), unserved: int(r.GetUnserved()), failed: int(r.GetFailed())}, at: now}
	p.reach.applyReport(from, r.GetCutOff())
	p.applyReportedLack(from, r, now)
	p.applyClaims(from, r, now)
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

// maxFailuresPerReport limits how many failures one report counts for.
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
	p.applyReportedSpeed(t, peer, s, now)
	p.applyReportedLimit(t, from.Node, s.GetRateLimit(), now)
	p.applyReportedClosing(t, from.Node, s, now)
	if s.GetLeaving() {
		p.markLeaving(t, from.Node, now)
	}
}

// inferWork derives from the report when the target had work. A request in flight may be one that cannot connect,
// which shows when it ends.
func (p *Pool) inferWork(t *target, peer *peerView, s *tlv1.Seen, now clock.Millis) {
	switch {
	case int(s.GetInFlight()) > peer.inFlight:
		peer.triedAt = now
	case s.GetInFlight() == 0 && peer.inFlight > 0 && !s.GetUnreachable():
		t.usedAt = max(t.usedAt, peer.triedAt)
	}
}

const (
	// minOKGap is how much later than the last one a response must be to count as a new one.
	minOKGap clock.Millis = 5
	// maxOKAge is how old a good response may be to count.
	maxOKAge clock.Millis = 500
)
