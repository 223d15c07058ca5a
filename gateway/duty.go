package gateway

import (
	"context"
	"slices"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"github.com/tinladder/tinladder/assign"
	"github.com/tinladder/tinladder/clock"
	"github.com/tinladder/tinladder/desired"
	"github.com/tinladder/tinladder/ident"
	tlv1 "github.com/tinladder/tinladder/schema/tinladder/v1"
)

const (
	// watchWait is how long a watcher's question to the store waits for changes.
	watchWait clock.Millis = 2500
	// confirmEvery is how often a watcher tells its hall what the store holds.
	confirmEvery clock.Millis = 300
	// staleAfter is how old the last confirmation may be before a node asks the store itself.
	// Watchers are silent for watchWait at most.
	staleAfter clock.Millis = 1200
	// stalePerRank is how much longer each node waits than the one ranked before it, and
	// staleMost the most of it.
	stalePerRank clock.Millis = 30
	staleMost    clock.Millis = 400
	// dutyCheck is how often a node without the duty looks whether it should take it up.
	dutyCheck clock.Millis = 50
	// retryFirst and retryMost bound the pause after a call to the store that failed.
	retryFirst clock.Millis = 150
	retryMost  clock.Millis = 1500
	// settle is how long a change of targets waits for others to come with it.
	settle clock.Millis = 150
)

// duty decides whether this node watches the store, and spreads what it sees there. A few nodes
// watch; the others hear from them. A node that has heard nothing for long watches itself.
type duty struct {
	node *Node

	mu sync.Mutex
	// confirmedAt is when the store was last known to hold nothing newer, by whoever asked it.
	confirmedAt clock.Millis
	// ownAt is when it was this node that asked.
	ownAt  clock.Millis
	deafAt map[ident.Process]clock.Millis
	told   clock.Millis
	failed bool
}

func newDuty(n *Node) *duty {
	return &duty{node: n, confirmedAt: n.clock.Now(), deafAt: map[ident.Process]clock.Millis{}}
}

// age is how long ago the store was last known to hold nothing newer.
func (d *duty) age() clock.Millis {
	d.mu.Lock()
	defer d.mu.Unlock()
	return max(d.node.clock.Now()-d.confirmedAt, 0)
}

func (d *duty) confirmed(at clock.Millis) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.confirmedAt = max(d.confirmedAt, at)
}

// rank is this node's place in its hall in the order in which nodes watch, from 0.
func (d *duty) rank() int {
	n := d.node
	candidates := []assign.Candidate{{Node: n.self.Node, Weight: memberWeight}}
	now := n.clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, m := range n.members.Live() {
		p := ident.Process{Node: ident.Node(m.GetNode()), Incarnation: ident.Incarnation(m.GetIncarnation())}
		if m.GetHall() != n.settings().Node.Hall || m.GetLeaving() || m.GetState() != tlv1.NodeState_NODE_STATE_ALIVE || now-d.deafAt[p] < deafFor {
			continue
		}
		candidates = append(candidates, assign.Candidate{Node: ident.Node(m.GetNode()), Weight: memberWeight})
	}
	return assign.Duty("watch", candidates, n.self.Node)
}

// deafFor is how long a node that did not reach the store is passed over for the duty.
const deafFor = 3 * clock.Second

// wanted says whether this node should ask the store now.
func (d *duty) wanted() bool {
	if d.node.leaving.Load() {
		return false
	}
	rank := d.rank()
	wait := staleAfter + min(clock.Millis(rank)*stalePerRank, staleMost)
	if rank == 0 && d.node.clock.Now()-clock.Millis(d.node.self.Incarnation) > staleAfter/2 {
		return true
	}
	return d.age() > wait
}

// watchState follows the desired state for as long as this node has the duty.
func (d *duty) watchState(ctx context.Context) {
	var mark desired.Mark
	d.watch(ctx, "state", func(ctx context.Context, again bool) (err error) {
		var s *tlv1.DesiredState
		if again {
			s, mark, err = d.node.source.State(ctx)
		} else {
			s, mark, err = d.node.source.StateAfter(ctx, mark, watchWait)
		}
		if err == nil {
			d.node.state.put(s, "store")
		}
		return err
	})
}

// watchTargets follows the targets' records for as long as this node has the duty.
func (d *duty) watchTargets(ctx context.Context) {
	var mark desired.Mark
	d.watch(ctx, "targets", func(ctx context.Context, again bool) (err error) {
		if again {
			var list []*tlv1.TargetRecord
			list, mark, err = d.node.source.Targets(ctx)
			if err == nil {
				d.spread(d.node.roster.replace(list, uint64(mark)))
			}
			return err
		}
		list, next, err := d.node.source.TargetsAfter(ctx, mark, watchWait)
		if err != nil {
			return err
		}
		mark = next
		if len(list) > 0 {
			d.spread(d.node.roster.put(list))
			pause(ctx, settle)
		}
		return nil
	})
}

