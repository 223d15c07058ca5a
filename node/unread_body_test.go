package node_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/tinladder/tinladder/platform"
	"github.com/tinladder/tinladder/platform/standin"
)

const (
	// stalled is the pause of a caller that sends no more.
	stalled = time.Second
	// patient is the deadline in milliseconds of a caller that is answered well before it, and atOnce the longest that an
	// answer takes which waits neither for the deadline nor for the rest of the body.
	patient = 5000
	atOnce  = 2 * time.Second
)

// An unreadBodyCase is a request that is answered while a part of its body is on its way.
type unreadBodyCase struct {
	name, method, path string
	faults             standin.TargetFaults
	status             int
	// deadline is the caller's, in milliseconds; patient if it is 0.
	deadline int
}

var unreadBodyCases = []unreadBodyCase{
	{name: "answered", path: "/once/", faults: standin.TargetFaults{Begun: &standin.EarlyAnswer{Length: 100, Ahead: 100}}, status: http.StatusOK},
	{name: "answered at length", path: "/get/", faults: standin.TargetFaults{Begun: &standin.EarlyAnswer{Length: longAnswer, Ahead: longAnswer}}, status: http.StatusOK},
	{name: "head", method: http.MethodHead, path: "/once/", faults: standin.TargetFaults{Begun: &standin.EarlyAnswer{Length: 100, Ahead: 100}}, status: http.StatusOK},
	{name: "failed", path: "/once/", faults: standin.TargetFaults{Early: true, Fail: 1}, status: http.StatusInternalServerError},
	{name: "lost", path: "/once/", faults: standin.TargetFaults{Early: true, Lose: 1}, status: http.StatusBadGateway},
	{name: "turned away", path: "/once/", faults: standin.TargetFaults{Early: true, Shed: 1}, status: http.StatusServiceUnavailable},
	{name: "without a target", path: "/clerk/", status: http.StatusServiceUnavailable},
	{name: "without a route", path: "/none/", status: http.StatusNotFound},
	{name: "late", path: "/once/", faults: standin.TargetFaults{Early: true, Hang: 1}, status: http.StatusGatewayTimeout, deadline: 800},
}

// An unreadBody is a body of which so many bytes are sent at first. Its length is 0 if it comes in chunks.
type unreadBody struct {
	name         string
	length, sent int
}

var unreadBodies = []unreadBody{
	{name: "little left", length: 150 << 10, sent: 100 << 10},
	{name: "much left", length: 900 << 10, sent: 100 << 10},
	{name: "in chunks", sent: 100 << 10},
}

// begin sends a request with the beginning of the body, and returns the connection.
func (b unreadBody) begin(f *fleet, method, path, id string, deadline int) (net.Conn, *bufio.Reader) {
	f.t.Helper()
	nc, err := net.Dial("tcp", f.nodes[0].callers)
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { _ = nc.Close() })
	framing, body := fmt.Sprintf("Content-Length: %d", b.length), strings.Repeat("b", b.sent)
	if b.length == 0 {
		framing, body = chunked, chunk(body)
	}
	_, _ = io.WriteString(nc, head(method+" "+path+" HTTP/1.1", "Host: shop", "X-Request-Id: "+id, fmt.Sprintf("%s: %d", platform.Headers().Deadline, deadline), framing)+body)
	_ = nc.SetReadDeadline(time.Now().Add(rawTimeout))
	return nc, bufio.NewReader(nc)
}

// configurePatient sets a desired state with routes whose requests have much time, to the services "desk" and "clerk".
func (f *fleet) configurePatient(version uint64) {
	routes := []standin.RouteRow{route("/get/", standin.Repeatable, "desk"), route("/once/", standin.RunOnce, "desk"), route("/clerk/", standin.RunOnce, "clerk")}
	for i := range routes {
		routes[i].Timeout = fmt.Sprint(patient, "ms")
	}
	f.store.Configure(version, []string{"desk", "clerk"}, routes...)
}

// patientTarget starts the only target of the service "desk"; "clerk" has none.
func (f *fleet) patientTarget() *standin.Target {
	f.t.Helper()
	f.configurePatient(1)
	target := f.target("i-1", "desk")
	f.ready(1, 1)
	return target
}

// sendRest sends bytes in the place of the rest of a body, which end in requests.
func sendRest(nc net.Conn) {
	_, _ = io.WriteString(nc, strings.Repeat("b", 200<<10))
	_, _ = io.WriteString(nc, strings.Repeat(head("POST /once/ HTTP/1.1", "Host: shop", "X-Request-Id: smuggled", "Content-Length: 0"), 20))
}

