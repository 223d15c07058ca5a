package proof_test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/tinladder/tinladder/emulate"
	"github.com/tinladder/tinladder/node"
)

// TestSuspendedNodeAnswers suspends a node for longer than the time limit of requests that are at their targets. The target's
// answers wait for the node meanwhile, and run-once requests have run: callers that still wait get a whole response, not an
// end of file, and the connection stays usable unless the response says that it closes.
func TestSuspendedNodeAnswers(t *testing.T) {
	const (
		timeLimit = 500 * time.Millisecond
		// suspended is how long the node does nothing: past the time limit and all deadlines of the connection.
		suspended = 2 * time.Second
	)
	f := newFleetOf(t, 1, 3, false, 3, "200ms")
	n := f.nodes[0]
	prefix := f.keyPrefix(n)
	for _, c := range []struct{ name, request string }{
		{"repeatable", "GET /status/%s HTTP/1.1\r\n"},
		{"run-once", "POST /refunds HTTP/1.1\r\nContent-Length: 4\r\n" + node.HeaderKey + ": " + prefix + "~%s\r\n"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			conn, err := net.Dial("tcp", n.callers)
			is.NoErr(err)
			defer func() { _ = conn.Close() }()
			r := bufio.NewReader(conn)
			send := func(order string) {
				text := fmt.Sprintf(c.request+"Host: x\r\n%s: %s\r\n%s: desk\r\n%s: %s\r\n%s: %d\r\n\r\n", order, node.HeaderToken, callerToken,
					node.HeaderService, emulate.HeaderOrder, order, node.HeaderDeadline, timeLimit.Milliseconds())
				if c.name == "run-once" {
					text += "body"
				}
				_, err := io.WriteString(conn, text)
				is.NoErr(err)
			}
			receive := func() *http.Response {
				res, err := http.ReadResponse(r, nil)
				is.NoErr(err) // the response, and not an end of file
				_, err = io.Copy(io.Discard, res.Body)
				is.NoErr(err)
				return res
			}
			send(c.name + "-1")
			time.Sleep(timeLimit / 5)
			n.signal(syscall.SIGSTOP)
			time.Sleep(suspended)
			n.signal(syscall.SIGCONT)
			res := receive()
			t.Logf("status %d, closes the connection: %t", res.StatusCode, res.Close)
			is.Equal(f.runs(c.name+"-1"), 1)
			is.True(res.StatusCode == http.StatusOK || res.StatusCode == http.StatusGatewayTimeout)
			if !res.Close {
				send(c.name + "-2")
				receive()
			}
		})
	}
}

// keyPrefix returns the prefix of keys of run-once requests that the node hands out.
func (f *fleet) keyPrefix(n *nodeProc) string {
	f.t.Helper()
	req, err := http.NewRequest(http.MethodGet, "http://"+n.callers+node.DiscoveryPath+"?service=desk", nil)
	if err != nil {
		f.t.Fatal(err)
	}
	req.Header.Set(node.HeaderToken, callerToken)
	res, err := f.control.Do(req)
	if err != nil {
		f.t.Fatal(err)
	}
	defer func() { _ = res.Body.Close() }()
	var a node.Endpoints
	if err := json.NewDecoder(res.Body).Decode(&a); err != nil {
		f.t.Fatal(err)
	}
	return a.KeyPrefix
}

// runs returns how often the order ran, at all targets.
func (f *fleet) runs(order string) (count int) {
	for i := range f.targets {
		runs := map[string]int{}
		f.ask(i, "runs", &runs)
		count += runs[order]
	}
	return count
}
