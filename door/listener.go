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
	// acceptPoll is how long the listener looks for visitors at a time, once it is to close.
	acceptPoll = time.Millisecond
	// maxLateAccepts are the most that it takes in then: as many as the system keeps waiting. A bound on the time would reset
	// all who wait where the process stands still for that long.
	maxLateAccepts = 4096
)

// past ends at once what waits.
var past = time.Unix(1, 0)

// A listener notes the connections of its door.
type listener struct {
	*net.TCPListener
	server      *Server
	idleTimeout func() time.Duration
	// closing says that it is to close once nobody waits, and late are those that it has taken in since; only Accept, which
	// one goroutine calls, counts them.
	closing     atomic.Bool
	lateAccepts int
	closed      atomic.Bool
}

// stopAccepting has the listener close once those that have connected are in. The system completes connections by itself; closed
// at once, the listener would reset those that wait to be accepted, with the first requests that were sent on them.
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

// connPending says whether somebody waits to be let in. That the deadline is over does not tell: the look that it ended may not
// have been taken.
func (l *listener) connPending() (waits bool) {
	raw, err := l.SyscallConn()
	if err != nil {
		return false
	}
	_ = raw.Control(func(fd uintptr) {
		n, err := unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0)
		waits = err == nil && n > 0
	})
	return waits
}
