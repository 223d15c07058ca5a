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
	// heldTimeout bounds a call for the version of a document that another node uses.
	heldTimeout clock.Millis = 400
	// syncMinGap is the minimum time between two syncs.
	syncMinGap clock.Millis = 50
	// fullSyncInterval is how often a node syncs with a random one, even if no difference is known.
	fullSyncInterval = 15 * clock.Second
	// startupSyncInterval is how often it does so during startupSyncPeriod: the nodes that it asked first may have
	// started with it, and know as little.
	startupSyncInterval clock.Millis = 200
	startupSyncPeriod   clock.Millis = 1500
	// startupSyncMembers is how many members such a sync transfers within startupSyncInterval. With more of them the
	// interval grows in proportion, since each of as many nodes transfers all of them.
	startupSyncMembers = 100
	// maxMembersSent is how many members a node sends in the request of a sync.
	maxMembersSent = 64
	// joinPeriod is how long a node that knows no other keeps asking all its seeds at once.
	joinPeriod = 2 * clock.Second
	// peerIdleTimeout closes idle connections to other nodes.
	peerIdleTimeout = 5 * time.Second
)

// syncLimits bounds a sync with another node. A response that keeps making progress is not given up before Total.
var syncLimits = stall.Limits{FirstByte: 400 * time.Millisecond, Idle: 400 * time.Millisecond, Total: 4 * time.Second}

// peers syncs this node with others: members and records.
type peers struct {
	node *Node
	http *http.Client

	mu         sync.Mutex
	syncing    bool
	syncedAt   clock.Millis
	fullSyncAt clock.Millis
	joined     bool
	// sourceBusy is whether the node of the last sync had no capacity to send what this one lacks.
	sourceBusy bool
}

func newPeers(n *Node) *peers {
	t := http.DefaultTransport.(*http.Transport).Clone()
	t.Proxy = nil
	t.IdleConnTimeout = peerIdleTimeout
	c := &http.Client{Transport: &peerTransport{base: t, keys: n.keys}}
	return &peers{node: n, http: c, fullSyncAt: n.clock.Now()}
}

// A peerTransport authenticates this node to peers.
type peerTransport struct {
	base http.RoundTripper
	keys *keyring
}

// RoundTrip implements http.RoundTripper.
func (t *peerTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	r = r.Clone(r.Context())
	r.Header.Set(HeaderPeerKey, t.keys.peerKey())
	res, err := t.base.RoundTrip(r)
	if g, found := r.Context().Value(guardKey{}).(*stall.Guard); found && err == nil {
		res.Body = g.Body(res.Body)
	}
	return res, err
}

// guardKey is the context key of a call's guard.
type guardKey struct{}

// withGuard returns a context for a call to another node whose response the guard watches.
func withGuard(ctx context.Context, g *stall.Guard) context.Context {
	return context.WithValue(ctx, guardKey{}, g)
}

// peersHandler serves other nodes only.
func (n *Node) peersHandler() http.Handler {
	m := mux.NewRouter().SkipClean(true).UseEncodedPath()
	path, h := tinladderv1connect.NewFleetServiceHandler(n.peers, connect.WithCompressMinBytes(math.MaxInt32)) // large responses are compressed as packs
	m.PathPrefix(path).Handler(h)
	m.PathPrefix("/").HandlerFunc(n.serveForPeer)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !n.keys.acceptsPeerKey(r.Header.Get(HeaderPeerKey)) {
			http.Error(w, "peers only", http.StatusForbidden)
			return
		}
		m.ServeHTTP(w, r)
	})
}

