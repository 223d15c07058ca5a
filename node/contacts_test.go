package node_test

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/tinladder/tinladder/emulate"
	"github.com/tinladder/tinladder/platform/standin"
)

// startWithSeeds starts a further node, whose settings name these seeds.
func (f *fleet) startWithSeeds(name string, seeds ...string) *testNode {
	f.t.Helper()
	n := &testNode{name: name, hall: "h0", door: standin.NewDoor(f.store), log: &logBuffer{}}
	free := emulate.Addresses(6)
	n.callers, n.peers, n.readiness, n.directory, n.peersAt, n.metrics = free[0], free[1], free[2], free[3], free[1], free[5]
	n.seeds = seeds
	f.nodes = append(f.nodes, n)
	f.start(n)
	return n
}

// storesContacts reports whether the store lists contacts.
func (f *fleet) storesContacts() bool {
	return len(f.store.Range("tinladder", "", "contacts", "contacts\x00", 1).Rows) > 0
}

// knows reports whether the node has heard of the other one.
func (f *fleet) knows(n, other *testNode) bool {
	for line := range strings.Lines(n.log.String()) {
		_, names, found := strings.Cut(line, "event=member_alive ")
		if _, names, _ = strings.Cut(names, "nodes="); found && slices.Contains(strings.Split(strings.Trim(strings.Fields(names)[0], `"`), ","), other.name) {
			return true
		}
	}
	return false
}

// limited sets a desired state with a workspace that may send 30 requests a second.
func (f *fleet) limited(version uint64) {
	r := route("/once/", standin.RunOnce, "desk")
	f.store.ConfigureKeyed(version, []string{"desk"}, []standin.WorkspaceRow{{Name: "w", Keys: []string{"key-w"}, Rank: 1, PerSecond: 30, Burst: 40}}, r)
}

// floodLimited sends twice what the workspace may send to each of the nodes, and returns how many requests ran in the worst 5 s.
func (f *fleet) floodLimited(target *standin.Target, d time.Duration, nodes ...*testNode) (worst int) {
	done := make(chan bool)
	for _, n := range nodes {
		go func() {
			for i, end := 0, time.Now().Add(d); time.Now().Before(end); i++ {
				go func() {
					req := f.request(n, http.MethodPost, "/once/", fmt.Sprint(n.name, "-", i), "", 1000)
					req.Header.Set("Authorization", "Bearer key-w")
					f.do(req)
				}()
				time.Sleep(time.Second / 60)
			}
			done <- true
		}()
	}
	for range nodes {
		<-done
	}
	seen := target.Seen()
	first := 0
	for i := range seen {
		for seen[i].At.Sub(seen[first].At) > 5*time.Second {
			first++
		}
		worst = max(worst, i-first+1)
	}
	return worst
}

// maxLimited is how many requests of the workspace may run in 5 s.
const maxLimited = (30*5+40)*1.1 + 20

// TestNodeWithStaleSeedsFindsTheOthers adds a node whose seeds are all gone. It never heard of the others nor they of it, and
// after a minute it used a workspace's whole limit beside them.
func TestNodeWithStaleSeedsFindsTheOthers(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleet(t, 3)
	target := f.target("i-1", "desk")
	f.limited(1)
	f.ready(1, 1)
	f.eventually("the contacts are stored", f.storesContacts)
	stale := emulate.Addresses(3)
	added := f.startWithSeeds("added", stale...)
	began := time.Now()
	f.eventually("it knows the others", func() bool { return f.knows(added, f.nodes[0]) })
	f.eventually("they know it", func() bool { return f.knows(f.nodes[0], added) })
	t.Logf("after %s", time.Since(began).Round(time.Millisecond))
	is.True(time.Since(began) < 4*time.Second)
	f.ready(1, 1)
	worst := f.floodLimited(target, 8*time.Second, f.nodes[0], added)
	t.Logf("%d requests in 5 s", worst)
	is.True(worst <= maxLimited)
	is.True(worst >= 100) // the limit is used
}

// TestGroupsWithStaleSeedsFindEachOther starts two groups of nodes whose seeds are each other's, or gone, one of them while
// the store is away: each believed that it was the whole fleet.
func TestGroupsWithStaleSeedsFindEachOther(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleet(t, 2)
	target := f.target("i-1", "desk")
	f.limited(1)
	f.ready(1, 1)
	stale := emulate.Addresses(2)
	first := f.startWithSeeds("b0", stale...)
	first.door.SetFaults(standin.Faults{Away: standin.Reset})
	second := f.startWithSeeds("b1", first.peers, stale[0])
	second.door.SetFaults(standin.Faults{Away: standin.Reset})
	time.Sleep(3 * time.Second)
	is.Equal(f.knows(f.nodes[0], first), false)
	first.door.SetFaults(standin.Faults{})
	second.door.SetFaults(standin.Faults{})
	worst := f.floodLimited(target, 8*time.Second, f.nodes[0], first, second)
	f.eventually("all know all", func() bool {
		return f.knows(f.nodes[0], first) && f.knows(first, f.nodes[1]) && f.knows(second, f.nodes[0])
	})
	t.Logf("%d requests in 5 s", worst)
	is.True(worst <= maxLimited)
}
