package pool

import "github.com/tinladder/tinladder/clock"

// A tally counts requests that ended, those that got no good answer but for trials, and those of them that did not
// just run out of time.
type tally struct {
	asked, unserved, failed int
}

func (t *tally) add(o tally) {
	t.asked += o.asked
	t.unserved += o.unserved
	t.failed += o.failed
}

// windowParts is how finely a window moves on.
const windowParts = 8

// A window counts what ended lately.
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

// An Result says how a request ended.
type Result int

// Ends of requests.
const (
	// Served requests got a good answer, or lost their caller.
	Served Result = iota
	// TimedOut requests ran out of time at a target.
	TimedOut
	// TrialFailed requests failed at a target that was tried to spread work. They are no sign of trouble: if they were,
	// trials would ask for more trials.
	TrialFailed
	// Unserved requests failed otherwise, or were refused.
	Unserved
)

// RecordResult tells how a request ended.
func (p *Pool) RecordResult(e Result) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ended.count(p.clock.Now(), e)
}

// recentTotals counts the requests of late, over the nodes that are heard.
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