// Sync implements FleetService. The desired state, evacuations and members are sent to all that ask; other records and
// reports, which are many, as far as this node has capacity for them.
func (p *peers) Sync(_ context.Context, req *connect.Request[tlv1.SyncRequest]) (*connect.Response[tlv1.SyncResponse], error) {
	n := p.node
	n.members.Merge(req.Msg.GetMembers())
	res := &tlv1.SyncResponse{
		Kinds: n.duty.kindSums(), StoreNow: int64(n.duty.proof.Latest(n.clock.Now())),
		Known: uint32(n.quotas.peakLive.observe(len(n.members.Live())+1, n.clock.Now())),
	}
	for _, theirs := range req.Msg.GetKinds() {
		switch k := kindNamed(theirs.GetKind()); {
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
	given := p.addBulk(req.Msg, rest, res)
	if rest != res {
		p.addCompressed(rest, res)
	}
	n.metrics.syncServed(len(res.Records) > 0 || given, proto.Size(res))
	return connect.NewResponse(res), nil
}

// addBulk adds reports, and records of the kinds with many of them, as far as this node has capacity: to rest, or
// whole sets as packs to res.
func (p *peers) addBulk(req *tlv1.SyncRequest, rest, res *tlv1.SyncResponse) (given bool) {
	n := p.node
	if !req.GetRecordsOnly() {
		n.compares.give(func() (made, sent int) {
			rest.Reports = n.services.reports(req)
			made = proto.Size(&tlv1.SyncResponse{Reports: rest.Reports})
			return made, made
		})
	}
	for _, theirs := range req.GetKinds() {
		k := kindNamed(theirs.GetKind())
		switch {
		case k == store.State || k == store.Evacuations || !p.differs(theirs):
		case !req.GetPacks():
			given = p.addDiff(k, theirs, rest) || given
		default:
			after, many := n.packs.shouldPack(k, theirs)
			if !many {
				given = p.addDiff(k, theirs, rest) || given
			} else if x := p.buildPack(packKey{kind: k, after: after}); x != nil {
				res.Packs, given = append(res.Packs, x), true
			}
		}
	}
	return given
}

// addDiff adds the records of the buckets that differ to rest, if this node has capacity for that.
func (p *peers) addDiff(k store.Kind, theirs *tlv1.KindSum, rest *tlv1.SyncResponse) bool {
	n := p.node
	return n.compares.give(func() (made, sent int) {
		list := n.records.toWire(k, n.records.sets[k].Diff(theirs.GetSums()))
		rest.Records = append(rest.Records, list)
		made = proto.Size(list)
		return made, made
	})
}

// buildPack returns a pack of many records; nil if this node has no capacity for that. A node of low capacity leaves
// this to those of its hall with high capacity.
func (p *peers) buildPack(key packKey) (given *tlv1.Pack) {
	n := p.node
	if !n.hasHighCapacity(n.members.Self()) {
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

// minCompressBytes is the size from which a response is compressed.
const minCompressBytes = 1 << 10

// addCompressed adds rest to res, compressed if it is large enough.
func (p *peers) addCompressed(rest, res *tlv1.SyncResponse) {
	if proto.Size(rest) >= minCompressBytes {
		answer, _, err := compressResponse(rest)
		if err == nil {
			res.Packs = append(res.Packs, &tlv1.Pack{Answer: answer})
			return
		}
		p.node.log.WithFields(logrus.Fields{"event": "records_not_packed", "error": err}).Error()
	}
	res.Members, res.Reports, res.Records = rest.Members, rest.Reports, append(res.Records, rest.Records...)
}

// hasHighCapacity reports whether the member has at least half the capacity of the largest one of its hall.
func (n *Node) hasHighCapacity(m *tlv1.Member) bool {
	most := n.members.Self().GetWeight()
	for _, o := range n.members.Live() {
		if hallOf(o) == hallOf(m) {
			most = max(most, o.GetWeight())
		}
	}
	return 2*m.GetWeight() >= most
}

// highCapacityNode returns a random node of this hall with high capacity; nil if there is none.
func (n *Node) highCapacityNode() *tlv1.Member {
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

// differs reports whether this node holds other records of a kind than the node that asks.
func (p *peers) differs(theirs *tlv1.KindSum) bool {
	set := p.node.records.sets[kindNamed(theirs.GetKind())]
	return set != nil && set.Sum() != theirs.GetSum()
}

// sendsState reports whether the state is part of a sync: for a node that holds an older one, if it is small
// or the node cannot pull it.
func (p *peers) sendsState(theirs *tlv1.KindSum, pulls bool) bool {
	r := p.node.records
	if theirs.GetNewest() >= r.sets[store.State].Newest() {
		return false
	}
	return !pulls || r.stateSize() <= maxInlineRecordBytes
}

// syncOnFirstContact syncs this node with the first other one that it hears from.
func (p *peers) syncOnFirstContact(m *tlv1.Member) {
	p.mu.Lock()
	joined := p.joined
	p.mu.Unlock()
	if !joined && m.GetNode() != string(p.node.self.Node) && m.GetPeerAddress() != "" {
		p.sync(m.GetPeerAddress(), true)
	}
}

// isAlone reports whether this node has had no sync with another, though its settings name other seeds.
func (p *peers) isAlone() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	self := p.node.settings().Node.PeersAddress()
	return !p.joined && slices.ContainsFunc(p.node.settings().Fleet.Seeds, func(a string) bool { return a != self })
}

// tick joins the fleet until there are other nodes, and then syncs with a random one at intervals.
func (p *peers) tick() {
	now := p.node.clock.Now()
	p.mu.Lock()
	joining := !p.joined && now-p.node.duty.startedAt < joinPeriod
	pause := startupSyncInterval * clock.Millis(max(1, len(p.node.members.Live())/startupSyncMembers))
	due := now-p.fullSyncAt >= fullSyncInterval || now-p.node.duty.startedAt < startupSyncPeriod+pause && now-p.fullSyncAt >= pause
	if due {
		p.fullSyncAt = now
	}
	p.mu.Unlock()
	if joining {
		p.node.sendGossip(p.node.members.Join())
	}
	if !due {
		return
	}
	if live := p.node.randomNodes(); len(live) > 0 {
		p.sync(live[0].GetPeerAddress(), true)
	}
}

// sync syncs this node with the one at the address, in the background, one at a time: records, and if full
// also members and reports.
func (p *peers) sync(address string, full bool) {
	now := p.node.clock.Now()
	p.mu.Lock()
	if p.syncing || now-p.syncedAt < syncMinGap {
		p.mu.Unlock()
		return
	}
	p.syncing, p.syncedAt = true, now
	full = full || !p.joined
	elsewhere := p.sourceBusy && !full
	p.sourceBusy = false
	p.mu.Unlock()
	if elsewhere {
		if m := p.node.highCapacityNode(); m != nil {
			address = m.GetPeerAddress()
		}
	}
	go func() {
		ok := p.syncWith(address, full)
		p.mu.Lock()
		p.syncing = false
		p.joined = p.joined || ok
		p.mu.Unlock()
	}()
}

func (p *peers) syncWith(address string, full bool) bool {
	n := p.node
	ctx, guard := stall.Watch(context.Background(), syncLimits)
	defer guard.Close()
	begun := n.clock.Now()
	req := &tlv1.SyncRequest{Kinds: n.duty.kindSums(), RecordsOnly: !full, Pulls: true, Packs: true, Services: n.services.loadedServices()}
	for _, s := range req.Kinds {
		if k := kindNamed(s.GetKind()); k != store.State {
			s.Sums = n.records.sets[k].BucketSums()
		}
	}
	if full {
		req.Members = n.members.All()
		req.Known = memberHashes(req.Members)
		req.Members = req.Members[:min(len(req.Members), maxMembersSent)] // the first is this node; the peer asks others for the rest
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
	n.quotas.peakLive.observe(int(res.Msg.GetKnown()), n.clock.Now())
	records := p.mergeParts(res.Msg, address)
	for _, r := range p.inOrder(records) {
		n.records.receive(r, address)
	}
	if !n.duty.mergeKindSums(res.Msg.GetKinds(), address, n.far(address)) && len(records) == 0 {
		p.mu.Lock()
		p.sourceBusy = true
		p.mu.Unlock()
	}
	return true
}

// mergeParts merges the members and reports of a response and of its packs, and returns the records of all.
func (p *peers) mergeParts(res *tlv1.SyncResponse, address string) (records []*tlv1.Records) {
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
			n.services.handleReport(r)
		}
	}
	return records
}

// inOrder puts a first state behind the records that came with it: requests wait for it, and would find no targets. A
// newer state stays first.
func (p *peers) inOrder(list []*tlv1.Records) []*tlv1.Records {
	if p.node.records.table.Load() == nil {
		slices.SortStableFunc(list, func(a, b *tlv1.Records) int {
			return cmp.Compare(recordsOrder(a), recordsOrder(b))
		})
	}
	return list
}

// recordsOrder is the sort key of records of a kind: those of the state are last.
func recordsOrder(r *tlv1.Records) int {
	if kindNamed(r.GetKind()) == store.State {
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

// Held implements FleetService.
func (p *peers) Held(_ context.Context, req *connect.Request[tlv1.HeldRequest]) (*connect.Response[tlv1.HeldResponse], error) {
	v := p.node.heldDocument(ident.Key(req.Msg.GetKey())).GetVersion()
	return connect.NewResponse(&tlv1.HeldResponse{Version: v}), nil
}
