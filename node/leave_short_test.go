package node_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"os"
	"regexp"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/tinladder/tinladder/platform/standin"
)

// setGracePeriod changes the grace period of a running node by reloading its settings.
func (f *fleet) setGracePeriod(n *testNode, grace string) {
	f.t.Helper()
	b, err := os.ReadFile(n.path)
	if err != nil {
		f.t.Fatal(err)
	}
	b = regexp.MustCompile(`grace = .*`).ReplaceAll(b, []byte(`grace = "`+grace+`"`))
	if err := os.WriteFile(n.path, b, 0o600); err != nil {
		f.t.Fatal(err)
	}
	if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
		f.t.Fatal(err)
	}
	f.eventually("the settings are read", func() bool { return strings.Contains(n.log.String(), "event=settings_reloaded") })
}

// stopDuringLongRequest stops a node while it serves a request that outlasts the grace period, then calls then. It returns
// the status that the caller got, 0 without a complete response, and the time from the stop to the node's exit.
func stopDuringLongRequest(f *fleet, grace string, then func(n *testNode)) (status int, took time.Duration) {
	is := is.New(f.t)
	slow, err := standin.NewTarget(f.store, "i-1", "desk", "h0", 4, 2900*time.Millisecond)
	is.NoErr(err)
	defer slow.Close()
	r := route("/get/", standin.Repeatable, "desk")
	r.Timeout = "5000ms"
	f.store.Configure(3, []string{"desk"}, r)
	f.ready(3, 1)
	n := f.nodes[1]
	if grace != "2s" {
		f.setGracePeriod(n, grace)
	}
	c, err := net.Dial("tcp", n.callers)
	is.NoErr(err)
	defer func() { _ = c.Close() }()
	_, err = io.WriteString(c, rawGet("long"))
	is.NoErr(err)
	time.Sleep(100 * time.Millisecond)
	stopped := time.Now()
	n.stop()
	then(n)
	_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
	if res, err := http.ReadResponse(bufio.NewReader(c), nil); err == nil {
		if _, err := io.Copy(io.Discard, res.Body); err == nil {
			status = res.StatusCode
		}
	}
	<-n.node.Done()
	took = time.Since(stopped)
	f.t.Logf("status %d, ended after %s", status, took.Round(time.Millisecond))
	return status, took
}

// A request still in flight when its node exits gets a response from the node. The steps of shutdown are fractions of the
// grace period, checked every 20 ms: with a short one the last two once ran together, and the request was cut off.
func TestShortGracePeriodAnswersToo(t *testing.T) {
	for _, grace := range []string{"200ms", "500ms", "1s", "2s"} {
		t.Run(grace, func(t *testing.T) {
			is := is.New(t)
			bound, err := time.ParseDuration(grace)
			is.NoErr(err)
			status, took := stopDuringLongRequest(newFleet(t, 2), grace, func(*testNode) {})
			is.Equal(status, http.StatusBadGateway)
			is.True(took < bound)
		})
	}
}

// The platform measures the grace period from its signal on, with the value at that time. A shorter one in settings reloaded
// during shutdown once made the node exit at once, which cut off requests in flight.
func TestSettingsDoNotChangeAnEndThatHasBegun(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 2)
	status, took := stopDuringLongRequest(f, "2s", func(n *testNode) {
		time.Sleep(1200 * time.Millisecond)
		f.setGracePeriod(n, "1s")
	})
	is.True(took > 1800*time.Millisecond)
	is.Equal(status, http.StatusBadGateway)
}
