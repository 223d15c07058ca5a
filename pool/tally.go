package pool

import "github.com/tinladder/tinladder/clock"

// tally counts requests that ended (asked), those without a good response except for trials (unserved), and those
// of them that did not just time out (failed).
type tally struct {
	asked, unserved, failed int
}

func (t *tally) add(o tally) {
	t.asked += o.asked
	t.unserved += o.unserved
	t.failed += o.failed
}

// windowParts is the number of parts of a window, which expire one by one.
const windowParts = 8

// window counts what ended within a sliding time span.
type window struct {
	part  clock.Millis
	parts [windowParts]tally
	last  clock.Millis
}

func newWindow(span clock.Millis) *window {
	return &window{part: max(span/windowParts, 1)}
}

// advance moves the window on to now.
func (w *window) advance(now clock.Millis) {
	n := now / w.part
	for i := max(w.last+1, n-windowParts+1); i <= n; i++ {
		w.parts[i%windowParts] = tally{}
	}
	w.last = max(w.last, n)
}

func (w *window) count(now clock.Millis, e Result) {
	w.advance(now)
	t := &w.parts[w.last%windowParts]
	t.asked++
	if e == TimedOut || e == Unserved {
		t.unserved++
	}
	if e == Unserved {
		t.failed++
	}
}

func (w *window) sum(now clock.Millis) (s tally) {
	w.advance(now)
	for _, t := range w.parts {
		s.add(t)
	}
	return s
}

// Result says how a request ended.
type Result int

// Results of requests.
const (
	// Served means that the request got a good response, or that its caller left.
	Served Result = iota
	// TimedOut means that the request timed out at a target.
	TimedOut
	// TrialFailed means that the request failed at a target that was tried to spread work. It is no sign of
	// trouble: otherwise trials would cause more trials.
	TrialFailed
	// Unserved means that the request failed otherwise, or was refused.
	Unserved
)

// RecordResult counts a request that ended.
func (p *Pool) RecordResult(e Result) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ended.count(p.clock.Now(), e)
}

// recentTotals sums the recent requests of this node and of the peers that reported recently.
func (p *Pool) recentTotals(now clock.Millis) tally {
	s := p.ended.sum(now)
	for from, o := range p.peerTallies {
		if now-o.at <= p.tuning.PeerTTL {
			s.add(o.tally)
		} else {
			delete(p.peerTallies, from)
		}
	}
	return s
}
