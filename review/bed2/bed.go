package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/tinladder/tinladder/clock"
	"github.com/tinladder/tinladder/platform/standin"
)

const (
	program = "target/tinladder-node"
	history = 20 * clock.Second
	host    = "shop.example"
	region  = "region-1"

	lowestPort = 16000
	portCount  = 16000
)

// A bed is one play: the store, the nodes, the upstreams, and the record of what happened.
type bed struct {
	trouble bool
	dir     string
	begun   time.Time
	store   *standin.Store
	address string

	mu     sync.Mutex
	record *os.File
	nodes  []*member
	// taken are the addresses that were given to nodes.
	taken map[string]bool
}

// A member is one node of the fleet.
type member struct {
	name, zone, settings, log             string
	callers, ready, directory, peers, own string
	cmd                                   *exec.Cmd
}

// figures are the bounds that the settings of a play name, as in the site files.
type figures struct {
	apply, grace, drain, ttl string
	budgetSlack              int
	// tenants adds the bounds of deployments with tenants.
	tenants bool
}

// smallSite are the bounds of the deployments of 44 machines.
var smallSite = figures{apply: "2000ms", grace: "6s", drain: "2000ms", ttl: "5s", budgetSlack: 62}

func newBed(record string, trouble bool) (*bed, error) {
	if record == "" {
		return nil, fmt.Errorf("%s names no file", recordEnv)
	}
	f, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	b := &bed{trouble: trouble, dir: dir, begun: time.Now(), record: f, taken: map[string]bool{}}
	c := clock.NewSystem()
	b.store = standin.New(c, history)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	b.address = l.Addr().String()
	s := &http.Server{Handler: standin.NewDoor(b.store), ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = s.Serve(l) }()
	b.note("trouble=%v", trouble)
	return b, nil
}

// note writes a line of the record.
func (b *bed) note(format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	_, _ = fmt.Fprintf(b.record, "%8.3f %s\n", time.Since(b.begun).Seconds(), fmt.Sprintf(format, args...))
}

// close ends all processes that the bed started.
func (b *bed) close() {
	for _, m := range b.nodes {
		if m.cmd != nil && m.cmd.Process != nil {
			_ = m.cmd.Process.Kill()
			_ = m.cmd.Wait()
		}
	}
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(b.dir)
	} else {
		fmt.Println(b.dir)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	_ = b.record.Close()
}

// freeAddress returns a loopback address that is free for TCP and UDP, below the ports that connections get by themselves.
func (b *bed) freeAddress() (string, error) {
	for range 200 {
		address := fmt.Sprintf("127.0.0.1:%d", lowestPort+rand.IntN(portCount))
		if b.taken[address] {
			continue
		}
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		u, err := net.ListenPacket("udp", address)
		_ = l.Close()
		if err == nil {
			_ = u.Close()
			b.taken[address] = true
			return address, nil
		}
	}
	return "", fmt.Errorf("no free port")
}

// addNodes gives each zone so many nodes and starts them all. The seeds are the first three.
func (b *bed) addNodes(f figures, zones []string, perZone int) error {
	var added []*member
	for _, zone := range zones {
		for i := range perZone {
			m, err := b.newMember(fmt.Sprintf("front-%s-%d", zone, i+1), zone)
			if err != nil {
				return err
			}
			added = append(added, m)
		}
	}
	var seeds []string
	for _, m := range added[:min(3, len(added))] {
		seeds = append(seeds, m.peers)
	}
	for _, m := range added {
		if err := b.startWith(m, f, zones, seeds); err != nil {
			return err
		}
	}
	return nil
}

// newMember chooses the addresses of one more node.
func (b *bed) newMember(name, zone string) (*member, error) {
	m := &member{name: name, zone: zone}
	for _, place := range []*string{&m.callers, &m.ready, &m.directory, &m.peers, &m.own} {
		address, err := b.freeAddress()
		if err != nil {
			return nil, err
		}
		*place = address
	}
	m.settings = filepath.Join(b.dir, m.name+".toml")
	m.log = filepath.Join(b.dir, m.name+".log")
	b.nodes = append(b.nodes, m)
	return m, nil
}

