package door_test

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/tinladder/tinladder/door"
	"github.com/tinladder/tinladder/emulate"
)

// open returns a door whose requests take so long, and its address.
func open(t *testing.T, takes time.Duration) (*door.Server, string) {
	t.Helper()
	address := emulate.Addresses(1)[0]
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(takes)
		_, _ = io.WriteString(w, "answer to "+r.URL.Path)
	})}
	d, err := door.Listen("callers", address, s, nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Close)
	return d, address
}

func request(path string) string {
	return fmt.Sprintf("GET %s HTTP/1.1\r\nHost: x\r\n\r\n", path)
}

// answer reads one answer.
func answer(c net.Conn, r *bufio.Reader) (string, error) {
	_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
	res, err := http.ReadResponse(r, nil)
	if err != nil {
		return "", err
	}
	b, err := io.ReadAll(res.Body)
	return string(b), err
}

// Callers whose connections the kernel had completed, and nobody had accepted, got a reset as a node's doors were shut,
// with their first request already sent. Real nodes that were stopped under new connections lost 6 so on three runs, "read:
// connection reset by peer" 1.807 and 1.812 s after SIGTERM, the moment of "doors_shut".
func TestStopAcceptingServesQueuedConnections(t *testing.T) {
	is := is.New(t)
	d, address := open(t, 0)
	var conns []net.Conn
	for i := range 40 {
		c, err := net.Dial("tcp", address)
		is.NoErr(err)
		defer func() { _ = c.Close() }()
		_, err = io.WriteString(c, request(fmt.Sprint("/", i)))
		is.NoErr(err)
		conns = append(conns, c)
	}
	served := make(chan error, 1)
	d.StopAccepting()
	go func() { served <- d.Serve() }()
	for i, c := range conns {
		got, err := answer(c, bufio.NewReader(c))
		is.NoErr(err)
		is.Equal(got, fmt.Sprint("answer to /", i))
	}
	is.True(<-served != nil) // nobody else comes in
	_, err := net.Dial("tcp", address)
	is.True(err != nil)
}

// TestCloseWhenIdleAnswersReadRequests has a request half read as the door hangs up, one at work, and one connection at rest.
func TestCloseWhenIdleAnswersReadRequests(t *testing.T) {
	is := is.New(t)
	d, address := open(t, 100*time.Millisecond)
	go func() { _ = d.Serve() }()
	dial := func() (net.Conn, *bufio.Reader) {
		c, err := net.Dial("tcp", address)
		is.NoErr(err)
		t.Cleanup(func() { _ = c.Close() })
		return c, bufio.NewReader(c)
	}
	halfway, halfReader := dial()
	atWork, workReader := dial()
	atRest, restReader := dial()
	_, _ = io.WriteString(atRest, request("/rest"))
	_, err := answer(atRest, restReader)
	is.NoErr(err)
	_, _ = io.WriteString(halfway, request("/half")[:12])
	time.Sleep(20 * time.Millisecond)
	_, _ = io.WriteString(atWork, request("/work"))
	time.Sleep(20 * time.Millisecond)
	is.Equal(d.Counts(), door.Counts{Idle: 1, Busy: 2})
	d.CloseWhenIdle()
	_, err = answer(atRest, restReader)
	is.True(err != nil) // its end
	_, _ = io.WriteString(halfway, request("/half")[12:])
	for _, c := range []struct {
		path   string
		conn   net.Conn
		reader *bufio.Reader
	}{{"/half", halfway, halfReader}, {"/work", atWork, workReader}} {
		got, err := answer(c.conn, c.reader)
		is.NoErr(err)
		is.Equal(got, "answer to "+c.path)
		_, err = answer(c.conn, c.reader)
		is.True(err != nil) // its end
	}
	eventually(t, func() bool { return d.Counts().Open() == 0 })
}

// TestHandledRequestsAreAnswered hangs up again and again while requests come on connections that rest, so that many cross
// the end. Each request that was handled has been answered whole; the others were never begun.
func TestHandledRequestsAreAnswered(t *testing.T) {
	is := is.New(t)
	crossed := 0 // rounds in which some came before the end, and some after
	for round := range 10 {
		address := emulate.Addresses(1)[0]
		var mu sync.Mutex
		handled := map[string]bool{}
		s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			mu.Lock()
			handled[r.URL.Path] = true
			mu.Unlock()
			_, _ = io.WriteString(w, "answer to "+r.URL.Path)
		})}
		d, err := door.Listen("callers", address, s, nil)
		is.NoErr(err)
		go func() { _ = d.Serve() }()
		var wg sync.WaitGroup
		answered := map[string]bool{}
		var ready sync.WaitGroup
		begin := make(chan bool)
		for i := range 200 {
			c, err := net.Dial("tcp", address)
			is.NoErr(err)
			r := bufio.NewReader(c)
			ready.Add(1)
			wg.Go(func() {
				defer func() { _ = c.Close() }()
				_, _ = io.WriteString(c, request(fmt.Sprint("/first/", i)))
				_, err := answer(c, r)
				ready.Done()
				if err != nil {
					t.Error(err)
					return
				}
				<-begin
				time.Sleep(rand.N(10 * time.Millisecond))
				path := fmt.Sprint("/crosses/", i)
				_, _ = io.WriteString(c, request(path))
				got, err := answer(c, r)
				if err == nil && got == "answer to "+path {
					mu.Lock()
					answered[path] = true
					mu.Unlock()
				}
			})
		}
		ready.Wait()
		close(begin)
		time.Sleep(5 * time.Millisecond)
		d.StopAccepting()
		d.CloseWhenIdle()
		eventually(t, func() bool { return d.Counts().Open() == 0 })
		d.Close()
		wg.Wait()
		mu.Lock()
		crossing := 0
		for path := range handled {
			if strings.HasPrefix(path, "/crosses/") {
				crossing++
				is.True(answered[path]) // handled, so answered
			}
		}
		mu.Unlock()
		t.Logf("round %d: %d of 200 handled and answered", round, crossing)
		if crossing > 0 && crossing < 200 {
			crossed++
		}
	}
	is.True(crossed > 0)
}

func eventually(t *testing.T, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatal("it never came")
}

// TestSlowHeadersAreBoundedOnNewConnections: the time that a connection may rest is for those that have had an answer.
func TestSlowHeadersAreBoundedOnNewConnections(t *testing.T) {
	is := is.New(t)
	address := emulate.Addresses(1)[0]
	s := &http.Server{ReadHeaderTimeout: 100 * time.Millisecond, Handler: http.NotFoundHandler()}
	d, err := door.Listen("callers", address, s, func() time.Duration { return time.Minute })
	is.NoErr(err)
	defer d.Close()
	go func() { _ = d.Serve() }()
	c, err := net.Dial("tcp", address)
	is.NoErr(err)
	defer func() { _ = c.Close() }()
	_, err = io.WriteString(c, "GET / HT")
	is.NoErr(err)
	begin := time.Now()
	_ = c.SetReadDeadline(begin.Add(3 * time.Second))
	_, err = io.Copy(io.Discard, c) // to its end
	is.NoErr(err)
	is.True(time.Since(begin) < 3*time.Second)
}
