package node

import (
	"sync"

	"github.com/tinladder/tinladder/clock"
	"github.com/tinladder/tinladder/forward"
	"github.com/tinladder/tinladder/latency"
	"github.com/tinladder/tinladder/pool"
)

// A pace is how long the requests of one route take at one service, and how large they are.
type pace struct {
	track *latency.Tracker

	mu    sync.Mutex
	bytes float64
}

func newPace(c clock.Clock) *pace {
	return &pace{track: latency.New(c)}
}

const (
	// hedgeShare is the share of good answers that come sooner than a second attempt is made.
	hedgeShare = 0.9
	// hedgeFactor is how many times as long as usual an attempt is waited for while too few answers of
	// its kind are known.
	hedgeFactor = 2
	// bytesSmoothing is the part of a new size in the running mean, 1/8.
	bytesSmoothing = 8
)

// size returns how large a request and its answer usually are.
func (p *pace) size() float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.bytes
}

// learnSize takes in the size of a request and its answer.
func (p *pace) learnSize(n int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.bytes == 0 {
		p.bytes = float64(n)
		return
	}
	p.bytes += (float64(n) - p.bytes) / bytesSmoothing
}

// patience is how long an attempt is waited for before a second one is made beside it.
func (p *pace) patience(usual clock.Millis) clock.Millis {
	if q, known := p.track.Quantile(hedgeShare); known {
		return q
	}
	return hedgeFactor * usual
}

// learn counts a good answer.
func (p *pace) learn(e end, r *forward.Request, took clock.Millis) {
	if e.outcome != pool.Good {
		return
	}
	p.track.Add(took)
	p.learnSize(max(r.Length, 0) + int64(len(e.answer.Body)) + max(e.answer.Length, 0))
}

// beaten says how an attempt counts that was given up since another answered first: it speaks against
// the target if most answers take less.
func (p *pace) beaten(took clock.Millis) pool.Outcome {
	q, known := p.track.Quantile(hedgeShare)
	if !known || took < q {
		return pool.Abandoned
	}
	p.track.Add(took)
	return pool.Late
}
