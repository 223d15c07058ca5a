package node_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/tinladder/tinladder"
	"github.com/tinladder/tinladder/clock"
	"github.com/tinladder/tinladder/emulate"
	"github.com/tinladder/tinladder/logs"
	"github.com/tinladder/tinladder/node"
	"github.com/tinladder/tinladder/platform"
	"github.com/tinladder/tinladder/platform/standin"
	"github.com/tinladder/tinladder/settings"
)

// eventuallyTimeout is how long a test waits for a condition. It asserts no promised latency.
const eventuallyTimeout = 20 * time.Second

// fleet is a stand-in for the platform, and nodes in this process on loopback.
type fleet struct {
	t     testing.TB
	clock clock.Clock
	store *standin.Store
	nodes []*testNode
	// targets are those of a fleet that can be cut off from them.
	targets []*standin.Target
	http    *http.Client
	// via maps the address of the store to the one by which nodes reach it.
	via func(store string) string
	// linkBytes is the bandwidth of each node's link in bytes per second; 0 is unlimited.
	linkBytes int
	// silenceable routes other nodes' connections to each node through a silencingProxy.
	silenceable bool
	// operated makes nodes serve operators, and follow documents.
	operated bool
	// lonely makes each node its own only seed, with a key of its own, so that no node hears another.
	lonely bool
	// extraSettings returns text to add to the settings of node i.
	extraSettings func(i int) string
	// dialTarget returns how node i connects to targets; nil stands for the node's own dialer.
	dialTarget func(i int) func(ctx context.Context, network, address string) (net.Conn, error)
}

// testNode is one node. It reaches the store through a door of its own.
type testNode struct {
	name, hall                           string
	callers, peers, readiness, directory string
	// metrics is the address of the node's metrics.
	metrics string
	// operators is the address for operators; empty if the node serves none.
	operators string
	// peersAt is the node's listen address for peers, which differs from peers behind a relay.
	peersAt  string
	link     *emulate.Link
	silencer *silencingProxy
	// relay is the network path of peers to a node with a link.
	relay *emulate.Relay
	// extraSettings is added to the node's settings.
	extraSettings string
	// seeds replaces the fleet's seeds if it is not nil.
	seeds []string
	door  *standin.Door
	// clock overrides the fleet's clock if it is not nil.
	clock clock.Clock
	// dialTarget is how it connects to targets.
	dialTarget func(ctx context.Context, network, address string) (net.Conn, error)
	path       string
	node       *node.Node
	stop       context.CancelFunc
	log        *logBuffer
}

// logBuffer holds a node's log.
type logBuffer struct {
	mu   sync.Mutex
	text strings.Builder
}

// Write implements io.Writer.
func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

// newFleet starts nodes in three halls, without a desired state.
func newFleet(t testing.TB, nodes int) *fleet {
	return newFleetVia(t, nodes, func(store string) string { return store })
}

// newFleetVia starts nodes that reach the store at the address that via returns.
func newFleetVia(t testing.TB, nodes int, via func(store string) string) *fleet {
	return startFleet(t, nodes, &fleet{via: via})
}

// newFleetOnLinks starts nodes whose links have the given bandwidth in each direction.
func newFleetOnLinks(t testing.TB, nodes, bytesPerSecond int) *fleet {
	return startFleet(t, nodes, &fleet{linkBytes: bytesPerSecond, via: func(store string) string { return store }})
}

// newFleetWith starts nodes with extra settings.
func newFleetWith(t testing.TB, nodes int, extraSettings func(i int) string) *fleet {
	return startFleet(t, nodes, &fleet{extraSettings: extraSettings, via: func(store string) string { return store }})
}

func startFleet(t testing.TB, nodes int, f *fleet) *fleet {
	f.t, f.clock = t, clock.NewSystem()
	f.store = standin.New(f.clock, 20*clock.Second)
	f.http = &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 16}}
	f.add(nodes)
	t.Cleanup(func() {
		for _, n := range f.nodes {
			n.stop()
		}
		if t.Failed() {
			for _, n := range f.nodes {
				t.Logf("%s:\n%s", n.name, n.log)
			}
		}
	})
	return f
}

