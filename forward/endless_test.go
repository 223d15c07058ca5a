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
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"github.com/tinladder/tinladder/forward"
)

// endlessTarget is a target that answers with the text, and then repeats another one until its caller closes.
type endlessTarget struct {
	address string
	// written counts the bytes that the caller took, and ended is closed once it has closed the connection.
	written atomic.Int64
	ended   chan struct{}
}

func startEndlessTarget(t *testing.T, begin, again string) *endlessTarget {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	s := &endlessTarget{address: l.Addr().String(), ended: make(chan struct{})}
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer close(s.ended)
		defer func() { _ = c.Close() }()
		if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
			return
		}
		_, err = io.WriteString(c, begin)
		for err == nil {
			var n int
			n, err = io.WriteString(c, again)
			s.written.Add(int64(n))
		}
	}()
	return s
}

// socketBuffers is about how many bytes the sockets of a connection hold that its reader has not taken.
const socketBuffers = 8 << 20

// TestBytesWithoutEnd has targets send bytes until their caller closes. An attempt at such a target ends by itself, long before
// its time is over, and closes the connection; what it read is bounded.
func TestBytesWithoutEnd(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\nX-Id: 1\r\n"
	line := strings.Repeat("x", 1000)
	cases := []struct {
		name, begin, again string
		// streams says that the body is forwarded as it comes, until it is too long.
		streams bool
	}{
		{"no head", "", line, false},
		{"no head, in lines", "", line + "\r\n", false},
		{"status line", "HTTP/1.1 200 ", line, false},
		{"header line", head + "A: ", line, false},
		{"header lines", head, "A: " + line + "\r\n", false},
		{"informational responses", "", "HTTP/1.1 103 Early Hints\r\n\r\n", false},
		{"informational responses with headers", "", "HTTP/1.1 103 Early Hints\r\nA: " + line + "\r\n\r\n", false},
		{"responses to another request", "", "HTTP/1.1 200 OK\r\nX-Id: 2\r\nContent-Length: 1000\r\n\r\n" + line, false},
		{"body of a response to another request", "HTTP/1.1 200 OK\r\nX-Id: 2\r\n\r\n", line, false},
		{"chunks of a response to another request", "HTTP/1.1 200 OK\r\nX-Id: 2\r\nTransfer-Encoding: chunked\r\n\r\n", "3e8\r\n" + line + "\r\n", false},
		{"body until the connection ends", head + "\r\n", line, true},
		{"chunks", head + "Transfer-Encoding: chunked\r\n\r\n", "3e8\r\n" + line + "\r\n", true},
		{"chunk extension", head + "Transfer-Encoding: chunked\r\n\r\n1;a=", line, false},
		{"chunk extensions", head + "Transfer-Encoding: chunked\r\n\r\n", "1;a=" + line + "\r\nx\r\n", false},
		{"trailer", head + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "A: " + line + "\r\n", false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := startEndlessTarget(t, c.begin, c.again)
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			r := request("1")
			r.MaxBody = 4 << 20
			res, err := newConns().Send(ctx, s.address, r)
			if c.streams {
				is.NoErr(err)
				var n int64
				n, err = io.Copy(io.Discard, res.Rest)
				is.True(n <= r.MaxBody)
				_ = res.Rest.Close()
			}
			is.True(err != nil)
			is.True(ctx.Err() == nil) // it ended by itself
			is.True(errors.Is(err, forward.ErrSent) || c.streams)
			select {
			case <-s.ended:
			case <-time.After(5 * time.Second):
				t.Fatal("the connection was not closed")
			}
			if taken := s.written.Load(); taken > 4<<20+socketBuffers {
				t.Errorf("%d bytes were taken", taken)
			}
		})
	}
}

// TestBytesAfterAResponse has a target send bytes without end after a whole response. The response counts, and the connection
// is not used again.
func TestBytesAfterAResponse(t *testing.T) {
	is := is.New(t)
	s := startEndlessTarget(t, okResponse("1", "one"), strings.Repeat("x", 1000))
	p := newConns()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	res, err := p.Send(ctx, s.address, request("1"))
	is.NoErr(err)
	is.Equal(string(res.Body), "one")
	time.Sleep(100 * time.Millisecond)
	_, err = p.Send(ctx, s.address, request("2")) // on another connection, which the target does not take
	is.True(err != nil)
	select {
	case <-s.ended:
	default:
		t.Error("the connection was not closed")
	}
}

// TestResponseHiddenInTheBodyOfAnother has a long response to another request hold what looks like a response to this one.
func TestResponseHiddenInTheBodyOfAnother(t *testing.T) {
	is := is.New(t)
	hidden := okResponse("1", "stolen")
	for _, size := range []int{256 << 10, 1 << 20} {
		s := startEndlessTarget(t, "HTTP/1.1 200 OK\r\nX-Id: 2\r\nContent-Length: 9000000\r\n\r\n"+strings.Repeat("x", size)+hidden, "x")
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		res, err := newConns().Send(ctx, s.address, request("1"))
		cancel()
		is.True(res == nil)
		is.True(err != nil)
	}
}
