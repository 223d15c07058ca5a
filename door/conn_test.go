package door

import (
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
)

// A closingConn is a connection that is told to close while a read returns the first byte of a request.
type closingConn struct {
	net.Conn
	hangUp   func()
	deadline time.Time
}

// Read implements net.Conn.
func (c *closingConn) Read([]byte) (int, error) {
	c.hangUp()
	return 1, nil
}

// SetReadDeadline implements net.Conn.
func (c *closingConn) SetReadDeadline(t time.Time) error {
	c.deadline = t
	return nil
}

// A connection is closed just as the first byte of a request is read: the deadline is restored, so that the rest
// of the request is read.
func TestFirstByteRestoresDeadline(t *testing.T) {
	is := is.New(t)
	x := &closingConn{}
	c := &conn{Conn: x, server: &Server{}, idle: true}
	x.hangUp = c.closeWhenIdle
	header := time.Now().Add(time.Second)
	is.NoErr(c.SetReadDeadline(header))
	n, err := c.Read(make([]byte, 1))
	is.NoErr(err)
	is.Equal(n, 1)
	is.Equal(x.deadline, header)
	is.True(!c.isIdle())
	c.setIdle() // once it is answered
	is.NoErr(c.SetReadDeadline(header))
	is.Equal(x.deadline, past)
}