// watch calls ask again and again while this node has the duty; again says that the whole must be
// read.
func (d *duty) watch(ctx context.Context, what string, ask func(ctx context.Context, again bool) error) {
	again, wait := true, retryFirst
	var last clock.Millis
	for ctx.Err() == nil {
		if !d.wanted() {
			if !pause(ctx, dutyCheck) {
				return
			}
			continue
		}
		if d.node.clock.Now()-last > 2*watchWait {
			again = true
		}
		err := ask(ctx, again)
		switch {
		case err == nil:
			again, wait, last = false, retryFirst, d.node.clock.Now()
			d.answered()
		case errors.Is(err, desired.ErrGap):
			again = true
			d.node.log.WithFields(logrus.Fields{"event": "store_gap", "what": what}).Warn()
		default:
			d.lost(what, err)
			if !pause(ctx, wait) {
				return
			}
			wait = min(2*wait, retryMost)
		}
	}
}

// answered notes that the store answered this node.
func (d *duty) answered() {
	d.mu.Lock()
	now := d.node.clock.Now()
	regained := d.failed
	d.failed = false
	d.confirmedAt, d.ownAt = now, now
	d.mu.Unlock()
	if regained {
		d.node.log.WithFields(logrus.Fields{"event": "store_regained"}).Info()
	}
	d.confirm(false)
}

// lost notes that the store did not answer this node.
func (d *duty) lost(what string, err error) {
	d.mu.Lock()
	first := !d.failed
	d.failed = true
	d.deafAt[d.node.self] = d.node.clock.Now()
	d.mu.Unlock()
	if first {
		d.node.log.WithFields(logrus.Fields{"event": "store_lost", "what": what, "error": err}).Warn()
	}
	d.confirm(true)
}

// tick tells the hall now and then what the store holds.
func (d *duty) tick() {
	n := d.node
	d.mu.Lock()
	now := n.clock.Now()
	due := d.ownAt > 0 && now-d.ownAt < watchWait+staleAfter && now-d.told >= confirmEvery
	d.mu.Unlock()
	if due {
		d.confirm(false)
	}
}

// confirm tells this node's hall, and the watchers elsewhere, what is known of the store.
func (d *duty) confirm(deaf bool) {
	n := d.node
	d.mu.Lock()
	now := n.clock.Now()
	d.told = now
	c := &tlv1.Confirm{
		Node: string(n.self.Node), Incarnation: uint64(n.self.Incarnation), Hall: n.settings().Node.Hall,
		AgeMs: int64(now - d.confirmedAt), StateVersion: uint64(n.state.version()), TargetsSum: n.roster.Sum(), Deaf: deaf,
	}
	d.mu.Unlock()
	var addresses []string
	for _, m := range n.members.Live() {
		if m.GetHall() == n.settings().Node.Hall {
			addresses = append(addresses, m.GetGossipAddress())
		}
	}
	n.wire.send(&tlv1.Parcel{Body: &tlv1.Parcel_Confirm{Confirm: c}}, addresses...)
}

// hear takes in another node's word on the store.
func (d *duty) hear(c *tlv1.Confirm) {
	n := d.node
	p := ident.Process{Node: ident.Node(c.GetNode()), Incarnation: ident.Incarnation(c.GetIncarnation())}
	now := n.clock.Now()
	d.mu.Lock()
	if c.GetDeaf() {
		d.deafAt[p] = now
	} else {
		delete(d.deafAt, p)
	}
	same := c.GetStateVersion() <= uint64(n.state.version()) && c.GetTargetsSum() == n.roster.Sum()
	if same {
		d.confirmedAt = max(d.confirmedAt, now-clock.Millis(c.GetAgeMs()))
	}
	d.mu.Unlock()
	if same {
		return
	}
	if i := slices.IndexFunc(n.members.Live(), func(m *tlv1.Member) bool { return m.GetNode() == c.GetNode() }); i >= 0 {
		n.peers.sync(n.members.Live()[i].GetPeerAddress())
	}
}

// recordsPerParcel bounds one datagram of records.
const recordsPerParcel = 8

// spread tells all nodes of records that are new.
func (d *duty) spread(news []*tlv1.TargetRecord) {
	var addresses []string
	for _, m := range d.node.members.Live() {
		addresses = append(addresses, m.GetGossipAddress())
	}
	for part := range slices.Chunk(news, recordsPerParcel) {
		d.node.wire.send(&tlv1.Parcel{Body: &tlv1.Parcel_Targets{Targets: &tlv1.Targets{Records: part}}}, addresses...)
	}
}

// announce tells all nodes at once which desired state this node holds, and whether it leaves.
func (n *Node) announce() {
	c := &tlv1.Confirm{
		Node: string(n.self.Node), Incarnation: uint64(n.self.Incarnation), Hall: n.settings().Node.Hall,
		AgeMs: int64(n.duty.age()), StateVersion: uint64(n.state.version()), TargetsSum: n.roster.Sum(),
	}
	var addresses []string
	for _, m := range n.members.Live() {
		addresses = append(addresses, m.GetGossipAddress())
	}
	n.wire.send(&tlv1.Parcel{Body: &tlv1.Parcel_Confirm{Confirm: c}}, addresses...)
}
