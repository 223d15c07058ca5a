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
	// fleetTarget is the wait that the share is moved toward, and at which a lack begins: halfway to what objectives
	// allow, it can be acted on before requests are late. ownTarget is that of this node's most urgent requests.
	fleetTarget, ownTarget = 0.5, 1
	// gain is the part of a share by which a miss of one moves it in one update: at the longest wait a share halves in
	// a quarter of a second, without any it doubles in three quarters.
	gain = 0.2
	// roomGain is by how much the share grows in one update while slots are free and hardly anything waits.
	roomGain = 0.3
	// pull is the part of the way to the other nodes' share that this node's moves in one update.
	pull = 0.25
	// minShare is the least share of the requests that is admitted, and the least that a peer may claim.
	minShare = 0.1
	// drain and most bound what is admitted while all slots are in use, as a multiple of what the targets take: a tenth
	// less empties the queues, a tenth more finds out whether they take more.
	drain, most = 0.9, 1.1
	// keptShare is the part of the admitted share that the least urgent keep: somewhat more than the quarter below which
	// a kind of request counts as starved, since some of what is admitted fails.
	keptShare = 0.3
	// smoothing is what one interval counts in the mean wait, rateSmoothing in rates.
	smoothing, rateSmoothing = 0.5, 0.3
	// maxRetryAfter is how long callers are told to wait at most: a lack is expected to last as long again as it has.
	minRetryAfter, maxRetryAfter clock.Millis = 500, 3000
	// maxPeers bounds the peers that are remembered.
	maxPeers = 1024
	// Peers' waits count from when this share of the slots is in use, until it is below the other: reports of requests
	// that ended are under way.
	fullAbove, fullBelow = 0.85, 0.7
)

// A Claim is what a node tells others of its lack of room.
type Claim struct {
	// Wait is the mean wait of its requests, as a multiple of what their objectives allow.
	Wait float64
	// Share is the share of the requests that it takes to be admitted.
	Share float64
	// Granted is how many of its requests get a slot, a second.
	Granted float64
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
	ttl clock.Millis
	own Rates
	// peers are in the order of their names: sums over them are the same at each run.
	peers []peer
	// share is the share of the fleet's requests that is admitted, alone that of this node's most urgent ones by their
	// own wait.
	share, alone float64
	on, full     bool
	since        clock.Millis
	level        Level
	// wait is the mean wait of the requests that the level admits, firstWait that of the most urgent ones, longest that of
	// the priority that waits the longest.
	wait, firstWait, longest float64
	// granted is how many requests get a slot, a second, grants how many got one since the last interval.
	granted float64
	grants  int
	pressed int
	updated clock.Millis
	// peersWait and peersAge are for operators.
	peersWait float64
	peersAge  clock.Millis
}

// New returns a control that admits all. Claims of peers count for the ttl.
func New(ttl clock.Millis) *Control {
	return &Control{ttl: ttl, share: 1, alone: 1, peersAge: -1}
}

// Arrived counts a request that has arrived.
func (c *Control) Arrived(priority uint32) {
	c.own.at(priority).arrived++
}

// Admits reports whether a request is admitted; draw is its own random number in [0, 1). One that is admitted while it
// arrives may not be any more while it is queued.
func (c *Control) Admits(priority uint32, draw float64) bool {
	return draw < c.fraction(priority)
}

// fraction returns how many of the requests of a priority are admitted.
func (c *Control) fraction(priority uint32) float64 {
	switch {
	case !c.on || priority < c.level.Priority:
		return 1
	case priority == c.level.Priority:
		return c.level.Fraction
	}
	return c.level.Rest
}

// Granted records that a request got a slot after a wait, as a multiple of what its objective allows.
func (c *Control) Granted(priority uint32, wait float64) {
	c.grants++
	c.Waiting(priority, wait)
}

// Waiting records how long a request that is still queued has waited.
func (c *Control) Waiting(priority uint32, wait float64) {
	k := c.own.at(priority)
	k.waits += bounded(wait, 0, maxWait)
	k.waited++
}

// Due reports whether an update is due.
func (c *Control) Due(now clock.Millis) bool {
	return now-c.updated >= Interval
}

// Update moves the level. Before it the waits of the requests that are still queued are to be recorded; inUse is the share
// of the slots in use.
func (c *Control) Update(now clock.Millis, inUse float64) {
	if now-c.updated > maxLag {
		c.reset(now)
		return
	}
	c.full = inUse >= fullAbove || c.full && inUse >= fullBelow
	wait, firstWait, longest := c.own.meanWait(c.fraction), c.own.firstWait(), c.own.longestWait()
	for ; c.updated+Interval <= now; c.updated += Interval {
		c.wait += smoothing * (wait - c.wait)
		c.firstWait += smoothing * (firstWait - c.firstWait)
		c.longest += smoothing * (longest - c.longest)
		c.granted += rateSmoothing * (perSecond(c.grants) - c.granted)
		c.grants = 0
		c.own.close()
		c.step(c.updated + Interval)
	}
}

// perSecond returns the rate at which so many came in an interval.
func perSecond(n int) float64 {
	return float64(n) * float64(clock.Second/Interval)
}

// reset forgets what was seen before a gap.
func (c *Control) reset(now clock.Millis) {
	*c = Control{ttl: c.ttl, peers: c.peers, share: 1, alone: 1, peersAge: -1, updated: now}
}

