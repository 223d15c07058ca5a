package node

import (
	"cmp"
	"context"
	"math"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/gorilla/mux"
	"github.com/sirupsen/logrus"
	"github.com/tinladder/tinladder/clock"
	"github.com/tinladder/tinladder/ident"
	tlv1 "github.com/tinladder/tinladder/schema/tinladder/v1"
	"github.com/tinladder/tinladder/schema/tinladder/v1/tinladderv1connect"
	"github.com/tinladder/tinladder/stall"
	"github.com/tinladder/tinladder/store"
	"google.golang.org/protobuf/proto"
)

const (
	// heldTimeout bounds a question for the version of a document that another node uses.
	heldTimeout clock.Millis = 400
	// syncPause is the least time between two comparisons that a difference asks for.
	syncPause clock.Millis = 50
	// mergeEvery is how often a node compares itself with another without a reason.
	mergeEvery = 15 * clock.Second
	// startMerges is how often it does so for startFor from its start: those that it asked first may have started with
	// it, and know as few.
	startMerges clock.Millis = 200
	startFor    clock.Millis = 1500
	// mergeMembers is how many members such a comparison brings in startMerges: more take longer, since each of as many nodes
	// brings all of them.
	mergeMembers = 100
	// membersTold is how many members a node tells the one that it compares itself with.
	membersTold = 64
	// joinFor is how long a node that knows nobody asks all its seeds at once, again and again.
	joinFor = 2 * clock.Second
	// peerIdle is how long connections to other nodes are kept.
	peerIdle = 5 * time.Second
)

// syncLimits bounds a comparison with another node. An answer that keeps coming is not given up.
var syncLimits = stall.Limits{FirstByte: 400 * time.Millisecond, Idle: 400 * time.Millisecond, Total: 4 * time.Second}

// peers compares this node with others: members, and records.
type peers struct {
	node *Node
	http *http.Client

	mu       sync.Mutex
	syncing  bool
	syncedAt clock.Millis
	mergedAt clock.Millis
	joined   bool
	// turnedAway says that the node that was compared with last had no room to give what this one lacks.
	turnedAway bool
}

func newPeers(n *Node) *peers {
	t := http.DefaultTransport.(*http.Transport).Clone()
	t.Proxy = nil
	t.IdleConnTimeout = peerIdle
	c := &http.Client{Transport: &doorTransport{base: t, keys: n.keys}}
	return &peers{node: n, http: c, mergedAt: n.clock.Now()}
}

// A doorTransport proves this node to peers.
type doorTransport struct {
	base http.RoundTripper
	keys *keyring
}

// RoundTrip implements http.RoundTripper.
func (t *doorTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	r = r.Clone(r.Context())
	r.Header.Set(HeaderPeerKey, t.keys.doorKey())
	res, err := t.base.RoundTrip(r)
	if g, found := r.Context().Value(guardKey{}).(*stall.Guard); found && err == nil {
		res.Body = g.Body(res.Body)
	}
	return res, err
}

// guardKey is the key under which a call's context holds its guard.
type guardKey struct{}

// withGuard returns a context for a call to another node whose answer the guard watches.
func withGuard(ctx context.Context, g *stall.Guard) context.Context {
	return context.WithValue(ctx, guardKey{}, g)
}

// peersDoor serves other nodes only.
func (n *Node) peersDoor() http.Handler {
	m := mux.NewRouter().SkipClean(true).UseEncodedPath()
	path, h := tinladderv1connect.NewFleetServiceHandler(n.peers, connect.WithCompressMinBytes(math.MaxInt32)) // what is large is packed
	m.PathPrefix(path).Handler(h)
	m.PathPrefix("/").HandlerFunc(n.serveForPeer)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !n.keys.opensDoor(r.Header.Get(HeaderPeerKey)) {
			http.Error(w, "peers only", http.StatusForbidden)
			return
		}
		m.ServeHTTP(w, r)
	})
}

