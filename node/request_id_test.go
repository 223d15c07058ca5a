package node_test

import (
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestRequestIDsArePassedOn guards against a target that runs a request under an id that its caller has not sent, since the one
// that it sent is long, or needs quotes in a log.
func TestRequestIDsArePassedOn(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 1)
	target := f.target("t0", "desk")
	f.calm(1)
	f.ready(1, 1)
	for _, id := range []string{"event=x level=error", "a=b", `say "x"`, "two words", "tab\there", "a\\b", "caf\xe9", strings.Repeat("x", 4000), "%"} {
		got := f.call(f.nodes[0], http.MethodGet, "/get/", id, "")
		is.Equal(got.status, http.StatusOK)
		is.Equal(got.header.Get("X-Request-Id"), id)
		seen := target.Seen()
		is.Equal(seen[len(seen)-1].ID, id)
	}
	f.eventually("the id is one value of a line of the log", func() bool {
		f.call(f.nodes[0], http.MethodGet, "/get/", "event=x level=error", "")
		return strings.Contains(f.nodes[0].log.String(), `request="event=x level=error"`)
	})
}
