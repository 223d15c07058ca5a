// Package door serves HTTP at one address, and can be closed without cutting a request: it knows of each of its connections
// whether one is on it.
package door

import (
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// A Door struct is a place where visitors of one kind come.
type Door struct {
	name     string
	listener *listener
	http     *http.Server
	// keepAlivesDisabled says that answers ask visitors to leave their connections.
	keepAlivesDisabled atomic.Bool

	mu    sync.Mutex
	conns map[*conn]struct{}
}

// Listen returns a door at the address that serves nobody yet. If idle is not nil it says how long a connection may
// rest, in place of the server's own bound, which cannot change.
func Listen(name, address string, s *http.Server, idleTimeout func() time.Duration) (*Door, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	d := &Door{name: name, http: s, conns: map[*conn]struct{}{}}
	d.listener = &listener{TCPListener: l.(*net.TCPListener), door: d, idleTimeout: idleTimeout}
	s.ConnState, s.Handler = trackState, d.handler(s.Handler)
	return d, nil
}

// handler sends visitors away with their answers, once they are to go.
func (d *Door) handler(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if d.keepAlivesDisabled.Load() {
			w.Header().Set("Connection", "close")
		}
		h.ServeHTTP(w, r)
	})
}

// Name returns the door's name.
func (d *Door) Name() string {
	return d.name
}

// Serve serves visitors until the door is shut.
func (d *Door) Serve() error {
	defer d.listener.closed.Store(true)
	return d.http.Serve(d.listener)
}

// SendAway has visitors leave their connections after their next answers. Those that rest stay open: a request may be on
// its way on them.
func (d *Door) SendAway() {
	d.keepAlivesDisabled.Store(true)
}

// Shut takes no further connections, but for those that visitors hold to be open. Those that are open stay.
func (d *Door) Shut() {
	d.listener.stopAccepting()
}

// IsShut says whether nobody comes in any more.
func (d *Door) IsShut() bool {
	return d.listener.closed.Load()
}

// HangUp ends the connections that rest, and each of the others once its answer has been written. A request of which
// anything has come is answered.
func (d *Door) HangUp() {
	d.mu.Lock()
	conns := slices.Collect(maps.Keys(d.conns)) // with the lock held, none of them could close until all had been hung up
	d.mu.Unlock()
	for _, c := range conns {
		c.closeWhenIdle()
	}
}

// Close closes the door and all its connections at once.
func (d *Door) Close() {
	_ = d.http.Close()
	_ = d.listener.Close()
}

// Counts are a door's connections.
type Counts struct {
	// Resting connections have no request on them, as far as has been read. Busy ones have a request that has begun
	// to be read, is worked on, or whose answer has not been written whole.
	Resting, Busy int
}

// Open is all of them.
func (c Counts) Open() int {
	return c.Resting + c.Busy
}

// Open returns how many connections are open. A door that is not shut yet counts as one: somebody may be coming in.
func (d *Door) Open() int {
	shut := d.IsShut() // first: who came in before it was is among the connections then
	n := d.Counts().Open()
	if !shut {
		n++
	}
	return n
}

// Counts returns how many connections are open.
func (d *Door) Counts() (n Counts) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for c := range d.conns {
		if c.isIdle() {
			n.Resting++
		} else {
			n.Busy++
		}
	}
	return n
}

func (d *Door) addConn(c *conn) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.conns[c] = struct{}{}
}

func (d *Door) removeConn(c *conn) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.conns, c)
}
