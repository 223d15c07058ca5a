package node_test

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"
	"github.com/tinladder/tinladder/clock"
	"github.com/tinladder/tinladder/node"
)

// TestRetryAfterIsInWholeSeconds looks at what callers of the fleet's own interface are told: clients that follow RFC
// 9110 reject fractions.
func TestRetryAfterIsInWholeSeconds(t *testing.T) {
	for after, want := range map[clock.Millis]string{1: "1", 300: "1", 1000: "1", 1001: "2", 12_000: "12"} {
		is := is.New(t)
		w := httptest.NewRecorder()
		node.Problem{Status: http.StatusServiceUnavailable, Outcome: node.NotRun, RetryAfter: after}.Write(w)
		is.Equal(w.Header().Get("Retry-After"), want)
		is.True(w.Header().Get(node.HeaderRetryAfterMs) != "")
	}
}
