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
	// longPoll is how long a watcher's call to the store waits for changes.
	longPoll clock.Millis = 1300
	// suspectsLongPoll is the same for requests under which targets crashed: nodes in contact send these to each other
	// at once, and with longPoll the store would get half as many calls again.
	suspectsLongPoll = 5 * longPoll
	// minLongPoll makes the store answer at once.
	minLongPoll clock.Millis = 1
	// confirmInterval is how often a watcher tells its hall what the store holds.
	confirmInterval clock.Millis = 300
	// repairInterval is how often each node sends its sums to a random node, and newsFanout to how many
	// it forwards records that it got from another node.
	repairInterval = 1 * clock.Second
	newsFanout     = 2
	// startDelayMin and startDelayJitter set how long a node that has just started waits for others.
	startDelayMin    clock.Millis = 60
	startDelayJitter clock.Millis = 120
	// startDelayNodes is the fleet size up to which that holds. A larger fleet waits longer in proportion, so that the
	// number of calls to the store stays about the same.
	startDelayNodes = 50
	// dutyCheckInterval is how often a node off duty checks whether to take over while it may have to soon, and
	// dutyCheckMax otherwise: most nodes of a fleet never watch.
	dutyCheckInterval clock.Millis = 50
	dutyCheckMax      clock.Millis = 250
	// batchDelay is how long a change of targets waits for others to be read with it.
	batchDelay clock.Millis = 150
	// rereadAfter is how old the last confirmation must be for a node that the store refused to read only the newest
	// state. It may have missed several versions, and following them transfers each of them over its link.
	rereadAfter clock.Millis = 400
	// minGapDelay and maxGapDelay bound the pause after a gap that follows another one. It doubles, at most maxGapDoublings
	// times.
	minGapDelay     clock.Millis = 100
	maxGapDelay                  = 1 * clock.Second
	maxGapDoublings              = 8
	// settleMargin is how long after the store has settled a call ends that waits for changes, so that its answer counts.
	settleMargin clock.Millis = 20
	// sweepDelay is how long a node that does not watch waits for the watchers' reads of what is left of an earlier era.
	sweepDelay = 2 * clock.Second
	// sweepRankDelay is how much longer each node waits than the one ranked before it.
	sweepRankDelay clock.Millis = 50
	// neverConfirmed is the age of a kind that was never confirmed.
	neverConfirmed = -1
)

// duty decides whether this node watches the store, and distributes what it reads there. A few nodes
// watch and tell the others. A node that has heard nothing for too long watches itself.
type duty struct {
	node      *Node
	hall      *watcher.Hall
	startedAt clock.Millis
	// waitsAtStart is whether this node waits for others after its start, and startJitter (0 to 1) its random part of
	// that delay.
	waitsAtStart bool
	startJitter  float64

	mu sync.Mutex
	// confirmedAt is when the store was last known to hold nothing newer of a kind, whichever node asked.
	confirmedAt map[store.Kind]clock.Millis
	// queriedAt is when the store last answered this node itself.
	queriedAt map[store.Kind]clock.Millis
	// proof is how recently the store is proved to have held no newer state.
	proof access.Proof
	// cursors are the positions up to which this node holds all changes, by its own reads or by a confirm.
	cursors       map[store.Kind]store.Cursor
	confirmSentAt clock.Millis
	repairedAt    clock.Millis
	// confirmPending is whether the hall is to be told at the next tick.
	confirmPending bool
	// weights are the capacities of this hall's ready nodes, at weightsVersion of the members.
	weights        map[ident.Process]uint32
	weightsVersion uint64
	// cachedRank is this node's rank among them while the store refuses none; -1 if not computed.
	cachedRank int
	// mayHaveMissed is whether this node may have missed versions of the state, since a call to the store failed.
	mayHaveMissed bool
	// differences are those between this node's records and other nodes', by kind.
	differences map[store.Kind]difference
	// rereadState is whether to read the state whole instead of following changes from the version held.
	rereadState bool
	// era is the newest era of the store that this node knows of, and returnedAt when it learned of it; 0 if there was none.
	era        uint64
	returnedAt clock.Millis
	// gaps counts the questions in a row whose changes the store did not have, by kind.
	gaps map[store.Kind]int
}

