package main

import (
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/tinladder/tinladder/clock"
	"github.com/tinladder/tinladder/platform/standin"
)

// Figures of a small deployment, as the pages print them.
const (
	contact      = 3 * time.Second
	drainTimeout = 2 * time.Second
	history      = 20 * clock.Second
)

// A fleet is the nodes, as processes of their own, and the platform's store.
type fleet struct {
	dir   string
	store *standin.Store
	door  *standin.Door
	http  *http.Server
	nodes []*node
}

// A node is one process of the project's program.
type node struct {
	name, zone                          string
	callers, readiness, peers, resolver string
	settings                            string
	cmd                                 *exec.Cmd
	log                                 *os.File
}

// zones are those of a small deployment.
var zones = map[string]any{"bayanzurkh-hall": "ulaanbaatar", "khanuul-hall": "ulaanbaatar", "sukhbaatar-hall": "ulaanbaatar"}

// startFleet starts the store and count nodes, one zone after the other, and waits until all are ready.
func startFleet(count int, extra map[string]any, prepare func(*standin.Store)) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	f := &fleet{dir: dir, store: standin.New(clock.NewSystem(), history)}
	f.door = standin.NewDoor(f.store)
	fleets.Lock()
	fleets.list = append(fleets.list, f)
	fleets.Unlock()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return f, err
	}
	f.http = &http.Server{Handler: f.door, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = f.http.Serve(l) }()
	prepare(f.store)
	names := sortedKeys(zones)
	for i := range count {
		f.nodes = append(f.nodes, &node{name: fmt.Sprintf("front-%d", i+1), zone: names[i%len(names)]})
	}
	var seeds []any
	for _, n := range f.nodes {
		n.callers, n.readiness, n.peers, n.resolver = freeAddress(), freeAddress(), freeAddress(), freeAddress()
		if len(seeds) < 3 {
			seeds = append(seeds, n.peers)
		}
	}
	for _, n := range f.nodes {
		if err := f.startNode(n, seeds, l.Addr().String(), extra); err != nil {
			return f, err
		}
	}
	for _, n := range f.nodes {
		if err := n.awaitReady(); err != nil {
			return f, err
		}
	}
	return f, nil
}

// startNode fills the project's template as the platform does, and starts the command of the deploy file.
func (f *fleet) startNode(n *node, seeds []any, store string, extra map[string]any) error {
	template, err := os.ReadFile("deploy/node.toml.template")
	if err != nil {
		return err
	}
	metrics := freeAddress()
	_, port, _ := net.SplitHostPort(metrics)
	bounds := map[string]any{
		"contact": "3000ms", "drainTimeout": "2000ms", "gracePeriod": "6s", "configApply": "2000ms", "retryBudgetRatio": 0.2,
		"retryWindow": "10s", "budgetSlack": 62, "ttl_max": "5s",
	}
	maps.Copy(bounds, extra)
	values := map[string]any{
		"nodeName": n.name, "zone": n.zone, "region": zones[n.zone], "ip": "127.0.0.1", "zones": zones, "seeds": seeds,
		"listen":    map[string]any{"front": n.callers, "readiness": n.readiness, "control": n.peers, "directory": n.resolver},
		"portRange": []any{json.Number(port), json.Number(port)},
		"limits":    map[string]any{"cpuShare": 0.32, "linkMbps": 1000.0},
		"bounds":    bounds, "platform": map[string]any{"address": store},
	}
	n.settings = filepath.Join(f.dir, n.name+".toml")
	if err := os.WriteFile(n.settings, []byte(fill(string(template), any(values))), 0o600); err != nil {
		return err
	}
	if n.log, err = os.Create(filepath.Join(f.dir, n.name+".log")); err != nil {
		return err
	}
	n.cmd = exec.Command("target/tinladder-node")
	n.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", "TINLADDER_SETTINGS=" + n.settings}
	n.cmd.Stdout, n.cmd.Stderr = n.log, n.log
	return n.cmd.Start()
}

func (n *node) awaitReady() error {
	for range 150 {
		if res, err := http.Get("http://" + n.readiness + "/api/ready"); err == nil {
			_ = res.Body.Close()
			if res.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("%s is not ready", n.name)
}

// fleets are those that run.
var fleets struct {
	sync.Mutex
	list []*fleet
}

// stopAll ends the processes of all fleets.
func stopAll() {
	fleets.Lock()
	defer fleets.Unlock()
	for _, f := range fleets.list {
		f.stop()
	}
}

// stop ends all processes that the fleet started.
func (f *fleet) stop() {
	if f == nil {
		return
	}
	var wg sync.WaitGroup
	for _, n := range f.nodes {
		if n.cmd == nil || n.cmd.Process == nil {
			continue
		}
		wg.Go(func() {
			_ = n.cmd.Process.Kill()
			_ = n.cmd.Wait()
			_ = n.log.Close()
		})
	}
	wg.Wait()
	if f.http != nil {
		_ = f.http.Close()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir)
	}
}

// events returns the lines of all nodes' logs that hold one of the words.
func (f *fleet) events(words ...string) (lines []string) {
	for _, n := range f.nodes {
		raw, _ := os.ReadFile(n.log.Name())
		for line := range strings.SplitSeq(string(raw), "\n") {
			if slices.ContainsFunc(words, func(w string) bool { return strings.Contains(line, w) }) {
				lines = append(lines, n.name+" "+line)
			}
		}
	}
	return lines
}

var (
	givenMu sync.Mutex
	given   = map[string]bool{}
)

// freeAddress returns an address on loopback whose port is free for TCP and UDP. The ports lie below those that the system
// gives to connections, so that none of these takes one before its process listens.
func freeAddress() string {
	givenMu.Lock()
	defer givenMu.Unlock()
	for {
		address := fmt.Sprintf("127.0.0.1:%d", 20000+rand.IntN(12000))
		if given[address] {
			continue
		}
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		u, err := net.ListenPacket("udp", address)
		_ = l.Close()
		if err != nil {
			continue
		}
		_ = u.Close()
		given[address] = true
		return address
	}
}

func sortedKeys[V any](m map[string]V) []string {
	return slices.Sorted(maps.Keys(m))
}
