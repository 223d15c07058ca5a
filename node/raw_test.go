package node_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/tinladder/tinladder/platform/standin"
)

const (
	// rawTimeout bounds the wait for a response. rawIdleTimeout is how long play waits for further responses once the
	// expected ones have arrived.
	rawTimeout     = 3 * time.Second
	rawIdleTimeout = 40 * time.Millisecond
	// probeID is the id of the request that is sent after a case's bytes, on the same connection.
	probeID = "probe"
	// maxShownBody is the longest body in bytes that formatSeen prints in full.
	maxShownBody = 32
)

// A rawCase is the bytes that a caller writes on one connection, and the expected outcome.
type rawCase struct {
	name, send string
	// want lists the responses in order, each as its status, with ":id" if it comes from a target, and then the state of
	// the connection: "kept" if it serves another request, "closed", or "open" if the node waits for more bytes.
	want string
	// seen lists the requests that reached the target, each as id, method, path and body.
	seen string
}

// A rawServer is a node's listener for callers, with a target behind a proxy that records the bytes sent to it.
type rawServer struct {
	address string
	// probeHeaders holds additional header lines of the probe, each with its CRLF.
	probeHeaders string
	target       *standin.Target
	proxy        *recordingProxy
}

// newRawServer starts a node with the routes /get/ and /once/ of host "shop", and / and /once/ of host "all".
func newRawServer(t testing.TB) *rawServer {
	f := newFleet(t, 1)
	target := f.target("i-1", "desk")
	proxy := newRecordingProxy(t, target.Address())
	f.store.Put("servers", target.ID, standin.TargetRow(proxy.address(), target.Service, target.Hall, "ready", target.Slots))
	all, once := route("/", standin.Repeatable, "desk"), route("/once/", standin.RunOnce, "desk")
	all.Name, all.Host, once.Name, once.Host = "all", "all", "all-once", "all"
	f.store.Configure(3, []string{"desk"}, route("/get/", standin.Repeatable, "desk"), route("/once/", standin.RunOnce, "desk"), all, once)
	f.ready(3, 1)
	return &rawServer{address: f.nodes[0].callers, target: target, proxy: proxy}
}

// run runs the cases in order, each as a subtest.
func (d *rawServer) run(t *testing.T, cases []rawCase) {
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			d.proxy.reset()
			before := len(d.target.Seen())
			got := d.play(t, c)
			is.Equal(got, c.want)
			seen := d.target.Seen()[before:]
			for end := time.Now().Add(rawTimeout); strings.HasSuffix(c.seen, "cut") && len(seen) == 0 && time.Now().Before(end); time.Sleep(time.Millisecond) {
				seen = d.target.Seen()[before:] // a truncated request is recorded only when its connection ends
			}
			is.Equal(formatSeen(seen), c.seen)
			is.NoErr(d.proxy.check(seen))
		})
	}
}

// play writes the case's bytes on a new connection, reads the responses, and probes whether the connection still serves.
func (d *rawServer) play(t testing.TB, c rawCase) string {
	nc, r := d.dial(t)
	defer func() { _ = nc.Close() }()
	return d.playOn(nc, r, c)
}

func (d *rawServer) dial(t testing.TB) (net.Conn, *bufio.Reader) {
	t.Helper()
	nc, err := net.Dial("tcp", d.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = nc.Close() })
	return nc, bufio.NewReader(nc)
}

// playOn is play on an open connection.
func (d *rawServer) playOn(nc net.Conn, r *bufio.Reader, c rawCase) string {
	go func() { _, _ = io.WriteString(nc, c.send) }()
	method, _, _ := strings.Cut(c.send, " ")
	var got []string
	expected := len(strings.Fields(c.want)) - 1
	for {
		timeout := rawTimeout
		if len(got) >= expected {
			timeout = rawIdleTimeout
		}
		_ = nc.SetReadDeadline(time.Now().Add(timeout))
		response, err := readRawResponse(r, method)
		method = http.MethodGet
		switch {
		case errors.Is(err, os.ErrDeadlineExceeded) && strings.HasSuffix(c.want, "open"):
			return strings.Join(append(got, "open"), " ")
		case errors.Is(err, os.ErrDeadlineExceeded):
			return strings.Join(append(got, d.probe(nc, r)), " ")
		case err != nil:
			return strings.Join(append(got, "closed"), " ")
		}
		got = append(got, response)
	}
}