// Sync implements the service that other nodes call. The desired state, evacuations and members go to all that ask; other
// records and reports, which are many, to as many as this node has room for.
func (p *peers) Sync(_ context.Context, req *connect.Request[tlv1.SyncRequest]) (*connect.Response[tlv1.SyncResponse], error) {
	n := p.node
	n.members.Merge(req.Msg.GetMembers())
	res := &tlv1.SyncResponse{
		Kinds: n.duty.kindSums(), StoreNow: int64(n.duty.proof.Latest(n.clock.Now())),
		Known: uint32(n.quotas.known.see(len(n.members.Live())+1, n.clock.Now())),
	}
	for _, theirs := range req.Msg.GetKinds() {
		switch k := store.Kind(theirs.GetKind()); {
		case !p.differs(theirs):
		case k == store.State && p.sendsState(theirs, req.Msg.GetPulls()), k == store.Evacuations:
			res.Records = append(res.Records, n.records.toWire(k, n.records.sets[k].All()))
		}
	}
	rest := res
	if req.Msg.GetPacks() {
		rest = &tlv1.SyncResponse{}
	}
	if !req.Msg.GetRecordsOnly() {
		rest.Members = missingMembers(n.members.All(), req.Msg.GetKnown())
	}
	given := p.giveMany(req.Msg, rest, res)
	if rest != res {
		p.pack(rest, res)
	}
	n.metrics.syncServed(len(res.Records) > 0 || given, proto.Size(res))
	return connect.NewResponse(res), nil
}

// giveMany adds reports, and records of the kinds of which there are many, as far as this node has room for them: to the
// rest, or whole sets as packs.
func (p *peers) giveMany(req *tlv1.SyncRequest, rest, res *tlv1.SyncResponse) (given bool) {
	n := p.node
	if !req.GetRecordsOnly() {
		n.compares.give(func() (made, sent int) {
			rest.Reports = n.services.reports(req)
			made = proto.Size(&tlv1.SyncResponse{Reports: rest.Reports})
			return made, made
		})
	}
	for _, theirs := range req.GetKinds() {
		k := store.Kind(theirs.GetKind())
		switch {
		case k == store.State || k == store.Evacuations || !p.differs(theirs):
		case !req.GetPacks():
			given = p.giveRecords(k, theirs, rest) || given
		default:
			after, many := n.packs.shouldPack(k, theirs)
			if !many {
				given = p.giveRecords(k, theirs, rest) || given
			} else if x := p.givePack(packKey{kind: k, after: after}); x != nil {
				res.Packs, given = append(res.Packs, x), true
			}
		}
	}
	return given
}

// giveRecords adds the records of the parts of a set that differ to the rest of an answer, if this node has room for that.
func (p *peers) giveRecords(k store.Kind, theirs *tlv1.KindSum, rest *tlv1.SyncResponse) bool {
	n := p.node
	return n.compares.give(func() (made, sent int) {
		list := n.records.toWire(k, n.records.sets[k].Diff(theirs.GetSums()))
		rest.Records = append(rest.Records, list)
		made = proto.Size(list)
		return made, made
	})
}

// givePack returns many records as they are sent to a node that lacks them; nil if this node has no room for that. One that
// carries little leaves it to those of its hall that carry the most.
func (p *peers) givePack(key packKey) (given *tlv1.Pack) {
	n := p.node
	if !n.isStrong(n.members.Self()) {
		return nil
	}
	n.compares.give(func() (made, sent int) {
		x, found := n.packs.cached(key)
		made = len(x.answer) / packSpeedup
		if !found {
			var err error
			if x, made, err = n.packs.build(key); err != nil {
				n.log.WithFields(logrus.Fields{"event": "records_not_packed", "kind": key.kind, "error": err}).Error()
				return made, 0
			}
		}
		given = x.wire(n.clock.Now())
		return made, len(x.answer)
	})
	return given
}

// leastSmall is how many bytes an answer must have to be compressed.
const leastSmall = 1 << 10

// pack adds the rest of an answer to it, compressed if that is worth it.
func (p *peers) pack(rest, res *tlv1.SyncResponse) {
	if proto.Size(rest) >= leastSmall {
		answer, _, err := compressResponse(rest)
		if err == nil {
			res.Packs = append(res.Packs, &tlv1.Pack{Answer: answer})
			return
		}
		p.node.log.WithFields(logrus.Fields{"event": "records_not_packed", "error": err}).Error()
	}
	res.Members, res.Reports, res.Records = rest.Members, rest.Reports, append(res.Records, rest.Records...)
}

