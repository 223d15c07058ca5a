// Package node is the daemon: it joins the libraries to the network, the platform and the clock.
package node

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"github.com/tinladder/tinladder/clock"
	"github.com/tinladder/tinladder/config"
	"github.com/tinladder/tinladder/ident"
	"github.com/tinladder/tinladder/member"
	"github.com/tinladder/tinladder/once"
	"github.com/tinladder/tinladder/backing"
	"github.com/tinladder/tinladder/proxy"
	"github.com/tinladder/tinladder/route"
	tlv1 "github.com/tinladder/tinladder/schema/tinladder/v1"
	"github.com/tinladder/tinladder/settings"
)

// Paces of the node's parts.
const (
	gossipEvery  clock.Millis = 100
	guardEvery   clock.Millis = 40
	digestEvery               = 1 * clock.Second
	pollEvery    clock.Millis = 500
	seatsEvery                = 1 * clock.Second
	vmListEvery               = 10 * clock.Second
	membersEvery              = 10 * clock.Second
	// membersPerNode is how much each node of the fleet adds to the time between comparisons
	// of whole lists, which keeps them to about a kilobyte a second.
	membersPerNode clock.Millis = 150
	purgeEvery                  = 10 * clock.Second
	eventsEvery                 = 2 * clock.Second
	headerTimeout               = 10 * clock.Second
	idleTimeout                 = 2 * clock.Minute
)

// A Node struct is one process of the fleet.
type Node struct {
	settings *settings.Settings
	clock    clock.Clock
	log      *logrus.Logger
	self     ident.Process
	platform backing.Platform
	keys     *keyring
	metrics  *nodeMetrics

	members  *member.Table
	view     *view
	holdings *config.Holdings
	configs  config.Log
	writer   config.Writer
	ledger   *once.Ledger
	limiter  *route.Limiter
	conns    *proxy.Conns
	proxy    *proxy.Handler
	guards   *guards
	events   *eventLog
	spread   *spread
	poller   *poller
	seats    *seatKeeper
	peers    *peerClients
	leaving  *leaving

	wire      *wire
	mergedAt  clock.Millis
	vmsReadAt clock.Millis
	servers   []*http.Server
	listeners []net.Listener
	done      chan struct{}
}

// New returns a node that listens at its addresses, and serves nobody yet.
func New(s *settings.Settings, p backing.Platform, c clock.Clock, log *logrus.Logger) (n *Node, err error) {
	defer func() { err = errors.Wrap(err, "new node") }()
	n = &Node{
		settings: s,
		clock:    c,
		log:      log,
		platform: p,
		keys:     newKeyring(s.Fleet.KeyBytes()),
		metrics:  newMetrics(),
		holdings: config.NewHoldings(),
		configs:  config.NewLog(p),
		writer:   config.NewWriter(p, c),
		limiter:  route.NewLimiter(s.Limits.Requests),
		conns:    proxy.NewConns(c),
		done:     make(chan struct{}),
	}
	n.build()
	return n, n.listen()
}

// build makes the parts that need each other.
func (n *Node) build() {
	s := n.settings.Node
	n.self = ident.Process{Node: ident.Node(s.Name), Incarnation: ident.Incarnation(n.clock.Now())}
	self := &tlv1.Member{
		Node: s.Name, Incarnation: uint64(n.self.Incarnation), Hall: s.Hall, Weight: s.Weight,
		GossipAddress: s.GossipAddress(), PeerAddress: s.PeersAddress(),
		CallerAddress: s.Callers, OperatorAddress: s.Operators,
	}
	n.members = member.New(self, member.DefaultTiming, n.clock, newRand())
	n.members.Seed(n.settings.Fleet.Seeds)
	n.view = newView(n.members)
	n.ledger = once.NewLedger(n.self, once.DefaultLimits, n.clock, newRand())
	n.peers = newPeerClients(n.keys)
	n.events = newEventLog(n.self, n.platform, n.clock)
	n.guards = newGuards(n)
	n.spread = newSpread(n)
	n.poller = newPoller(n)
	n.seats = newSeatKeeper(n)
	n.leaving = newLeaving(n)
	n.proxy = proxy.NewHandler(proxy.Config{
		Directory: &directory{node: n},
		Ledger:    n.ledger,
		Limiter:   n.limiter,
		Conns:     n.conns,
		Clock:     n.clock,
		Observer:  &observer{node: n},
		PeerKey:   n.keys.doorKey,
		MaxBody:   n.settings.Limits.BodyBytes,
	})
}

