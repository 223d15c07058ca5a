package door

import (
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
)

// A crossing is a connection that is hung up while a read is on its way back with the first byte of a request.
type crossing struct {
	net.Conn
	hangUp   func()
	deadline time.Time
}

// Read implements net.Conn.
func (c *crossing) Read([]byte) (int, error) {
	c.hangUp()
	return 1, nil
}

// SetReadDeadline implements net.Conn.
func (c *crossing) SetReadDeadline(t time.Time) error {
	c.deadline = t
	return nil
}

// TestFirstByteRestoresDeadline: the rest of a request is read whose first byte was, when its connection ended.
func TestFirstByteRestoresDeadline(t *testing.T) {
	is := is.New(t)
	x := &crossing{}
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
