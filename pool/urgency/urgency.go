// Package urgency decides which requests of a service are admitted while it lacks room, so that all nodes that carry the
// service turn away the same, less urgent ones (docs/design/22-urgency-level.md). It does no I/O.
package urgency

import (
	"cmp"
	"math"
	"slices"

	"github.com/tinladder/tinladder/clock"
	"github.com/tinladder/tinladder/ident"
)

const (
	// Interval is the time between two updates of the level.
	Interval clock.Millis = 100
	// lasting is for how many updates in a row requests must wait too long for a lack to begin: a queue that drains
	// within them is no lack.
	lasting = 2
	// maxLag is how long updates may fail to come, as in a suspended process, before what is known is dropped.
	maxLag = 2 * clock.Second
	// maxWait bounds the wait of a request, as a multiple of what its objective allows.
	maxWait = 2
	// ownTarget and fleetTarget are the waits that this node's and the fleet's shares are moved toward. The fleet's is
	// lower: a wait that is halfway to the bound can be acted on before requests are late.
	ownTarget, fleetTarget = 1, 0.5
	// gain is the part of a share by which a miss of one moves it in one update: at the longest wait a share halves in
	// a quarter of a second, without any it doubles in three quarters.
	gain = 0.2
	// pull is the part of the way to the other nodes' share that this node's moves in one update.
	pull = 0.25
	// minShare is the least share of the requests that is admitted, and the least that a peer may claim.
	minShare = 0.1
	// keptShare is the part of the admitted share that the least urgent keep: somewhat more than the quarter below which
	// a kind of request counts as starved, since some of what is admitted fails.
	keptShare = 0.3
	// smoothing is what one interval counts in the mean wait, rateSmoothing in the rates of arrivals.
	smoothing, rateSmoothing = 0.5, 0.3
	// maxRetryAfter is how long callers are told to wait at most: a lack is expected to last as long again as it has.
	minRetryAfter, maxRetryAfter clock.Millis = 500, 3000
	// maxPeers bounds the peers that are remembered.
	maxPeers = 1024
)

// A Claim is what a node tells others of its lack of room.
type Claim struct {
	// Wait is the mean wait of its requests, as a multiple of what their objectives allow.
	Wait float64
	// Share is the share of the requests that it takes to be admitted.
	Share float64
	// Arrivals are the requests that come to it.
	Arrivals Rates
}

// A peer is what another node claims.
type peer struct {
	Claim
	id  ident.Process
	seq uint64
	at  clock.Millis
}

// A Level says which requests are admitted: those more urgent than Priority, Fraction of those at it, and Rest of the less
// urgent ones.
type Level struct {
	Priority       uint32
	Fraction, Rest float64
}

// State is what operators see of the level.
type State struct {
	// On says that there is a lack, and so a level.
	On bool
	Level
	// Share is the share of the requests that is admitted.
	Share float64
	// Wait is the mean wait at this node, PeersWait that at the others, PeersAge the age of their latest report; -1 if
	// there is none that counts.
	Wait, PeersWait float64
	PeersAge        clock.Millis
}

// A Control decides for one service on one node. It is not safe for concurrent use.
type Control struct {
	ttl    clock.Millis
	random func() float64

	own Rates
	// peers are in the order of their names: sums over them are the same at each run.
	peers []peer
	// share is admitted by the joined waits of the fleet, alone by this node's own.
	share, alone float64
	on           bool
	since        clock.Millis
	level        Level
	wait         float64
	// sum and count are of the waits since the last update.
	sum     float64
	count   int
	pressed int
	// ownPressed counts the updates in a row in which this node's own requests waited too long.
	ownPressed int
	updated    clock.Millis
	peersWait  float64
	peersAge   clock.Millis
}

// New returns a control that admits all. Claims of peers count for the ttl; random returns numbers in [0, 1).
func New(ttl clock.Millis, random func() float64) *Control {
	return &Control{ttl: ttl, random: random, share: 1, alone: 1, peersAge: -1}
}

// Admit counts a request that has arrived, and reports whether it is admitted.
func (c *Control) Admit(priority uint32) bool {
	c.own.count(priority)
	if !c.on || priority < c.level.Priority {
		return true
	}
	if priority == c.level.Priority {
		return c.random() < c.level.Fraction
	}
	return c.random() < c.level.Rest
}

// Waited records how long a request waited for a slot, as a multiple of what its objective allows.
func (c *Control) Waited(wait float64) {
	c.sum += bounded(wait, 0, maxWait)
	c.count++
}

// Due reports whether an update is due.
func (c *Control) Due(now clock.Millis) bool {
	return now-c.updated >= Interval
}

// Update moves the level. Before it the waits of the requests that are still queued are to be recorded; full says that
// nearly all slots are in use: else the peers' claims don't count.
func (c *Control) Update(now clock.Millis, full bool) {
	if now-c.updated > maxLag {
		c.reset(now)
		return
	}
	mean := 0.0
	if c.count > 0 {
		mean = c.sum / float64(c.count)
	}
	c.sum, c.count = 0, 0
	for ; c.updated+Interval <= now; c.updated += Interval {
		c.wait += smoothing * (mean - c.wait)
		c.own.close()
		c.step(c.updated+Interval, full)
	}
}

// reset forgets what was seen before a gap.
func (c *Control) reset(now clock.Millis) {
	c.own = Rates{}
	c.turnOff()
	c.wait, c.sum, c.count, c.pressed, c.ownPressed, c.updated = 0, 0, 0, 0, 0, now
}

func (c *Control) turnOff() {
	c.on, c.share, c.alone, c.level = false, 1, 1, Level{}
}

