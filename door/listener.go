package door

import (
	"net"
	"os"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

const (
	// acceptPoll is the accept deadline while the listener drains its queue.
	acceptPoll = time.Millisecond
	// maxLateAccepts bounds the connections accepted while draining. It equals the kernel's accept queue. A time limit
	// instead would reset all queued connections if the process was stalled for that long.
	maxLateAccepts = 4096
)

// past is a deadline that makes pending calls fail at once.
var past = time.Unix(1, 0)

// A listener registers the connections of its server.
type listener struct {
	*net.TCPListener
	server      *Server
	idleTimeout func() time.Duration
	// closing says that the listener closes once its accept queue is empty. lateAccepts counts the connections accepted
	// since; only Accept, which one goroutine calls, uses it.
	closing     atomic.Bool
	lateAccepts int
	closed      atomic.Bool
}

// stopAccepting makes the listener close once the queued connections are accepted. The kernel completes connections by
// itself; an immediate close would reset those in the accept queue, along with the requests already sent on them.
func (l *listener) stopAccepting() {
	l.closing.Store(true)
	_ = l.SetDeadline(past)
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	polled := false
	for {
		nc, err := l.TCPListener.Accept()
		if err == nil {
			if l.closing.Load() {
				l.lateAccepts++
			}
			c := &conn{Conn: nc, server: l.server, idleTimeout: l.idleTimeout, idle: true}
			l.server.addConn(c)
			return c, nil
		}
		switch {
		case !l.closing.Load() || !errors.Is(err, os.ErrDeadlineExceeded):
			return nil, err
		case l.lateAccepts >= maxLateAccepts, polled && !l.connPending():
			_ = l.Close()
			l.closed.Store(true)
			return nil, net.ErrClosed
		}
		polled = true
		_ = l.SetDeadline(time.Now().Add(acceptPoll))
	}
}

// connPending reports whether the accept queue holds a connection. An exceeded deadline does not prove that it is empty:
// Accept may have failed without checking the queue.
func (l *listener) connPending() (pending bool) {
	raw, err := l.SyscallConn()
	if err != nil {
		return false
	}
	_ = raw.Control(func(fd uintptr) {
		n, err := unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0)
		pending = err == nil && n > 0
	})
	return pending
}