// startWith lays the node's settings and starts it.
func (b *bed) startWith(m *member, f figures, zones, seeds []string) error {
	if err := os.WriteFile(m.settings, []byte(b.settingsOf(m, f, zones, seeds)), 0o600); err != nil {
		return err
	}
	return b.start(m)
}

// settingsOf fills deploy/node.toml.template for a node.
func (b *bed) settingsOf(m *member, f figures, zones, seeds []string) string {
	list, _ := json.Marshal(seeds)
	halls := ""
	for _, z := range zones {
		halls += fmt.Sprintf("%q = %q\n", z, region)
	}
	tenants := ""
	if f.tenants {
		tenants = "revoke = \"5000ms\"\n\n[workspaces]\nwindow = \"5s\"\novershoot = 0.1\nslack = 20\n"
	}
	return fmt.Sprintf(`[node]
name = %q
hall = %q
region = %q
callers = %q
readiness = %q
peers = %q
directory = %q
metrics = %q

[store]
address = %q

[fleet]
seeds = %s

[bounds]
apply = %q
grace = %q
leave = %q
valid = %q
%s
[retries]
ratio = 0.2
slack = %d
window = "10s"

[halls]
%s
[capacity]
cores = 0.32
link_mbps = 1000.0

[balance]
retry_order = true
limit_order = true
`, m.name, m.zone, region, m.callers, m.ready, m.peers, m.directory, m.own, b.address, list, f.apply, f.grace, f.drain, f.ttl, tenants, f.budgetSlack, halls)
}

// start starts the node's process as the deploy file does.
func (b *bed) start(m *member) error {
	f, err := os.Create(m.log)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }()
	m.cmd = exec.Command(program)
	m.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + b.dir, "TINLADDER_SETTINGS=" + m.settings}
	m.cmd.Stdout, m.cmd.Stderr = f, f
	m.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	return m.cmd.Start()
}

// awaitReady waits until all nodes answer their readiness check.
func (b *bed) awaitReady() error {
	end := time.Now().Add(15 * time.Second)
	for _, m := range b.nodes {
		for {
			res, err := http.Get("http://" + m.ready + "/api/ready")
			if err == nil {
				_ = res.Body.Close()
				if res.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(end) {
				log, _ := os.ReadFile(m.log)
				return fmt.Errorf("%s is not ready: %s", m.name, log[max(0, len(log)-400):])
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	b.note("%d nodes are ready", len(b.nodes))
	return nil
}

// resolve asks a node's directory where requesters of the zone should go.
func resolve(m *member, zone string) (addresses []string, ttl time.Duration, err error) {
	q := url.Values{"name": {host}, "region": {region}, "zone": {zone}}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+m.directory+"/api/resolve?"+q.Encode(), nil)
	if err != nil {
		return nil, 0, err
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, 0, err
	}
	defer func() { _ = res.Body.Close() }()
	var answer struct {
		Addresses []string `json:"addresses"`
		TTL       string   `json:"ttl"`
	}
	if err := json.NewDecoder(res.Body).Decode(&answer); err != nil {
		return nil, 0, err
	}
	ttl, err = time.ParseDuration(answer.TTL)
	return answer.Addresses, ttl, err
}

// nameOf returns the name of the node at the address for requesters.
func (b *bed) nameOf(callers string) string {
	for _, m := range b.nodes {
		if m.callers == callers {
			return m.name
		}
	}
	return callers
}

// names returns the names of the nodes at the addresses.
func (b *bed) names(addresses []string) string {
	var list []string
	for _, a := range addresses {
		list = append(list, b.nameOf(a))
	}
	return strings.Join(list, " ")
}
