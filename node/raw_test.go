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
	// rawTimeout is how long an answer may take, and rawQuiet how long nothing more comes once all have come.
	rawTimeout = 3 * time.Second
	rawIdleTimeout    = 40 * time.Millisecond
	// probeID is the request that is sent after a case's bytes, on the same connection.
	probeID = "probe"
	// maxShownBody is the longest body that is shown as it is.
	maxShownBody = 32
)

// A rawCase is what a caller writes on one connection, and what becomes of it.
type rawCase struct {
	name, send string
	// want are the answers in order, each a status and for a target's answer the id that it names, and then what becomes of the
	// connection: "kept" if it serves a further request, "closed", or "open" if the node waits for more.
	want string
	// seen are the requests that reached the target, each as id, method, path and body.
	seen string
}

// A rawServer is a node's callers' door, with a target whose requests are kept byte by byte.
type rawServer struct {
	address string
	// probeHeaders are further header lines of the probe.
	probeHeaders  string
	target *standin.Target
	proxy    *recordingProxy
}

// newRawServer opens a door to the routes /get/ and /once/ of host "shop", and / and /once/ of host "all".
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

// run plays the cases one after another.
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
				seen = d.target.Seen()[before:] // it notes one that is cut when its connection ends
			}
			is.Equal(formatSeen(seen), c.seen)
			is.NoErr(d.proxy.check(seen))
		})
	}
}

// play writes the case's bytes, reads what comes back, and tries the connection with a further request.
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

// playOn plays the case on a connection that is open.
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

// readRawResponse returns an answer's status, and the id that it names if it is a target's.
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

// formatSeen returns the requests but for probes.
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

// head is a request's line and header as they should be written.
func head(lines ...string) string {
	return strings.Join(lines, "\r\n") + "\r\n\r\n"
}

// get and post are requests with the id and these further header lines.
func get(id string, lines ...string) string {
	return head(append([]string{"GET /get/" + id + " HTTP/1.1", "Host: shop", "X-Request-Id: " + id}, lines...)...)
}

func post(id string, lines ...string) string {
	return head(append([]string{"POST /get/" + id + " HTTP/1.1", "Host: shop", "X-Request-Id: " + id}, lines...)...)
}

// chunk is a piece of a chunked body, and lastChunk its end.
func chunk(s string) string {
	return fmt.Sprintf("%x\r\n%s\r\n", len(s), s)
}

const (
	lastChunk = "0\r\n\r\n"
	chunked   = "Transfer-Encoding: chunked"
)

// A recordingProxy stands before a target and keeps what comes, by connection.
type recordingProxy struct {
	listener net.Listener
	to       string

	mu    sync.Mutex
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

// reset drops what has come.
func (p *recordingProxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, received := range p.received {
		received.Reset()
	}
}

// check returns an error unless all that has come are these requests, each written as it should be.
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
		return fmt.Errorf("%d requests more were seen than came", requests)
	}
	return nil
}