// isStrong says whether the member carries at least half of what the one of its hall does that carries the most.
func (n *Node) isStrong(m *tlv1.Member) bool {
	most := n.members.Self().GetWeight()
	for _, o := range n.members.Live() {
		if hallOf(o) == hallOf(m) {
			most = max(most, o.GetWeight())
		}
	}
	return 2*m.GetWeight() >= most
}

// strongNode returns a node of this hall by chance that carries much; nil if there is none.
func (n *Node) strongNode() *tlv1.Member {
	var most uint32
	var strong []*tlv1.Member
	for _, m := range n.members.Live() {
		if hallOf(m) == n.hall() && isReady(m) {
			most = max(most, m.GetWeight())
		}
	}
	for _, m := range n.members.Live() {
		if hallOf(m) == n.hall() && isReady(m) && 2*m.GetWeight() >= most {
			strong = append(strong, m)
		}
	}
	if len(strong) == 0 {
		return nil
	}
	return strong[rand.IntN(len(strong))]
}

// differs says whether this node holds other records of a kind than the one that asks.
func (p *peers) differs(theirs *tlv1.KindSum) bool {
	set := p.node.records.sets[store.Kind(theirs.GetKind())]
	return set != nil && set.Sum() != theirs.GetSum()
}

// sendsState says whether the state goes with a comparison: to a node that holds an older one, if it is small
// or the node cannot ask for it.
func (p *peers) sendsState(theirs *tlv1.KindSum, pulls bool) bool {
	r := p.node.records
	if theirs.GetNewest() >= r.sets[store.State].Newest() {
		return false
	}
	return !pulls || r.stateSize() <= maxInlineRecordBytes
}

// met compares this node with the first other one that it hears from.
func (p *peers) met(m *tlv1.Member) {
	p.mu.Lock()
	joined := p.joined
	p.mu.Unlock()
	if !joined && m.GetNode() != string(p.node.self.Node) && m.GetPeerAddress() != "" {
		p.sync(m.GetPeerAddress(), true)
	}
}

// lonely says whether this node has met no other one, though its settings name some.
func (p *peers) lonely() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	self := p.node.settings().Node.PeersAddress()
	return !p.joined && slices.ContainsFunc(p.node.settings().Fleet.Seeds, func(a string) bool { return a != self })
}

// tick looks for others until there are any, and then compares this node with one now and then.
func (p *peers) tick() {
	now := p.node.clock.Now()
	p.mu.Lock()
	joining := !p.joined && now-p.node.duty.since < joinFor
	pause := startMerges * clock.Millis(max(1, len(p.node.members.Live())/mergeMembers))
	due := now-p.mergedAt >= mergeEvery || now-p.node.duty.since < startFor+pause && now-p.mergedAt >= pause
	if due {
		p.mergedAt = now
	}
	p.mu.Unlock()
	if joining {
		p.node.sendGossip(p.node.members.Join())
	}
	if !due {
		return
	}
	if live := p.node.someNodes(); len(live) > 0 {
		p.sync(live[0].GetPeerAddress(), true)
	}
}

// sync compares this node with the one at the address, in the background, one at a time: records, and on
// the whole members and reports too.
func (p *peers) sync(address string, whole bool) {
	now := p.node.clock.Now()
	p.mu.Lock()
	if p.syncing || now-p.syncedAt < syncPause {
		p.mu.Unlock()
		return
	}
	p.syncing, p.syncedAt = true, now
	whole = whole || !p.joined
	elsewhere := p.turnedAway && !whole
	p.turnedAway = false
	p.mu.Unlock()
	if elsewhere {
		if m := p.node.strongNode(); m != nil {
			address = m.GetPeerAddress()
		}
	}
	go func() {
		ok := p.syncWith(address, whole)
		p.mu.Lock()
		p.syncing = false
		p.joined = p.joined || ok
		p.mu.Unlock()
	}()
}

