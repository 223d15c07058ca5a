package node_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// A request that reaches a node without a desired state waits up to 600 ms for the first one. Shutdown once ignored such
// waits and closed the connection without a response. With a grace period of 2 s, a request sent on a keep-alive connection
// 1.35 s after SIGTERM got EOF at 1.84 s, the moment of "step=end"; with 500 ms, every waiting request did.
func TestRequestsThatWaitForTheFirstStateAreAnsweredAtTheEnd(t *testing.T) {
	for _, c := range []struct {
		grace string
		// after is how long after SIGTERM the request is sent.
		after time.Duration
	}{{"2s", 1350 * time.Millisecond}, {"500ms", 0}} {
		t.Run(c.grace, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(t, 1)
			n := f.nodes[0]
			kept, err := net.Dial("tcp", n.callers)
			is.NoErr(err)
			defer func() { _ = kept.Close() }()
			reader := bufio.NewReader(kept)
			ask := func(id string) (int, error) {
				_ = kept.SetDeadline(time.Now().Add(10 * time.Second))
				if _, err := io.WriteString(kept, rawGet(id)); err != nil {
					return 0, err
				}
				res, err := http.ReadResponse(reader, nil)
				if err != nil {
					return 0, err
				}
				_, err = io.Copy(io.Discard, res.Body)
				return res.StatusCode, err
			}
			status, err := ask("before")
			is.NoErr(err)
			is.Equal(status, http.StatusServiceUnavailable)
			if c.grace != "2s" {
				f.setGracePeriod(n, c.grace)
			}
			stopped := time.Now()
			n.stop()
			time.Sleep(time.Until(stopped.Add(c.after)))
			status, err = ask("waits")
			t.Logf("status %d, error %v, %s after SIGTERM", status, err, time.Since(stopped).Round(time.Millisecond))
			is.NoErr(err)
			is.Equal(status, http.StatusServiceUnavailable)
			<-n.node.Done()
		})
	}
}
