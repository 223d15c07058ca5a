package soak

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/tinladder/tinladder/clock"
	"github.com/tinladder/tinladder/emulate"
	"github.com/tinladder/tinladder/platform"
	"github.com/tinladder/tinladder/platform/standin"
)

const (
	// host is where all requests go.
	host = "shop"
	// slots and takes are of each target: it bears 60 requests a second.
	slots = 3
	takes = 50 * time.Millisecond
	// history is how long the stand-in's store keeps changes.
	history = 20 * clock.Second
	// linkBytes is how many bytes a second a node's link to other nodes and to the store carries each way.
	linkBytes = 500_000
	// growth is how many routes more each version of the desired state has than the one before, and grownMost
	// after how many versions it begins anew: 1,000 routes are 240 KB from the store, half a second of a link.
	growth    = 100
	grownMost = 10
)

// A span of time; one that goes on has no end yet.
type span struct {
	from, to time.Time
	// life is the process, of those that ran in the place, that it struck.
	life int
}

// A process is one node of the fleet, as a process of its own, with a way of its own to the store.
type process struct {
	name     string
	settings string
	log      string
	callers  string
	ready    string
	door     *standin.Door
	relay    *emulate.Relay

	mu  sync.Mutex
	cmd *exec.Cmd
	// life counts the processes that ran in this place.
	life int
	// hurt are the times at which faults struck it, deaf those at which it did not reach the store, and
	// planned those of planned stops.
	hurt, deaf, planned []span
	// outstayed are the moments at which it was still there at the end of its grace period.
	outstayed []time.Time
}

// struck says whether a fault struck the node itself within the time, or goes on.
func (p *process) struck(from, to time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return overlaps(p.hurt, from, to)
}

// inTouch says whether the node ran and reached the store throughout the time.
func (p *process) inTouch(from, to time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !overlaps(p.hurt, from, to) && !overlaps(p.deaf, from, to) && !overlaps(p.planned, from, to)
}

// stopOf returns when the process of that life was told to stop.
func (p *process) stopOf(life int) (begun time.Time, found bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.planned {
		if s.life == life {
			return s.from, true
		}
	}
	return time.Time{}, false
}

func overlaps(list []span, from, to time.Time) bool {
	for _, s := range list {
		if s.from.Before(to) && (s.to.IsZero() || s.to.After(from)) {
			return true
		}
	}
	return false
}

// hurting notes that a fault strikes the node until the returned function is called, deafened that it
// does not reach the store, and stops that it is stopped as planned.
func (p *process) hurting() (end func())  { return p.during(&p.hurt) }
func (p *process) deafened() (end func()) { return p.during(&p.deaf) }
func (p *process) stops() (end func())    { return p.during(&p.planned) }

func (p *process) during(list *[]span) (end func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	i := len(*list)
	*list = append(*list, span{from: time.Now(), life: p.life})
	return func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		(*list)[i].to = time.Now()
	}
}

func (p *process) outstays() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.outstayed = append(p.outstayed, time.Now())
}

func (p *process) lives() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.life
}

// start starts the node's next process.
func (p *process) start(binary string) (err error) {
	defer func() { err = errors.Wrapf(err, "start %s", p.name) }()
	f, err := os.OpenFile(p.log, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }()
	cmd := exec.Command(binary, p.settings)
	cmd.Stdout, cmd.Stderr = f, f
	if err := cmd.Start(); err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cmd = cmd
	p.life++
	return nil
}

// running returns the node's process, which this program has started; nil if a fault that ends it has it.
func (p *process) running() *exec.Cmd {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd
}

// A world is the stand-ins, the nodes, and what is known of them.
type world struct {
	cfg     Config
	store   *standin.Store
	nodes   []*process
	servers []*http.Server
	// ways are the nodes' ways to the store, over their links.
	ways []net.Listener

	mu      sync.Mutex
	targets []*backend
	version uint64
	acked   map[uint64]time.Time
	keys    keyring
}

