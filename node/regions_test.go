package node_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"testing"

	"github.com/matryer/is"
	"github.com/tinladder/tinladder/platform"
	"github.com/tinladder/tinladder/platform/standin"
)

// TestRequestsStayInTheirRegions has a route that only one region may serve, and sends its requests to nodes of all regions.
// The regions of routes were not read, so that any region served them.
func TestRequestsStayInTheirRegions(t *testing.T) {
	f := newFleetWith(t, 3, func(int) string {
		return "[halls]\nh0 = \"north\"\nh1 = \"north\"\nh2 = \"south\"\n"
	})
	home := route("/get/", standin.Repeatable, "desk")
	home.Regions = []string{"south"}
	f.store.Configure(1, []string{"desk"}, home, route("/any/", standin.Repeatable, "desk"))
	var targets []*standin.Target
	for i := range 3 {
		target, err := standin.NewTarget(f.store, fmt.Sprint("t", i), "desk", fmt.Sprint("h", i), 3, 0)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(target.Close)
		targets = append(targets, target)
	}
	f.ready(1, 3)
	for i := range 60 {
		if r := f.call(f.nodes[i%3], http.MethodGet, "/get/a", fmt.Sprint("home", i), ""); r.status != http.StatusOK {
			t.Fatalf("status %d", r.status)
		}
	}
	if n := arrivals(targets[:2]); n > 0 {
		t.Errorf("%d requests left their region", n)
	}
	targets[2].Close()
	f.store.Remove("servers", "t2")
	f.eventually("nobody may serve them", func() bool {
		return f.call(f.nodes[0], http.MethodGet, "/get/a", "", "").status == http.StatusServiceUnavailable
	})
	if n := arrivals(targets[:2]); n > 0 {
		t.Errorf("%d requests left their region once it could not serve them", n)
	}
	if r := f.call(f.nodes[0], http.MethodGet, "/any/a", "any", ""); r.status != http.StatusOK {
		t.Errorf("requests without a region got %d", r.status)
	}
}

// TestDirectoryNamesNodesOfHomeRegions resolves a host that only the south may serve, for a caller in the west, where there is
// no node.
func TestDirectoryNamesNodesOfHomeRegions(t *testing.T) {
	is := is.New(t)
	f := newFleetWith(t, 6, func(int) string {
		return "[halls]\nh0 = \"north\"\nh1 = \"middle\"\nh2 = \"south\"\nh9 = \"west\"\n"
	})
	home := route("/get/", standin.Repeatable, "desk")
	home.Regions = []string{"south"}
	f.store.Configure(1, []string{"desk"}, home)
	f.target("t1", "desk")
	f.ready(1, 1)
	for _, n := range f.nodes {
		f.eventually("only the south is named", func() bool {
			res, err := f.http.Get("http://" + n.directory + platform.ResolvePath + "?name=shop&region=west&zone=h9")
			is.NoErr(err)
			defer func() { _ = res.Body.Close() }()
			var got struct {
				Addresses []string `json:"addresses"`
			}
			is.NoErr(json.NewDecoder(res.Body).Decode(&got))
			south := len(got.Addresses) > 0
			for _, a := range got.Addresses {
				south = south && (a == f.nodes[2].callers || a == f.nodes[5].callers)
			}
			return south
		})
	}
}
