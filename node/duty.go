package node

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"github.com/tinladder/tinladder/assign"
	"github.com/tinladder/tinladder/clock"
	"github.com/tinladder/tinladder/ident"
	"github.com/tinladder/tinladder/replica"
	tlv1 "github.com/tinladder/tinladder/schema/tinladder/v1"
	"github.com/tinladder/tinladder/store"
)

const (
	// watchWait is how long a watcher's question to the store waits for changes.
	watchWait clock.Millis = 1300
	// askAtOnce is the wait of a question to which the answer is wanted at once.
	askAtOnce clock.Millis = 1
	// confirmEvery is how often a watcher tells its hall what the store holds.
	confirmEvery clock.Millis = 300
	// repairEvery is how often each node compares itself with another by chance, and passNews how
	// many it tells of news that it got from another node.
	repairEvery = 1 * clock.Second
	passNews    = 2
	// staleAfter is how old the last word of the store may be before a node asks the store itself:
	// more than the wait of a watcher's question, and so little that a node that was just cut off
	// from the watchers still has a change in force within the platform's 2 s.
	staleAfter clock.Millis = 1550
	// stalePerRank is how much longer each node waits than the one ranked before it, and
	// staleMost the most of it.
	stalePerRank clock.Millis = 10
	staleMost    clock.Millis = 150
	// patienceLeast and patienceMore set how long a node that has just started waits for others.
	patienceLeast clock.Millis = 60
	patienceMore  clock.Millis = 120
	// dutyCheck is how often a node without the duty looks whether it should take it up.
	dutyCheck clock.Millis = 50
	// retryFirst and retryMost bound the pause after a call to the store that failed.
	retryFirst clock.Millis = 150
	retryMost  clock.Millis = 1500
	// settle is how long a change of targets waits for others to come with it.
	settle clock.Millis = 150
	// deafFor is how long a node that did not reach the store is passed over for the duty.
	deafFor = 3 * clock.Second
	// never stands for an age of what never was.
	never = -1
)

// duty decides whether this node watches the store, and spreads what it sees there. A few nodes
// watch; the others hear from them. A node that has heard nothing for long watches itself.
type duty struct {
	node  *Node
	since clock.Millis
	// patience is how long this node waits for others after its start.
	patience clock.Millis

	mu sync.Mutex
	// confirmed is when the store was last known to hold nothing newer of a kind, whoever asked it.
	confirmed map[store.Kind]clock.Millis
	// asked is when this node asked for it itself.
	asked map[store.Kind]clock.Millis
	// marks are up to where this node holds all changes, from the store or by another's word.
	marks  map[store.Kind]store.Mark
	deafAt map[ident.Process]clock.Millis
	told   clock.Millis
	passed clock.Millis
	failed bool
	// gap says that the store has forgotten the changes after the state that this node holds.
	gap bool
}

func newDuty(n *Node) *duty {
	return &duty{
		node: n, since: n.clock.Now(), patience: patienceOf(n), confirmed: map[store.Kind]clock.Millis{},
		asked: map[store.Kind]clock.Millis{}, marks: map[store.Kind]store.Mark{}, deafAt: map[ident.Process]clock.Millis{},
	}
}

// age is how long ago the store was last known to hold nothing newer.
func (d *duty) age(k store.Kind) clock.Millis {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.node.clock.Now() - max(d.confirmed[k], d.since)
}

// rank is this node's place in its hall in the order in which nodes watch, from 0. Those that can carry the most
// come first: a watcher reads each state whole, and hands it on to its hall.
func (d *duty) rank() int {
	n := d.node
	weights := map[ident.Node]uint32{n.self.Node: weightOf(n.settings().Capacity)}
	now := n.clock.Now()
	d.mu.Lock()
	for _, m := range n.members.Live() {
		if hallOf(m) == n.hall() && isReady(m) && now-d.deafAt[processOf(m)] >= deafFor {
			weights[ident.Node(m.GetNode())] = m.GetWeight()
		}
	}
	d.mu.Unlock()
	return watchRank(weights, n.self.Node)
}

