package forward_test

import (
	"net/http"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"github.com/tinladder/tinladder/forward"
)

// TestExecution guards against responses that are taken for "not run" by their status alone.
func TestExecution(t *testing.T) {
	platform := forward.Headers{NotRun: "Not-Run", Instance: "Instance"}
	plain := forward.Headers{NotRun: "Not-Run"}
	says := http.Header{"Not-Run": {"1"}}
	cases := []struct {
		name    string
		headers forward.Headers
		status  int
		header  http.Header
		err     error
		want    forward.Execution
	}{
		{name: "served", headers: platform, status: 200, want: forward.Ran},
		{name: "the target's own failure", headers: platform, status: 500, want: forward.Ran},
		{name: "the target's own time limit", headers: platform, status: 504, want: forward.Ran},
		{name: "503 alone", headers: platform, status: 503, want: forward.Ran},
		{name: "503, on the fleet's own protocol", headers: plain, status: 503, want: forward.Ran},
		{name: "429 alone", headers: platform, status: 429, want: forward.Ran},
		{name: "408 alone", headers: platform, status: 408, want: forward.Ran},
		{name: "503 that says so", headers: platform, status: 503, header: says, want: forward.NotRun},
		{name: "429 that says so", headers: platform, status: 429, header: says, want: forward.NotRun},
		{name: "400 that says so", headers: platform, status: 400, header: says, want: forward.NotRun},
		{name: "an empty word", headers: platform, status: 503, header: http.Header{"Not-Run": {""}}, want: forward.Ran},
		{name: "a word that the protocol does not know", headers: forward.Headers{}, status: 503, header: says, want: forward.Ran},
		{name: "another target", headers: platform, status: 421, want: forward.NotRun},
		{name: "421 where no target is named", headers: plain, status: 421, want: forward.Ran},
		{name: "no connection", headers: platform, err: forward.ErrNoConnection, want: forward.NotRun},
		{name: "sent and lost", headers: platform, err: errors.Mark(errors.New("reset"), forward.ErrSent), want: forward.MayHaveRun},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var res *forward.Response
			if c.err == nil {
				res = &forward.Response{Status: c.status, Header: c.header}
			}
			is.Equal(c.headers.ExecutionOf(res, c.err), c.want)
		})
	}
}