func newDuty(n *Node) *duty {
	return &duty{
		node: n, startedAt: n.clock.Now(), waitsAtStart: waitsForOthers(n), startJitter: rand.Float64(), confirmedAt: map[store.Kind]clock.Millis{},
		queriedAt: map[store.Kind]clock.Millis{}, cursors: map[store.Kind]store.Cursor{}, gaps: map[store.Kind]int{}, differences: map[store.Kind]difference{}, hall: watcher.New(n.clock, n.self), cachedRank: -1,
	}
}

// age returns how long ago the store was last known to hold nothing newer.
func (d *duty) age(k store.Kind) clock.Millis {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.node.clock.Now() - max(d.confirmedAt[k], d.startedAt)
}

// rank returns this node's place in its hall in the order in which nodes watch, from 0. It is recomputed only when
// members have changed or while the store refuses some: it is needed twenty times a second for each kind.
func (d *duty) rank() int {
	n := d.node
	version := n.members.Version()
	d.mu.Lock()
	weights, place := d.weights, d.cachedRank
	if d.weightsVersion != version {
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
		d.weights, d.weightsVersion, d.cachedRank = weights, version, -1
		d.mu.Unlock()
	}
	place = d.hall.Rank(weights)
	if calm && d.hall.Healthy() {
		d.mu.Lock()
		if d.weightsVersion == version {
			d.cachedRank = place
		}
		d.mu.Unlock()
	}
	return place
}

// shouldQuery reports whether this node should call the store for the kind now, and counts the call if so.
func (d *duty) shouldQuery(k store.Kind) bool {
	return !d.node.leaving.started() && d.due(k) && d.hall.AllowQuery()
}

// nextCheck returns the time until a node off duty checks again: its records have to become stale before it takes over,
// unless it becomes the first to watch.
func (d *duty) nextCheck(k store.Kind) clock.Millis {
	if !d.hasRecords(k) || d.hall.Failing() || d.node.clock.Now()-d.startedAt <= watcher.StaleAfter {
		return dutyCheckInterval
	}
	return min(max(watcher.StaleAfter-d.effectiveAge(k), dutyCheckInterval), dutyCheckMax)
}

// due reports whether this node should query the kind now.
func (d *duty) due(k store.Kind) bool {
	now := d.node.clock.Now()
	if k == store.Suspects && d.hall.Failing() {
		return false // the other kinds show whether the store answers again
	}
	if !d.hasRecords(k) {
		return now-d.startedAt >= d.startDelay()
	}
	if long, unswept := d.node.records.unswept(k); unswept && long >= sweepDelay+clock.Millis(d.rank())*sweepRankDelay {
		return true
	}
	q := watcher.Query{Age: d.effectiveAge(k), Rank: d.rank(), Primary: k == store.State}
	if q.Rank == 0 && now-d.startedAt <= watcher.StaleAfter/2 {
		q.Rank = 1 // a node that has just started leaves the watch to the others
	}
	return d.hall.Due(q)
}

// hasRecords reports whether the kind was ever confirmed to this process, or any record of it received. While many
// records arrive at once no two nodes hold the same and none can confirm another's; without the second condition
// each node of a starting fleet would read all records from the store.
func (d *duty) hasRecords(k store.Kind) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.confirmedAt[k] > 0 || d.node.records.sets[k].Newest() > 0
}

// waitsForOthers reports whether a node that has just started waits for others before it queries the store itself. A
// node that is a seed does not: the others look for them at it.
func waitsForOthers(n *Node) bool {
	seeds := n.settings().Fleet.Seeds
	return len(seeds) > 0 && !slices.Contains(seeds, n.settings().Node.PeersAddress())
}

// startDelay returns how long this node waits for that: random, and longer the more nodes are known, so that a fleet
// that starts at once does not query the store at once.
func (d *duty) startDelay() clock.Millis {
	if !d.waitsAtStart {
		return 0
	}
	size := max(1, float64(len(d.node.members.Live()))/startDelayNodes)
	return startDelayMin + clock.Millis(d.startJitter*float64(startDelayJitter)*size)
}

