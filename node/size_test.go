package node_test

import (
	"bufio"
	"flag"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/tinladder/tinladder/platform/standin"
)

var (
	measureSize  = flag.Bool("size", false, "run a fleet of many nodes, to be looked at with -cpuprofile")
	sizeNodes    = flag.Int("size.nodes", 100, "how many nodes")
	sizeTargets  = flag.Int("size.targets", 1000, "how many targets")
	sizeRequests = flag.Int("size.requests", 200, "how many requests a second, over all nodes")
)

// TestMeasureSize runs a fleet of small nodes with many targets, some of which change now and then, under light load. It
// is run with a profile, which shows the cost.
func TestMeasureSize(t *testing.T) {
	if !*measureSize {
		t.Skip("a measurement; run with -size -cpuprofile cpu.out")
	}
	f := newFleetWith(t, *sizeNodes, func(int) string { return "\n[capacity]\ncores = 0.16\nlink_mbps = 10\n[log]\nlevel = \"warning\"\n" })
	services := []string{"desk", "clerk", "press"}
	var live []*standin.Target
	for i := range 30 {
		target, err := standin.NewTarget(f.store, fmt.Sprint("i-live-", i), services[i%3], fmt.Sprint("h", i%3), 3, 50*time.Millisecond)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(target.Close)
		live = append(live, target)
	}
	put := func(i, slots int) {
		a := live[i%len(live)]
		f.store.Put("servers", fmt.Sprint("i-", i), standin.TargetRow(a.Address(), services[i%3], fmt.Sprint("h", i%3), "ready", slots))
	}
	for i := range *sizeTargets {
		put(i, 3)
	}
	f.store.Configure(1, services, route("/get/", standin.Repeatable, "desk"), route("/clerk/", standin.Repeatable, "clerk"), route("/press/", standin.Repeatable, "press"))
	begun := time.Now()
	asked := 0
	var mu sync.Mutex
	statuses := map[int]int{}
	ask := func(n *testNode, path, id string) {
		r := f.call(n, "GET", path, id, "")
		mu.Lock()
		defer mu.Unlock()
		statuses[r.status]++
	}
	for time.Since(begun) < 20*time.Second {
		n := f.nodes[asked%len(f.nodes)]
		if time.Since(begun) > 4*time.Second {
			go ask(n, []string{"/get/", "/clerk/", "/press/"}[asked%3], fmt.Sprint("x", asked))
		}
		if asked%(*sizeRequests/4) == 0 {
			put(asked%*sizeTargets, 3+asked%2)
		}
		asked++
		time.Sleep(time.Second / time.Duration(*sizeRequests))
	}
	mu.Lock()
	defer mu.Unlock()
	t.Logf("requests by status: %v", statuses)
	t.Logf("bytes between halls by kind of message: %v", f.farBytes())
}

// farBytes returns how many bytes the nodes sent to other halls, by kind of message.
func (f *fleet) farBytes() map[string]int {
	sums := map[string]int{}
	for _, n := range f.nodes {
		res, err := f.http.Get("http://" + n.metrics + "/metrics")
		if err != nil {
			continue
		}
		lines := bufio.NewScanner(res.Body)
		for lines.Scan() {
			var kind string
			var bytes int
			if _, err := fmt.Sscanf(lines.Text(), `tinladder_peer_bytes_total{kind=%q,far="true"} %d`, &kind, &bytes); err == nil {
				sums[kind] += bytes
			}
		}
		_ = res.Body.Close()
	}
	return sums
}
