package node

import (
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/tinladder/tinladder/clock"
	"github.com/tinladder/tinladder/desired"
)

// Defaults until a desired state says otherwise, and for the fleet's own interface.
const (
	headerTimeout = 10 * clock.Second
	idleTimeout   = 2 * clock.Minute
)

// callersServer serves callers, with the limits of the desired state as it changes.
func (n *Node) callersServer() *http.Server {
	s := &http.Server{
		Handler:           http.HandlerFunc(n.serve),
		ReadHeaderTimeout: headerTimeout.Duration(),
		IdleTimeout:       idleTimeout.Duration(),
		MaxHeaderBytes:    n.settings().Limits.HeaderBytes,
		ConnState:         noteState,
	}
	return s
}

// limits returns the bounds on callers that are in force.
func (n *Node) limits() desired.Limits {
	l := desired.Limits{HeaderTime: headerTimeout, IdleTime: idleTimeout}
	if t := n.records.table.Load(); t != nil {
		if t.Limits.HeaderTime > 0 {
			l.HeaderTime = t.Limits.HeaderTime
		}
		if t.Limits.IdleTime > 0 {
			l.IdleTime = t.Limits.IdleTime
		}
	}
	return l
}

// A callerListener gives connections the limits that are in force at any moment, which the
// library's server takes only at its start.
type callerListener struct {
	net.Listener
	node *Node
}

// Accept implements net.Listener.
func (l *callerListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &callerConn{Conn: c, node: l.node}, nil
}

// A callerConn is a caller's connection, of which the server says whether it rests.
type callerConn struct {
	net.Conn
	node *Node
	rest atomic.Bool
}

// noteState notes whether a connection rests.
func noteState(c net.Conn, s http.ConnState) {
	if cc, isCaller := c.(*callerConn); isCaller {
		cc.rest.Store(s == http.StateIdle)
	}
}

// SetReadDeadline implements net.Conn. The server sets one when a connection begins to rest.
func (c *callerConn) SetReadDeadline(t time.Time) error {
	if c.rest.Load() && !t.IsZero() {
		t = time.Now().Add(c.node.limits().IdleTime.Duration())
	}
	return c.Conn.SetReadDeadline(t)
}
