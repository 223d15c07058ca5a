package node

import (
	"net/http"
	"time"

	"github.com/tinladder/tinladder/clock"
	"github.com/tinladder/tinladder/desired"
)

// Defaults without a desired state that sets them, and for the fleet's own protocol.
const (
	headerTimeout = 10 * clock.Second
	idleTimeout   = 2 * clock.Minute
)

// callersServer returns the server for callers. limits and callersIdleTimeout follow the desired state.
func (n *Node) callersServer() *http.Server {
	s := &http.Server{
		Handler:           http.HandlerFunc(n.serve),
		ReadHeaderTimeout: headerTimeout.Duration(),
		IdleTimeout:       idleTimeout.Duration(),
		MaxHeaderBytes:    n.settings().Limits.HeaderBytes,
	}
	return s
}

// limits returns the limits on callers that are in force.
func (n *Node) limits() desired.Limits {
	l := desired.Limits{HeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	if t := n.records.table.Load(); t != nil {
		if t.Limits.HeaderTimeout > 0 {
			l.HeaderTimeout = t.Limits.HeaderTimeout
		}
		if t.Limits.IdleTimeout > 0 {
			l.IdleTimeout = t.Limits.IdleTimeout
		}
	}
	return l
}

// callersIdleTimeout is how long a caller's connection may be idle, by the limits in force: http.Server reads its own
// IdleTimeout only at its start.
func (n *Node) callersIdleTimeout() time.Duration {
	return n.limits().IdleTimeout.Duration()
}
