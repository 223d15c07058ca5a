package main

import (
	"bufio"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	signature  = "X-Upstream-Signature"
	queueTimes = 4
	beat       = 1500 * time.Millisecond
)

// An upstream is one server of a service, as the pages have it: it registers itself, works on a few requests at a time,
// queues a few more, and turns others away.
type upstream struct {
	bed      *bed
	id, zone string
	service  string
	address  string
	capacity int
	slots    chan struct{}
	inside   atomic.Int32
	work     func(req *http.Request, body []byte) time.Duration
	crashes  func(req *http.Request, body []byte) bool
	arrived  func(a arrival)
	downFor  time.Duration
	silent   bool

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]bool
	born     int64
	seq      int
	state    string
}

// An arrival is a request that an upstream has begun to work on.
type arrival struct {
	at       time.Time
	id, path string
	upstream string
	deadline string
}

// newUpstream starts an upstream and registers it.
func newUpstream(b *bed, id, service, zone string, capacity int) (*upstream, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	u := &upstream{
		bed: b, id: id, zone: zone, service: service, address: l.Addr().String(), capacity: capacity, slots: make(chan struct{}, capacity),
		work:    func(*http.Request, []byte) time.Duration { return 20 * time.Millisecond },
		crashes: func(*http.Request, []byte) bool { return false },
		arrived: func(arrival) {}, downFor: 2 * time.Second, state: "ready",
	}
	u.begin(l)
	go u.checkIn()
	return u, nil
}

// begin makes the upstream serve: a new life of it under its id.
func (u *upstream) begin(l net.Listener) {
	u.mu.Lock()
	u.listener, u.conns, u.born, u.seq = l, map[net.Conn]bool{}, time.Now().UnixMilli(), 0
	u.slots = make(chan struct{}, u.capacity)
	u.inside.Store(0)
	u.mu.Unlock()
	u.register()
	go u.accept(l)
}

// register writes the upstream's row.
func (u *upstream) register() {
	u.mu.Lock()
	u.seq++
	row, _ := json.Marshal(map[string]any{
		"address": u.address, "born": u.born,
		"info":   map[string]any{"service": u.service, "version": "v1", "zone": u.zone, "capacity": u.capacity},
		"status": map[string]any{"state": u.state, "callSeq": u.seq, "warmupLeft": "0ms"},
	})
	id := u.id
	u.mu.Unlock()
	u.bed.store.Put("servers", id, row)
}

// checkIn counts the writes that the store's row tells of when something else changes too.
func (u *upstream) checkIn() {
	for range time.Tick(beat) {
		u.mu.Lock()
		u.seq++
		u.mu.Unlock()
	}
}

func (u *upstream) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		u.mu.Lock()
		current := u.listener == l
		if current {
			u.conns[c] = true
		}
		u.mu.Unlock()
		if !current {
			_ = c.Close()
			continue
		}
		go u.serve(c)
	}
}

func (u *upstream) serve(c net.Conn) {
	defer func() {
		u.mu.Lock()
		delete(u.conns, c)
		u.mu.Unlock()
		_ = c.Close()
	}()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil || !u.answer(c, req, body) {
			return
		}
	}
}

// answer runs one request, or turns it away, and reports whether the connection goes on.
func (u *upstream) answer(c net.Conn, req *http.Request, body []byte) bool {
	id := req.Header.Get("X-Request-Id")
	u.mu.Lock()
	self, slots, life := u.id, u.slots, u.born
	u.mu.Unlock()
	switch {
	case id == "":
		return send(c, id, http.StatusBadRequest, "X-Not-Executed: 1\r\n", "")
	case req.Header.Get("X-Expected-Instance") != "" && req.Header.Get("X-Expected-Instance") != self:
		return send(c, id, http.StatusMisdirectedRequest, "X-Instance-Id: "+self+"\r\n", "")
	case int(u.inside.Add(1)) > u.capacity*(1+queueTimes):
		u.inside.Add(-1)
		return send(c, id, http.StatusServiceUnavailable, "X-Not-Executed: 1\r\n", "")
	}
	defer u.inside.Add(-1)
	slots <- struct{}{}
	defer func() { <-slots }()
	u.arrived(arrival{at: time.Now(), id: id, path: req.RequestURI, upstream: self, deadline: req.Header.Get("X-Deadline-Ms")})
	time.Sleep(u.work(req, body))
	if u.crashes(req, body) {
		if u.silent {
			u.dark(life, id)
			_, _ = io.Copy(io.Discard, c)
			return false
		}
		u.crash(life, id)
		return false
	}
	return send(c, id, http.StatusOK, fmt.Sprintf("%s: %x\r\n", signature, sha256.Sum256([]byte(self+id))), "answer to "+id)
}

// crash ends the upstream as the end of a process does: its door first, then its connections. It is back after a time, under
// its id, and knows nothing of before.
func (u *upstream) crash(life int64, by string) {
	u.mu.Lock()
	if u.born != life || u.listener == nil {
		u.mu.Unlock()
		return
	}
	l, conns := u.listener, u.conns
	u.listener, u.conns = nil, map[net.Conn]bool{}
	u.mu.Unlock()
	u.bed.note("upstream %s crashes under %s", u.id, by)
	_ = l.Close()
	for c := range conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
	time.AfterFunc(u.downFor, u.comeBack)
}

func send(c net.Conn, id string, status int, header, body string) bool {
	var out strings.Builder
	out.WriteString("HTTP/1.1 " + strconv.Itoa(status) + " " + http.StatusText(status) + "\r\n")
	out.WriteString("X-Request-Id: " + id + "\r\n" + header + "Keep-Alive: timeout=10\r\n")
	out.WriteString("Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body)
	_, err := io.WriteString(c, out.String())
	return err == nil
}

// dark makes the upstream fall silent, as a machine does that loses its power: its connections stay open and say nothing, and
// new ones hang, since the queue of its door is full.
func (u *upstream) dark(life int64, by string) {
	u.mu.Lock()
	if u.born != life || u.listener == nil {
		u.mu.Unlock()
		return
	}
	l, conns := u.listener.(*net.TCPListener), u.conns
	u.listener, u.conns = nil, map[net.Conn]bool{}
	u.mu.Unlock()
	u.bed.note("upstream %s falls silent under %s", u.id, by)
	_ = l.SetDeadline(time.Unix(1, 0)) // nothing is accepted any more
	if raw, err := l.SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) { _ = syscall.Listen(int(fd), 0) })
	}
	var fill []net.Conn
	for range 8 {
		c, err := net.DialTimeout("tcp", u.address, 30*time.Millisecond)
		if err != nil {
			break
		}
		fill = append(fill, c)
	}
	time.AfterFunc(u.downFor, func() {
		_ = l.Close()
		for _, c := range fill {
			_ = c.Close()
		}
		for c := range conns {
			if tcp, ok := c.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0)
			}
			_ = c.Close()
		}
		u.comeBack()
	})
}

// comeBack starts the upstream again at its address.
func (u *upstream) comeBack() {
	for range 50 {
		again, err := net.Listen("tcp", u.address)
		if err == nil {
			u.begin(again)
			u.bed.note("upstream %s is back", u.id)
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	u.bed.note("upstream %s cannot come back", u.id)
}