// add starts the first nodes of the fleet.
func (f *fleet) add(nodes int) {
	f.t.Helper()
	for i := range nodes {
		n := &testNode{name: fmt.Sprint("n", i), hall: fmt.Sprint("h", i%3), door: standin.NewDoor(f.store), log: &logBuffer{}}
		free := emulate.Addresses(7)
		n.callers, n.peers, n.readiness, n.directory, n.peersAt = free[0], free[1], free[2], free[3], free[1]
		n.metrics = free[5]
		if f.operated {
			n.operators = free[6]
		}
		if f.extraSettings != nil {
			n.extraSettings = f.extraSettings(i)
		}
		if f.dialTarget != nil {
			n.dialTarget = f.dialTarget(i)
		}
		if f.linkBytes > 0 {
			n.peersAt, n.link = free[4], emulate.NewLink(f.linkBytes)
			r, err := n.link.Relay(n.peers, n.peersAt, n.peers, n.peersAt)
			if err != nil {
				f.t.Fatal(err)
			}
			n.relay = r
			f.t.Cleanup(r.Close)
		}
		if f.silenceable {
			n.peersAt, n.silencer = free[4], newSilencingProxy(f.t, free[4])
			r, err := emulate.NewRelay(n.peers, n.peersAt, n.peers, n.silencer.address())
			if err != nil {
				f.t.Fatal(err)
			}
			f.t.Cleanup(r.Close)
		}
		f.nodes = append(f.nodes, n)
	}
	for _, n := range f.nodes {
		f.start(n)
	}
}

func (f *fleet) settingsOf(n *testNode, extra string) string {
	seeds := ""
	for i, o := range f.nodes[:min(len(f.nodes), 2)] {
		seeds += strings.Repeat(", ", i) + fmt.Sprintf("%q", o.peers)
	}
	keys := ""
	if f.lonely {
		seeds = fmt.Sprintf("%q", n.peers)
		keys = fmt.Sprintf("keys = [\"%064x\"]", slices.Index(f.nodes, n)+1)
	}
	if n.seeds != nil {
		seeds = `"` + strings.Join(n.seeds, `", "`) + `"`
	}
	s := httptest.NewServer(n.door)
	f.t.Cleanup(func() {
		s.CloseClientConnections()
		s.Close()
	})
	address := f.via(s.Listener.Addr().String())
	if n.link != nil {
		l, err := n.link.Outwards(address)
		if err != nil {
			f.t.Fatal(err)
		}
		f.t.Cleanup(func() { _ = l.Close() })
		address = l.Addr().String()
		extra += fmt.Sprintf("[capacity]\nlink_mbps = %f\n", float64(f.linkBytes)/125_000)
	}
	return fmt.Sprintf(`
[node]
name = %q
hall = %q
callers = %q
peers = %q
advertise_peers = %q
readiness = %q
directory = %q
metrics = %q
operators = %q
[store]
address = %q
[fleet]
seeds = [%s]
%s
[bounds]
grace = "2s"
%s
`, n.name, n.hall, n.callers, n.peersAt, n.peers, n.readiness, n.directory, n.metrics, n.operators, address, seeds, keys, extra+n.extraSettings)
}

