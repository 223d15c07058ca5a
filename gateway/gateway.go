// Package gateway is the daemon: it joins the libraries to the network, the store and the clock.
package gateway

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"github.com/tinladder/tinladder/clock"
	"github.com/tinladder/tinladder/desired"
	"github.com/tinladder/tinladder/forward"
	"github.com/tinladder/tinladder/ident"
	"github.com/tinladder/tinladder/member"
	tlv1 "github.com/tinladder/tinladder/schema/tinladder/v1"
	"github.com/tinladder/tinladder/settings"
)

const (
	// tickEvery is the pace of what is not driven by events.
	tickEvery clock.Millis = 100
	// dialTimeout bounds a new connection to a target: far above the way between halls, and low
	// enough to try another target.
	dialTimeout clock.Millis = 250
)

// A Translator speaks with the platform: it names headers and paths, and reads and writes the
// platform's messages.
type Translator struct {
	Headers     forward.Headers
	ReadyPath   string
	ResolvePath string
	// ParseQuestion reads a caller's question, and WriteAddresses answers it.
	ParseQuestion  func(r *http.Request) Question
	WriteAddresses func(w http.ResponseWriter, addresses []string, valid clock.Millis)
}

// A Question struct is what a caller asks of the directory: where to go for a host.
type Question struct {
	Host   string
	Region string
	Hall   ident.Hall
}

// A Node struct is one process of the fleet.
type Node struct {
	config   atomic.Pointer[settings.Gateway]
	path     string
	clock    clock.Clock
	log      *logrus.Logger
	source   desired.Source
	speak    Translator
	self     ident.Process

	members  *member.Table
	state    *stateHolder
	roster   *roster
	services *services
	carriers *carriers
	duty     *duty
	wire     *wire
	peers    *peers
	conns    *forward.Conns
	leaving  atomic.Bool
	busy     atomic.Int64

	servers   []*http.Server
	listeners []net.Listener
	done      chan struct{}
}

// settings returns the settings in force.
func (n *Node) settings() *settings.Gateway {
	return n.config.Load()
}

// New returns a node that listens at its addresses, and serves nobody yet. It reads the settings
// again from the path when they change.
func New(s *settings.Gateway, path string, src desired.Source, speak Translator, c clock.Clock, log *logrus.Logger) (n *Node, err error) {
	defer func() { err = errors.Wrap(err, "new node") }()
	n = &Node{
		path: path, clock: c, log: log, source: src, speak: speak,
		self:  ident.Process{Node: ident.Node(s.Node.Name), Incarnation: ident.Incarnation(c.Now())},
		conns: forward.NewConns(c, dialTimeout),
		done:  make(chan struct{}),
	}
	n.config.Store(s)
	self := &tlv1.Member{
		Node: s.Node.Name, Incarnation: uint64(n.self.Incarnation), Hall: s.Node.Hall, Weight: memberWeight,
		GossipAddress: s.Node.Peers, PeerAddress: s.Node.Peers, CallerAddress: s.Node.Callers,
	}
	n.members = member.New(self, memberTiming, c, newRand())
	n.members.Seed(s.Fleet.Seeds)
	n.state = newStateHolder(n)
	n.roster = newRoster(n)
	n.services = newServices(n)
	n.carriers = newCarriers(n)
	n.peers = newPeers(n)
	n.duty = newDuty(n)
	return n, n.listen()
}

const memberWeight = 100

// memberTiming finds a dead node in about a second and a half, and passes it over in the
// directory's answers after half of that.
var memberTiming = member.Timing{
	ProbeEvery: 400, RelayAfter: 150, SuspectAfter: 400, GoneAfter: 1500, IsolatedAfter: 2500,
}

func newRand() *rand.Rand {
	return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
}

func (n *Node) listen() (err error) {
	defer func() {
		if err != nil {
			n.close()
		}
	}()
	if n.wire, err = listenWire(n.settings().Node.Peers); err != nil {
		return err
	}
	front := &http.Server{Handler: http.HandlerFunc(n.serve), ErrorLog: quiet(n.log)}
	doors := []struct {
		address string
		server  *http.Server
	}{
		{n.settings().Node.Callers, front},
		{n.settings().Node.Readiness, &http.Server{Handler: n.readinessDoor(), ErrorLog: quiet(n.log)}},
		{n.settings().Node.Directory, &http.Server{Handler: n.directoryDoor(), ErrorLog: quiet(n.log)}},
		{n.settings().Node.Peers, &http.Server{Handler: n.peers.door(), ErrorLog: quiet(n.log)}},
	}
	for _, d := range doors {
		l, err := net.Listen("tcp", d.address)
		if err != nil {
			return err
		}
		n.listeners = append(n.listeners, l)
		n.servers = append(n.servers, d.server)
	}
	return nil
}

// Run serves until the context ends, then leaves without cutting a request.
func (n *Node) Run(ctx context.Context) (err error) {
	defer close(n.done)
	failed := make(chan error, len(n.servers))
	for i, s := range n.servers {
		go func() { failed <- s.Serve(n.listeners[i]) }()
	}
	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	parts := []*part{
		start(background, n.receive),
		every(background, tickEvery, n.tick),
		start(background, n.duty.watchState),
		start(background, n.duty.watchTargets),
		start(background, n.followSettings),
	}
	n.log.WithFields(logrus.Fields{"event": "started", "node": n.self.Node, "hall": n.settings().Node.Hall}).Info()
	select {
	case <-ctx.Done():
		n.leave()
	case err = <-failed:
	}
	cancel()
	n.close()
	for _, p := range parts {
		p.end()
	}
	n.log.WithFields(logrus.Fields{"event": "stopped", "node": n.self.Node}).Info()
	return errors.Wrap(err, "serve")
}

// Done is closed when Run has ended.
func (n *Node) Done() <-chan struct{} {
	return n.done
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

// tick moves on what is not driven by events.
func (n *Node) tick(context.Context) {
	n.sendGossip(n.members.Tick())
	n.duty.tick()
	n.peers.tick()
	n.services.tick()
}

// leave takes the node out of the fleet without cutting a request: it says so, serves on those who
// still come, and ends when nothing is left or the grace period is nearly over.
func (n *Node) leave() {
	n.log.WithFields(logrus.Fields{"event": "leaving", "node": n.self.Node}).Info()
	n.leaving.Store(true)
	n.members.Leave()
	n.announce()
	begin := n.clock.Now()
	grace := n.settings().Bounds.Grace.Millis()
	for {
		time.Sleep(leaveCheck.Duration())
		spent := n.clock.Now() - begin
		if spent >= grace*acceptShare/100 {
			break
		}
	}
	for _, l := range n.listeners {
		_ = l.Close()
	}
	for n.busy.Load() > 0 && n.clock.Now()-begin < grace*endShare/100 {
		time.Sleep(leaveCheck.Duration())
	}
	n.sendGossip(n.members.Bye())
}

const (
	// leaveCheck is how often a leaving node looks whether it may end.
	leaveCheck clock.Millis = 20
	// acceptShare is the share of the grace period, in hundredths, for which a leaving node takes
	// connections, and endShare that by which it has ended.
	acceptShare = 45
	endShare    = 97
)
