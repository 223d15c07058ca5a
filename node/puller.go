package node

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/sirupsen/logrus"
	"github.com/tinladder/tinladder/clock"
	tlv1 "github.com/tinladder/tinladder/schema/tinladder/v1"
	"github.com/tinladder/tinladder/schema/tinladder/v1/tinladderv1connect"
	"github.com/tinladder/tinladder/stall"
	"github.com/tinladder/tinladder/store"
)

const (
	// maxSearches is how many nodes are asked for a record at a time. The second search starts only if the first has
	// not finished within secondSearchDelay, so that one slow holder does not determine the delay.
	maxSearches                    = 2
	secondSearchDelay clock.Millis = 300
	// minPullDelay is the minimum delay, and pullDelayJitter the maximum random addition to it, before another node is
	// asked after a busy one. Together they are about the time that a node needs to receive a record.
	minPullDelay    clock.Millis = 30
	pullDelayJitter clock.Millis = 70
	// maxHolders is how many holders of a record are remembered.
	maxHolders = 16
)

// pullLimits limits a request for a record. A response that keeps arriving is cancelled only at Total.
var pullLimits = stall.Limits{FirstByte: 800 * time.Millisecond, Idle: 800 * time.Millisecond, Total: 10 * time.Second}

// uncompressed disables compression of responses, since records are compressed already.
var uncompressed = connect.WithAcceptCompression("gzip", nil, nil)

// puller fetches newer versions of the desired state from nodes that hold them.
type puller struct {
	node *Node

	mu sync.Mutex
	// wantedVersion is the newest version that another node is known to hold, and holders are the addresses of such nodes.
	wantedVersion uint64
	holders       []string
	// searches are those in progress.
	searches []*search
}

// A search asks one holder after another.
type search struct {
	begun  clock.Millis
	cancel context.CancelFunc
}

func newPuller(n *Node) *puller {
	return &puller{node: n}
}

// held returns the version of the state's record that this node holds.
func (p *puller) held() uint64 {
	return p.node.records.sets[store.State].Newest()
}

// fetch notes that the node at the address holds a version, and starts a search for it if this node lacks it.
func (p *puller) fetch(version uint64, address string) {
	if version <= p.held() || address == "" {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if version > p.wantedVersion {
		p.wantedVersion, p.holders = version, nil
	}
	p.addHolder(address)
	now := p.node.clock.Now()
	if len(p.searches) >= maxSearches || slices.ContainsFunc(p.searches, func(s *search) bool { return now-s.begun < secondSearchDelay }) {
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	s := &search{begun: now, cancel: cancel}
	p.searches = append(p.searches, s)
	go p.run(ctx, s, address)
}

// addHolder remembers a holder's address.
func (p *puller) addHolder(address string) {
	if !slices.Contains(p.holders, address) && address != p.node.settings().Node.PeersAddress() {
		p.holders = append(p.holders, address)
		p.holders = p.holders[max(0, len(p.holders)-maxHolders):]
	}
}

// run asks one holder after another, until this node has the wanted version or there is no holder left to ask.
func (p *puller) run(ctx context.Context, s *search, address string) {
	defer p.endSearch(s)
	for address != "" && ctx.Err() == nil {
		if p.pullFrom(ctx, address) {
			p.cancelSearches()
		} else {
			sleep(ctx, minPullDelay+rand.N(pullDelayJitter))
		}
		address = p.nextHolder(address)
	}
}

func (p *puller) endSearch(s *search) {
	s.cancel()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.searches = slices.DeleteFunc(p.searches, func(x *search) bool { return x == s })
}

// cancelSearches cancels all searches once the wanted version is held.
func (p *puller) cancelSearches() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.wantedVersion > p.held() {
		return
	}
	for _, s := range p.searches {
		s.cancel()
	}
}

// nextHolder returns a random holder, preferably another than the last one, or "" if there is none or nothing is wanted.
func (p *puller) nextHolder(last string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.wantedVersion <= p.held() || len(p.holders) == 0 {
		return ""
	}
	others := slices.DeleteFunc(slices.Clone(p.holders), func(a string) bool { return a == last })
	if len(others) == 0 {
		return last
	}
	return others[rand.IntN(len(others))]
}

// pullFrom asks one node, and reports whether that brought a newer version.
func (p *puller) pullFrom(ctx context.Context, address string) bool {
	n := p.node
	held, begun := p.held(), n.clock.Now()
	ctx, guard := stall.Watch(ctx, pullLimits)
	defer guard.Close()
	c := tinladderv1connect.NewFleetServiceClient(n.peers.http, "http://"+address, uncompressed)
	res, err := c.Pull(withGuard(ctx, guard), connect.NewRequest(&tlv1.PullRequest{
		Kind: wireName(store.State), Held: held, PeerAddress: n.settings().Node.PeersAddress(),
	}))
	n.metrics.pulled(err == nil, res != nil && res.Msg.GetBusy(), n.far(address), int(guard.BytesRead()))
	if err != nil {
		if context.Cause(ctx) != context.Canceled {
			n.log.WithFields(logrus.Fields{
				"event": "pull_failed", "address": address, "ms": n.clock.Now() - begun, "bytes": guard.BytesRead(),
				"error": err, "cause": context.Cause(ctx),
			}).Info()
		}
		p.removeHolder(address)
		return false
	}
	x := res.Msg.GetRecord()
	if x == nil {
		p.handleNoRecord(address, res.Msg)
		return false
	}
	n.records.receive(&tlv1.Records{Kind: wireName(store.State), Records: []*tlv1.Record{x}}, address)
	if p.held() <= held {
		p.removeHolder(address)
		return false
	}
	return true
}

// handleNoRecord handles a response without a record: the node is busy and names other holders, or holds nothing newer.
func (p *puller) handleNoRecord(address string, res *tlv1.PullResponse) {
	if !res.GetBusy() {
		p.removeHolder(address)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, a := range res.GetHolders() {
		p.addHolder(a)
	}
}

func (p *puller) removeHolder(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.holders = slices.DeleteFunc(p.holders, func(a string) bool { return a == address })
}

// Pull serves other nodes' requests for the newest desired state.
func (p *peers) Pull(_ context.Context, req *connect.Request[tlv1.PullRequest]) (*connect.Response[tlv1.PullResponse], error) {
	h := p.node.stateTransfer
	x, err := h.encodeFor(req.Msg.GetHeld())
	if err != nil {
		return nil, err
	}
	if x == nil || kindNamed(req.Msg.GetKind()) != store.State {
		return connect.NewResponse(&tlv1.PullResponse{}), nil
	}
	if len(x.GetPacked()) <= maxDatagramRecordBytes {
		return connect.NewResponse(&tlv1.PullResponse{Record: x}), nil
	}
	admitted, holders := h.admit(req.Msg.GetPeerAddress(), len(x.GetPacked()))
	if !admitted {
		return connect.NewResponse(&tlv1.PullResponse{Busy: true, Holders: holders}), nil
	}
	return connect.NewResponse(&tlv1.PullResponse{Record: x}), nil
}
