package soak

import (
	"cmp"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/tinladder/tinladder/platform/standin"
)

// An oracle keeps what callers saw, and compares it with what targets saw.
type oracle struct {
	world *world

	mu     sync.Mutex
	sent   []*sent
	probes []*probed
	calm   time.Time
	found  []string
	// unanswered are requests that went out whole to a node that was told to stop, and got no whole answer.
	unanswered []string
	// flood is the most requests of the flood that ran in a window, and floodSent the most that were sent in it too.
	flood, floodSent int
}

// A probed is a request that shows which desired state a node went by.
type probed struct {
	*sent
	version uint64
}

func newOracle(w *world) *oracle {
	return &oracle{world: w}
}

func (o *oracle) add(s *sent) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.sent = append(o.sent, s)
}

func (o *oracle) addProbe(s *sent, version uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.probes = append(o.probes, &probed{s, version})
}

// calmFrom says from when on the fleet must serve again.
func (o *oracle) calmFrom(t time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.calm = t
}

func (o *oracle) breach(promise, format string, args ...any) {
	o.found = append(o.found, promise+": "+fmt.Sprintf(format, args...))
}

// judge compares all that was seen.
func (o *oracle) judge() *Report {
	o.mu.Lock()
	defer o.mu.Unlock()
	runs := o.runs()
	r := &Report{}
	var back, calm int
	for _, s := range o.sent {
		r.Sent++
		o.checkAnswer(s)
		o.checkRuns(s, runs[s.id])
		o.checkCut(s, runs[s.id])
		o.checkTime(s)
		ok := s.status == http.StatusOK
		switch {
		case !s.left.IsZero():
			r.Left++
		case ok:
			r.Served++
		case isPromise(s.status):
			r.Refused++
		default:
			r.Failed++
		}
		if s.at.After(o.calm) && !s.stray {
			calm++
			if ok {
				back++
			}
		}
	}
	r.Back = float64(back) / float64(max(calm, 1))
	if r.Back < leastBack {
		o.breach("recovery", "%d of %d requests were served once all faults were over", back, calm)
	}
	o.checkEnds()
	o.checkLeaving()
	o.checkBudget()
	o.checkStates()
	o.checkKeys()
	o.checkLimit()
	o.checkTargetLimits()
	o.checkWordOfLeaving()
	o.checkRests()
	o.checkFloor()
	o.checkRank()
	o.checkGone()
	o.checkCrash()
	o.checkBodies()
	r.Breaches = o.found
	r.Unanswered = o.unanswered
	r.Flood, r.FloodSent = o.flood, o.floodSent
	return r
}

// leastBack is the least share of requests to be served once all faults are over.
const leastBack = 0.9

// runs returns how often each request ran.
func (o *oracle) runs() map[string]int {
	runs := map[string]int{}
	for _, t := range o.world.all() {
		for _, x := range t.Seen() {
			if x.Ran {
				runs[x.ID]++
			}
		}
	}
	return runs
}

// isPromise says whether the status tells a caller that its request has not run.
func isPromise(status int) bool {
	return status == http.StatusRequestTimeout || status == http.StatusMisdirectedRequest ||
		status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable
}

// checkAnswer: a success is the whole answer of a target to this request.
func (o *oracle) checkAnswer(s *sent) {
	if s.status == http.StatusOK && (!isAnswerTo(s.id, s.body) || s.mark != s.id) {
		o.breach("own answer", "%s: body of %d bytes %.60q, signature %q", s, len(s.body), s.body, s.mark)
	}
}

// checkRuns: run-once requests run at most once, and not at all if the caller was told so.
func (o *oracle) checkRuns(s *sent, runs int) {
	switch {
	case s.once && runs > 1:
		o.breach("once", "%s ran %d times", s, runs)
	case s.once && runs > 0 && isPromise(s.status):
		o.breach("not run", "%s ran", s)
	case !s.once && runs > routeAttempts:
		o.breach("attempts", "%s ran %d times, where its route allows %d", s, runs, routeAttempts)
	case s.status == http.StatusOK && runs == 0:
		o.breach("own answer", "%s was answered and never ran", s)
	}
}

// checkCut: a planned stop cuts no request that a target has, that was sent long before its end, or that came on a kept
// connection while the node had grace left. It notes all that got no whole answer.
func (o *oracle) checkCut(s *sent, runs int) {
	begun, stops := s.node.stopOf(s.life)
	if s.status != 0 || !s.left.IsZero() || !s.written || !stops || s.end.Before(begun) || s.node.struck(s.at.Add(-contact), s.end) {
		return
	}
	took := s.end.Sub(s.at)
	if took >= answerBound {
		return
	}
	text := fmt.Sprintf("%s, %s after its node was told to stop, on a connection that was kept: %t, ran %d times",
		s, s.end.Sub(begun).Round(time.Millisecond), s.kept, runs)
	o.unanswered = append(o.unanswered, text)
	if runs > 0 || took > lossSlack+machineSlack || s.kept && s.end.Sub(begun) < keptFor {
		o.breach("planned stop", "%s", text)
	}
}

