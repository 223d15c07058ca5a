package node_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/tinladder/tinladder/platform"
	"github.com/tinladder/tinladder/platform/standin"
)

// resolve queries a node's directory for the addresses that callers in the hall should use.
func (f *fleet) resolve(n *testNode, hall string) []string {
	res, err := f.http.Get("http://" + n.directory + platform.ResolvePath + "?name=shop&region=r&zone=" + hall)
	if err != nil {
		return nil
	}
	defer func() { _ = res.Body.Close() }()
	var a struct {
		Addresses []string `json:"addresses"`
		TTL       string   `json:"ttl"`
	}
	if json.NewDecoder(res.Body).Decode(&a) != nil || a.TTL == "" {
		return nil
	}
	return a.Addresses
}

// TestLeavingCutsNothing stops a node under load: it must answer the requests it accepted, turn unready within 200 ms,
// disappear from the directory within 500 ms and exit within the grace period.
func TestLeavingCutsNothing(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 3)
	target, err := standin.NewTarget(f.store, "i-1", "desk", "h0", 30, 300*time.Millisecond)
	is.NoErr(err)
	defer target.Close()
	f.calm(3)
	f.ready(3, 1)
	n := f.nodes[2]
	var mu sync.Mutex
	failures := []string{}
	closed := 0
	stop := make(chan bool)
	var wg sync.WaitGroup
	for w := range 6 {
		wg.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				default:
				}
				id := fmt.Sprintf("w%d-%d", w, i)
				r := f.call(n, http.MethodPost, "/once/", id, "pay")
				mu.Lock()
				if r.header.Get("Connection") == "close" || r.status == http.StatusOK && r.header == nil {
					closed++
				}
				if r.broken && ran(id, target) > 0 || !r.broken && r.status != http.StatusOK {
					failures = append(failures, fmt.Sprint(id, " ", r.status, " broken ", r.broken))
				}
				mu.Unlock()
				if r.broken {
					return // like a caller that switches to another node
				}
			}
		})
	}
	time.Sleep(400 * time.Millisecond)
	n.stop()
	start := time.Now()
	f.eventually("it is not ready", func() bool { return f.status(n.readiness, platform.ReadyPath) != http.StatusOK })
	is.True(time.Since(start) < 200*time.Millisecond)
	f.eventually("the directory leaves it out", func() bool { return !slices.Contains(f.resolve(f.nodes[0], "h2"), n.callers) })
	is.True(time.Since(start) < 500*time.Millisecond)
	<-n.node.Done()
	is.True(time.Since(start) < 2*time.Second) // the configured grace period
	close(stop)
	wg.Wait()
	is.Equal(failures, []string{})
}

func TestDirectoryNamesNodesOfTheCallersHall(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 9)
	f.target("i-1", "desk")
	f.calm(3)
	f.ready(3, 1)
	halls := map[string]string{}
	for _, n := range f.nodes {
		halls[n.callers] = n.hall
	}
	start := time.Now()
	f.eventually("all nodes say the same", func() bool { // once every node knows every other
		for _, h := range []string{"h0", "h1", "h2"} {
			want := f.resolve(f.nodes[0], h)
			if len(want) != 2 || halls[want[0]] != h || halls[want[1]] != h {
				return false
			}
			for _, n := range f.nodes {
				if !slices.Equal(f.resolve(n, h), want) {
					return false
				}
			}
		}
		return true
	})
	is.True(time.Since(start) < 10*time.Second)
	is.True(len(f.resolve(f.nodes[0], "elsewhere")) >= 2)
}

// TestDirectoryLeavesSilentNodesOut stops a node without a graceful shutdown.
func TestDirectoryLeavesSilentNodesOut(t *testing.T) {
	f := newFleet(t, 6)
	f.target("i-1", "desk")
	f.calm(3)
	f.ready(3, 1)
	gone := f.nodes[3]
	f.eventually("it is named", func() bool { return slices.Contains(f.resolve(f.nodes[0], gone.hall), gone.callers) })
	gone.node.Close()
	f.eventually("it is left out", func() bool { return !slices.Contains(f.resolve(f.nodes[0], gone.hall), gone.callers) })
}
