package node_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
)

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
