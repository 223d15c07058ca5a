package node

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"github.com/tinladder/tinladder/access"
	"github.com/tinladder/tinladder/clock"
	"github.com/tinladder/tinladder/ident"
	"github.com/tinladder/tinladder/replica"
	"github.com/tinladder/tinladder/store"
	"github.com/tinladder/tinladder/watcher"
)

const (
	// watchWait is how long a watcher's question to the store waits for changes.
	watchWait clock.Millis = 1300
	// suspectsWait is the same for requests under which targets crashed: nodes that hear each other tell each other at
	// once, and the store would be asked half as often again.
	suspectsWait = 5 * watchWait
	// askAtOnce is the wait of a question to which the answer is wanted at once.
	askAtOnce clock.Millis = 1
	// confirmEvery is how often a watcher tells its hall what the store holds.
	confirmEvery clock.Millis = 300
	// repairEvery is how often each node compares itself with another by chance, and passNews how
	// many it tells of news that it got from another node.
	repairEvery = 1 * clock.Second
	passNews    = 2
	// patienceLeast and patienceMore set how long a node that has just started waits for others.
	patienceLeast clock.Millis = 60
	patienceMore  clock.Millis = 120
	// patientNodes is how many nodes there may be for that: a larger fleet waits longer by its size, so that as many ask.
	patientNodes = 50
	// dutyCheck is how often a node without the duty looks whether it should take it up while it may have to soon, and
	// dutyRest how often otherwise: most nodes of a fleet never have it.
	dutyCheck clock.Millis = 50
	dutyRest  clock.Millis = 250
	// settle is how long a change of targets waits for others to come with it.
	settle clock.Millis = 150
	// rereadAfter is how old the last word of the store must be for a node that was turned away to read the newest state
	// alone. It may have missed several, and following them brings each of them over its link.
	rereadAfter clock.Millis = 400
	// never stands for an age of what never was.
	never = -1
)

// duty decides whether this node watches the store, and spreads what it sees there. A few nodes
// watch; the others hear from them. A node that has heard nothing for long watches itself.
type duty struct {
	node  *Node
	hall  *watcher.Hall
	since clock.Millis
	// seeds says that the settings name other nodes, and patience where chance has put this one among those that wait for
	// others after their start, from 0 to 1.
	seeds    bool
	patience float64

	mu sync.Mutex
	// confirmed is when the store was last known to hold nothing newer of a kind, whoever asked it.
	confirmed map[store.Kind]clock.Millis
	// asked is when this node asked for it itself.
	asked map[store.Kind]clock.Millis
	// proof is how long ago the store is proved to have held no newer state.
	proof access.Proof
	// marks are up to where this node holds all changes, from the store or by another's word.
	marks  map[store.Kind]store.Cursor
	told   clock.Millis
	passed clock.Millis
	// confirming says that the hall is to be told at the next tick.
	confirming bool
	// weights are what the ready nodes of this hall can carry, as of a version of the members.
	weights map[ident.Process]uint32
	weighed uint64
	// place is this node's among them while none is turned away; -1 if it is not worked out.
	place int
	// missing says that versions of the state may have passed this node by, since the store turned it away.
	missing bool
	// differences are between this node's records and others', by kind.
	differences map[store.Kind]difference
	// gap says that the changes after the state that this node holds are not to be followed.
	gap bool
}

func newDuty(n *Node) *duty {
	return &duty{
		node: n, since: n.clock.Now(), seeds: waitsForOthers(n), patience: rand.Float64(), confirmed: map[store.Kind]clock.Millis{},
		asked: map[store.Kind]clock.Millis{}, marks: map[store.Kind]store.Cursor{}, differences: map[store.Kind]difference{}, hall: watcher.New(n.clock, n.self), place: -1,
	}
}

// age is how long ago the store was last known to hold nothing newer.
func (d *duty) age(k store.Kind) clock.Millis {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.node.clock.Now() - max(d.confirmed[k], d.since)
}

// rank is this node's place in its hall in the order in which nodes watch, from 0. It is worked out when members have
// changed, or while the store turns some away: it is asked for twenty times a second for each kind.
func (d *duty) rank() int {
	n := d.node
	version := n.members.Version()
	d.mu.Lock()
	weights, place := d.weights, d.place
	if d.weighed != version {
		weights, place = nil, -1
	}
	d.mu.Unlock()
	calm := d.hall.Healthy()
	if calm && place >= 0 {
		return place
	}
	if weights == nil {
		weights = map[ident.Process]uint32{n.self: weightOf(n.settings().Capacity)}
		for _, m := range n.members.Live() {
			if hallOf(m) == n.hall() && isReady(m) {
				weights[processOf(m)] = m.GetWeight()
			}
		}
		d.mu.Lock()
		d.weights, d.weighed, d.place = weights, version, -1
		d.mu.Unlock()
	}
	place = d.hall.Rank(weights)
	if calm && d.hall.Healthy() {
		d.mu.Lock()
		if d.weighed == version {
			d.place = place
		}
		d.mu.Unlock()
	}
	return place
}

