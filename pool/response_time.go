package pool

import "github.com/tinladder/tinladder/clock"

// The load pattern: some targets take many times longer than others, and requests that waited long in the queue have little
// time left. Given to a slow target, such a request would time out there for certain: its caller would wait for nothing,
// nobody would know whether a run-once request ran, and the slot would be lost to requests that have the time.

// responseTimeTTL is how long a target's response times count after its latest good response. A target that was slow for a
// while is not passed over for longer.
const responseTimeTTL = 5 * clock.Second

// addResponseTime records the time until a good response. A shorter time counts at once, longer ones by and by: requests of
// several routes take different times at one target, and only the shortest shows what cannot be done.
func (t *target) addResponseTime(took float64, now clock.Millis) {
	if now-t.respondedAt > responseTimeTTL || took < t.responseTime {
		t.responseTime = took
	} else {
		t.responseTime += (took - t.responseTime) / smoothing
	}
	t.respondedAt = now
}

// minResponseTime returns the least time that a request must be expected to take at the target; 0 if none is known.
func (t *target) minResponseTime(now clock.Millis) clock.Millis {
	if t.respondedAt == 0 || now-t.respondedAt > responseTimeTTL {
		return 0
	}
	return clock.Millis(t.responseTime)
}

// canRespond reports whether the target may respond before the request's deadline.
func (t *target) canRespond(a *Request, now clock.Millis) bool {
	return now+t.minResponseTime(now) <= a.Deadline
}

// giveUpAt returns when no target can respond before the request's deadline any more.
func (p *Pool) giveUpAt(a *Request) clock.Millis {
	now := p.clock.Now()
	least, found := clock.Millis(0), false
	for _, t := range p.order {
		if p.eligible(t, a, now) {
			if took := t.minResponseTime(now); !found || took < least {
				least, found = took, true
			}
		}
	}
	return a.Deadline - least
}
