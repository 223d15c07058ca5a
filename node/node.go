// Package node is the daemon: it connects the libraries with the network, the store and the clock.
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
	// tickInterval is the interval of periodic work.
	tickInterval clock.Millis = 100
	// eventsInterval is how often the event log checks whether to save.
	eventsInterval = 2 * clock.Second
	// purgeInterval is how often expired idle connections are closed.
	purgeInterval = 1 * clock.Second
	// dialTimeout bounds a new connection to a target: far above the latency between halls, and low
	// enough to try another target.
	dialTimeout clock.Millis = 120
	// slotsPerCore and slotsPerMbps are how many targets' slots a node can serve: a slot gets about
	// four requests a second, each of about 1 ms of processor time and 10 KB in both directions.
	slotsPerCore = 200
	slotsPerMbps = 2.8
)

// callersDoor is the name of the listener for callers, and peersDoor of that for other nodes.
const (
	callersDoor = "callers"
	peersDoor   = "peers"
)

// memberTiming detects a dead node in about 1.5 s; the directory leaves it out of its answers after half of that.
var memberTiming = member.Timing{
	ProbeInterval: 400, RelayAfter: 150, SuspectAfter: 400, GoneAfter: 1500, IsolatedAfter: 2500,
}

// A Platform struct holds the platform's services that the node uses.
type Platform struct {
	// Source returns the source of records. It calls refused for each record that it reads and cannot use.
	Source func(refused func(store.Refusal)) store.Source
	Table  store.Table
	// Suspects stores the requests under which targets crashed.
	Suspects store.Table
	Objects  store.Objects
	// Era returns the newest era of the store that an answer named. It rises each time that the store comes back from a copy.
	Era      func() uint64
	Protocol Protocol
	// DialTarget opens connections to targets; nil stands for a dialer of the node's own.
	DialTarget forward.DialFunc
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
	// conns holds the connections to targets, nodes those to other nodes that requests are passed to.
	conns, nodes *forward.ConnPool
	reach        *reach
	limiter      *limiter
	quotas       *quotas
	ledger       *once.Ledger
	configs      config.Log
	writer       config.Writer
	events       *eventLog
	leaving      *leaving
	memberLog    *memberLog
	traffic      *traffic
	suspects     *suspects
	crashes      *crashWatch
	contacts     *contacts

	doors []*door.Server
	done  chan struct{}
}

// New returns a node that listens at its addresses but does not serve yet. It reloads the settings
// from the path when they change.
func New(s *settings.Settings, path string, p Platform, c clock.Clock, log *logs.Log) (n *Node, err error) {
	defer func() { err = errors.Wrap(err, "new node") }()
	n = &Node{
		path: path, clock: c, log: log, platform: p,
		self:    ident.Process{Node: ident.Node(s.Node.Name), Incarnation: ident.Incarnation(c.Now())},
		keys:    newKeyring(s.Fleet.KeyBytes()),
		metrics: newMetrics(c),
		conns:   forward.NewConnPool(c, dialTimeout, p.DialTarget),
		nodes:   forward.NewConnPool(c, dialTimeout, nil),
		limiter: newLimiter(s.Limits.Requests),
		configs: config.NewLog(p.Table),
		writer:  config.NewWriter(p.Table, c),
		done:    make(chan struct{}),
	}
	n.config.Store(s)
	if n.tuning, err = tuningFor(s); err != nil {
		return nil, err
	}
	n.build()
	return n, n.listen()
}

// tuningFor returns the tuning of the choice of targets that the settings ask for.
func tuningFor(s *settings.Settings) (t pool.Tuning, err error) {
	t, err = pool.DefaultTuning.With(s.Balance.Mechanisms()...)
	if err != nil {
		return t, err
	}
	return t.Without(s.Trial.Off...)
}

// build creates the components that refer to each other.
func (n *Node) build() {
	s := n.settings()
	self := &tlv1.Member{
		Node: s.Node.Name, Incarnation: uint64(n.self.Incarnation), Hall: s.Node.Hall, Weight: weightOf(s.Capacity),
		GossipAddress: s.Node.PeersAddress(), PeerAddress: s.Node.PeersAddress(), CallerAddress: s.Node.Callers,
		TakesPassed: true,
	}
	n.members = member.New(self, memberTiming, n.clock, newRand())
	n.members.AddSeeds(s.Fleet.Seeds)
	n.contacts = newContacts(n)
	n.ledger = once.NewLedger(n.self, once.DefaultLimits, n.clock, newRand())
	n.suspects = newSuspects(n)
	n.crashes = newCrashWatch(n)
	n.records = newRecords(n)
	n.source = n.platform.Source(n.records.recordRefusal)
	n.services = newServices(n)
	n.reach = newReach(n)
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
	n.events.enabled = s.Node.Operators != ""
	n.leaving = newLeaving(n)
	n.memberLog = newMemberLog(n)
	n.traffic = newTraffic(n)
	n.metrics.gauges(n)
}