func (f *fleet) start(n *testNode) {
	f.t.Helper()
	n.path = filepath.Join(f.t.TempDir(), n.name+".toml")
	if err := os.WriteFile(n.path, []byte(f.settingsOf(n, "")), 0o600); err != nil {
		f.t.Fatal(err)
	}
	s, err := settings.Load(n.path)
	if err != nil {
		f.t.Fatal(err)
	}
	log, err := logs.New(n.log, "debug")
	if err != nil {
		f.t.Fatal(err)
	}
	c := f.clock
	if n.clock != nil {
		c = n.clock
	}
	p := tinladder.On(s.Store.Address, c)
	p.DialTarget = n.dialTarget
	if n.node, err = node.New(s, n.path, p, c, log); err != nil {
		f.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	n.stop = cancel
	go func() { _ = n.node.Run(ctx) }()
}

// target starts a target of a service that takes 5 ms for a request.
func (f *fleet) target(id, service string) *standin.Target {
	f.t.Helper()
	t, err := standin.NewTarget(f.store, id, service, "h0", 3, 5*time.Millisecond)
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(t.Close)
	return t
}

// route returns a route of host "shop" to a service.
func route(prefix, kind, service string) standin.RouteRow {
	return standin.RouteRow{
		Name: prefix, Host: "shop", Prefix: prefix, Kind: kind, Timeout: "1000ms", Aim: "400ms", Service: service, Attempts: 2,
	}
}

// calm sets a desired state with a repeatable and a run-once route to the service "desk".
func (f *fleet) calm(version uint64) {
	f.store.Configure(version, []string{"desk", "clerk"}, route("/get/", standin.Repeatable, "desk"), route("/once/", standin.RunOnce, "desk"))
}

// ready waits until all nodes have the version in force and at least so many targets.
func (f *fleet) ready(version, targets int) {
	f.t.Helper()
	for _, n := range f.nodes {
		f.eventually(n.name+" is ready", func() bool {
			text := n.log.String()
			return f.status(n.readiness, platform.ReadyPath) == http.StatusOK &&
				inForce(n, version) &&
				strings.Count(text, "event=target_record") >= targets && f.poolTargets(n) >= countRegistered(text)
		})
	}
}

// countRegistered counts the targets whose last record in a node's log does not say that they are gone.
func countRegistered(text string) (count int) {
	there := map[string]bool{}
	for line := range strings.Lines(text) {
		if !strings.Contains(line, "event=target_record") {
			continue
		}
		_, id, _ := strings.Cut(line, " target=")
		id, _, _ = strings.Cut(id, " ")
		there[id] = !strings.Contains(line, "gone=true")
	}
	for _, is := range there {
		if is {
			count++
		}
	}
	return count
}

// poolTargets returns how many targets the node can send requests to; -1 if the metrics cannot be read. After a rebuild of its
// pools, a node takes up to 0.1 s to add a target that it heard of.
func (f *fleet) poolTargets(n *testNode) int {
	res, err := f.http.Get("http://" + n.metrics)
	if err != nil {
		return -1
	}
	defer func() { _ = res.Body.Close() }()
	b, _ := io.ReadAll(res.Body)
	for line := range strings.Lines(string(b)) {
		if count, found := strings.CutPrefix(line, "tinladder_targets "); found {
			n, _ := strconv.Atoi(strings.TrimSpace(count))
			return n
		}
	}
	return -1
}

func (f *fleet) status(address, path string) int {
	res, err := f.http.Get("http://" + address + path)
	if err != nil {
		return 0
	}
	defer func() { _ = res.Body.Close() }()
	_, _ = io.Copy(io.Discard, res.Body)
	return res.StatusCode
}

func (f *fleet) eventually(what string, ok func() bool) {
	f.t.Helper()
	for end := time.Now().Add(eventuallyTimeout); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if ok() {
			return
		}
	}
	f.t.Fatalf("never: %s", what)
}

// reply is a response as a caller sees it.
type reply struct {
	status int
	header http.Header
	body   string
	// broken means that the response ended early or did not arrive.
	broken bool
	took   time.Duration
}

// call sends a request for host "shop" to the node.
func (f *fleet) call(n *testNode, method, path, id, body string) reply {
	return f.callWithin(n, method, path, id, body, 3000)
}

func (f *fleet) callWithin(n *testNode, method, path, id, body string, deadline int) reply {
	return f.do(f.request(n, method, path, id, body, deadline))
}

// request returns a request with its id and deadline, in milliseconds.
func (f *fleet) request(n *testNode, method, path, id, body string, deadline int) *http.Request {
	req, err := http.NewRequest(method, "http://"+n.callers+path, strings.NewReader(body))
	if err != nil {
		f.t.Fatal(err)
	}
	req.Host = "shop"
	req.GetBody = nil // prevents the client from sending it twice
	req.Header.Set("X-Request-Id", id)
	req.Header.Set(platform.Headers().Deadline, fmt.Sprint(deadline))
	return req
}

// do sends a request and reads its response.
func (f *fleet) do(req *http.Request) reply {
	start := time.Now()
	res, err := f.http.Do(req)
	if err != nil {
		return reply{broken: true, took: time.Since(start)}
	}
	defer func() { _ = res.Body.Close() }()
	got, err := io.ReadAll(res.Body)
	return reply{status: res.StatusCode, header: res.Header, body: string(got), broken: err != nil, took: time.Since(start)}
}

// ran counts how often the targets ran the request.
func ran(id string, targets ...*standin.Target) int {
	count := 0
	for _, t := range targets {
		for _, s := range t.Seen() {
			if s.ID == id && s.Ran {
				count++
			}
		}
	}
	return count
}

// rawGet returns a repeatable request as sent on a connection.
func rawGet(id string) string {
	h := platform.Headers()
	return fmt.Sprintf("GET /get/ HTTP/1.1\r\nHost: shop\r\n%s: %s\r\n%s: 3000\r\n\r\n", h.RequestID, id, h.Deadline)
}
