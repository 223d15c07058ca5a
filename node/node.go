// Package node is the daemon: it joins the libraries to the network, the store and the clock.
package node

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"github.com/tinladder/tinladder/clock"
	"github.com/tinladder/tinladder/config"
	"github.com/tinladder/tinladder/door"
	"github.com/tinladder/tinladder/forward"
	"github.com/tinladder/tinladder/ident"
	"github.com/tinladder/tinladder/logs"
	"github.com/tinladder/tinladder/member"
	"github.com/tinladder/tinladder/once"
	"github.com/tinladder/tinladder/pool"
	tlv1 "github.com/tinladder/tinladder/schema/tinladder/v1"
	"github.com/tinladder/tinladder/settings"
	"github.com/tinladder/tinladder/store"
)

const (
	// tickEvery is the pace of what is not driven by events.
	tickEvery clock.Millis = 100
	// eventsEvery is how often the log of events looks whether to save.
	eventsEvery = 2 * clock.Second
	// purgeEvery is how often idle connections are looked through.
	purgeEvery = 1 * clock.Second
	// dialTimeout bounds a new connection to a target: far above the way between halls, and low
	// enough to try another target.
	dialTimeout clock.Millis = 120
	// slotsPerCore and slotsPerMbps are how many targets' slots a node can carry: a slot has about
	// four requests a second, of about 1 ms of processor time and 10 KB both ways.
	slotsPerCore = 200
	slotsPerMbps = 2.8
)

// callersDoor is the name of the door that callers come to, and peersDoor of that for other nodes.
const (
	callersDoor = "callers"
	peersDoor   = "peers"
)

// memberTiming finds a dead node in about a second and a half, and passes it over in the
// directory's answers after half of that.
var memberTiming = member.Timing{
	ProbeInterval: 400, RelayAfter: 150, SuspectAfter: 400, GoneAfter: 1500, IsolatedAfter: 2500,
}

// A Platform struct is what the node has of the platform.
type Platform struct {
	// Source makes what records are read from. It calls refused for all that it reads and cannot use.
	Source func(refused func(store.Refusal)) store.Source
	Table  store.Table
	// Suspects is where requests are kept under which targets crashed.
	Suspects store.Table
	Objects  store.Objects
	Speech   Speech
}

// A Node struct is one process of the fleet.
type Node struct {
	config   atomic.Pointer[settings.Settings]
	path     string
	clock    clock.Clock
	log      *logs.Log
	platform Platform
	self     ident.Process
	keys     *keyring
	metrics  *nodeMetrics
	tuning   pool.Tuning

	members       *member.Table
	records       *records
	source        store.Source
	services      *services
	carriers      *carriers
	demand        *demand
	duty          *duty
	lag           *lagTracker
	stateTransfer *stateTransfer
	puller        *puller
	compares      *comparisonLimiter
	packs         *packs
	wire          *wire
	peers         *peers
	conns         *forward.ConnPool
	limiter       *limiter
	quotas        *quotas
	ledger        *once.Ledger
	configs       config.Log
	writer        config.Writer
	events        *eventLog
	leaving       *leaving
	watch         *memberWatch
	traffic       *traffic
	suspects      *suspects

	doors []*door.Server
	done  chan struct{}
}

// New returns a node that listens at its addresses, and serves nobody yet. It reads the settings
// again from the path when they change.
func New(s *settings.Settings, path string, p Platform, c clock.Clock, log *logs.Log) (n *Node, err error) {
	defer func() { err = errors.Wrap(err, "new node") }()
	n = &Node{
		path: path, clock: c, log: log, platform: p,
		self:    ident.Process{Node: ident.Node(s.Node.Name), Incarnation: ident.Incarnation(c.Now())},
		keys:    newKeyring(s.Fleet.KeyBytes()),
		metrics: newMetrics(c),
		conns:   forward.NewConnPool(c, dialTimeout),
		limiter: newLimiter(s.Limits.Requests),
		configs: config.NewLog(p.Table),
		writer:  config.NewWriter(p.Table, c),
		done:    make(chan struct{}),
	}
	n.config.Store(s)
	if n.tuning, err = pool.DefaultTuning.Without(s.Trial.Off...); err != nil {
		return nil, err
	}
	n.build()
	return n, n.listen()
}

// build makes the parts that need each other.
func (n *Node) build() {
	s := n.settings()
	self := &tlv1.Member{
		Node: s.Node.Name, Incarnation: uint64(n.self.Incarnation), Hall: s.Node.Hall, Weight: weightOf(s.Capacity),
		GossipAddress: s.Node.PeersAddress(), PeerAddress: s.Node.PeersAddress(), CallerAddress: s.Node.Callers,
	}
	n.members = member.New(self, memberTiming, n.clock, newRand())
	n.members.AddSeeds(s.Fleet.Seeds)
	n.ledger = once.NewLedger(n.self, once.DefaultLimits, n.clock, newRand())
	n.suspects = newSuspects(n)
	n.records = newRecords(n)
	n.source = n.platform.Source(n.records.recordRefusal)
	n.services = newServices(n)
	n.demand = newDemand(n)
	n.carriers = newCarriers(n)
	n.peers = newPeers(n)
	n.duty = newDuty(n)
	n.quotas = newQuotas(n)
	n.lag = newLagTracker(n)
	n.stateTransfer = newStateTransfer(n.clock, s.Capacity.LinkMbps)
	n.puller = newPuller(n)
	n.compares = newComparisonLimiter(n.clock, s.Capacity.Cores, s.Capacity.LinkMbps)
	n.packs = newPacks(n)
	n.events = newEventLog(n.self, n.platform.Objects, n.clock)
	n.events.wanted = s.Node.Operators != ""
	n.leaving = newLeaving(n)
	n.watch = newMemberWatch(n)
	n.traffic = newTraffic(n)
	n.metrics.gauges(n)
}

