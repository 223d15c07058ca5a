package forward_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/iotest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"github.com/tinladder/tinladder/clock"
	"github.com/tinladder/tinladder/forward"
)

// scriptedTarget is a target that answers each request with the next of its raw responses.
type scriptedTarget struct {
	t        *testing.T
	address  string
	accepted atomic.Int32
	requests atomic.Int32
	paths    chan string
}

// startTarget serves connections concurrently. Each connection gets the responses from the first on, and is
// closed at an empty one. After the last response, the target waits for the client to close.
func startTarget(t *testing.T, answers ...string) *scriptedTarget {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	s := &scriptedTarget{t: t, address: l.Addr().String(), paths: make(chan string, 100)}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.accepted.Add(1)
			go s.connection(c, answers)
		}
	}()
	return s
}

func (s *scriptedTarget) connection(c net.Conn, answers []string) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for _, a := range answers {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		s.requests.Add(1)
		s.paths <- req.RequestURI
		if a == "" {
			return
		}
		_, _ = io.WriteString(c, a)
	}
	_, _ = io.Copy(io.Discard, c)
}

func okResponse(id, body string) string {
	return "HTTP/1.1 200 OK\r\nX-Id: " + id + "\r\nContent-Length: " + itoa(len(body)) + "\r\n\r\n" + body
}

func itoa(n int) string {
	return strings.TrimLeft(string([]byte{'0' + byte(n/10), '0' + byte(n%10)}), "0")
}

func request(id string) *forward.Request {
	return &forward.Request{
		Method: http.MethodGet, Target: "/p?q=1", Host: "h", Header: http.Header{}, ID: id, IDHeader: "X-Id", MaxIdle: clock.Minute,
	}
}

func newConns() *forward.ConnPool {
	return forward.NewConnPool(clock.NewSystem(), 200, nil)
}

func send(t *testing.T, p *forward.ConnPool, s *scriptedTarget, r *forward.Request) (*forward.Response, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	return p.Send(ctx, s.address, r)
}

func TestConnectionIsReused(t *testing.T) {
	is := is.New(t)
	s := startTarget(t, okResponse("1", "one"), okResponse("2", "two"), okResponse("3", "three"))
	p := newConns()
	for i, want := range []string{"one", "two", "three"} {
		a, err := send(t, p, s, request(string(rune('1'+i))))
		is.NoErr(err)
		is.Equal(string(a.Body), want)
		is.Equal(<-s.paths, "/p?q=1")
	}
	is.Equal(s.accepted.Load(), int32(1))
}

// Responses to other requests arrive extra, late, or as garbage: none may be returned for this request.
func TestUnmatchedResponses(t *testing.T) {
	cases := []struct {
		name    string
		answers []string
	}{
		{"extra response, at once", []string{okResponse("1", "one") + okResponse("1", "one"), okResponse("2", "two")}},
		{"late response, before the next one", []string{okResponse("1", "one"), okResponse("1", "one") + okResponse("2", "two")}},
		{"bytes that are no response", []string{okResponse("1", "one") + "rubbish", okResponse("2", "two")}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := startTarget(t, c.answers...)
			p := newConns()
			a, err := send(t, p, s, request("1"))
			is.NoErr(err)
			is.Equal(string(a.Body), "one")
			time.Sleep(20 * time.Millisecond) // let the extra bytes arrive
			a, err = send(t, p, s, request("2"))
			if err == nil {
				is.Equal(string(a.Body), "two")
			}
			is.True(err == nil || !strings.Contains(err.Error(), "one"))
		})
	}
}

func TestOnlyUnmatchedResponses(t *testing.T) {
	is := is.New(t)
	s := startTarget(t, okResponse("9", "a")+okResponse("8", "b")+okResponse("7", "c"))
	_, err := send(t, newConns(), s, request("1"))
	is.True(errors.Is(err, forward.ErrBadResponse))
	is.True(errors.Is(err, forward.ErrSent))
}

func TestResponseWithoutID(t *testing.T) {
	is := is.New(t)
	plain := "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"
	_, err := send(t, newConns(), startTarget(t, plain), request("1"))
	is.True(err != nil)
	r := request("1")
	r.IDOptional = true
	a, err := send(t, newConns(), startTarget(t, plain), r)
	is.NoErr(err)
	is.Equal(string(a.Body), "hi")
}