// watchRank returns a node's place among those of a hall, of which each can carry so much: first come those that
// carry at least half of the most.
func watchRank(weights map[ident.Node]uint32, self ident.Node) int {
	most := slices.Max(slices.Collect(maps.Values(weights)))
	strong := func(n ident.Node) bool { return 2*weights[n] >= most }
	var before int
	var equals []assign.Candidate
	for node := range weights {
		switch {
		case strong(node) == strong(self):
			equals = append(equals, assign.Candidate{Node: node, Weight: evenWeight})
		case strong(node):
			before++
		}
	}
	return before + assign.Duty("watch", equals, self)
}

// wanted says whether this node should ask the store for the kind now.
func (d *duty) wanted(k store.Kind) bool {
	if d.node.leaving.started() {
		return false
	}
	if !d.known(k) {
		return d.node.clock.Now()-d.since >= d.patience
	}
	rank := d.rank()
	if rank == 0 && d.node.clock.Now()-d.since > staleAfter/2 {
		return true
	}
	return d.age(k) > staleAfter+min(clock.Millis(rank)*stalePerRank, staleMost)
}

// known says whether anything of the kind was ever confirmed to this process.
func (d *duty) known(k store.Kind) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.confirmed[k] > 0
}

// patienceOf is how long a node that has just started waits for word from others before it asks
// the store itself: not at all if others look for them at it, and else each for another time, so that
// a fleet that starts at once does not ask as one.
func patienceOf(n *Node) clock.Millis {
	seeds := n.settings().Fleet.Seeds
	if len(seeds) == 0 || slices.Contains(seeds, n.settings().Node.PeersAddress()) {
		return 0
	}
	return patienceLeast + rand.N(patienceMore)
}

// watch follows a kind of records for as long as this node has the duty.
func (d *duty) watch(ctx context.Context, k store.Kind) {
	wait := retryFirst
	for ctx.Err() == nil {
		if !d.wanted(k) {
			pause(ctx, dutyCheck)
			continue
		}
		next, at, err := d.ask(ctx, k, d.mark(k))
		switch {
		case err == nil:
			wait = retryFirst
			d.answered(k, next, at)
		case errors.Is(err, store.ErrGap):
			d.forgetMark(k)
			d.node.log.WithFields(logrus.Fields{"event": "store_gap", "kind": k}).Warn()
		default:
			d.lost(k, err)
			pause(ctx, wait)
			wait = min(2*wait, retryMost)
		}
	}
}

// mark returns up to where this node holds all changes of the kind; 0 if it must read all. The state is one
// record, of which the newest version is all there is up to it.
func (d *duty) mark(k store.Kind) store.Mark {
	d.mu.Lock()
	defer d.mu.Unlock()
	m := d.marks[k]
	if k == store.State && !d.gap {
		m = max(m, store.Mark(d.node.records.sets[k].Newest()))
	}
	return m
}

// forgetMark has this node read all again, since the store no longer knows what changed after its mark.
func (d *duty) forgetMark(k store.Kind) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.marks, k)
	d.gap = d.gap || k == store.State
}

// waitFor is how long a question for changes waits: not at all where word of the store is overdue, so that the
// others do not take up the duty as well.
func (d *duty) waitFor(k store.Kind) clock.Millis {
	if d.age(k) > watchWait {
		return askAtOnce
	}
	return watchWait
}

