// Package forward sends single requests to targets and reads their responses. A connection carries one
// request at a time, no request is sent twice, and a response counts only if it carries the request's id.
package forward

import (
	"bufio"
	"context"
	"io"
	"math"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/tinladder/tinladder/clock"
)

const (
	// maxHeaderBytes bounds a response's header.
	maxHeaderBytes = 64 << 10
	// readBufferSize holds a typical response's header and the start of its body.
	readBufferSize = 4 << 10
	// maxIdlePerAddress is how many idle connections are kept to one address.
	maxIdlePerAddress = 16
	// idleMargin is subtracted from the idle timeout that a target announces, to cover network delay and
	// late timers.
	idleMargin clock.Millis = 1000
	// TCP keep-alive detects a dead idle connection within 4 s, before a run-once request is lost on it.
	keepAliveIdle     = 2 * time.Second
	keepAliveInterval = 1 * time.Second
	keepAliveCount    = 2
	// defaultIdleTimeout applies to targets that announce no idle timeout.
	defaultIdleTimeout clock.Millis = 4000
)

// ErrSent marks failures after which the target may have run the request. Without it, no byte of
// the request was written.
var ErrSent = errors.New("request may have run")

// ErrRequestBody marks failures to read the request's body from its source. The request was not sent completely.
var ErrRequestBody = errors.New("the request's body could not be read")

// ErrNoConnection marks failures to connect.
var ErrNoConnection = errors.New("no connection")

// A Conn is a connection to a target.
type Conn struct {
	net       net.Conn
	limit     *io.LimitedReader
	reader    *bufio.Reader
	address   string
	idleSince clock.Millis
	// idleTimeout is how long the target keeps the connection open while it is idle.
	idleTimeout clock.Millis
	// noReuse is set if the connection must not carry another request.
	noReuse bool
}

func newConn(nc net.Conn, address string) *Conn {
	limit := &io.LimitedReader{R: nc, N: math.MaxInt64}
	return &Conn{net: nc, limit: limit, reader: bufio.NewReaderSize(limit, readBufferSize), address: address, idleTimeout: defaultIdleTimeout}
}

// isQuiet reports whether nothing has arrived on the idle connection: neither its end nor unsolicited bytes.
func (c *Conn) isQuiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	sc, isSocket := c.net.(syscall.Conn)
	if !isSocket {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	empty := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		empty = errors.Is(err, syscall.EAGAIN)
	})
	return err == nil && empty
}

// Close closes the connection.
func (c *Conn) Close() {
	_ = c.net.Close()
}

// readKeepAlive sets the idle timeout from the response's Keep-Alive header.
func (c *Conn) readKeepAlive(h http.Header) {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if n, err := strconv.ParseInt(strings.TrimSpace(value), 10, 32); err == nil {
			c.idleTimeout = max(clock.Millis(n)*clock.Second-idleMargin, 0)
		}
	}
}

// A ConnPool holds the connections to targets. It is safe for concurrent use.
type ConnPool struct {
	clock clock.Clock
	dial  DialFunc

	mu    sync.Mutex
	idle  map[string][]*Conn
	dials uint64
}

// DialFunc opens a connection, as net.Dialer.DialContext does.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// NewConnPool returns an empty ConnPool that dials with the given timeout; with a dialer of its own if dial is nil.
func NewConnPool(c clock.Clock, timeout clock.Millis, dial DialFunc) *ConnPool {
	if dial == nil {
		dialer := net.Dialer{
			KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount},
		}
		dial = dialer.DialContext
	}
	return &ConnPool{clock: c, idle: map[string][]*Conn{}, dial: func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, timeout.Duration())
		defer cancel()
		return dial(ctx, network, address)
	}}
}

// get returns a connection that has been idle for at most maxIdle, or dials a new one.
func (p *ConnPool) get(ctx context.Context, address string, maxIdle clock.Millis) (c *Conn, reused bool, err error) {
	for {
		c := p.takeIdle(address, maxIdle)
		if c == nil {
			break
		}
		if c.isQuiet() {
			return c, true, nil
		}
		c.Close()
	}
	p.mu.Lock()
	p.dials++
	p.mu.Unlock()
	nc, err := p.dial(ctx, "tcp", address)
	if err != nil {
		return nil, false, errors.Mark(errors.Wrap(err, "connect"), ErrNoConnection)
	}
	return newConn(nc, address), false, nil
}

// takeIdle returns the most recently used idle connection, or nil if that one is too old.
func (p *ConnPool) takeIdle(address string, maxIdle clock.Millis) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	if p.clock.Now()-c.idleSince > min(maxIdle, c.idleTimeout) {
		return nil
	}
	p.idle[address] = list[:len(list)-1]
	return c
}

// put returns a connection to the pool, or closes it if the pool is full or the target keeps none open.
func (p *ConnPool) put(c *Conn) {
	c.idleSince = p.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[c.address]
	if len(list) >= maxIdlePerAddress || c.idleTimeout <= 0 {
		c.Close()
		return
	}
	p.idle[c.address] = append(list, c)
}

// Dials returns the number of dial attempts.
func (p *ConnPool) Dials() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dials
}

// CloseIdle closes the idle connections to the address.
func (p *ConnPool) CloseIdle(address string) {
	p.mu.Lock()
	list := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	for _, c := range list {
		c.Close()
	}
}

// CloseExpired closes connections whose idle timeout has passed.
func (p *ConnPool) CloseExpired() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now-c.idleSince > c.idleTimeout {
				c.Close()
				continue
			}
			kept = append(kept, c)
		}
		if p.idle[address] = kept; len(kept) == 0 {
			delete(p.idle, address)
		}
	}
}

// past is a deadline that makes all reads and writes fail at once.
var past = time.Unix(1, 0)

// interrupt makes pending reads and writes fail when ctx is done. The returned function must be called;
// it reports whether the connection was not interrupted.
func (c *Conn) interrupt(ctx context.Context) (stop func() bool) {
	return context.AfterFunc(ctx, func() { _ = c.net.SetDeadline(past) })
}
