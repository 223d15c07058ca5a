package forward

import (
	"context"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// probeTimeout covers a round trip between halls with some room; it is short since the caller waits.
	probeTimeout = 50 * time.Millisecond
	// While something still listens, a probe is repeated: an exiting process may lose its connections
	// shortly before its listener.
	probeAttempts = 2
	probeInterval = 15 * time.Millisecond
)

// A ProbeResult is the state of an address.
type ProbeResult int

// The probe results.
const (
	// Listening addresses accept a connection: the target process is alive or has been replaced.
	Listening ProbeResult = iota
	// Refused means that the host answered but no process listens there any more.
	Refused
	// Unreachable addresses do not answer in time, or have no route.
	Unreachable
)

// String returns the name that logs use.
func (r ProbeResult) String() string {
	return [...]string{"open", "shut", "unseen"}[r]
}

// Probe reports whether anything listens at the address, using a new connection. A failure of one connection,
// such as a cut link or an idle connection closed by the target, leaves the address Listening or Unreachable;
// the end of the process makes it Refused.
func (p *ConnPool) Probe(ctx context.Context, address string) (r ProbeResult) {
	for i := range probeAttempts {
		if i > 0 {
			time.Sleep(probeInterval)
		}
		if r = p.probeOnce(ctx, address); r != Listening {
			return r
		}
	}
	return r
}

// Connects reports whether the address accepts a connection within the dial timeout.
func (p *ConnPool) Connects(ctx context.Context, address string) bool {
	c, err := p.dial(ctx, "tcp", address)
	if err != nil {
		return false
	}
	_ = c.Close()
	return true
}

func (p *ConnPool) probeOnce(ctx context.Context, address string) ProbeResult {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	c, err := p.dial(ctx, "tcp", address)
	switch {
	case err == nil:
		_ = c.Close()
		return Listening
	case errors.Is(err, syscall.ECONNREFUSED), errors.Is(err, syscall.ECONNRESET):
		return Refused
	}
	return Unreachable
}
