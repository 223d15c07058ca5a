package door

import (
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/tinladder/tinladder/framing"
)

// A conn is a connection of a door.
type conn struct {
	net.Conn
	server      *Server
	idleTimeout func() time.Duration
	// framing ends reading at requests that say in two ways where they end.
	framing framing.Filter

	mu sync.Mutex
	// idle says that no request is on it, as far as has been read, and answered that one has been answered on it.
	idle, answered bool
	// closing says that it ends as soon as it rests.
	closing bool
	// nextStarted says that the next request has begun to come beside the one that is worked on, and awaitingNext that the server
	// has begun to wait for the next one.
	nextStarted, awaitingNext bool
	// readDeadline is the read deadline that the server has set.
	readDeadline time.Time
}

func (c *conn) isIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.idle
}

// closeWhenIdle ends the connection if it rests, and otherwise as soon as it does. Only reading is ended, so the server closes
// it, and only if nothing was read: what has been read of a request takes the end back, and is answered.
func (c *conn) closeWhenIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing = true
	if c.idle {
		_ = c.Conn.SetReadDeadline(past)
	}
}

// setIdle notes that the answer of the last request has been written. The connection does not setIdle if some of the next one has
// been read.
func (c *conn) setIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle, c.answered = !c.nextStarted, true
	c.nextStarted, c.awaitingNext = false, false
}

// setBusy notes that a request has begun to come.
func (c *conn) setBusy() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.setBusyLocked()
}

// setBusyLocked is work for those that hold the lock.
func (c *conn) setBusyLocked() {
	if c.idle && c.closing {
		_ = c.Conn.SetReadDeadline(c.readDeadline)
	}
	c.idle = false
}

// trackState notes what the server says of a connection. That a request has come it says only once its header has been
// read whole: a connection is at work from the first byte on.
func trackState(nc net.Conn, s http.ConnState) {
	c, ok := nc.(*conn)
	if !ok {
		return
	}
	switch s {
	case http.StateActive:
		c.setBusy()
	case http.StateIdle:
		c.setIdle()
	}
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.framing.Read(socket{c}, p)
	if n > 0 {
		c.noteRead(len(p) == 1)
	}
	return n, err
}

// A socket reads what comes on a connection.
type socket struct {
	*conn
}

// Read implements io.Reader. A read whose deadline is over does not look at what has come by then, so a connection that
// rests would end on a request, hung up or not: 77 to 200 of 200 that were there already had no answer (one processor).
func (s socket) Read(p []byte) (int, error) {
	n, err := s.Conn.Read(p)
	if n <= 0 && errors.Is(err, os.ErrDeadlineExceeded) && s.isIdle() {
		if n = s.recvBuffered(p); n > 0 {
			return n, nil
		}
		_ = s.CloseWrite() // at once: what comes between the last look and the end is lost
	}
	return n, err
}

// noteRead notes that something has been read. Beside a request the server reads one byte, and nowhere else.
func (c *conn) noteRead(one bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nextStarted = one && !c.idle
	c.setBusyLocked()
}

// recvBuffered reads what has come, without waiting and whatever the deadline.
func (c *conn) recvBuffered(p []byte) (n int) {
	sc, isSocket := c.Conn.(syscall.Conn)
	if !isSocket {
		return 0
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return 0
	}
	_ = raw.Control(func(fd uintptr) { n, _, _ = syscall.Recvfrom(int(fd), p, syscall.MSG_DONTWAIT) })
	return max(n, 0)
}

// SetReadDeadline implements net.Conn. The server sets one when a connection begins to rest, and the next one once it has
// something of a request, which may have been read with the one before.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idle && c.answered {
		c.idle, c.awaitingNext = !c.awaitingNext, true
	}
	if c.idle && c.answered && c.idleTimeout != nil && !t.IsZero() {
		t = time.Now().Add(c.idleTimeout())
	}
	c.readDeadline = t
	if c.idle && c.closing {
		t = past
	}
	return c.Conn.SetReadDeadline(t)
}

// CloseWrite ends what goes to the visitor. The server does so before it closes a connection on which more comes than it
// reads: without it the visitor's system would meet a reset before the answer has been read.
func (c *conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.server.removeConn(c)
	_ = c.CloseWrite() // what has been written arrives before the reset that unread bytes cause
	return c.Conn.Close()
}
