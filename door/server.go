// Package door serves HTTP at one address and shuts down without cutting a request: it tracks for each of its
// connections whether a request is on it.
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

// A Server is an HTTP server at one address.
type Server struct {
	name     string
	listener *listener
	http     *http.Server
	// keepAlivesDisabled says that responses carry "Connection: close".
	keepAlivesDisabled atomic.Bool

	mu    sync.Mutex
	conns map[*conn]struct{}
}

// Listen returns a server that listens at the address and does not accept yet. If idleTimeout is not nil, it replaces
// the server's own IdleTimeout, which cannot change.
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

// handler adds "Connection: close" to responses once keep-alives are disabled.
func (s *Server) handler(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.keepAlivesDisabled.Load() {
			w.Header().Set("Connection", "close")
		}
		h.ServeHTTP(w, r)
	})
}

// Name returns the name given to Listen.
func (s *Server) Name() string {
	return s.name
}

// Serve accepts connections until StopAccepting or Close.
func (s *Server) Serve() error {
	defer s.listener.closed.Store(true)
	return s.http.Serve(s.listener)
}

// DisableKeepAlives asks clients, with each further response, to close the connection. Idle connections stay open,
// since a request may be on its way on them.
func (s *Server) DisableKeepAlives() {
	s.keepAlivesDisabled.Store(true)
}

// StopAccepting closes the listener once the connections that the kernel has already completed are accepted. Open
// connections stay open.
func (s *Server) StopAccepting() {
	s.listener.stopAccepting()
}

// AcceptStopped reports whether the listener is closed.
func (s *Server) AcceptStopped() bool {
	return s.listener.closed.Load()
}

// CloseWhenIdle closes idle connections, and each of the others once its response has been written. A request of which
// any byte has arrived is answered.
func (s *Server) CloseWhenIdle() {
	s.mu.Lock()
	conns := slices.Collect(maps.Keys(s.conns)) // unlocked, so that connections can be removed during the loop
	s.mu.Unlock()
	for _, c := range conns {
		c.closeWhenIdle()
	}
}

// Close closes the listener and all connections immediately.
func (s *Server) Close() {
	_ = s.http.Close()
	_ = s.listener.Close()
}

// Counts are the numbers of a server's open connections.
type Counts struct {
	// Idle connections have no request on them, as far as has been read. On Busy ones, a request is being read or
	// handled, or its response has not been written completely.
	Idle, Busy int
}

// Open returns the total.
func (c Counts) Open() int {
	return c.Idle + c.Busy
}

// Open returns the number of open connections. While the listener is open it counts as one more, since a connection
// may be about to be accepted.
func (s *Server) Open() int {
	stopped := s.AcceptStopped() // first: a connection accepted just before the close is counted below
	n := s.Counts().Open()
	if !stopped {
		n++
	}
	return n
}

// Counts returns the numbers of open connections.
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
