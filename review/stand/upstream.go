package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/tinladder/tinladder/platform/standin"
)

// queuePerSlot is how many requests wait at an upstream for each of its slots.
const queuePerSlot = 4

// An arrival is a request that reached an upstream.
type arrival struct {
	at       time.Time
	id, path string
	upstream string
	ran      bool
	// answered is the status that the upstream wrote; 0 if it wrote none.
	answered int
}

// An upstream is a server of the users' platform. It speaks what PROTOCOL says.
type upstream struct {
	id, service, zone string
	slots             int
	work              time.Duration
	store             *standin.Store
	address           string

	mu       sync.Mutex
	http     *http.Server
	free     chan struct{}
	inside   int
	born     int64
	writes   int
	arrivals []*arrival
	// behave may answer in the place of the upstream once it has run a request; it reports whether it did.
	behave func(w http.ResponseWriter, r *http.Request) bool
	// early may serve a request before its body is read; it reports whether it did.
	early func(w http.ResponseWriter, r *http.Request, a *arrival) bool
}

// newUpstream starts an upstream and records it in the store.
func newUpstream(s *standin.Store, id, service, zone string, slots int, work time.Duration) (*upstream, error) {
	u := &upstream{id: id, service: service, zone: zone, slots: slots, work: work, store: s, address: freeAddress()}
	if err := u.start(); err != nil {
		return nil, err
	}
	u.register("ready")
	return u, nil
}

// start begins a life of the upstream, at its address.
func (u *upstream) start() error {
	l, err := net.Listen("tcp", u.address)
	if err != nil {
		return err
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.http = &http.Server{Handler: u, ReadHeaderTimeout: time.Minute, IdleTimeout: 10 * time.Second}
	u.free, u.inside = make(chan struct{}, u.slots), 0
	u.born, u.writes = time.Now().UnixMilli(), 0
	server := u.http
	go func() { _ = server.Serve(l) }()
	return nil
}

// register writes the upstream's entry.
func (u *upstream) register(state string) {
	u.mu.Lock()
	u.writes++
	row, _ := json.Marshal(map[string]any{
		"address": u.address, "born": u.born,
		"info":   map[string]any{"service": u.service, "version": "v1", "zone": u.zone, "capacity": u.slots},
		"status": map[string]any{"state": state, "callSeq": u.writes, "warmupLeft": "0ms"},
	})
	u.mu.Unlock()
	u.store.Put("servers", u.id, row)
}

// end ends the process without a word: its door, and its connections.
func (u *upstream) end() {
	u.mu.Lock()
	server := u.http
	u.mu.Unlock()
	_ = server.Close()
}

// ServeHTTP serves one request.
func (u *upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	h["Date"], h["Content-Type"] = nil, nil
	h.Set("Keep-Alive", "timeout=10")
	if r.URL.Path == "/healthz" {
		h.Set("X-Instance-Id", u.id)
		return
	}
	a := &arrival{at: time.Now(), id: r.Header.Get("X-Request-Id"), path: r.URL.Path, upstream: u.id}
	u.mu.Lock()
	u.arrivals = append(u.arrivals, a)
	early := u.early
	u.mu.Unlock()
	h.Set("X-Request-Id", a.id)
	if want := r.Header.Get("X-Expected-Instance"); want != "" && want != u.id {
		h.Set("X-Instance-Id", u.id)
		u.answer(w, a, http.StatusMisdirectedRequest, "")
		return
	}
	if early != nil && early(w, r, a) {
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	limit := 10 * time.Second
	if ms, err := strconv.Atoi(r.Header.Get("X-Deadline-Ms")); err == nil {
		limit = time.Duration(ms) * time.Millisecond
	}
	if a.id == "" {
		h.Set("X-Not-Executed", "1")
		u.answer(w, a, http.StatusBadRequest, "")
		return
	}
	if !u.enter(r, limit) {
		h.Set("X-Not-Executed", "1")
		u.answer(w, a, http.StatusServiceUnavailable, "")
		return
	}
	defer func() { <-u.free }()
	u.mu.Lock()
	a.ran = true
	behave := u.behave
	u.mu.Unlock()
	time.Sleep(u.work)
	h.Set("X-Upstream-Signature", fmt.Sprintf("%s.%s", u.id, a.id))
	if behave != nil && behave(w, r) {
		return
	}
	u.answer(w, a, http.StatusOK, "answer to "+a.id)
}

// enter waits for a slot; it reports whether the request has one.
func (u *upstream) enter(r *http.Request, limit time.Duration) bool {
	u.mu.Lock()
	if u.inside >= u.slots*(1+queuePerSlot) {
		u.mu.Unlock()
		return false
	}
	u.inside++
	free := u.free
	u.mu.Unlock()
	defer func() {
		u.mu.Lock()
		u.inside--
		u.mu.Unlock()
	}()
	t := time.NewTimer(limit)
	defer t.Stop()
	select {
	case free <- struct{}{}:
		return true
	case <-t.C:
	case <-r.Context().Done():
	}
	return false
}

func (u *upstream) answer(w http.ResponseWriter, a *arrival, status int, body string) {
	u.mu.Lock()
	a.answered = status
	u.mu.Unlock()
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = io.WriteString(w, body)
}

// seen returns the requests that came, in order.
func (u *upstream) seen() (list []arrival) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, a := range u.arrivals {
		list = append(list, *a)
	}
	return list
}

// setBehave replaces what the upstream does instead of answering well.
func (u *upstream) setBehave(f func(w http.ResponseWriter, r *http.Request) bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.behave = f
}