// watch follows a kind of records while this node is on duty.
func (d *duty) watch(ctx context.Context, k store.Kind) {
	for ctx.Err() == nil {
		if !d.shouldQuery(k) {
			sleep(ctx, d.nextCheck(k))
			continue
		}
		if d.hall.Failing() {
			d.confirmToHall() // tells the hall that this node queries the store
		}
		after := d.cursor(k)
		next, at, err := d.query(ctx, k, after)
		switch {
		case err == nil:
			d.querySucceeded(k, next, at)
		case errors.Is(err, store.ErrGap):
			d.dropCursor(k)
			d.storeAnswered(k)
			d.node.log.WithFields(logrus.Fields{"event": "store_gap", "kind": k, "after": after, "error": err}).Warn()
			sleep(ctx, d.gapDelay(k))
		case errors.Is(err, store.ErrSuperseded):
			d.dropCursor(k)
			d.node.log.WithFields(logrus.Fields{"event": "store_superseded", "kind": k}).Info()
		default:
			d.queryFailed(k, err)
		}
	}
}

// cursor returns up to where this node holds all changes of the kind; 0 if it must read all. The state is one
// record, whose row's version is a cursor too.
func (d *duty) cursor(k store.Kind) store.Cursor {
	d.mu.Lock()
	defer d.mu.Unlock()
	m := d.cursors[k]
	if k == store.State && d.mayHaveMissed && d.node.clock.Now()-d.confirmedAt[k] >= rereadAfter {
		return 0
	}
	if _, unswept := d.node.records.unswept(k); unswept {
		return 0
	}
	if row := d.node.records.stateRow(); k == store.State && !d.rereadState && (m == 0 || replica.EraOf(uint64(m)) == replica.EraOf(row)) {
		m = max(m, store.Cursor(row))
	}
	if replica.EraOf(uint64(m)) < d.node.platform.Era() {
		return 0
	}
	return m
}

// gapDelay returns the pause before all records of the kind are read again: none after the first of several gaps in a row.
func (d *duty) gapDelay(k store.Kind) clock.Millis {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.gaps[k]++
	return min(minGapDelay<<min(d.gaps[k], maxGapDoublings)-2*minGapDelay, maxGapDelay)
}

// dropCursor makes this node read all again: the changes after its cursor are unknown or take longer to transfer.
func (d *duty) dropCursor(k store.Kind) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.cursors, k)
	d.rereadState = d.rereadState || k == store.State
}

// maxLongPoll returns how long a watcher's call for changes of the kind waits.
func maxLongPoll(k store.Kind) clock.Millis {
	if k == store.Suspects {
		return suspectsLongPoll
	}
	return longPoll
}

// effectiveAge is the age of the last confirmation of a kind, less what its long poll exceeds that of other kinds. A
// node in contact with nobody has no watcher but itself.
func (d *duty) effectiveAge(k store.Kind) clock.Millis {
	if len(d.node.members.Live()) == 0 {
		return d.age(k)
	}
	return d.age(k) - (maxLongPoll(k) - longPoll)
}

// longPollTime returns how long a call for changes waits: no longer than until the kind's confirmation is stale, so that
// other nodes do not start to watch as well, and this node does not count as lagging.
func (d *duty) longPollTime(k store.Kind) clock.Millis {
	long := maxLongPoll(k) - d.age(k)
	if settling := d.node.records.settling(k); settling > 0 {
		long = min(long, settling+settleMargin)
	}
	return max(long, minLongPoll)
}