// A response that is truncated or malformed must fail and must not be retried.
func TestTruncatedResponsesFail(t *testing.T) {
	for name, answer := range map[string]string{
		"length":      "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 9\r\n\r\nhalf",
		"chunks":      "HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
		"header":      "HTTP/1.1 200 OK\r\nX-Id: 1\r\n",
		"no response": "",
		"not HTTP":    "hello\r\n\r\n",
		"long lines":  "HTTP/1.1 200 OK\r\nX-Long: " + strings.Repeat("x", 100<<10),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := startTarget(t, answer, "")
			_, err := send(t, newConns(), s, request("1"))
			is.True(err != nil)
			is.True(errors.Is(err, forward.ErrSent))
			is.Equal(s.requests.Load(), int32(1)) // not retried
		})
	}
}

func TestResponseWithoutLengthEndsAtEOF(t *testing.T) {
	is := is.New(t)
	s := startTarget(t, "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\nall of it", "")
	go func() { <-s.paths }()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = l.Close() }()
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		_, _ = http.ReadRequest(bufio.NewReader(c))
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\nall of it")
		_ = c.Close()
	}()
	a, err := newConns().Send(context.Background(), l.Addr().String(), request("1"))
	is.NoErr(err)
	is.Equal(string(a.Body), "all of it")
	is.True(a.Closing)
}

// TestCloseDelimitedResponses guards against a connection's end that is taken for a word of its target, though the framing of
// the response or its version ends it.
func TestCloseDelimitedResponses(t *testing.T) {
	for name, c := range map[string]struct {
		method, response        string
		closing, closeDelimited bool
	}{
		"no length":                  {http.MethodPost, "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\nbody", true, true},
		"no length, and says so":     {http.MethodPost, "HTTP/1.1 200 OK\r\nX-Id: 1\r\nConnection: close\r\n\r\nbody", true, true},
		"no length, failure":         {http.MethodPost, "HTTP/1.1 500 No\r\nX-Id: 1\r\n\r\nbody", true, true},
		"a length":                   {http.MethodPost, "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 4\r\n\r\nbody", false, false},
		"a length, closes":           {http.MethodPost, "HTTP/1.1 200 OK\r\nX-Id: 1\r\nConnection: close\r\nContent-Length: 4\r\n\r\nbody", true, false},
		"chunks":                     {http.MethodPost, "HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", false, false},
		"chunks, closes":             {http.MethodPost, "HTTP/1.1 200 OK\r\nX-Id: 1\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", true, false},
		"no body by status":          {http.MethodPost, "HTTP/1.1 204 OK\r\nX-Id: 1\r\n\r\n", false, false},
		"no body by status, closes":  {http.MethodPost, "HTTP/1.1 204 OK\r\nX-Id: 1\r\nConnection: close\r\n\r\n", true, false},
		"no body by method":          {http.MethodHead, "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\n", false, false},
		"no body by method, closes":  {http.MethodHead, "HTTP/1.1 200 OK\r\nX-Id: 1\r\nConnection: close\r\n\r\n", true, false},
		"version without keep-alive": {http.MethodPost, "HTTP/1.0 200 OK\r\nX-Id: 1\r\nContent-Length: 4\r\n\r\nbody", true, true},
		"version with keep-alive":    {http.MethodPost, "HTTP/1.0 200 OK\r\nX-Id: 1\r\nConnection: keep-alive\r\nContent-Length: 4\r\n\r\nbody", false, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			defer func() { _ = l.Close() }()
			go func() {
				conn, err := l.Accept()
				if err != nil {
					return
				}
				_, _ = http.ReadRequest(bufio.NewReader(conn))
				_, _ = io.WriteString(conn, c.response)
				_ = conn.Close()
			}()
			r := request("1")
			r.Method = c.method
			a, err := newConns().Send(context.Background(), l.Addr().String(), r)
			is.NoErr(err)
			is.Equal(a.Closing, c.closing)
			is.Equal(a.CloseDelimited, c.closeDelimited)
		})
	}
}

func TestDialErrorIsMarked(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := l.Addr().String()
	_ = l.Close()
	_, err = newConns().Send(context.Background(), address, request("1"))
	is.True(errors.Is(err, forward.ErrNoConnection))
	is.True(!errors.Is(err, forward.ErrSent))
}

// The target closes a reused connection at its second request: that request is lost and not sent again, and the
// next one gets a new connection.
func TestClosedConnectionIsNotReused(t *testing.T) {
	is := is.New(t)
	s := startTarget(t, okResponse("1", "one"), "")
	p := newConns()
	_, err := send(t, p, s, request("1"))
	is.NoErr(err)
	// The target closes the connection on this request.
	_, err = send(t, p, s, request("2"))
	is.True(errors.Is(err, forward.ErrSent))
	is.Equal(s.requests.Load(), int32(2))
	a, err := send(t, p, s, request("1"))
	is.NoErr(err)
	is.Equal(string(a.Body), "one")
}