// ask reads all records of the kind if there is no mark, or follows it, and spreads what is new. It returns up to
// where this node holds all changes now, and when that was so: a large answer is old when its end has come.
func (d *duty) ask(ctx context.Context, k store.Kind, m store.Mark) (next store.Mark, at clock.Millis, err error) {
	n := d.node
	var list, news []replica.Record
	n.metrics.storeCall(k, m > 0)
	if m == 0 {
		list, next, err = n.source.Read(ctx, k)
		if err == nil {
			news = n.records.replace(k, list, next, fromStore)
		}
	} else {
		list, next, err = n.source.Follow(ctx, k, m, d.waitFor(k))
		if err == nil {
			news = n.records.put(k, list, fromStore)
		}
	}
	at = n.clock.Now()
	if len(list) > 0 {
		at = list[0].At
	}
	if err != nil || len(news) == 0 {
		return next, at, err
	}
	d.spread(k, news)
	pause(ctx, settle)
	return next, at, nil
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
func (d *duty) answered(k store.Kind, m store.Mark, at clock.Millis) {
	d.mu.Lock()
	d.marks[k] = max(d.marks[k], m)
	d.gap = d.gap && k != store.State
	regained := d.failed
	d.failed = false
	d.confirmed[k], d.asked[k] = max(d.confirmed[k], at), d.node.clock.Now()
	delete(d.deafAt, d.node.self)
	d.mu.Unlock()
	if regained {
		d.node.metrics.storeAway(false)
		d.node.log.WithFields(logrus.Fields{"event": "store_regained", "kind": k}).Warn()
	}
	d.confirm(false)
}

// lost notes that the store did not answer this node.
func (d *duty) lost(k store.Kind, err error) {
	d.mu.Lock()
	first := !d.failed
	d.failed = true
	d.deafAt[d.node.self] = d.node.clock.Now()
	d.mu.Unlock()
	d.node.metrics.storeFailed(k)
	if first {
		d.node.metrics.storeAway(true)
		d.node.log.WithFields(logrus.Fields{"event": "store_lost", "kind": k, "error": err}).Warn()
	}
	d.confirm(true)
}

// tick tells the hall now and then what the store holds, for as long as this node watches.
func (d *duty) tick() {
	d.mu.Lock()
	now := d.node.clock.Now()
	watching := false
	for _, at := range d.asked {
		watching = watching || now-at < watchWait+staleAfter
	}
	due := watching && now-d.told >= confirmEvery
	repair := now-d.passed >= repairEvery
	if repair {
		d.passed = now
	}
	d.mu.Unlock()
	if due {
		d.confirm(false)
	}
	if repair {
		d.pass(1)
	}
}

// confirm tells this node's hall what is known of the store.
func (d *duty) confirm(deaf bool) {
	n := d.node
	d.mu.Lock()
	d.told = n.clock.Now()
	d.mu.Unlock()
	d.tell(deaf, gossipAddresses(n.members.Live(), func(m *tlv1.Member) bool { return hallOf(m) == n.hall() }))
}

// announce tells all nodes at once what this one holds.
func (d *duty) announce() {
	d.tell(false, d.all())
}

// pass tells a few nodes by chance what this one holds, so that news goes on where a watcher's word
// was lost.
func (d *duty) pass(count int) {
	live := slices.Clone(d.node.members.Live())
	rand.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
	d.tell(false, gossipAddresses(live[:min(count, len(live))], func(*tlv1.Member) bool { return true }))
}

func (d *duty) tell(deaf bool, addresses []string) {
	n := d.node
	n.wire.send(&tlv1.Parcel{Body: &tlv1.Parcel_Confirm{Confirm: &tlv1.Confirm{
		Node: string(n.self.Node), Incarnation: uint64(n.self.Incarnation), Hall: string(n.hall()),
		PeerAddress: n.settings().Node.PeersAddress(), Kinds: d.kindSums(), Deaf: deaf,
	}}}, addresses...)
}

// kindSums says what this node holds of each kind that it follows.
func (d *duty) kindSums() []*tlv1.KindSum {
	var list []*tlv1.KindSum
	for _, k := range d.node.kinds() {
		s := &tlv1.KindSum{Kind: string(k), AgeMs: never}
		d.mu.Lock()
		s.Mark = uint64(d.marks[k]) // before the sum: what comes in between is no part of a later mark
		if at := d.confirmed[k]; at > 0 {
			s.AgeMs = int64(d.node.clock.Now() - at)
		}
		d.mu.Unlock()
		set := d.node.records.sets[k]
		s.Sum, s.Newest = set.Sum(), set.Newest()
		list = append(list, s)
	}
	return list
}

// hear takes in another node's word on the store.
func (d *duty) hear(c *tlv1.Confirm) {
	p := ident.Process{Node: ident.Node(c.GetNode()), Incarnation: ident.Incarnation(c.GetIncarnation())}
	if p.Node == d.node.self.Node {
		return
	}
	d.mu.Lock()
	if c.GetDeaf() {
		d.deafAt[p] = d.node.clock.Now()
	} else {
		delete(d.deafAt, p)
	}
	d.mu.Unlock()
	if !d.hearKinds(c.GetKinds(), c.GetPeerAddress()) {
		d.node.peers.sync(c.GetPeerAddress(), false)
	}
}

// hearKinds takes in how long ago the store held what the node at the address holds. It returns false if this
// one should compare its records with that. A newer state is asked for; an older one is nothing to ask for.
func (d *duty) hearKinds(kinds []*tlv1.KindSum, address string) bool {
	same := true
	now := d.node.clock.Now()
	for _, s := range kinds {
		k := store.Kind(s.GetKind())
		if !slices.Contains(d.node.kinds(), k) {
			continue
		}
		d.node.lag.heard(k, s.GetNewest(), address)
		if d.node.records.sets[k].Sum() != s.GetSum() {
			if k == store.State {
				d.node.pulls.want(s.GetNewest(), address)
			} else {
				same = false
			}
			continue
		}
		if s.GetAgeMs() == never {
			continue
		}
		d.mu.Lock()
		d.confirmed[k] = max(d.confirmed[k], now-clock.Millis(s.GetAgeMs()))
		d.marks[k] = max(d.marks[k], store.Mark(s.GetMark()))
		d.mu.Unlock()
	}
	return same
}

const (
	// recordsPerParcel and bytesPerParcel bound one datagram of records.
	recordsPerParcel = 8
	bytesPerParcel   = 4 << 10
	// strangersTold is how many nodes of other halls a watcher tells of a large record, besides its own hall,
	// which has a watcher of its own.
	strangersTold = 4
)

// spread tells others of records that are new. Large ones are asked for by those that lack them.
func (d *duty) spread(k store.Kind, news []replica.Record) {
	if k == store.State {
		d.spreadState(news)
		return
	}
	all := d.all()
	for part := range slices.Chunk(news, recordsPerParcel) {
		size := 0
		for _, r := range part {
			size += len(r.Value)
		}
		if size <= bytesPerParcel {
			d.sendRecords(d.node.records.wire(k, part), all)
		}
	}
	d.announce()
}

// spreadState sends a small state, or what has changed if that is small, to all. Of a large one it tells this
// node's hall and a few others, who ask for it.
func (d *duty) spreadState(news []replica.Record) {
	n := d.node
	if len(news[0].Value) <= bytesPerParcel {
		d.sendRecords(n.records.wire(store.State, news), d.all())
		d.announce()
		return
	}
	x, err := n.handOn.change()
	if err != nil {
		n.log.WithFields(logrus.Fields{"event": "state_not_packed", "error": err}).Error()
	}
	if x != nil && len(x.GetPacked()) <= smallRecord {
		d.sendRecords(&tlv1.Records{Kind: string(store.State), Records: []*tlv1.Record{x}}, d.all())
		d.announce()
		return
	}
	d.confirm(false)
	d.pass(strangersTold)
}

func (d *duty) sendRecords(r *tlv1.Records, addresses []string) {
	d.node.wire.send(&tlv1.Parcel{Body: &tlv1.Parcel_Records{Records: r}}, addresses...)
}

// all returns where all other nodes hear datagrams.
func (d *duty) all() []string {
	return gossipAddresses(d.node.members.Live(), func(*tlv1.Member) bool { return true })
}