// weightOf returns how many targets' slots the node can carry.
func weightOf(c settings.Capacity) uint32 {
	return uint32(max(min(c.Cores*slotsPerCore, c.LinkMbps*slotsPerMbps), 1))
}

// settings returns the settings in force.
func (n *Node) settings() *settings.Settings {
	return n.config.Load()
}

// hall returns the hall that the node is in.
func (n *Node) hall() ident.Hall {
	return ident.Hall(n.settings().Node.Hall)
}

func newRand() *rand.Rand {
	return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
}

// openDoors listens at all addresses of the settings.
func (n *Node) openDoors() error {
	s := n.settings().Node
	for _, d := range []struct {
		name, address string
		server        *http.Server
		rest          func() time.Duration
	}{
		{callersDoor, s.Callers, n.callersServer(), n.callersRest},
		{peersDoor, s.Peers, &http.Server{Handler: n.peersDoor()}, nil},
		{"readiness", s.Readiness, &http.Server{Handler: n.readinessDoor()}, nil},
		{"directory", s.Directory, &http.Server{Handler: n.directoryDoor()}, nil},
		{"operators", s.Operators, &http.Server{Handler: n.operatorsDoor()}, nil},
		{"metrics", s.Metrics, &http.Server{Handler: http.HandlerFunc(n.metrics.write)}, nil},
	} {
		if d.address == "" {
			continue
		}
		d.server.ErrorLog = quietLog(n.log)
		opened, err := door.Listen(d.name, d.address, d.server, d.rest)
		if err != nil {
			return err
		}
		n.doors = append(n.doors, opened)
	}
	return nil
}

func (n *Node) listen() (err error) {
	defer func() {
		if err != nil {
			n.close()
		}
	}()
	if n.wire, err = listenWire(n.settings().Node.Peers, n.keys, func(kind, address string, bytes int) {
		n.metrics.peerBytes(kind, n.far(address), bytes)
	}); err != nil {
		return err
	}
	return n.openDoors()
}

// Run serves until the context ends, then leaves without cutting a request.
func (n *Node) Run(ctx context.Context) (err error) {
	defer close(n.done)
	failed := make(chan error, len(n.doors))
	for _, d := range n.doors {
		go func() { failed <- d.Serve() }()
	}
	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	parts := n.startParts(background)
	n.sendGossip(n.members.Join())
	n.tellStart()
	select {
	case <-ctx.Done():
	case <-n.leaving.asked:
	case err = <-failed:
		n.log.WithFields(logrus.Fields{"event": "door_failed", "error": err}).Error()
	}
	n.leaving.run() // after a door that failed too: what the others have is not cut
	n.close()
	flush, stop := context.WithTimeout(background, n.leaving.left())
	n.events.flush(flush)
	stop()
	cancel()
	for _, p := range parts {
		p.end()
	}
	n.log.WithFields(logrus.Fields{"event": "stopped", "node": n.self.Node, "error": err}).Warn()
	n.log.Close()
	return errors.Wrap(err, "serve")
}

// Done is closed when Run has ended.
func (n *Node) Done() <-chan struct{} {
	return n.done
}

// Close ends the node at once, without a word to anybody. Requests in flight are cut.
func (n *Node) Close() {
	n.close()
}

func (n *Node) startParts(ctx context.Context) []*part {
	parts := []*part{
		start(ctx, n.receive),
		start(ctx, n.followSettings),
		every(ctx, tickEvery, n.tick),
		every(ctx, purgeEvery, func(context.Context) { n.conns.CloseExpired() }),
		start(ctx, n.suspects.write),
	}
	for _, k := range n.watched() {
		parts = append(parts, start(ctx, func(ctx context.Context) { n.duty.watch(ctx, k) }))
	}
	if n.settings().Node.Operators != "" {
		parts = append(parts, every(ctx, eventsEvery, n.events.tick))
	}
	return parts
}

// kinds are the kinds of records that the node holds.
func (n *Node) kinds() []store.Kind {
	return append(n.watched(), store.Evacuations)
}

// watched are the kinds of records that the node follows; others come with one of them. Documents are followed where
// operators can write them.
func (n *Node) watched() []store.Kind {
	kinds := []store.Kind{store.State, store.Targets, store.Suspects}
	if n.settings().Node.Operators != "" {
		kinds = append(kinds, store.Documents)
	}
	return kinds
}

// tick moves on what is not driven by events.
func (n *Node) tick(context.Context) {
	n.sendGossip(n.members.Tick())
	n.peers.tick()
	n.duty.tick()
	n.demand.tick()
	n.services.tick()
	n.records.logSuppressed()
	n.quotas.tick()
	n.watch.tick()
	n.traffic.tick()
	n.suspects.tick()
	n.events.setNodes(len(n.members.Live()) + 1)
}

func (n *Node) close() {
	if n.wire != nil {
		_ = n.wire.conn.Close()
	}
	for _, d := range n.doors {
		d.Close()
	}
}