func TestKeepAliveTimeout(t *testing.T) {
	is := is.New(t)
	c := clock.NewManual(1000)
	s := startTarget(t, strings.Replace(okResponse("1", "one"), "X-Id", "Keep-Alive: timeout=3\r\nX-Id", 1), okResponse("2", "two"))
	p := forward.NewConnPool(c, 200, nil)
	_, err := send(t, p, s, request("1"))
	is.NoErr(err)
	c.Advance(2001)
	_, err = send(t, p, s, request("1"))
	is.NoErr(err)
	is.Equal(s.accepted.Load(), int32(2)) // a second before the target would close it
}

func TestMaxIdle(t *testing.T) {
	is := is.New(t)
	c := clock.NewManual(1000)
	s := startTarget(t, okResponse("1", "one"), okResponse("1", "one"))
	p := forward.NewConnPool(c, 200, nil)
	_, err := send(t, p, s, request("1"))
	is.NoErr(err)
	c.Advance(100)
	r := request("1")
	r.MaxIdle = 50
	_, err = send(t, p, s, r)
	is.NoErr(err)
	is.Equal(s.accepted.Load(), int32(2))
}

func TestCancelEndsTheRequest(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = l.Close() }()
	closed := make(chan bool)
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, c) // until the other side closes
		closed <- true
	}()
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(20*time.Millisecond, cancel)
	_, err = newConns().Send(ctx, l.Addr().String(), request("1"))
	is.True(errors.Is(err, forward.ErrSent))
	is.True(<-closed)
}

// A target responds before it has read a long body: the connection must not be reused, since the remaining body
// would precede the next request.
func TestEarlyResponsePreventsReuse(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = l.Close() }()
	accepted := atomic.Int32{}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			accepted.Add(1)
			go func() {
				r := bufio.NewReader(c)
				if _, err := http.ReadRequest(r); err != nil {
					return
				}
				_, _ = io.WriteString(c, okResponse("1", "early"))
			}()
		}
	}()
	p := newConns()
	r := request("1")
	r.Method, r.Stream, r.Length = http.MethodPost, io.LimitReader(zeros{}, 32<<20), 32<<20
	a, err := p.Send(context.Background(), l.Addr().String(), r)
	is.NoErr(err)
	is.Equal(string(a.Body), "early")
	_, err = p.Send(context.Background(), l.Addr().String(), request("1"))
	is.NoErr(err)
	is.Equal(accepted.Load(), int32(2))
}

type zeros struct{}

func (zeros) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}

// A body above the buffering limit is streamed, and its connection is reused afterwards.
func TestLargeResponseIsStreamed(t *testing.T) {
	is := is.New(t)
	const size = 1 << 20
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = l.Close() }()
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		r := bufio.NewReader(c)
		for {
			if _, err := http.ReadRequest(r); err != nil {
				return
			}
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 1048576\r\n\r\n")
			_, _ = io.CopyN(c, zeros{}, size)
		}
	}()
	p := newConns()
	for range 2 {
		a, err := p.Send(context.Background(), l.Addr().String(), request("1"))
		is.NoErr(err)
		is.True(a.Rest != nil)
		rest, err := io.ReadAll(a.Rest)
		is.NoErr(err)
		is.Equal(len(a.Body)+len(rest), size)
		is.NoErr(a.Rest.Close())
	}
	is.Equal(p.Dials(), uint64(1))
}

func TestPathsAreSentVerbatim(t *testing.T) {
	for _, path := range []string{"/", "/a%2Fb?x=%20&y", "//double/slash", "/a?", "/ä"} {
		t.Run(path, func(t *testing.T) {
			is := is.New(t)
			s := startTarget(t, okResponse("1", "one"))
			r := request("1")
			r.Target = path
			_, err := send(t, newConns(), s, r)
			is.NoErr(err)
			is.Equal(<-s.paths, path)
		})
	}
}

// A streamed body fails while it is sent. The target waits for the rest, and Send must not wait for the target.
func TestBodyReadErrorEndsTheRequest(t *testing.T) {
	for _, length := range []int64{-1, 32 << 20} {
		is := is.New(t)
		s := startTarget(t, okResponse("1", "never"))
		broken := errors.New("broken")
		r := request("1")
		r.Method, r.Length = http.MethodPost, length
		r.Stream = io.MultiReader(io.LimitReader(zeros{}, 1<<20), iotest.ErrReader(broken))
		start := time.Now()
		_, err := send(t, newConns(), s, r)
		is.True(errors.Is(err, forward.ErrRequestBody))
		is.True(errors.Is(err, forward.ErrSent)) // part of the body was sent
		is.True(errors.Is(err, broken))
		is.True(time.Since(start) < 500*time.Millisecond) // the context would end in a second
	}
}
