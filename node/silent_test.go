package node_test

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/tinladder/tinladder/platform/standin"
)

// A silencingProxy forwards TCP connections. Those that are open when silence is called carry no more data but stay open,
// while new ones work.
type silencingProxy struct {
	listener net.Listener
	to       string

	mu    sync.Mutex
	conns []*proxiedConn
}

// proxiedConn is one forwarded connection.
type proxiedConn struct {
	near, far net.Conn
	silent    chan struct{}
}

func newSilencingProxy(t testing.TB, to string) *silencingProxy {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	m := &silencingProxy{listener: l, to: to}
	t.Cleanup(m.close)
	go m.accept()
	return m
}

func (m *silencingProxy) address() string {
	return m.listener.Addr().String()
}

func (m *silencingProxy) accept() {
	for {
		near, err := m.listener.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp", m.to)
		if err != nil {
			_ = near.Close()
			continue
		}
		c := &proxiedConn{near: near, far: far, silent: make(chan struct{})}
		m.mu.Lock()
		m.conns = append(m.conns, c)
		m.mu.Unlock()
		go c.copyUntilSilent(near, far)
		go c.copyUntilSilent(far, near)
	}
}

// copyUntilSilent copies until the connection is silenced. From then on it discards what it reads.
func (c *proxiedConn) copyUntilSilent(from, to net.Conn) {
	buf := make([]byte, 4096)
	for {
		n, err := from.Read(buf)
		select {
		case <-c.silent:
			if err != nil {
				return
			}
			continue
		default:
		}
		if err != nil {
			_ = to.Close()
			return
		}
		if _, err := to.Write(buf[:n]); err != nil {
			return
		}
	}
}

// silence makes all open connections silent, and returns how many there were.
func (m *silencingProxy) silence() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, c := range m.conns {
		close(c.silent)
	}
	n := len(m.conns)
	m.conns = nil
	return n
}

func (m *silencingProxy) close() {
	_ = m.listener.Close()
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, c := range m.conns {
		_ = c.near.Close()
		_ = c.far.Close()
	}
}

// TestSilentConnectionsToTargets makes the idle connections to targets go silent. Repeatable requests are served all the
// same, and at most one run-once request per target is lost before the others use new connections.
func TestSilentConnectionsToTargets(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 1)
	targets := []*standin.Target{f.target("i-1", "desk"), f.target("i-2", "desk")}
	var mufflers []*silencingProxy
	for _, target := range targets {
		m := newSilencingProxy(t, target.Address())
		mufflers = append(mufflers, m)
		f.store.Put("servers", target.ID, standin.TargetRow(m.address(), "desk", "h0", "ready", 3))
	}
	f.calm(3)
	f.ready(3, 2)
	crowd := func(method, path, id string) (served int) {
		var wg sync.WaitGroup
		var mu sync.Mutex
		for i := range 6 {
			wg.Go(func() {
				if f.call(f.nodes[0], method, path, fmt.Sprint(id, i), "").status == http.StatusOK {
					mu.Lock()
					defer mu.Unlock()
					served++
				}
			})
		}
		wg.Wait()
		return served
	}
	crowd(http.MethodGet, "/get/", "warm")
	open := 0
	for _, m := range mufflers {
		open += m.silence()
	}
	is.True(open >= 4)
	lost := 0
	for i := range 8 {
		if f.call(f.nodes[0], http.MethodPost, "/once/", fmt.Sprint("once", i), "pay").status != http.StatusOK {
			lost++
		}
	}
	is.True(lost <= len(targets)) // one per target, whose other idle connections are closed with it
	crowd(http.MethodGet, "/get/", "again")
	for _, m := range mufflers {
		m.silence()
	}
	is.Equal(f.call(f.nodes[0], http.MethodGet, "/get/", "repeatable", "").status, http.StatusOK)
}

// TestSilentConnectionsToTheStore makes a node's connections to the store go silent. The node gets the next desired state
// within the time-out of a call and the duration of a long poll.
func TestSilentConnectionsToTheStore(t *testing.T) {
	var way *silencingProxy
	f := newFleetVia(t, 1, func(store string) string {
		way = newSilencingProxy(t, store)
		return way.address()
	})
	n := f.nodes[0]
	f.target("i-1", "desk")
	f.calm(3)
	f.ready(3, 1)
	time.Sleep(500 * time.Millisecond) // its long poll waits at the store
	if way.silence() == 0 {
		t.Fatal("no connection was open")
	}
	f.calm(4)
	start := time.Now()
	f.eventually("the change is in force", func() bool { return inForce(n, 4) })
	if took := time.Since(start); took > 4500*time.Millisecond {
		t.Errorf("took %v", took)
	} else {
		t.Logf("in force after %v", took)
	}
}

// TestSilentConnectionsBetweenNodes makes the connections between nodes go silent while the store refuses all nodes but
// one, and a state is stored that is too large for datagrams. It must come into force on all nodes all the same.
func TestSilentConnectionsBetweenNodes(t *testing.T) {
	f := startFleet(t, 4, &fleet{silenceable: true, via: func(store string) string { return store }})
	f.target("i-1", "desk")
	f.calm(3)
	f.ready(3, 1)
	for _, n := range f.nodes[1:] {
		n.door.SetFaults(standin.Faults{Away: standin.Busy})
	}
	f.inForceWithin(4, f.putLargeState(4, 600, false), 5*time.Second) // leaves idle connections open
	open := 0
	for _, n := range f.nodes {
		open += n.silencer.silence()
	}
	if open == 0 {
		t.Fatal("no connection was open")
	}
	last, late := f.inForceWithin(5, f.putLargeState(5, 1200, false), 4*time.Second)
	t.Logf("%d connections silent; in force on all after %v", open, last)
	if late != nil {
		t.Errorf("not in force after %v on %v", last, late)
	}
}
