package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/gorilla/mux"
	"github.com/tinladder/tinladder/clock"
	tlv1 "github.com/tinladder/tinladder/schema/tinladder/v1"
	"github.com/tinladder/tinladder/schema/tinladder/v1/tinladderv1connect"
)

const (
	// syncTimeout bounds a comparison with another node.
	syncTimeout clock.Millis = 400
	// syncPause is the least time between two comparisons that a difference asks for.
	syncPause clock.Millis = 50
	// mergeEvery is how often a node compares itself with another without a reason.
	mergeEvery = 15 * clock.Second
)

// peers compares this node with others: members, desired state and targets.
type peers struct {
	node *Node
	http *http.Client

	mu       sync.Mutex
	syncing  bool
	syncedAt clock.Millis
	mergedAt clock.Millis
	joined   bool
}

func newPeers(n *Node) *peers {
	t := http.DefaultTransport.(*http.Transport).Clone()
	t.Proxy = nil
	t.IdleConnTimeout = 5 * time.Second
	return &peers{node: n, http: &http.Client{Transport: t}, mergedAt: n.clock.Now()}
}

func (p *peers) door() http.Handler {
	m := mux.NewRouter().SkipClean(true).UseEncodedPath()
	path, h := tinladderv1connect.NewFleetServiceHandler(p)
	m.PathPrefix(path).Handler(h)
	return m
}

// Sync implements the service that other nodes call.
func (p *peers) Sync(_ context.Context, req *connect.Request[tlv1.SyncRequest]) (*connect.Response[tlv1.SyncResponse], error) {
	n := p.node
	n.members.Merge(req.Msg.GetMembers())
	res := &tlv1.SyncResponse{Members: n.members.All(), ConfirmAgeMs: int64(n.duty.age())}
	if t := n.state.table(); t != nil && uint64(t.Version) > req.Msg.GetStateVersion() {
		res.State = t.State()
	}
	if n.roster.Sum() != req.Msg.GetTargetsSum() {
		res.Records = n.roster.all()
	}
	res.Reports = n.services.reports()
	return connect.NewResponse(res), nil
}

// met compares this node with the first other one that it hears from.
func (p *peers) met(m *tlv1.Member) {
	p.mu.Lock()
	joined := p.joined
	p.mu.Unlock()
	if !joined && m.GetNode() != string(p.node.self.Node) && m.GetPeerAddress() != "" {
		p.sync(m.GetPeerAddress())
	}
}

// tick compares this node with another now and then.
func (p *peers) tick() {
	now := p.node.clock.Now()
	p.mu.Lock()
	due := now-p.mergedAt >= mergeEvery
	if due {
		p.mergedAt = now
	}
	p.mu.Unlock()
	if live := p.node.members.Live(); due && len(live) > 0 {
		p.sync(live[rand.IntN(len(live))].GetPeerAddress())
	}
}

// sync compares this node with the one at the address, in the background, one at a time.
func (p *peers) sync(address string) {
	now := p.node.clock.Now()
	p.mu.Lock()
	if p.syncing || now-p.syncedAt < syncPause {
		p.mu.Unlock()
		return
	}
	p.syncing, p.syncedAt = true, now
	p.mu.Unlock()
	go func() {
		ok := p.syncWith(address)
		p.mu.Lock()
		p.syncing = false
		p.joined = p.joined || ok
		p.mu.Unlock()
	}()
}

func (p *peers) syncWith(address string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), syncTimeout.Duration())
	defer cancel()
	n := p.node
	c := tinladderv1connect.NewFleetServiceClient(p.http, "http://"+address)
	res, err := c.Sync(ctx, connect.NewRequest(&tlv1.SyncRequest{
		StateVersion: uint64(n.state.version()), TargetsSum: n.roster.Sum(), Members: n.members.All(),
	}))
	if err != nil {
		return false
	}
	n.members.Merge(res.Msg.GetMembers())
	n.state.put(res.Msg.GetState(), address)
	n.roster.put(res.Msg.GetRecords())
	for _, r := range res.Msg.GetReports() {
		n.services.hear(r)
	}
	n.duty.confirmed(n.clock.Now() - clock.Millis(res.Msg.GetConfirmAgeMs()))
	return true
}