// step moves the shares once.
func (c *Control) step(now clock.Millis, full bool) {
	j := c.join(now, full)
	c.peersWait, c.peersAge = j.peersWait, j.age
	c.pressed, c.ownPressed = inARow(c.pressed, j.wait), inARow(c.ownPressed, c.wait)
	if !c.on {
		if j.rates.n < 2 || max(c.pressed, c.ownPressed) < lasting {
			return
		}
		c.on, c.since = true, now
	}
	c.share = moved(c.share, fleetTarget-j.wait)
	if j.weight > 0 {
		c.share += pull * (j.share - c.share)
	}
	c.alone = moved(c.alone, ownTarget-c.wait)
	if j.rates.n < 2 || c.share >= 1 && c.alone >= 1 {
		c.turnOff()
		return
	}
	c.setLevel(&j.rates)
}

func inARow(n int, wait float64) int {
	if wait < ownTarget {
		return 0
	}
	return n + 1
}

func moved(share, miss float64) float64 {
	return bounded(share*(1+gain*miss), minShare, 1)
}

// setLevel sets the level for the arrivals. The most urgent requests are refused by this node's own wait alone.
func (c *Control) setLevel(r *Rates) {
	c.level = r.level(min(c.share, c.alone))
	if first := r.kinds[0].priority; c.level.Priority == first {
		c.level.Fraction = 1
		if own := r.level(c.alone); own.Priority == first {
			c.level.Fraction = own.Fraction
		}
	}
}

// joined is what this node and its peers see.
type joined struct {
	// wait is the mean wait, weighted by the arrivals that the level admits; peersWait is that of the peers alone.
	wait, peersWait float64
	// share is the peers' mean share, and weight what it counts; 0 if no peer does.
	share, weight float64
	rates         Rates
	age           clock.Millis
}

func (c *Control) join(now clock.Millis, full bool) joined {
	j := joined{wait: c.wait, rates: c.own, age: -1}
	c.peers = slices.DeleteFunc(c.peers, func(p peer) bool { return now-p.at >= c.ttl })
	total := c.own.total()
	for i := range c.peers {
		total += c.peers[i].Arrivals.total()
	}
	if !full {
		return j
	}
	own := c.admitted(&c.own)
	for i := range c.peers {
		p := &c.peers[i]
		age := max(now-p.at, 0)
		arrivals := p.Arrivals.total()
		part := bounded((total-arrivals)/max(arrivals, 1), 0, 1) // no node counts more than all others together
		j.rates.add(&p.Arrivals, part)
		weight := part * c.admitted(&p.Arrivals) * (1 - float64(age)/float64(c.ttl))
		j.weight += weight
		j.peersWait += weight * p.Wait
		j.share += weight * p.Share
		if j.age < 0 || age < j.age {
			j.age = age
		}
	}
	if j.weight > 0 {
		j.wait = (own*c.wait + j.peersWait) / (own + j.weight)
		j.peersWait /= j.weight
		j.share /= j.weight
	}
	return j
}

// admitted returns how many of the arrivals the level admits, a second.
func (c *Control) admitted(r *Rates) float64 {
	sum := 0.0
	for _, k := range r.kinds[:r.n] {
		switch {
		case !c.on || k.priority < c.level.Priority:
			sum += k.rate
		case k.priority == c.level.Priority:
			sum += k.rate * c.level.Fraction
		default:
			sum += k.rate * c.level.Rest
		}
	}
	return sum
}

// Hear takes what a peer tells: a claim, or nil if it sees no lack. Reports that are doubled or older than the latest one
// change nothing; a seq of 0 stands for none.
func (c *Control) Hear(from ident.Process, seq uint64, claim *Claim, now clock.Millis) {
	i, known := slices.BinarySearchFunc(c.peers, from, func(p peer, id ident.Process) int {
		return cmp.Or(cmp.Compare(p.id.Node, id.Node), cmp.Compare(p.id.Incarnation, id.Incarnation))
	})
	switch {
	case known && seq != 0 && seq <= c.peers[i].seq:
	case claim == nil && known:
		c.peers = slices.Delete(c.peers, i, i+1)
	case claim == nil, !claim.wellFormed(), !known && len(c.peers) >= maxPeers:
	default:
		if !known {
			c.peers = slices.Insert(c.peers, i, peer{id: from})
		}
		p := &c.peers[i]
		p.Claim, p.seq, p.at = *claim, seq, now
		p.Wait, p.Share = bounded(p.Wait, 0, maxWait), bounded(p.Share, minShare, 1)
	}
}

func (c *Claim) wellFormed() bool {
	sum := c.Wait + c.Share + c.Arrivals.total()
	return c.Arrivals.n > 0 && !math.IsNaN(sum) && !math.IsInf(sum, 0) && c.Wait >= 0 && c.Share >= 0
}

// Claim returns what to tell the peers, if this node sees a lack.
func (c *Control) Claim() (claim Claim, lacks bool) {
	return Claim{Wait: c.wait, Share: c.share, Arrivals: c.own}, (c.on || c.pressed > 0 || c.ownPressed > 0) && c.own.n > 0
}

// RetryAfter returns when a request that was refused may be admitted: a lack is expected to last as long again as it has,
// and the share to take its time to return.
func (c *Control) RetryAfter(now clock.Millis) clock.Millis {
	back := -math.Log(min(c.share, c.alone)) / math.Log1p(gain*fleetTarget) * float64(Interval)
	return bounded(max(now-c.since, clock.Millis(back)), minRetryAfter, maxRetryAfter)
}

// State returns what there is to see of the level.
func (c *Control) State() State {
	return State{On: c.on, Level: c.level, Share: min(c.share, c.alone), Wait: c.wait, PeersWait: c.peersWait, PeersAge: c.peersAge}
}

func bounded[T float64 | clock.Millis](x, least, most T) T {
	return min(max(x, least), most)
}