// A backend is a target behind a relay of its own.
type backend struct {
	*standin.Target
	joinedAt, leftAt time.Time
	// hurt are the times at which faults struck it.
	hurt []span
	// limits are the times at which it named limits.
	limits []limitSpan
	// saidLeavingAt is when its answers began to say that it leaves, rests are the times at which it asked for rests.
	saidLeavingAt time.Time
	rests         []restSpan
}

// hurting notes that a fault strikes the target until the returned function is called.
func (w *world) hurting(t *backend) (end func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	i := len(t.hurt)
	t.hurt = append(t.hurt, span{from: time.Now()})
	return func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		t.hurt[i].to = time.Now()
	}
}

// newWorld starts the stand-ins and the nodes.
func newWorld(cfg Config) (w *world, err error) {
	w = &world{
		cfg: cfg, store: standin.New(clock.NewSystem(), history), acked: map[uint64]time.Time{},
		keys: newKeyring(),
	}
	defer func() {
		if err != nil {
			w.close()
		}
	}()
	for i := range cfg.Targets {
		if err := w.addTarget(services[i%len(services)], fmt.Sprint("h", i%halls)); err != nil {
			return w, err
		}
	}
	w.configure()
	for i := range cfg.Nodes {
		if err := w.addNode(i); err != nil {
			return w, err
		}
	}
	for _, p := range w.nodes {
		if err := w.writeSettings(p); err != nil {
			return w, err
		}
		if err := p.start(cfg.Binary); err != nil {
			return w, err
		}
	}
	return w, nil
}

const (
	halls       = 3
	bitsPerByte = 8
)

// services are what the routes lead to.
var services = []string{"desk", "clerk"}

func (w *world) addTarget(service, hall string) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	t, err := standin.NewTarget(w.store, fmt.Sprint("i-", len(w.targets)), service, hall, slots, w.takes(len(w.targets)))
	if err != nil {
		return err
	}
	t.CrashOn(crashPrefix)
	w.targets = append(w.targets, &backend{Target: t, joinedAt: time.Now()})
	return nil
}

// takes is how long a target takes for a request. Where stops are all that happens, some take long, so that a request may
// be at work for much of a stop.
func (w *world) takes(place int) time.Duration {
	if w.cfg.Planned {
		return takes * []time.Duration{1, 4, 20}[place%3]
	}
	return takes
}

// all returns all targets that there were.
func (w *world) all() []*backend {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]*backend(nil), w.targets...)
}

// configure writes the next desired state. Each has a route of its own, and that of the state before.
func (w *world) configure() {
	w.mu.Lock()
	w.version++
	v, list := w.version, w.workspaces()
	w.mu.Unlock()
	routes := []standin.RouteRow{
		route("get", "/get/", standin.Repeatable, services[0]),
		route("once", "/once/", standin.RunOnce, services[1]),
		public(route("now", versionPath(v), standin.Repeatable, services[0])),
	}
	if v > 1 {
		routes = append(routes, public(route("before", versionPath(v-1), standin.Repeatable, services[0])))
	}
	routes = append(routes, idleRoutes(int(v%grownMost)*growth)...)
	w.store.ConfigureKeyed(v, services, list, routes...)
	w.mu.Lock()
	w.acked[v] = time.Now()
	w.mu.Unlock()
}

// public returns the route without need of a key.
func public(r standin.RouteRow) standin.RouteRow {
	r.Public = true
	return r
}

// idleRoutes returns routes that no caller uses, the same at each call.
func idleRoutes(count int) []standin.RouteRow {
	draw := rand.New(rand.NewPCG(1, 1))
	list := make([]standin.RouteRow, count)
	for i := range list {
		list[i] = route(fmt.Sprintf("r-%07x", draw.Uint32()>>4), fmt.Sprintf("/%08x/", draw.Uint32()), standin.RunOnce, services[1])
	}
	return list
}

// newest returns the newest version, and when the store took it.
func (w *world) newest() (version uint64, at time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.version, w.acked[w.version]
}

func versionPath(v uint64) string {
	return fmt.Sprintf("/v%d/", v)
}

