package node_test

import (
	"bytes"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/tinladder/tinladder/platform/standin"
)

// TestOddEntriesHarmNoNode has another writer write odd entries beside those of targets. Nodes that read the list must neither
// end nor cease to follow it, and take none of them for a target.
func TestOddEntriesHarmNoNode(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleet(t, 2)
	f.target("i-1", "desk")
	f.calm(1)
	f.ready(1, 1)
	targets := 1
	good := standin.TargetRow("10.0.0.1:80", "desk", "h0", "ready", 3)
	odd := standin.OddRows(good)
	for name, raw := range odd { // one over the other
		if bytes.Equal(raw, good) {
			t.Fatalf("%s is an entry of a target", name)
		}
		f.store.Put("servers", "odd", raw)
	}
	for name, raw := range odd { // and beside each other
		f.store.Put("servers", "odd-"+name, raw)
	}
	f.target("i-2", "desk")
	targets++
	for _, n := range f.nodes {
		f.eventually(n.name+" follows the list", func() bool { return f.poolTargets(n) >= targets })
		is.Equal(f.poolTargets(n), targets)
		for i := range 20 {
			is.Equal(f.call(n, http.MethodGet, "/get/", fmt.Sprint(n.name, "-", i), "").status, http.StatusOK)
		}
	}
}

// TestLargeEntriesDoNotEndFollowing has another writer write entries that are large together. The changes came in one answer
// that was too large, each time again, and nodes no longer learned of targets that joined or left.
func TestLargeEntriesDoNotEndFollowing(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleet(t, 2)
	f.target("i-1", "desk")
	f.calm(1)
	f.ready(1, 1)
	for i := range 20 {
		f.store.Put("servers", fmt.Sprint("odd-", i%4), []byte(strings.Repeat("[", 700_000+i)))
	}
	f.target("i-2", "desk")
	for _, n := range f.nodes {
		f.eventually(n.name+" follows the list", func() bool { return f.poolTargets(n) == 2 })
	}
	f.target("i-3", "desk")
	for _, n := range f.nodes {
		f.eventually(n.name+" still follows the list", func() bool { return f.poolTargets(n) == 3 })
	}
	is.Equal(f.call(f.nodes[0], http.MethodGet, "/get/", "after", "").status, http.StatusOK)
}
