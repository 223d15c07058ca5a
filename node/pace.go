package node

import (
	"sync"

	"github.com/tinladder/tinladder/clock"
	"github.com/tinladder/tinladder/forward"
	"github.com/tinladder/tinladder/latency"
	"github.com/tinladder/tinladder/pool"
)

// A routeStats is how long the requests of one route take at one service, and how large they are.
type routeStats struct {
	track *latency.Tracker

	mu        sync.Mutex
	meanBytes float64
}

func newRouteStats(c clock.Clock) *routeStats {
	return &routeStats{track: latency.New(c)}
}

const (
	// hedgeQuantile is the share of good answers that come sooner than a second attempt is made.
	hedgeQuantile = 0.9
	// hedgeDelayFactor is how many times as long as usual an attempt is waited for while too few answers of
	// its kind are known.
	hedgeDelayFactor = 2
	// bytesSmoothing is the part of a new size in the running mean, 1/8.
	bytesSmoothing = 8
)

// meanSize returns how large a request and its answer usually are.
func (p *routeStats) meanSize() float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.meanBytes
}

// addSize takes in the size of a request and its answer.
func (p *routeStats) addSize(n int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.meanBytes == 0 {
		p.meanBytes = float64(n)
		return
	}
	p.meanBytes += (float64(n) - p.meanBytes) / bytesSmoothing
}

// hedgeDelay is how long an attempt is waited for before a second one is made beside it.
func (p *routeStats) hedgeDelay(usual clock.Millis) clock.Millis {
	if q, known := p.track.Quantile(hedgeQuantile); known {
		return q
	}
	return hedgeDelayFactor * usual
}

// addAttempt counts a good answer.
func (p *routeStats) addAttempt(e attemptEnd, r *forward.Request, took clock.Millis) {
	if e.outcome != pool.Good {
		return
	}
	p.track.Add(took)
	p.addSize(max(r.Length, 0) + int64(len(e.response.Body)) + max(e.response.Length, 0))
}

// lostRaceOutcome says how an attempt counts that was given up since another answered first: it speaks against
// the target if most answers take less.
func (p *routeStats) lostRaceOutcome(took clock.Millis) pool.Outcome {
	q, known := p.track.Quantile(hedgeQuantile)
	if !known || took < q {
		return pool.Abandoned
	}
	p.track.Add(took)
	return pool.Late
}
