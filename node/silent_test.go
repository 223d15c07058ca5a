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

// A muffler passes connections on. Those that are open when it is told to hush go silent for good, without
// an end, while new ones work.
type muffler struct {
	listener net.Listener
	to       string

	mu    sync.Mutex
	conns []*muffled
}

// muffled is one connection, both ways.
type muffled struct {
	near, far net.Conn
	silent    chan struct{}
}

func newMuffler(t testing.TB, to string) *muffler {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	m := &muffler{listener: l, to: to}
	t.Cleanup(m.close)
	go m.accept()
	return m
}

func (m *muffler) address() string {
	return m.listener.Addr().String()
}

func (m *muffler) accept() {
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
		c := &muffled{near: near, far: far, silent: make(chan struct{})}
		m.mu.Lock()
		m.conns = append(m.conns, c)
		m.mu.Unlock()
		go c.pass(near, far)
		go c.pass(far, near)
	}
}

// pass copies until the connection is silent: from then on it reads, and hands nothing on.
func (c *muffled) pass(from, to net.Conn) {
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

// hush makes all open connections silent, and returns how many.
func (m *muffler) hush() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, c := range m.conns {
		close(c.silent)
	}
	n := len(m.conns)
	m.conns = nil
	return n
}

func (m *muffler) close() {
	_ = m.listener.Close()
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, c := range m.conns {
		_ = c.near.Close()
		_ = c.far.Close()
	}
}

// TestSilentConnectionsToTargets lets the idle connections to a target go silent. Repeatable requests are
// answered all the same, and one run-once request at most is lost before the others go by new ones.
func TestSilentConnectionsToTargets(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 1)
	targets := []*standin.Target{f.target("i-1", "desk"), f.target("i-2", "desk")}
	var mufflers []*muffler
	for _, target := range targets {
		m := newMuffler(t, target.Address())
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
		open += m.hush()
	}
	is.True(open >= 4)
	lost := 0
	for i := range 8 {
		if f.call(f.nodes[0], http.MethodPost, "/once/", fmt.Sprint("once", i), "pay").status != http.StatusOK {
			lost++
		}
	}
	is.True(lost <= len(targets)) // one for each target, whose other connections are given up with it
	crowd(http.MethodGet, "/get/", "again")
	for _, m := range mufflers {
		m.hush()
	}
	is.Equal(f.call(f.nodes[0], http.MethodGet, "/get/", "repeatable", "").status, http.StatusOK)
}

// TestSilentConnectionsToTheStore lets a node's connections to the store go silent. It has the next desired
// state within the time that a call may take and the wait of its question.
func TestSilentConnectionsToTheStore(t *testing.T) {
	var way *muffler
	f := newFleetVia(t, 1, func(store string) string {
		way = newMuffler(t, store)
		return way.address()
	})
	n := f.nodes[0]
	f.target("i-1", "desk")
	f.calm(3)
	f.ready(3, 1)
	time.Sleep(500 * time.Millisecond) // its question waits at the store
	if way.hush() == 0 {
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

// TestSilentConnectionsBetweenNodes lets the connections between nodes go silent while all but one are turned away by
// the store, and a state comes that is too large for datagrams. It must be in force on all all the same.
func TestSilentConnectionsBetweenNodes(t *testing.T) {
	f := startFleet(t, 4, &fleet{muffled: true, via: func(store string) string { return store }})
	f.target("i-1", "desk")
	f.calm(3)
	f.ready(3, 1)
	for _, n := range f.nodes[1:] {
		n.door.SetFaults(standin.Faults{Away: standin.Busy})
	}
	f.inForceWithin(4, f.putLargeState(4, 600, false), 5*time.Second) // connections are open, and rest
	open := 0
	for _, n := range f.nodes {
		open += n.muffler.hush()
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