// wanted says whether this node should ask the store for the kind now, and counts the question if so.
func (d *duty) wanted(k store.Kind) bool {
	return !d.node.leaving.started() && d.due(k) && d.hall.AllowQuery()
}

// nextLook is in how long a node without the duty looks again: what it knows has to grow old before it takes the duty up,
// unless it becomes the first to watch.
func (d *duty) nextLook(k store.Kind) clock.Millis {
	if !d.known(k) || d.hall.Failing() || d.node.clock.Now()-d.since <= watcher.StaleAfter {
		return dutyCheck
	}
	return min(max(watcher.StaleAfter-d.overdue(k), dutyCheck), dutyRest)
}

// due says whether word of the kind is due.
func (d *duty) due(k store.Kind) bool {
	now := d.node.clock.Now()
	if k == store.Suspects && d.hall.Failing() {
		return false // whether the store answers again shows by the other kinds
	}
	if !d.known(k) {
		return now-d.since >= d.startWait()
	}
	q := watcher.Query{Age: d.overdue(k), Rank: d.rank(), Primary: k == store.State}
	if q.Rank == 0 && now-d.since <= watcher.StaleAfter/2 {
		q.Rank = 1 // one that has just started lets the others watch on
	}
	return d.hall.Due(q)
}

// known says whether anything of the kind was ever confirmed to this process, or told by another node. While many
// records come at once no two nodes hold the same, and none can confirm another's; a fleet that starts would read
// all of them from the store on each node.
func (d *duty) known(k store.Kind) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.confirmed[k] > 0 || d.node.records.sets[k].Newest() > 0
}

// waitsForOthers says whether a node that has just started waits for word from others before it asks the store itself: not
// if others look for them at it.
func waitsForOthers(n *Node) bool {
	seeds := n.settings().Fleet.Seeds
	return len(seeds) > 0 && !slices.Contains(seeds, n.settings().Node.PeersAddress())
}

// startWait is how long this node waits for that: each for another time, and the longer the more nodes are known, so that a
// fleet that starts at once does not ask as one.
func (d *duty) startWait() clock.Millis {
	if !d.seeds {
		return 0
	}
	size := max(1, float64(len(d.node.members.Live()))/patientNodes)
	return patienceLeast + clock.Millis(d.patience*float64(patienceMore)*size)
}

// watch follows a kind of records for as long as this node has the duty.
func (d *duty) watch(ctx context.Context, k store.Kind) {
	for ctx.Err() == nil {
		if !d.wanted(k) {
			pause(ctx, d.nextLook(k))
			continue
		}
		if d.hall.Failing() {
			d.confirm() // the hall hears that this node asks
		}
		next, at, err := d.ask(ctx, k, d.mark(k))
		switch {
		case err == nil:
			d.answered(k, next, at)
		case errors.Is(err, store.ErrGap):
			d.forgetMark(k)
			d.node.log.WithFields(logrus.Fields{"event": "store_gap", "kind": k}).Warn()
		case errors.Is(err, store.ErrSuperseded):
			d.forgetMark(k)
			d.node.log.WithFields(logrus.Fields{"event": "store_superseded", "kind": k}).Info()
		default:
			d.lost(k, err)
		}
	}
}

// mark returns up to where this node holds all changes of the kind; 0 if it must read all. The state is one
// record, of which the newest version is all there is up to it.
func (d *duty) mark(k store.Kind) store.Cursor {
	d.mu.Lock()
	defer d.mu.Unlock()
	m := d.marks[k]
	if k == store.State && d.missing && d.node.clock.Now()-d.confirmed[k] >= rereadAfter {
		return 0
	}
	if k == store.State && !d.gap {
		m = max(m, store.Cursor(d.node.records.sets[k].Newest()))
	}
	return m
}

// forgetMark has this node read all again, since what changed after its mark is not known, or takes longer to come.
func (d *duty) forgetMark(k store.Kind) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.marks, k)
	d.gap = d.gap || k == store.State
}

// longestWait is how long a watcher's question for changes of the kind waits.
func longestWait(k store.Kind) clock.Millis {
	if k == store.Suspects {
		return suspectsWait
	}
	return watchWait
}

// overdue is the age of the last word of a kind, less what its watcher's questions wait longer than others'. A node that
// hears nobody has no watcher but itself.
func (d *duty) overdue(k store.Kind) clock.Millis {
	if len(d.node.members.Live()) == 0 {
		return d.age(k)
	}
	return d.age(k) - (longestWait(k) - watchWait)
}