// weightOf returns how many targets' slots the node can serve.
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
		{callersDoor, s.Callers, n.callersServer(), n.callersIdleTimeout},
		{peersDoor, s.Peers, &http.Server{Handler: n.peersHandler()}, nil},
		{"readiness", s.Readiness, &http.Server{Handler: n.readinessHandler()}, nil},
		{"directory", s.Directory, &http.Server{Handler: n.directoryHandler()}, nil},
		{"operators", s.Operators, &http.Server{Handler: n.operatorsHandler()}, nil},
		{"metrics", s.Metrics, &http.Server{Handler: http.HandlerFunc(n.metrics.write)}, nil},
	} {
		if d.address == "" {
			continue
		}
		d.server.ErrorLog = httpErrorLog(n.log)
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

// Run serves until the context ends, then leaves the fleet without cutting a request.
func (n *Node) Run(ctx context.Context) (err error) {
	defer close(n.done)
	failed := make(chan error, len(n.doors))
	for _, d := range n.doors {
		go func() { failed <- d.Serve() }()
	}
	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	tasks := n.startTasks(background)
	n.sendGossip(n.members.Join())
	n.logStart()
	select {
	case <-ctx.Done():
	case <-n.leaving.requested:
	case err = <-failed:
		n.log.WithFields(logrus.Fields{"event": "door_failed", "error": err}).Error()
	}
	n.leaving.run() // also after a listener failed: requests at the other listeners are not cut
	n.close()
	flush, stop := context.WithTimeout(background, n.leaving.remaining())
	n.events.flush(flush)
	stop()
	cancel()
	for _, p := range tasks {
		p.stop()
	}
	n.log.WithFields(logrus.Fields{"event": "stopped", "node": n.self.Node, "error": err}).Warn()
	n.log.Close()
	return errors.Wrap(err, "serve")
}

// Done is closed when Run has ended.
func (n *Node) Done() <-chan struct{} {
	return n.done
}

// Close stops the node at once, without telling other nodes. Requests in flight are cut.
func (n *Node) Close() {
	n.close()
}

func (n *Node) startTasks(ctx context.Context) []*task {
	tasks := []*task{
		startTask(ctx, n.receive),
		startTask(ctx, n.watchSettings),
		startPeriodic(ctx, tickInterval, n.tick),
		startPeriodic(ctx, purgeInterval, func(context.Context) { n.conns.CloseExpired() }),
		startTask(ctx, n.suspects.writeDirty),
		startTask(ctx, n.contacts.run),
		startPeriodic(ctx, tickInterval, n.crashes.tick),
	}
	for _, k := range n.watchedKinds() {
		tasks = append(tasks, startTask(ctx, func(ctx context.Context) { n.duty.watch(ctx, k) }))
	}
	if n.settings().Node.Operators != "" {
		tasks = append(tasks, startPeriodic(ctx, eventsInterval, n.events.tick))
	}
	return tasks
}

// allKinds returns the kinds of records that the node holds.
func (n *Node) allKinds() []store.Kind {
	return append(n.watchedKinds(), store.Evacuations)
}

// watchedKinds returns the kinds of records that the node follows; further kinds come with one of these. Documents are
// followed where operators can write them.
func (n *Node) watchedKinds() []store.Kind {
	kinds := []store.Kind{store.State, store.Targets, store.Suspects}
	if n.settings().Node.Operators != "" {
		kinds = append(kinds, store.Documents)
	}
	return kinds
}

// tick runs the periodic work.
func (n *Node) tick(context.Context) {
	n.sendGossip(n.members.Tick())
	n.peers.tick()
	n.duty.tick()
	n.demand.tick()
	n.services.tick()
	n.reach.tick()
	n.records.logSuppressed()
	n.quotas.tick()
	n.memberLog.tick()
	n.traffic.tick()
	n.suspects.tick()
	n.events.setNodeCount(len(n.members.Live()) + 1)
}

func (n *Node) close() {
	if n.wire != nil {
		_ = n.wire.conn.Close()
	}
	for _, d := range n.doors {
		d.Close()
	}
}