// query reads all records of the kind if the cursor is 0, or else the changes after it, and distributes what is new. It
// returns the new cursor and the time for which it is valid: a large response is old once it has arrived.
func (d *duty) query(ctx context.Context, k store.Kind, m store.Cursor) (next store.Cursor, at clock.Millis, err error) {
	n := d.node
	var r store.Reply
	var news []replica.Record
	n.metrics.storeCall(k, m > 0)
	sent := n.clock.Now()
	if m == 0 {
		r, err = n.source.Read(ctx, k)
		d.noteAnswer(err)
		if err == nil {
			for _, with := range withKinds(r) {
				d.broadcastNew(with, n.records.replace(with, r.With[with], r.Cursor, fromStore))
			}
			news = n.records.replace(k, r.Records, r.Cursor, fromStore)
		}
	} else {
		r, err = n.source.Follow(ctx, k, m, d.longPollTime(k))
		d.noteAnswer(err)
		if err == nil {
			for _, with := range withKinds(r) {
				d.broadcastNew(with, n.records.put(with, r.With[with], fromStore))
			}
			news = n.records.put(k, r.Records, fromStore)
		}
	}
	at = n.clock.Now()
	d.logSlowRead(k, m, r, at-sent, err)
	d.logUnused(k, m, r, news)
	if err == nil && r.Clock > 0 {
		d.proof.ObserveStore(sent, at, r.Clock, k == store.State && n.records.hasNewestState() && d.isSettled())
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
	sleep(ctx, batchDelay)
	return r.Cursor, at, nil
}

// withKinds returns the further kinds in a response, in order.
func withKinds(r store.Reply) []store.Kind {
	return slices.Sorted(maps.Keys(r.With))
}

// broadcastNew distributes records of further kinds.
func (d *duty) broadcastNew(k store.Kind, changed []replica.Record) {
	if len(changed) > 0 {
		d.broadcast(k, changed)
	}
}

// slowRead is the duration from which a read of the store is logged.
const slowRead clock.Millis = 250

// logSlowRead logs a slow read, other than one that waited for changes.
func (d *duty) logSlowRead(k store.Kind, m store.Cursor, r store.Reply, took clock.Millis, err error) {
	if took < slowRead || err != nil || m > 0 && len(r.Records) == 0 {
		return
	}
	d.node.log.WithFields(logrus.Fields{
		"event": "store_read", "kind": k, "after": m, "upto": r.Cursor, "records": len(r.Records), "ms": took,
	}).Info()
}

// logUnused logs records that the store returned as changes, or as the state, and that are not newer than those held.
func (d *duty) logUnused(k store.Kind, m store.Cursor, r store.Reply, news []replica.Record) {
	if len(r.Records) <= len(news) || m == 0 && k != store.State {
		return
	}
	var newest uint64
	for _, x := range r.Records {
		newest = max(newest, x.Version)
	}
	d.node.metrics.recordsUnused(k, len(r.Records)-len(news))
	d.node.log.WithFields(logrus.Fields{
		"event": "records_unused", "kind": k, "after": m, "upto": r.Cursor, "count": len(r.Records) - len(news), "newest": newest,
		"held": d.node.records.sets[k].Newest(), "era": r.Era,
	}).Info()
}

// readNow reads the kind from the store in the background, after a write.
func (d *duty) readNow(k store.Kind) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), storeCallTimeout.Duration())
		defer cancel()
		if _, _, err := d.query(ctx, k, 0); err != nil {
			d.node.log.WithFields(logrus.Fields{"event": "store_unread", "kind": k, "error": err}).Warn()
		}
	}()
}

// storeCallTimeout bounds a call to the store that does not wait for changes.
const storeCallTimeout = 2 * clock.Second

// querySucceeded records that the store answered this node: the cursor, and the time for which it is valid.
func (d *duty) querySucceeded(k store.Kind, m store.Cursor, at clock.Millis) {
	d.mu.Lock()
	if d.cursors[k] > 0 {
		delete(d.gaps, k) // followed, not read again
	}
	d.cursors[k] = max(d.cursors[k], m)
	d.rereadState = d.rereadState && k != store.State
	d.confirmedAt[k], d.queriedAt[k] = max(d.confirmedAt[k], at), d.node.clock.Now()
	d.mayHaveMissed = d.mayHaveMissed && k != store.State
	d.mu.Unlock()
	d.storeAnswered(k)
	if d.sendsConfirms() {
		d.confirmToHall()
	}
}

// storeAnswered records that the store answered this node, whatever it said.
func (d *duty) storeAnswered(k store.Kind) {
	if d.hall.QuerySucceeded() {
		d.node.metrics.storeAway(false)
		d.node.log.WithFields(logrus.Fields{"event": "store_regained", "kind": k}).Warn()
	}
}

// queryFailed records that the store did not answer this node.
func (d *duty) queryFailed(k store.Kind, err error) {
	wait, first := d.hall.QueryFailed()
	d.mu.Lock()
	d.mayHaveMissed = true
	d.mu.Unlock()
	d.node.metrics.storeFailed(k)
	line := d.node.log.WithFields(logrus.Fields{"event": "store_lost", "kind": k, "error": err, "pause_ms": wait})
	if first {
		d.node.metrics.storeAway(true)
		line.Warn()
	} else {
		line.WithField("event", "store_still_lost").Info()
	}
	d.confirmToHall()
}