func route(name, prefix, kind, service string) standin.RouteRow {
	return standin.RouteRow{
		Name: name, Host: host, Prefix: prefix, Kind: kind, Timeout: fmt.Sprintf("%dms", routeTimeout.Milliseconds()),
		Aim: "400ms", Service: service, Attempts: routeAttempts,
	}
}

// newRelay returns a relay to a node over its link, with all addresses that the node needs: those of callers,
// readiness, the relay, and peers.
func newRelay(link *emulate.Link) (r *emulate.Relay, free []string, err error) {
	for range bindTries {
		free = emulate.Addresses(4)
		if r, err = link.Relay(free[2], free[3], free[2], free[3]); err == nil {
			return r, free, nil
		}
	}
	return nil, nil, err
}

// bindTries is how often ports are drawn: another program may take one before it is used.
const bindTries = 5

func (w *world) addNode(i int) error {
	link := emulate.NewLink(linkBytes)
	relay, free, err := newRelay(link)
	if err != nil {
		return err
	}
	p := &process{
		name: fmt.Sprint("n", i), callers: free[0], ready: free[1], relay: relay, door: standin.NewDoor(w.store),
		settings: filepath.Join(w.cfg.Dir, fmt.Sprintf("n%d.toml", i)), log: filepath.Join(w.cfg.Dir, fmt.Sprintf("n%d.log", i)),
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	s := &http.Server{Handler: p.door, ReadHeaderTimeout: time.Minute}
	go func() { _ = s.Serve(l) }()
	w.servers = append(w.servers, s)
	w.nodes = append(w.nodes, p)
	way, err := link.Outwards(l.Addr().String())
	if err != nil {
		return err
	}
	w.ways = append(w.ways, way)
	text := fmt.Sprintf(`
[node]
name = %q
hall = "h%d"
callers = %q
readiness = %q
peers = %q
advertise_peers = %q
[store]
address = %q
[bounds]
grace = "%dms"
revoke = "%dms"
[retries]
slack = %d
[capacity]
link_mbps = %d
`, p.name, i%halls, p.callers, p.ready, free[3], free[2], way.Addr(), grace.Milliseconds(), revoke.Milliseconds(), budgetSlack, linkBytes*bitsPerByte/1_000_000)
	return os.WriteFile(p.settings+".part", []byte(text), 0o600)
}

// writeSettings completes a node's settings with the seeds, which are known once all have addresses.
func (w *world) writeSettings(p *process) error {
	part, err := os.ReadFile(p.settings + ".part")
	if err != nil {
		return err
	}
	var seeds []string
	for _, o := range w.nodes[:min(3, len(w.nodes))] {
		text, err := os.ReadFile(o.settings + ".part")
		if err != nil {
			return err
		}
		_, after, _ := strings.Cut(string(text), "advertise_peers = ")
		address, _, _ := strings.Cut(after, "\n")
		seeds = append(seeds, address)
	}
	text := string(part) + "[fleet]\nseeds = [" + strings.Join(seeds, ", ") + "]\n"
	return os.WriteFile(p.settings, []byte(text), 0o600)
}

// ready waits until all nodes take callers.
func (w *world) ready(bound time.Duration) error {
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(bound); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		ok := 0
		for _, p := range w.nodes {
			res, err := client.Get("http://" + p.ready + platform.ReadyPath)
			if err != nil {
				continue
			}
			_ = res.Body.Close()
			if res.StatusCode == http.StatusOK {
				ok++
			}
		}
		if ok == len(w.nodes) {
			return nil
		}
	}
	return errors.New("the nodes are not ready")
}

// close ends all that was started.
func (w *world) close() {
	for _, p := range w.nodes {
		if cmd := p.take(); cmd != nil {
			_ = cmd.Process.Kill()
			_ = cmd.Wait()
		}
		p.relay.Close()
	}
	for _, l := range w.ways {
		_ = l.Close()
	}
	for _, s := range w.servers {
		_ = s.Close()
	}
	for _, t := range w.targets {
		t.Close()
	}
}
