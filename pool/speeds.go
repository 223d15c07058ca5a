package pool

import (
	"github.com/tinladder/tinladder/clock"
	"github.com/tinladder/tinladder/pool/speed"
	tlv1 "github.com/tinladder/tinladder/schema/tinladder/v1"
)

// The load pattern: targets of one service take one, two and four times the usual time, and kinds of request of different
// work share them. With one mean time for all, a slow target looks like any other until its responses are late, and then
// like one that fails. With the times known, kinds with little time go to fast targets, and slow ones get the others.

const (
	// speedsInterval is how often the estimates are computed.
	speedsInterval clock.Millis = 100
	// slowAbove is the ratio to the median target's time above which a target is reported as slow, usualBelow the one
	// below which it no longer is, and slowSamples how many samples that takes.
	slowAbove, usualBelow = 1.5, 1.25
	slowSamples           = 3
)

// targetSpeed is what is known of how long a target takes.
type targetSpeed struct {
	own    speed.Mean
	others speed.Views
	// factor is how many times longer than the median target the target is expected to take, seen the same without the
	// allowance for few samples, in octaves, and samples how many samples of all nodes stand behind that.
	factor, seen, samples float64
	// slow says that the target was reported as slow.
	slow bool
}

// speeds is what a pool knows of all targets' times.
type speeds struct {
	// pace is how many times longer than the work of a request the median target takes; paceFactor is the same as a
	// ratio.
	pace       speed.Mean
	paceFactor float64
	// medianTime is the running mean of the service time at the median target.
	medianTime float64
	updatedAt  clock.Millis
	estimates  []speed.Estimate
	buf        []float64
}

func newSpeeds(first clock.Millis) speeds {
	return speeds{paceFactor: 1, medianTime: float64(first)}
}

// usualTime returns how long the median target takes for a request of the work; 0 stands for work that is not known.
func (p *Pool) usualTime(work clock.Millis) float64 {
	switch {
	case !p.tuning.TargetSpeeds:
		return p.serviceTime
	case work > 0:
		return float64(work) * p.speeds.paceFactor
	}
	return p.speeds.medianTime
}

// addTime records how long a target worked on a request that it responded to well. Nothing else says how fast it is: if
// attempts that were given up did, one that hangs would count as slow, and its silence would no longer be held against it.
func (p *Pool) addTime(l *Lease, took float64, now clock.Millis) {
	t := l.target
	if l.start < t.WarmAt {
		return
	}
	l.medianTime = took
	if !p.tuning.TargetSpeeds {
		return
	}
	l.medianTime = took / speed.Ratio(t.speed.seen)
	octaves := speed.Octaves(took, p.speeds.medianTime)
	if l.work > 0 {
		octaves = speed.Octaves(took, float64(l.work))
		p.speeds.pace.Add(octaves-t.speed.seen, now)
		p.speeds.paceFactor = speed.Ratio(p.speeds.pace.Octaves())
		octaves -= p.speeds.pace.Octaves()
	}
	p.speeds.medianTime += (l.medianTime - p.speeds.medianTime) / smoothing
	t.speed.own.Add(octaves, now)
}

// updateSpeeds computes all targets' estimates anew, relative to the median, if that is due.
func (p *Pool) updateSpeeds(now clock.Millis) {
	s := &p.speeds
	if !p.tuning.TargetSpeeds || now-s.updatedAt < speedsInterval {
		return
	}
	s.updatedAt = now
	s.estimates = s.estimates[:0]
	for _, t := range p.order {
		s.estimates = append(s.estimates, speed.Join(&t.speed.own, &t.speed.others, now))
	}
	var median float64
	median, s.buf = speed.Median(s.estimates, s.buf)
	for i, t := range p.order {
		e := s.estimates[i]
		var expected float64
		expected, t.speed.seen = e.Relative(median, now-t.usedAt)
		t.speed.factor, t.speed.samples = speed.Ratio(expected), e.Samples()
		p.noteSlow(t)
	}
}

// noteSlow adds an event if the target has become slow, or is no longer.
func (p *Pool) noteSlow(t *target) {
	s := &t.speed
	switch {
	case !s.slow && s.factor > slowAbove && s.samples >= slowSamples:
		s.slow = true
		p.addEvent(Event{Kind: TargetSlow, Target: t.ID, Slower: s.factor})
	case s.slow && s.factor < usualBelow:
		s.slow = false
		p.addEvent(Event{Kind: TargetUsual, Target: t.ID, Slower: s.factor})
	}
}

// applyReportedSpeed merges what another node says of the target's time.
func (p *Pool) applyReportedSpeed(t *target, peer *peerView, s *tlv1.Seen, now clock.Millis) {
	if p.tuning.TargetSpeeds {
		v := speed.ReadView(s.GetRelativeTime(), s.GetTimeSamples(), now)
		peer.speed = t.speed.others.Replace(peer.speed, v, t.speed.own.Weight(now), now)
	}
}

// workAhead returns how long the median target takes for all waiters that go before the request, and for itself.
func (p *Pool) workAhead(a *Request) float64 {
	sum := p.usualTime(a.Work)
	for w := range p.waiting.each {
		if w.request.Priority <= a.Priority {
			sum += p.usualTime(w.request.Work)
		}
	}
	return sum
}

// MedianTime returns how long the median target would have taken for the lease's request, in milliseconds; 0 unless the
// attempt has ended with a good response of a target that has warmed up.
func (l *Lease) MedianTime() float64 {
	return l.medianTime
}

// UsualTime returns how long the target is expected to take for the lease's request, and at least the running mean of all
// targets.
func (l *Lease) UsualTime() clock.Millis {
	p := l.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	return clock.Millis(max(p.serviceTime, p.usualTime(l.work)*l.target.speed.factor))
}

// Slower returns how many times longer than the median target the lease's target is known to take; at least 1.
func (l *Lease) Slower() float64 {
	l.pool.mu.Lock()
	defer l.pool.mu.Unlock()
	return max(l.target.speed.factor, 1)
}