// checkEnds: a node that is told to stop, and that nothing strikes meanwhile, ends within its grace period.
func (o *oracle) checkEnds() {
	for _, p := range o.world.nodes {
		for _, at := range p.outstayed {
			if !p.struck(at.Add(-grace), at) {
				o.breach("planned stop", "%s was still there at the end of its grace period, at %s", p.name, at.Format("15:04:05.000"))
			}
		}
	}
}

// checkTime: a node that runs answers within the route's time, one that was told to stop too.
func (o *oracle) checkTime(s *sent) {
	took := s.end.Sub(s.at)
	if took > routeTimeout+500*time.Millisecond+machineSlack && !s.node.struck(s.at.Add(-contact), s.end) {
		o.breach("time", "%s", s)
	}
}

// checkLeaving: a target that is known to be leaving gets no new work from nodes in touch.
func (o *oracle) checkLeaving() {
	nodes := map[string]*process{}
	for _, s := range o.sent {
		nodes[s.id] = s.node
	}
	for _, p := range o.probes {
		nodes[p.id] = p.node
	}
	for _, t := range o.world.all() {
		if t.leftAt.IsZero() {
			continue
		}
		for _, x := range t.Seen() {
			late := x.At.Sub(t.leftAt)
			if p := nodes[x.ID]; p != nil && late > drainTimeout+machineSlack && p.inTouch(t.leftAt.Add(-contact), x.At) {
				o.breach("leaving", "target %s got request %s of %s %s after it left", t.ID, x.ID, p.name, late)
			}
		}
	}
}

// checkBudget: further arrivals of requests stay within a share of the requests and a slack, in any
// window, for each service. Requests are those of the window, of the one before, or of the one half a
// window before, whichever has the most.
func (o *oracle) checkBudget() {
	for i, service := range services {
		var firsts, more []time.Time
		arrived := map[string]bool{}
		for _, x := range o.arrivals(service) {
			if arrived[x.ID] {
				more = append(more, x.At)
			}
			arrived[x.ID] = true
		}
		for _, s := range o.sent {
			if s.once == (i == 1) {
				firsts = append(firsts, s.at)
			}
		}
		for _, p := range o.probes {
			if i == 0 {
				firsts = append(firsts, p.at)
			}
		}
		slices.SortFunc(firsts, time.Time.Compare)
		for j, end := range more {
			n := 0
			for _, at := range more[:j+1] {
				if end.Sub(at) < retryWindow {
					n++
				}
			}
			asked := 0
			for _, back := range []time.Duration{0, retryWindow / 2, retryWindow} {
				asked = max(asked, count(firsts, end.Add(-back-retryWindow), end.Add(-back)))
			}
			if allowed := retryRatio*float64(asked) + budgetSlack; float64(n) > allowed {
				o.breach("retry budget", "service %s: %d further arrivals within %s, %.0f allowed", service, n, retryWindow, allowed)
				break
			}
		}
	}
}

// arrivals returns the requests that came to a service's targets, in order.
func (o *oracle) arrivals(service string) []standin.Seen {
	var list []standin.Seen
	for _, t := range o.world.all() {
		if t.Service == service {
			list = append(list, t.Seen()...)
		}
	}
	slices.SortFunc(list, func(a, b standin.Seen) int { return a.At.Compare(b.At) })
	return list
}

func count(times []time.Time, from, to time.Time) (n int) {
	for _, t := range times {
		if t.After(from) && !t.After(to) {
			n++
		}
	}
	return n
}

// checkStates: a desired state is in force in time on nodes that are in touch, and within one life a
// node does not go back.
func (o *oracle) checkStates() {
	type life struct {
		node *process
		n    int
	}
	newest := map[life]uint64{}
	slices.SortFunc(o.probes, func(a, b *probed) int { return cmp.Compare(a.at.UnixNano(), b.at.UnixNano()) })
	for _, p := range o.probes {
		l := life{p.node, p.life}
		unknown := p.status == http.StatusNotFound
		switch acked := o.world.acked[p.version]; {
		case unknown && newest[l] >= p.version && o.world.versionAt(p.end) <= p.version+1:
			o.breach("no way back", "%s, version %d, after version %d was in force", p.sent, p.version, newest[l])
		case unknown && p.at.Sub(acked) > configApply+machineSlack && o.world.versionAt(p.end) <= p.version+1 &&
			p.node.inTouch(acked.Add(-contact), p.end):
			o.breach("in force", "%s, version %d, %s after it was taken", p.sent, p.version, p.at.Sub(acked))
		case !unknown && p.status != 0 && p.status != http.StatusServiceUnavailable:
			newest[l] = max(newest[l], p.version)
		}
	}
}

// versionAt returns the newest version that the store had at the time.
func (w *world) versionAt(t time.Time) (newest uint64) {
	for v, at := range w.acked {
		if !at.After(t) {
			newest = max(newest, v)
		}
	}
	return newest
}
