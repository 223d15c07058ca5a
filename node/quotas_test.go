package node_test

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/tinladder/tinladder/platform"
	"github.com/tinladder/tinladder/platform/standin"
)

// TestPartsOfLimitsStayAsRequestsComeAndGo raises the load of one hall so that a third node of it carries the service. Shares
// of limits moved with the carriers: while no node came or went, a log had "carriers=9 share=0.1111", "carriers=15
// share=0.0667" and "carriers=6 share=0.1429" within 14 s. A node whose share moves waits for the others and the share is
// unused meanwhile, so twice as many requests were refused as before nodes waited.
func TestPartsOfLimitsStayAsRequestsComeAndGo(t *testing.T) {
	f := newFleetWith(t, 9, func(int) string { return "[capacity]\ncores = 0.05\n" })
	big, err := standin.NewTarget(f.store, "t", "desk", "h0", 400, 300*time.Millisecond)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(big.Close)
	f.store.ConfigureKeyed(1, []string{"desk"}, []standin.WorkspaceRow{{Name: "shop", Keys: []string{"key"}, Rank: 1, PerSecond: 900, Burst: 900}},
		route("/get/", standin.Repeatable, "desk"))
	f.ready(1, 1)
	f.eventually("all nodes know each other", func() bool {
		return !slices.ContainsFunc(f.nodes, func(n *testNode) bool { return f.sumOf(n, "tinladder_members") < 8 })
	})
	f.eventually("each hall's first two nodes share limits", func() bool { return f.sharers("share=0.1667") == 6 })
	before := f.settledShareChanges()
	if n := f.sharers("share=0.1667"); n != 6 {
		t.Errorf("%d nodes share limits", n)
	}
	var wg sync.WaitGroup
	for i := range 60 {
		wg.Go(func() {
			for j := range 10 {
				f.get(f.nodes[0], fmt.Sprintf("r-%d-%d", i, j), "key")
			}
		})
	}
	f.eventually("more of a hall's nodes carry the service", func() bool { return strings.Contains(f.nodes[0].log.String(), "event=demand") })
	wg.Wait()
	if moved := f.shareChanges("") - before; moved > 0 {
		t.Errorf("parts of limits moved %d times as requests came", moved)
	}
}

// shareChanges counts the changes of limit shares in the nodes' logs.
func (f *fleet) shareChanges(with string) (n int) {
	for _, x := range f.nodes {
		for line := range strings.Lines(x.log.String()) {
			if strings.Contains(line, "event=limit_share") && strings.Contains(line, with) {
				n++
			}
		}
	}
	return n
}

// settledShareChanges counts the changes of limit shares once there was none for a second: a node that learns late of others
// may take its share twice.
func (f *fleet) settledShareChanges() int {
	last := -1
	for n := f.shareChanges(""); n != last; n = f.shareChanges("") {
		last = n
		time.Sleep(time.Second)
	}
	return last
}

// sharers counts the nodes whose latest change of their limit share says so.
func (f *fleet) sharers(with string) (n int) {
	for _, x := range f.nodes {
		text := x.log.String()
		line, _, _ := strings.Cut(text[max(strings.LastIndex(text, "event=limit_share"), 0):], "\n")
		if strings.Contains(line, with) {
			n++
		}
	}
	return n
}

// get sends a request with the key of a workspace.
func (f *fleet) get(n *testNode, id, key string) {
	h := platform.Headers()
	r, err := http.NewRequest(http.MethodGet, "http://"+n.callers+"/get/x", nil)
	if err != nil {
		f.t.Error(err)
		return
	}
	r.Host = "shop"
	r.Header.Set(h.RequestID, id)
	r.Header.Set(h.Key, "Bearer "+key)
	if res, err := f.http.Do(r); err == nil {
		_ = res.Body.Close()
	}
}