func (p *peers) syncWith(address string, whole bool) bool {
	n := p.node
	ctx, guard := stall.Watch(context.Background(), syncLimits)
	defer guard.Close()
	begun := n.clock.Now()
	req := &tlv1.SyncRequest{Kinds: n.duty.kindSums(), RecordsOnly: !whole, Pulls: true, Packs: true, Services: n.services.needed()}
	for _, s := range req.Kinds {
		if k := store.Kind(s.GetKind()); k != store.State {
			s.Sums = n.records.sets[k].BucketSums()
		}
	}
	if whole {
		req.Members = n.members.All()
		req.Known = memberHashes(req.Members)
		req.Members = req.Members[:min(len(req.Members), membersTold)] // the first is this node; others ask for the rest
	}
	c := tinladderv1connect.NewFleetServiceClient(p.http, "http://"+address)
	res, err := c.Sync(withGuard(ctx, guard), connect.NewRequest(req))
	n.metrics.synced(err == nil, n.far(address), int(guard.BytesRead())+proto.Size(req))
	if err != nil {
		n.log.WithFields(logrus.Fields{
			"event": "sync_failed", "address": address, "ms": n.clock.Now() - begun, "bytes": guard.BytesRead(),
			"error": err, "cause": context.Cause(ctx),
		}).Info()
		return false
	}
	n.duty.proof.ObserveLatest(begun, clock.Millis(res.Msg.GetStoreNow()))
	n.quotas.known.see(int(res.Msg.GetKnown()), n.clock.Now())
	records := p.takeParts(res.Msg, address)
	for _, r := range p.inOrder(records) {
		n.records.receive(r, address)
	}
	if !n.duty.hearKinds(res.Msg.GetKinds(), address, n.far(address)) && len(records) == 0 {
		p.mu.Lock()
		p.turnedAway = true
		p.mu.Unlock()
	}
	return true
}

// takeParts takes in the members and reports of an answer and of its packs, and returns the records of all.
func (p *peers) takeParts(res *tlv1.SyncResponse, address string) (records []*tlv1.Records) {
	n := p.node
	parts := []*tlv1.SyncResponse{res}
	for _, x := range res.GetPacks() {
		part, err := decompressResponse(x)
		if err != nil {
			n.log.WithFields(logrus.Fields{"event": "record_unreadable", "from": address, "error": err}).Warn()
			continue
		}
		parts = append(parts, part)
	}
	for _, part := range parts {
		n.members.Merge(part.GetMembers())
		records = append(records, part.GetRecords()...)
	}
	for _, part := range parts {
		for _, r := range part.GetReports() {
			n.services.hear(r)
		}
	}
	return records
}

// inOrder puts a first state behind the records that came with it: requests wait for it, and would find no targets. A
// newer state comes first, as it was sent.
func (p *peers) inOrder(list []*tlv1.Records) []*tlv1.Records {
	if p.node.records.table.Load() == nil {
		slices.SortStableFunc(list, func(a, b *tlv1.Records) int {
			return cmp.Compare(stateLast(a), stateLast(b))
		})
	}
	return list
}

// stateLast is the place of records of a kind: those of the state have the last.
func stateLast(r *tlv1.Records) int {
	if store.Kind(r.GetKind()) == store.State {
		return 1
	}
	return 0
}

// inForceAt asks another node which version of a document it uses.
func (p *peers) inForceAt(ctx context.Context, m *tlv1.Member, k ident.Key) *tlv1.InForce {
	ctx, cancel := context.WithTimeout(ctx, heldTimeout.Duration())
	defer cancel()
	c := tinladderv1connect.NewFleetServiceClient(p.http, "http://"+m.GetPeerAddress())
	res, err := c.Held(ctx, connect.NewRequest(&tlv1.HeldRequest{Key: string(k)}))
	if err != nil {
		return &tlv1.InForce{Node: m.GetNode()}
	}
	return &tlv1.InForce{Node: m.GetNode(), Version: res.Msg.GetVersion(), Reached: true}
}

// Held implements the service that other nodes call.
func (p *peers) Held(_ context.Context, req *connect.Request[tlv1.HeldRequest]) (*connect.Response[tlv1.HeldResponse], error) {
	v := p.node.held(ident.Key(req.Msg.GetKey())).GetVersion()
	return connect.NewResponse(&tlv1.HeldResponse{Version: v}), nil
}
