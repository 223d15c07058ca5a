package forward_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// uploadLength is the length of a body that is still being written when its response ends.
const uploadLength = 32 << 20

// startEarlyTarget starts a target that reads the head of each request, sends the text and then ends the connection by end.
func startEarlyTarget(t *testing.T, text string, end func(c *net.TCPConn)) (address string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
					return
				}
				if _, err := io.WriteString(c, text); err == nil {
					end(c.(*net.TCPConn))
				}
			}()
		}
	}()
	return l.Addr().String()
}

// resetAfter resets the connection after a while.
func resetAfter(d time.Duration) func(c *net.TCPConn) {
	return func(c *net.TCPConn) {
		time.Sleep(d)
		_ = c.SetLinger(0)
		_ = c.Close()
	}
}

// upload sends a request with a long body, from memory or streamed, and returns the whole body of its response.
func upload(address string, streamed bool) (body []byte, err error) {
	r := request("1")
	r.Method, r.Length = http.MethodPost, uploadLength
	if streamed {
		r.Stream = io.LimitReader(zeros{}, uploadLength)
	} else {
		r.Body = make([]byte, uploadLength)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	a, err := newConns().Send(ctx, address, r)
	if err != nil {
		return nil, err
	}
	if a.Rest == nil {
		return a.Body, nil
	}
	defer func() { _ = a.Rest.Close() }()
	rest, err := io.ReadAll(a.Rest)
	return append(a.Body, rest...), err
}

// TestResetResponsesAreNotComplete resets connections after a part of a response without a length, while its request's body is
// still being written. The write took the reset, the read then saw an ordinary end, and the part was passed on as whole.
func TestResetResponsesAreNotComplete(t *testing.T) {
	const plays = 10
	for _, head := range []string{"HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\n", "HTTP/1.1 200 OK\r\nConnection: close\r\nX-Id: 1\r\n\r\n", "HTTP/1.0 200 OK\r\nX-Id: 1\r\n\r\n"} {
		for _, size := range []int{10, 300 << 10} {
			for _, streamed := range []bool{false, true} {
				for _, after := range []time.Duration{0, 5 * time.Millisecond, 50 * time.Millisecond} {
					t.Run(fmt.Sprint(strings.Fields(head)[3], " ", head[5:8], " ", size, " streamed ", streamed, " after ", after), func(t *testing.T) {
						t.Parallel()
						address := startEarlyTarget(t, head+strings.Repeat("x", size), resetAfter(after))
						whole := 0
						for range plays {
							if _, err := upload(address, streamed); err == nil {
								whole++
							}
						}
						if whole > 0 {
							t.Errorf("%d of %d cut responses are whole", whole, plays)
						}
					})
				}
			}
		}
	}
}

// TestEarlyResponsesThatEndWellAreComplete has targets respond in full while the body of the request is still being written,
// without a length and with one: a target that ends the connection properly must not be taken for one that broke off.
func TestEarlyResponsesThatEndWellAreComplete(t *testing.T) {
	long := strings.Repeat("x", 300<<10)
	stopWriting := func(c *net.TCPConn) {
		_ = c.CloseWrite()
		_, _ = io.Copy(io.Discard, c)
	}
	waitThenStop := func(c *net.TCPConn) {
		time.Sleep(50 * time.Millisecond) // the body fills the buffers meanwhile
		_ = c.CloseWrite()
		time.Sleep(50 * time.Millisecond)
	}
	for _, c := range []struct {
		name, head, body string
		end              func(c *net.TCPConn)
	}{
		{"without a length", "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\n", "short", stopWriting},
		{"without a length, long", "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\n", long, stopWriting},
		{"without a length, the body is not read", "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\n", "short", waitThenStop},
		{"without a length, long, the body is not read", "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\n", long, waitThenStop},
		{"old version", "HTTP/1.0 200 OK\r\nX-Id: 1\r\n\r\n", "short", stopWriting},
		{"with a length, reset", "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 5\r\nX-Id: 1\r\n\r\n", "short", resetAfter(50 * time.Millisecond)},
		{"in chunks, reset", "HTTP/1.1 200 OK\r\nConnection: close\r\nTransfer-Encoding: chunked\r\nX-Id: 1\r\n\r\n", "5\r\nshort\r\n0\r\n\r\n", resetAfter(50 * time.Millisecond)},
	} {
		for _, streamed := range []bool{false, true} {
			t.Run(fmt.Sprint(c.name, " streamed ", streamed), func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				address := startEarlyTarget(t, c.head+c.body, c.end)
				body, err := upload(address, streamed)
				is.NoErr(err)
				is.True(len(body) == 5 || bytes.Equal(body, []byte(c.body)))
			})
		}
	}
}

// TestResponseEndsWhileTheCallerStillSends has a target respond without a length and end its connection while the caller's body
// does not come: the response is complete, and must not wait for the caller.
func TestResponseEndsWhileTheCallerStillSends(t *testing.T) {
	is := is.New(t)
	address := startEarlyTarget(t, "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\nshort", func(c *net.TCPConn) { _ = c.CloseWrite(); time.Sleep(time.Second) })
	body, w := io.Pipe()
	defer func() { _ = w.Close() }()
	go func() { _, _ = w.Write(make([]byte, 64<<10)) }()
	r := request("1")
	r.Method, r.Length, r.Stream = http.MethodPost, uploadLength, body
	begun := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	a, err := newConns().Send(ctx, address, r)
	is.NoErr(err)
	is.Equal(string(a.Body), "short")
	is.True(time.Since(begun) < 500*time.Millisecond)
}
