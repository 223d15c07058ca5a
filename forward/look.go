package forward

import (
	"context"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// probeTimeout bounds a look: one way between halls and back, with room, and little for a caller who waits.
	probeTimeout = 50 * time.Millisecond
	// probeAttempts and lookPause are how often a look is repeated where something still listens: a process that ends may
	// lose its connections a little before its door.
	probeAttempts = 2
	probeInterval = 15 * time.Millisecond
)

// A ProbeResult is what a look at an address found.
type ProbeResult int

// Doors.
const (
	// Listening doors take a connection: the process that a connection broke off from lives, or another one is there already.
	Listening ProbeResult = iota
	// Refused doors are refused by a machine that answers: no process listens there any more.
	Refused
	// Unreachable doors do not answer in time, or cannot be reached.
	Unreachable
)

// String returns the door's name.
func (r ProbeResult) String() string {
	return [...]string{"open", "shut", "unseen"}[r]
}

// Probe says whether anything listens at the address, by a connection of its own. What breaks a single connection, such as
// a cut link or a target that closes those at rest, leaves the door open or unseen; the end of the process shuts it.
func (p *ConnPool) Probe(ctx context.Context, address string) (d ProbeResult) {
	for i := range probeAttempts {
		if i > 0 {
			time.Sleep(probeInterval)
		}
		if d = p.probeOnce(ctx, address); d != Listening {
			return d
		}
	}
	return d
}

func (p *ConnPool) probeOnce(ctx context.Context, address string) ProbeResult {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	c, err := p.dialer.DialContext(ctx, "tcp", address)
	switch {
	case err == nil:
		_ = c.Close()
		return Listening
	case errors.Is(err, syscall.ECONNREFUSED), errors.Is(err, syscall.ECONNRESET):
		return Refused
	}
	return Unreachable
}
