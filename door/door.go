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

// A Server struct is a place where visitors of one kind come.
type Server struct {
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
func Listen(name, address string, h *http.Server, idleTimeout func() time.Duration) (*Server, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &Server{name: name, http: h, conns: map[*conn]struct{}{}}
	s.listener = &listener{TCPListener: l.(*net.TCPListener), server: s, idleTimeout: idleTimeout}
	h.ConnState, h.Handler = trackState, s.handler(h.Handler)
	return s, nil
}

// handler sends visitors away with their answers, once they are to go.
func (s *Server) handler(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.keepAlivesDisabled.Load() {
			w.Header().Set("Connection", "close")
		}
		h.ServeHTTP(w, r)
	})
}

// Name returns the door's name.
func (s *Server) Name() string {
	return s.name
}

// Serve serves visitors until the door is shut.
func (s *Server) Serve() error {
	defer s.listener.closed.Store(true)
	return s.http.Serve(s.listener)
}

// DisableKeepAlives has visitors leave their connections after their next answers. Those that rest stay open: a request may be on
// its way on them.
func (s *Server) DisableKeepAlives() {
	s.keepAlivesDisabled.Store(true)
}

// StopAccepting takes no further connections, but for those that visitors hold to be open. Those that are open stay.
func (s *Server) StopAccepting() {
	s.listener.stopAccepting()
}

// AcceptStopped says whether nobody comes in any more.
func (s *Server) AcceptStopped() bool {
	return s.listener.closed.Load()
}

// CloseWhenIdle ends the connections that rest, and each of the others once its answer has been written. A request of which
// anything has come is answered.
func (s *Server) CloseWhenIdle() {
	s.mu.Lock()
	conns := slices.Collect(maps.Keys(s.conns)) // with the lock held, none of them could close until all had been hung up
	s.mu.Unlock()
	for _, c := range conns {
		c.closeWhenIdle()
	}
}

// Close closes the door and all its connections at once.
func (s *Server) Close() {
	_ = s.http.Close()
	_ = s.listener.Close()
}

// Counts are a door's connections.
type Counts struct {
	// Idle connections have no request on them, as far as has been read. Busy ones have a request that has begun
	// to be read, is worked on, or whose answer has not been written whole.
	Idle, Busy int
}

// Open is all of them.
func (c Counts) Open() int {
	return c.Idle + c.Busy
}

// Open returns how many connections are open. A door that is not shut yet counts as one: somebody may be coming in.
func (s *Server) Open() int {
	stopped := s.AcceptStopped() // first: who came in before it was is among the connections then
	n := s.Counts().Open()
	if !stopped {
		n++
	}
	return n
}

// Counts returns how many connections are open.
func (s *Server) Counts() (n Counts) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if c.isIdle() {
			n.Idle++
		} else {
			n.Busy++
		}
	}
	return n
}

func (s *Server) addConn(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[c] = struct{}{}
}

func (s *Server) removeConn(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}
