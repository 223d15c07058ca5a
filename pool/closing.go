package pool

import (
	"github.com/tinladder/tinladder/clock"
	"github.com/tinladder/tinladder/ident"
	tlv1 "github.com/tinladder/tinladder/schema/tinladder/v1"
)

const (
	// closingsToPresume is how many consecutive responses must close their connections for the target to be presumed leaving.
	closingsToPresume = 3
	// maxClosingTime is how long after the first of them a target that leaves has ended. One that still responds closes
	// connections as a habit.
	maxClosingTime = 15 * clock.Second
	// maxPresumedShare bounds the share of a service's targets that are presumed leaving, since the rest must bear its load: a
	// proxy before the targets, or a new version of them, may close all connections.
	maxPresumedShare = 0.3
)

// closing is what responses of a target tell by closing their connections. A target that is leaving does so in all of them,
// others occasionally or always, so it is an inference, which later responses and time undo.
type closing struct {
	// count counts this node's consecutive responses that close, the first of which came at firstAt.
	count   int
	firstAt clock.Millis
	// since is when the responses began to close for which the target was presumed leaving last, at any node; 0 if it never was.
	since clock.Millis
	// keptAt is when any node is known to have last had a response that keeps its connection.
	keptAt clock.Millis
}

// isPresumedLeaving reports whether the target gets no requests, since it is likely to be leaving.
func (c *closing) isPresumedLeaving(now clock.Millis) bool {
	return c.since > c.keptAt && now-c.since < maxClosingTime
}

// SetCloseDelimited records that the connection of the response to the lease's request had to close, which tells nothing of
// the target. Call it before Done.
func (l *Lease) SetCloseDelimited() {
	l.closeDelimited = true
}

// recordClosing records whether a response closes its connection, and reports whether other nodes should know at once.
func (p *Pool) recordClosing(t *target, closes bool, now clock.Millis) (changed bool) {
	c := &t.closing
	if !closes {
		changed = c.isPresumedLeaving(now)
		c.count, c.keptAt = 0, now
		if changed {
			p.addEvent(Event{Kind: TargetKeepsConnections, Target: t.ID})
		}
		return changed
	}
	if c.count == 0 {
		c.firstAt = now
	}
	c.count++
	return c.count >= closingsToPresume && p.presumeLeaving(t, c.firstAt, "", now)
}

// presumeLeaving presumes that the target is leaving, whose responses began to close their connections at since, and reports
// whether that is new. It does not if it does so of too many targets of the service, or if the responses have closed for too
// long.
func (p *Pool) presumeLeaving(t *target, since clock.Millis, by ident.Node, now clock.Millis) bool {
	c := &t.closing
	if c.since > c.keptAt || since <= c.keptAt || now-since >= maxClosingTime || !p.mayPresumeMore(now) {
		return false
	}
	c.since = since
	p.addEvent(Event{Kind: TargetCloses, Target: t.ID, By: by})
	return true
}

// mayPresumeMore reports whether one more target may be presumed leaving.
func (p *Pool) mayPresumeMore(now clock.Millis) bool {
	presumed, all := 0, 0
	for _, t := range p.order {
		if t.mayWork() {
			all++
			if t.closing.isPresumedLeaving(now) {
				presumed++
			}
		}
	}
	return float64(presumed+1) <= maxPresumedShare*float64(all)
}

// report adds what other nodes need to know to the report of the target, if it was presumed leaving of late.
func (c *closing) report(s *tlv1.Seen, now clock.Millis) {
	if c.since > 0 && now-c.since < maxClosingTime {
		s.ClosingMs, s.KeptMs = max(age(c.since, now), 1), age(c.keptAt, now)
	}
}

// applyReportedClosing takes over what another node reports, with its age.
func (p *Pool) applyReportedClosing(t *target, by ident.Node, s *tlv1.Seen, now clock.Millis) {
	if s.GetClosingMs() <= 0 {
		return
	}
	if s.GetKeptMs() != never {
		t.closing.keptAt = max(t.closing.keptAt, now-clock.Millis(s.GetKeptMs()))
	}
	p.presumeLeaving(t, now-clock.Millis(s.GetClosingMs()), by, now)
}
