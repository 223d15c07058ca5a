package node

import (
	"sync"

	"github.com/tinladder/tinladder/clock"
	"github.com/tinladder/tinladder/forward"
	"github.com/tinladder/tinladder/latency"
	"github.com/tinladder/tinladder/pool"
	"github.com/tinladder/tinladder/pool/speed"
)

// routeStats tracks the latency and size of the requests of one route to one service.
type routeStats struct {
	track *latency.Tracker

	mu        sync.Mutex
	meanBytes float64
	work      speed.Work
}

func newRouteStats(c clock.Clock) *routeStats {
	return &routeStats{track: latency.New(c)}
}

const (
	// hedgeQuantile is the quantile of latency after which a second attempt is made.
	hedgeQuantile = 0.9
	// hedgeDelayFactor times the service time is waited instead while too few latencies are known.
	hedgeDelayFactor = 2
	// bytesSmoothing is the divisor of an exponential moving average: a new size counts for 1/8.
	bytesSmoothing = 8
)

// meanSize returns the moving average of the size of a request and its response.
func (p *routeStats) meanSize() float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.meanBytes
}

// addSize adds the size of a request and its response.
func (p *routeStats) addSize(n int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.meanBytes == 0 {
		p.meanBytes = float64(n)
		return
	}
	p.meanBytes += (float64(n) - p.meanBytes) / bytesSmoothing
}

// usualWork returns how long the median target usually takes for a request; 0 if that is not known.
func (p *routeStats) usualWork() clock.Millis {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.work.Usual()
}

// addWork adds how long the median target would have taken for a request, in milliseconds.
func (p *routeStats) addWork(millis float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.work.Add(millis)
}

// hedgeDelay returns how long to wait for an attempt before a second one is made in parallel.
func (p *routeStats) hedgeDelay(usual clock.Millis) clock.Millis {
	if q, known := p.track.Quantile(hedgeQuantile); known {
		return q
	}
	return hedgeDelayFactor * usual
}

// addAttempt adds the latency and size of an attempt, if its response was good.
func (p *routeStats) addAttempt(e attemptEnd, r *forward.Request, took clock.Millis) {
	if e.outcome != pool.Good {
		return
	}
	p.track.Add(took)
	if ms := e.lease.MedianTime(); ms > 0 {
		p.addWork(ms)
	}
	p.addSize(max(r.Length, 0) + int64(len(e.response.Body)) + max(e.response.Length, 0))
}

// lostRaceOutcome returns the outcome of an attempt that was canceled since another one responded first. It counts
// against the target if most responses take less time; slower is how many times longer the target is known to take.
func (p *routeStats) lostRaceOutcome(took clock.Millis, slower float64) pool.Outcome {
	q, known := p.track.Quantile(hedgeQuantile)
	if !known || float64(took) < float64(q)*slower {
		return pool.Abandoned
	}
	p.track.Add(took)
	return pool.Late
}