// step moves the shares once.
func (c *Control) step(now clock.Millis) {
	j := c.join(now)
	c.peersWait, c.peersAge = j.peersWait, j.age
	if j.wait >= fleetTarget {
		c.pressed++
	} else {
		c.pressed = 0
	}
	if !c.on {
		if j.rates.n < 2 || c.pressed < lasting {
			return
		}
		c.on, c.since, c.share = true, now, 1
	}
	c.moveShare(&j)
	if j.rates.n < 2 || c.share >= 1 {
		c.on, c.share, c.alone = false, 1, 1
		return
	}
	c.setLevel(&j.rates)
}

// setLevel sets the level for the arrivals. The most urgent requests are refused only by what waits here: they
// themselves, or the less urgent ones that they leave too little.
func (c *Control) setLevel(r *Rates) {
	c.level = r.level(c.share)
	first, wait := c.level.Priority == r.kinds[0].priority, c.firstWait
	if first {
		wait = c.longest
	}
	c.alone = bounded(c.alone*(1+gain*(ownTarget-wait)), minShare, 1)
	if first {
		c.level.Fraction = max(c.level.Fraction, c.alone)
	}
}

// moveShare moves the share toward the target, and near what the targets take. A peer that claims too much of that must
// not keep the share too high for what waits here.
func (c *Control) moveShare(j *joined) {
	taken := j.granted / max(j.rates.total(), 1)
	ownTaken := c.granted / max(c.own.total(), 1)
	wait, own := j.wait, c.wait
	if c.on && c.level.Priority == j.rates.kinds[0].priority {
		own = c.longest // the few that are less urgent hardly count in the mean
	}
	late := own >= ownTarget // whatever peers say
	if late {
		wait = max(wait, own)
	}
	change := gain * (fleetTarget - wait)
	if !c.full && change > 0 {
		change = roomGain
	}
	c.share *= 1 + change
	if j.weight > 0 && (!late || j.share < c.share) {
		c.share += pull * j.weight * (j.share - c.share)
	}
	if c.full {
		c.share = min(c.share, most*taken)
	}
	c.share = bounded(max(c.share, drain*min(taken, ownTaken)), minShare, 1)
}

// joined is what this node and its peers see.
type joined struct {
	// wait is the mean wait, weighted by the arrivals that the level admits; peersWait is that of the peers alone.
	wait, peersWait float64
	// share is the peers' mean share, and weight their part of what is admitted.
	share, weight float64
	// granted is how many requests get a slot, a second.
	granted float64
	rates   Rates
	age     clock.Millis
}

func (c *Control) join(now clock.Millis) joined {
	c.peers = slices.DeleteFunc(c.peers, func(p peer) bool { return now-p.at >= c.ttl })
	j := joined{wait: c.wait, granted: c.granted, rates: c.own, age: -1}
	own, total := c.admitted(&c.own), c.own.total()
	for i := range c.peers {
		total += c.peers[i].Arrivals.total()
	}
	for i := range c.peers {
		p := &c.peers[i]
		if p.Arrivals.n == 0 {
			continue
		}
		arrivals, age := p.Arrivals.total(), max(now-p.at, 0)
		part := bounded((total-arrivals)/max(arrivals, 1), 0, 1) // no node counts more than all others together
		part *= 1 - float64(age)/float64(c.ttl)
		j.rates.add(&p.Arrivals, part)
		j.granted += part * min(p.Granted, arrivals)
		if j.age < 0 || age < j.age {
			j.age = age
		}
		if c.full { // else there is room, whatever peers say
			weight := part * c.admitted(&p.Arrivals)
			j.weight += weight
			j.peersWait += weight * p.Wait
			j.share += weight * p.Share
		}
	}
	if j.weight > 0 {
		j.wait = (own*c.wait + j.peersWait) / (own + j.weight)
		j.peersWait /= j.weight
		j.share /= j.weight
		j.weight /= own + j.weight
	}
	return j
}

// admitted returns how many of the arrivals the level admits, a second.
func (c *Control) admitted(r *Rates) float64 {
	sum := 0.0
	for _, k := range r.kinds[:r.n] {
		sum += k.rate * c.fraction(k.priority)
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
	case claim == nil && known: // its seq still counts
		c.peers[i] = peer{id: from, seq: max(seq, c.peers[i].seq), at: now}
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
	sum := c.Wait + c.Share + c.Granted + c.Arrivals.total()
	return c.Arrivals.n > 0 && !math.IsNaN(sum) && !math.IsInf(sum, 0) && c.Wait >= 0 && c.Share >= 0 && c.Granted >= 0
}

// Claim returns what to tell the peers, if this node sees a lack.
func (c *Control) Claim() (claim Claim, lacks bool) {
	return Claim{Wait: c.wait, Share: c.share, Granted: c.granted, Arrivals: c.own}, (c.on || c.pressed > 0) && c.own.n > 0
}

// RetryAfter returns when a request that was refused may be admitted: a lack is expected to last as long again as it has,
// and the share to take its time to return.
func (c *Control) RetryAfter(now clock.Millis) clock.Millis {
	back := -math.Log(c.share) / math.Log1p(gain*fleetTarget) * float64(Interval)
	return bounded(max(now-c.since, clock.Millis(back)), minRetryAfter, maxRetryAfter)
}

// State returns what there is to see of the level.
func (c *Control) State() State {
	return State{On: c.on, Level: c.level, Share: c.share, Wait: c.wait, PeersWait: c.peersWait, PeersAge: c.peersAge}
}

func bounded[T float64 | clock.Millis](x, least, most T) T {
	return min(max(x, least), most)
}