// TestRestOfABodyIsNoRequest guards against connections on which the rest of a body is taken for the next request, after an
// answer that came before the body's end; against answers that wait for the rest of a body or are lost with it; and against
// connections that stay open for a caller that sends no more.
func TestRestOfABodyIsNoRequest(t *testing.T) {
	for _, c := range unreadBodyCases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			if c.method == "" {
				c.method = http.MethodPost
			}
			f := newFleet(t, 1)
			target := f.patientTarget()
			target.SetFaults(c.faults)
			for _, b := range unreadBodies {
				for _, pause := range []time.Duration{0, 700 * time.Millisecond, stalled} {
					t.Run(fmt.Sprintf("%s, sent on after %v", b.name, pause), func(t *testing.T) {
						c.check(t, f, b, pause)
						is := is.New(t)
						is.Equal(ran("smuggled", target), 0)
					})
				}
			}
		})
	}
}

// check sends the request, reads its answer, and sends the rest of the body after the pause.
func (c unreadBodyCase) check(t *testing.T, f *fleet, b unreadBody, pause time.Duration) {
	is := is.New(t)
	deadline := c.deadline
	if deadline == 0 {
		deadline = patient
	}
	start := time.Now()
	nc, r := b.begin(f, c.method, c.path, fmt.Sprintf("%s-%d", strings.ReplaceAll(b.name, " ", "-"), pause), deadline)
	res, err := http.ReadResponse(r, &http.Request{Method: c.method})
	is.NoErr(err)
	_, err = io.Copy(io.Discard, res.Body)
	is.NoErr(err)
	is.Equal(res.StatusCode, c.status)
	is.True(time.Since(start) < atOnce)
	time.Sleep(pause)
	if pause < stalled {
		sendRest(nc)
	}
	_ = nc.SetReadDeadline(time.Now().Add(stalled))
	_, err = http.ReadResponse(r, nil)
	is.True(err != nil && !errors.Is(err, os.ErrDeadlineExceeded)) // no answer to a part of the body, but the connection's end
}

// TestCallerThatSendsItsBodyFirstGetsTheAnswer guards against a connection that is reset under a caller which sends the rest of
// its body after the answer, and reads only then.
func TestCallerThatSendsItsBodyFirstGetsTheAnswer(t *testing.T) {
	f := newFleet(t, 1)
	target := f.patientTarget()
	target.SetFaults(standin.TargetFaults{Early: true, Fail: 1})
	for _, b := range []unreadBody{unreadBodies[0], unreadBodies[2]} {
		t.Run(b.name, func(t *testing.T) {
			is := is.New(t)
			nc, r := b.begin(f, http.MethodPost, "/once/", strings.ReplaceAll(b.name, " ", "-"), patient)
			for range 5 {
				time.Sleep(20 * time.Millisecond)
				piece := strings.Repeat("b", 10<<10)
				if b.length == 0 {
					piece = chunk(piece)
				}
				_, err := io.WriteString(nc, piece)
				is.NoErr(err)
			}
			if b.length == 0 {
				_, err := io.WriteString(nc, lastChunk)
				is.NoErr(err)
			}
			res, err := http.ReadResponse(r, nil)
			is.NoErr(err)
			_, err = io.Copy(io.Discard, res.Body)
			is.NoErr(err)
			is.Equal(res.StatusCode, http.StatusInternalServerError)
		})
	}
}

// TestBrokenAnswerEndsWhileItsBodyIsOpen guards against callers that wait for the rest of an answer that broke off, since the
// node waits for the rest of their body.
func TestBrokenAnswerEndsWhileItsBodyIsOpen(t *testing.T) {
	f := newFleet(t, 1)
	target := f.patientTarget()
	target.SetFaults(standin.TargetFaults{Begun: &standin.EarlyAnswer{Length: longAnswer, Ahead: longAnswer / 2, Cut: true}})
	for _, b := range unreadBodies {
		t.Run(b.name, func(t *testing.T) {
			is := is.New(t)
			start := time.Now()
			_, r := b.begin(f, http.MethodPost, "/once/", strings.ReplaceAll(b.name, " ", "-"), patient)
			res, err := http.ReadResponse(r, nil)
			is.NoErr(err)
			_, err = io.Copy(io.Discard, res.Body)
			is.True(err != nil)
			is.True(time.Since(start) < atOnce)
		})
	}
}

// TestConnectionIsKeptAfterALongBody guards against connections that close though the whole body was read before the answer.
func TestConnectionIsKeptAfterALongBody(t *testing.T) {
	d := newRawServer(t)
	body := strings.Repeat("b", longBody)
	is := is.New(t)
	for _, c := range []rawCase{
		{name: "length", send: post("length", fmt.Sprint("Content-Length: ", longBody)) + body},
		{name: "chunks", send: post("chunks", chunked) + chunk(body) + lastChunk},
		{name: "expected", send: post("expected", "Expect: 100-continue", fmt.Sprint("Content-Length: ", longBody)) + body},
	} {
		c.want = "200:" + c.name + " kept"
		if c.name == "expected" {
			c.want = "100 " + c.want
		}
		is.Equal(d.play(t, c), c.want)
	}
}