// waitFor is how long a question for changes waits: no longer than until word of the store is overdue, so that the others
// do not take up the duty as well, and this node does not take itself for one that is behind.
func (d *duty) waitFor(k store.Kind) clock.Millis {
	return max(longestWait(k)-d.age(k), askAtOnce)
}

// ask reads all records of the kind if there is no mark, or follows it, and spreads what is new. It returns up to
// where this node holds all changes now, and when that was so: a large answer is old when its end has come.
func (d *duty) ask(ctx context.Context, k store.Kind, m store.Cursor) (next store.Cursor, at clock.Millis, err error) {
	n := d.node
	var r store.Reply
	var news []replica.Record
	n.metrics.storeCall(k, m > 0)
	sent := n.clock.Now()
	if m == 0 {
		r, err = n.source.Read(ctx, k)
		if err == nil {
			for _, with := range withKinds(r) {
				d.spreadNews(with, n.records.replace(with, r.With[with], r.Cursor, fromStore))
			}
			news = n.records.replace(k, r.Records, r.Cursor, fromStore)
		}
	} else {
		r, err = n.source.Follow(ctx, k, m, d.waitFor(k))
		if err == nil {
			for _, with := range withKinds(r) {
				d.spreadNews(with, n.records.put(with, r.With[with], fromStore))
			}
			news = n.records.put(k, r.Records, fromStore)
		}
	}
	at = n.clock.Now()
	d.tellLongRead(k, m, r, at-sent, err)
	if err == nil && r.Clock > 0 {
		d.proof.ObserveStore(sent, at, r.Clock, k == store.State && n.records.hasNewestState())
	}
	if err != nil {
		return r.Cursor, at, err
	}
	if len(r.Records) > 0 {
		at = r.Records[0].ReadAt
	}
	if len(news) == 0 {
		return r.Cursor, at, nil
	}
	d.broadcast(k, news)
	pause(ctx, settle)
	return r.Cursor, at, nil
}

// withKinds returns the kinds that came with an answer, in order.
func withKinds(r store.Reply) []store.Kind {
	return slices.Sorted(maps.Keys(r.With))
}

// spreadNews spreads records that came with others.
func (d *duty) spreadNews(k store.Kind, news []replica.Record) {
	if len(news) > 0 {
		d.broadcast(k, news)
	}
}

// longRead is how long an answer of the store takes that is told of in the log.
const longRead clock.Millis = 250

// tellLongRead tells of an answer that took long to come, other than by waiting for changes.
func (d *duty) tellLongRead(k store.Kind, m store.Cursor, r store.Reply, took clock.Millis, err error) {
	if took < longRead || err != nil || m > 0 && len(r.Records) == 0 {
		return
	}
	d.node.log.WithFields(logrus.Fields{
		"event": "store_read", "kind": k, "after": m, "upto": r.Cursor, "records": len(r.Records), "ms": took,
	}).Info()
}

// look reads the kind from the store at once, since something was just written there.
func (d *duty) look(k store.Kind) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), lookTimeout.Duration())
		defer cancel()
		if _, _, err := d.ask(ctx, k, 0); err != nil {
			d.node.log.WithFields(logrus.Fields{"event": "store_unread", "kind": k, "error": err}).Warn()
		}
	}()
}

// lookTimeout bounds a look at the store.
const lookTimeout = 2 * clock.Second

// answered notes that the store answered this node, up to where that has all changes, and when that was so.
func (d *duty) answered(k store.Kind, m store.Cursor, at clock.Millis) {
	d.mu.Lock()
	d.marks[k] = max(d.marks[k], m)
	d.gap = d.gap && k != store.State
	d.confirmed[k], d.asked[k] = max(d.confirmed[k], at), d.node.clock.Now()
	d.missing = d.missing && k != store.State
	d.mu.Unlock()
	if d.hall.QuerySucceeded() {
		d.node.metrics.storeAway(false)
		d.node.log.WithFields(logrus.Fields{"event": "store_regained", "kind": k}).Warn()
	}
	if d.speaks() {
		d.confirm()
	}
}

// lost notes that the store did not answer this node.
func (d *duty) lost(k store.Kind, err error) {
	wait, first := d.hall.QueryFailed()
	d.mu.Lock()
	d.missing = true
	d.mu.Unlock()
	d.node.metrics.storeFailed(k)
	line := d.node.log.WithFields(logrus.Fields{"event": "store_lost", "kind": k, "error": err, "pause_ms": wait})
	if first {
		d.node.metrics.storeAway(true)
		line.Warn()
	} else {
		line.WithField("event", "store_still_lost").Info()
	}
	d.confirm()
}
