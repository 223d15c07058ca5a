package door

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// A connection that rests ends when its time is over. A process that stood still across that moment found the time over and
// a request there, and looked at the time alone: the request was reset unread. Of 400 requests sent within 200 ms to a node
// that stood still for 2 s around the end of their connections' rest, 65 got "unexpected EOF".
func TestIdleTimeoutReadsArrivedRequest(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = l.Close() }()
	caller, err := net.Dial("tcp", l.Addr().String())
	is.NoErr(err)
	defer func() { _ = caller.Close() }()
	accepted, err := l.Accept()
	is.NoErr(err)
	defer func() { _ = accepted.Close() }()
	c := &conn{Conn: accepted, server: &Server{}, idle: true, answered: true, idleTimeout: func() time.Duration { return 10 * time.Millisecond }}
	is.NoErr(c.SetReadDeadline(time.Now().Add(time.Minute)))
	const sent = "GET / HTTP/1.1\r\n"
	_, err = io.WriteString(caller, sent)
	is.NoErr(err)
	time.Sleep(30 * time.Millisecond)
	got := make([]byte, len(sent)+1)
	n, err := c.Read(got)
	is.NoErr(err)
	is.Equal(string(got[:n]), sent)
	is.True(!c.isIdle())
}

// TestIdleTimeoutClosesConnection: without a request there, the time alone decides.
func TestIdleTimeoutClosesConnection(t *testing.T) {
	is := is.New(t)
	d, address := openIdle(t, 50*time.Millisecond)
	go func() { _ = d.Serve() }()
	c, err := net.Dial("tcp", address)
	is.NoErr(err)
	defer func() { _ = c.Close() }()
	_, err = io.WriteString(c, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	is.NoErr(err)
	_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
	_, err = io.Copy(io.Discard, c)
	is.NoErr(err) // its end
}

func openIdle(t *testing.T, idle time.Duration) (*Server, string) {
	t.Helper()
	d, err := Listen("callers", "127.0.0.1:0", &http.Server{Handler: http.NotFoundHandler(), IdleTimeout: time.Minute}, func() time.Duration { return idle })
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Close)
	return d, d.listener.Addr().String()
}