func newRand() *rand.Rand {
	return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
}

func (n *Node) listen() (err error) {
	n.wire, err = listenWire(n.settings.Node.Gossip, n.keys, n.metrics.controlBytes)
	if err != nil {
		return err
	}
	doors := []struct {
		address string
		handler http.Handler
	}{
		{n.settings.Node.Peers, n.peersDoor()},
		{n.settings.Node.Callers, n.callersDoor()},
		{n.settings.Node.Operators, n.operatorsDoor()},
	}
	for _, d := range doors {
		l, err := net.Listen("tcp", d.address)
		if err != nil {
			n.close()
			return err
		}
		n.listeners = append(n.listeners, l)
		n.servers = append(n.servers, n.server(d.handler))
	}
	return nil
}

func (n *Node) server(h http.Handler) *http.Server {
	var protocols http.Protocols
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler:           h,
		Protocols:         &protocols,
		ReadHeaderTimeout: headerTimeout.Duration(),
		IdleTimeout:       idleTimeout.Duration(),
		MaxHeaderBytes:    n.settings.Limits.HeaderBytes,
		ErrorLog:          quietLog(n.log),
	}
}

// Run serves until the context ends, then leaves: it cuts no request in flight, unless leaving
// takes longer than the grace.
func (n *Node) Run(ctx context.Context, grace time.Duration) (err error) {
	defer close(n.done)
	failed := make(chan error, len(n.servers))
	for i, s := range n.servers {
		go func() { failed <- s.Serve(n.listeners[i]) }()
	}
	background := context.WithoutCancel(ctx)
	parts := n.startParts(background)
	n.log.WithFields(logrus.Fields{"event": "started", "node": n.self.Node, "hall": n.settings.Node.Hall}).Info()
	select {
	case <-ctx.Done():
	case <-n.leaving.asked:
	case err = <-failed:
	}
	if err == nil {
		leaveCtx, cancel := context.WithTimeout(background, grace)
		n.leaving.run(leaveCtx)
		cancel()
	}
	for _, p := range parts {
		p.end()
	}
	n.events.flush(background)
	n.close()
	n.log.WithFields(logrus.Fields{"event": "stopped", "node": n.self.Node}).Info()
	return errors.Wrap(err, "serve")
}

// Done is closed when Run has ended.
func (n *Node) Done() <-chan struct{} {
	return n.done
}

func (n *Node) startParts(ctx context.Context) []*part {
	return []*part{
		start(ctx, "receive", n.receive),
		every(ctx, "gossip", gossipEvery, n.gossip),
		every(ctx, "guards", guardEvery, n.guards.tick),
		every(ctx, "digest", digestEvery, n.spread.tell),
		every(ctx, "poll", pollEvery, n.poller.poll),
		every(ctx, "seats", seatsEvery, n.seats.tick),
		every(ctx, "vms", vmListEvery, n.readVMs),
		every(ctx, "members", membersEvery, n.mergeMembers),
		every(ctx, "purge", purgeEvery, func(context.Context) { n.conns.Purge() }),
		every(ctx, "events", eventsEvery, n.events.tick),
	}
}

func (n *Node) close() {
	if n.wire != nil {
		_ = n.wire.conn.Close()
	}
	for _, s := range n.servers {
		_ = s.Close()
	}
	for _, l := range n.listeners {
		_ = l.Close()
	}
}

// callTimeout bounds a call to the platform or a peer.
func (n *Node) callTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, time.Duration(n.settings.Platform.TimeoutMs)*time.Millisecond)
}