func (d *rawServer) probe(nc net.Conn, r *bufio.Reader) string {
	_, _ = io.WriteString(nc, "GET /get/ HTTP/1.1\r\nHost: shop\r\n"+d.probeHeaders+"X-Request-Id: "+probeID+"\r\n\r\n")
	_ = nc.SetReadDeadline(time.Now().Add(rawTimeout))
	response, err := readRawResponse(r, http.MethodGet)
	switch {
	case err == nil && response == "200:"+probeID:
		return "kept"
	case err == nil:
		return "probe got " + response
	case errors.Is(err, os.ErrDeadlineExceeded):
		return "stuck"
	}
	return "closed"
}

// readRawResponse returns a response's status, followed by ":id" if a target sent it.
func readRawResponse(r *bufio.Reader, method string) (string, error) {
	if _, err := r.Peek(1); err != nil {
		return "", err
	}
	res, err := http.ReadResponse(r, &http.Request{Method: method})
	if err != nil {
		return "", err
	}
	if _, err := io.ReadAll(res.Body); err != nil {
		return "", err
	}
	if id := res.Header.Get(standin.Signature); id != "" {
		return fmt.Sprint(res.StatusCode, ":", id), nil
	}
	return fmt.Sprint(res.StatusCode), nil
}

// formatSeen formats the requests as in rawCase.seen, without probes.
func formatSeen(seen []standin.Seen) string {
	var list []string
	for _, s := range seen {
		if s.ID == probeID {
			continue
		}
		body := s.Body
		switch {
		case s.Cut:
			body = "cut"
		case len(body) > maxShownBody:
			body = fmt.Sprint(len(body), " bytes")
		}
		list = append(list, strings.TrimSpace(fmt.Sprintf("%s: %s %s %s", s.ID, s.Method, s.Path, body)))
	}
	return strings.Join(list, ", ")
}

// head joins a request line and header lines with CRLF and ends the header.
func head(lines ...string) string {
	return strings.Join(lines, "\r\n") + "\r\n\r\n"
}

// get returns a GET request with the id and additional header lines; post, the header of a POST request.
func get(id string, lines ...string) string {
	return head(append([]string{"GET /get/" + id + " HTTP/1.1", "Host: shop", "X-Request-Id: " + id}, lines...)...)
}

func post(id string, lines ...string) string {
	return head(append([]string{"POST /get/" + id + " HTTP/1.1", "Host: shop", "X-Request-Id: " + id}, lines...)...)
}

// chunk encodes one chunk of a chunked body; lastChunk ends the body.
func chunk(s string) string {
	return fmt.Sprintf("%x\r\n%s\r\n", len(s), s)
}

const (
	lastChunk = "0\r\n\r\n"
	chunked   = "Transfer-Encoding: chunked"
)

// A recordingProxy forwards TCP connections to a target and records the bytes sent to it, by connection.
type recordingProxy struct {
	listener net.Listener
	to       string

	mu       sync.Mutex
	received []*strings.Builder
}

func newRecordingProxy(t testing.TB, to string) *recordingProxy {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	p := &recordingProxy{listener: l, to: to}
	go p.accept()
	return p
}

func (p *recordingProxy) address() string {
	return p.listener.Addr().String()
}

func (p *recordingProxy) accept() {
	for {
		from, err := p.listener.Accept()
		if err != nil {
			return
		}
		to, err := net.Dial("tcp", p.to)
		if err != nil {
			_ = from.Close()
			continue
		}
		p.mu.Lock()
		received := &strings.Builder{}
		p.received = append(p.received, received)
		p.mu.Unlock()
		go p.relay(from, to, received)
		go p.relay(to, from, &strings.Builder{})
	}
}

func (p *recordingProxy) relay(from, to net.Conn, received *strings.Builder) {
	defer func() {
		_ = from.Close()
		_ = to.Close()
	}()
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		p.mu.Lock()
		received.Write(buf[:n])
		p.mu.Unlock()
		if _, werr := to.Write(buf[:n]); err != nil || werr != nil {
			return
		}
	}
}

// reset discards the recorded bytes.
func (p *recordingProxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, received := range p.received {
		received.Reset()
	}
}

// check returns an error unless the recorded bytes are exactly the seen requests, each well-formed by the strictest
// reading. One of them may be truncated.
func (p *recordingProxy) check(seen []standin.Seen) error {
	requests, cut := len(seen), slices.ContainsFunc(seen, func(s standin.Seen) bool { return s.Cut })
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, received := range p.received {
		list, err := parseStrict(received.String(), strictest)
		if cut && errors.Is(err, errIncomplete) {
			cut, err = false, nil
			requests--
		}
		if err != nil {
			return fmt.Errorf("%w in %q", err, received.String()[:min(received.Len(), 2048)])
		}
		requests -= len(list)
	}
	if requests != 0 {
		return fmt.Errorf("%d more requests were seen by the target than recorded by the proxy", requests)
	}
	return nil
}
