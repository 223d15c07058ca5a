package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"
)

const (
	// leaveEvery is the pause between two requests of a caller that leaves, and leaveLeast and leaveMost the
	// bounds of its patience: around the time that a target takes, so that some are answered.
	leaveEvery            = 150 * time.Millisecond
	leaveLeast, leaveMost = 10 * time.Millisecond, 300 * time.Millisecond
	// goneAfter is how long after its caller has left a request may still reach a target, or be worked on.
	goneAfter = 500 * time.Millisecond
	// goneFew is how many requests may reach targets later than that.
	goneFew = 3
	// goneShare is the share of the requests that would have lasted so long that may still be worked on.
	goneShare = 0.25
)

// leave sends requests and closes their connections before they are answered.
func (c *callers) leave(ctx context.Context, place int) {
	r := rand.New(rand.NewPCG(c.world.cfg.Seed, uint64(place)+300))
	for i := 0; ctx.Err() == nil; i++ {
		time.Sleep(leaveEvery)
		conn := dial(c.world.someNode(r))
		if conn == nil {
			continue
		}
		s := &sent{
			id: fmt.Sprintf("l%d-%d", place, i), path: "/get/", once: r.IntN(4) == 0, space: shops, key: c.world.key(),
			stray: true, patience: between(r, leaveLeast, leaveMost),
		}
		if s.once {
			s.path = "/once/"
		}
		conn.send(s)
		if s.status == 0 && s.end.Sub(s.at) >= s.patience {
			s.left = s.end
		}
		conn.close()
		c.oracle.add(s)
	}
}

// leftEarly returns the requests whose callers left nodes in touch, long enough ago to be judged, by their ids.
func (o *oracle) leftEarly() map[string]*sent {
	list := map[string]*sent{}
	for _, s := range o.sent {
		bound := s.left.Add(goneAfter + machineSlack)
		if !s.left.IsZero() && s.written && bound.Before(time.Now()) && s.node.inTouch(s.at.Add(-contact), bound) {
			list[s.id] = s
		}
	}
	return list
}

// checkGone: what a caller has left reaches no target any more, and targets do not go on with what may be repeated.
func (o *oracle) checkGone() {
	left := o.leftEarly()
	late, lasting, still := 0, 0, 0
	for _, t := range o.world.all() {
		for _, x := range t.Seen() {
			if s := left[x.ID]; s != nil && x.At.Sub(s.left) > goneAfter+lossSlack {
				late++
			}
		}
		for _, h := range t.Hangs() {
			s := left[h.ID]
			if s == nil || s.once || h.From.Sub(s.left) > goneAfter {
				continue
			}
			lasting++
			if h.To.IsZero() || h.To.Sub(s.left) > goneAfter+machineSlack {
				still++
			}
		}
	}
	if late > goneFew {
		o.breach("gone", "%d of %d requests reached a target over %s after their callers had left", late, len(left), goneAfter+lossSlack)
	}
	if float64(still) > goneShare*float64(lasting) {
		o.breach("gone", "%d of %d requests were worked on over %s after their callers had left", still, lasting, goneAfter+machineSlack)
	}
}
