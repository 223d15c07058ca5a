package door

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestCloseReadsArrivedRequest hangs up a connection on which a whole request waits to be read.
func TestCloseReadsArrivedRequest(t *testing.T) {
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
	c := &conn{Conn: accepted, server: &Server{}, idle: true, answered: true}
	is.NoErr(c.SetReadDeadline(time.Now().Add(time.Second)))
	const sent = "GET / HTTP/1.1\r\n"
	_, err = io.WriteString(caller, sent)
	is.NoErr(err)
	time.Sleep(20 * time.Millisecond)
	c.closeWhenIdle()
	got := make([]byte, len(sent)+1)
	n, err := c.Read(got)
	is.NoErr(err)
	is.Equal(string(got[:n]), sent)
	is.True(!c.isIdle())
}
