package once

import (
	"fmt"
	"math/rand/v2"
	"sync"

	"github.com/tinladder/tinladder/clock"
	"github.com/tinladder/tinladder/ident"
)

// Limits bounds what a ledger keeps.
type Limits struct {
	// SliceDuration is how long one slice's prefix is handed out.
	SliceDuration clock.Millis
	// Retention is how much longer keys of the slice are taken, and their outcomes kept.
	Retention clock.Millis
	// Keys is the most keys kept, of all workspaces.
	Keys int
	// Bytes is the most bytes of answers kept, of all workspaces.
	Bytes int
	// ResponseBytes is the most bytes of one answer that are kept.
	ResponseBytes int
}

// DefaultLimits keeps outcomes for ten minutes within about 24 MB.
var DefaultLimits = Limits{
	SliceDuration: 1 * clock.Minute,
	Retention:     10 * clock.Minute,
	Keys:          60_000,
	Bytes:         8 << 20,
	ResponseBytes: 4 << 10,
}

type state int

const (
	running state = iota
	answered
	voided
	unknown
)

type entry struct {
	state       state
	fingerprint uint64
	response    *Response
}

// entryKey is a key within its slice.
type entryKey struct {
	workspace ident.Workspace
	suffix    string
}

type slice struct {
	id      string
	opened  clock.Millis
	entries map[entryKey]*entry
	// closed workspaces get no further keys of the slice run.
	closed map[ident.Workspace]bool
	bytes  int
}

// A Ledger struct is one process's memory of the keys whose home it is. It is safe for
// concurrent use.
type Ledger struct {
	self   ident.Process
	limits Limits
	clock  clock.Clock
	rand   *rand.Rand

	mu              sync.Mutex
	slices          []*slice
	sliceCount      uint64
	keys            int
	bytes           int
	keysByWorkspace map[ident.Workspace]int
}

// NewLedger returns an empty ledger. The random numbers keep callers from guessing slices.
func NewLedger(self ident.Process, l Limits, c clock.Clock, r *rand.Rand) *Ledger {
	return &Ledger{self: self, limits: l, clock: c, rand: r, keysByWorkspace: map[ident.Workspace]int{}}
}

// Prefix returns the prefix to hand out now.
func (l *Ledger) Prefix() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Prefix(l.self, l.currentSlice().id)
}

// Keys returns how many keys are kept.
func (l *Ledger) Keys() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.keys
}

// currentSlice drops slices that have ended, and returns the one whose prefix is handed out.
func (l *Ledger) currentSlice() *slice {
	now := l.clock.Now()
	l.expire(now)
	if n := len(l.slices); n > 0 && now-l.slices[n-1].opened < l.limits.SliceDuration {
		return l.slices[n-1]
	}
	l.sliceCount++
	s := &slice{
		id:      fmt.Sprintf("%d-%x", l.sliceCount, l.rand.Uint64()),
		opened:  now,
		entries: map[entryKey]*entry{},
		closed:  map[ident.Workspace]bool{},
	}
	l.slices = append(l.slices, s)
	return s
}

func (l *Ledger) expire(now clock.Millis) {
	for len(l.slices) > 0 && now-l.slices[0].opened >= l.limits.SliceDuration+l.limits.Retention {
		l.dropSlice(l.slices[0])
		l.slices = l.slices[1:]
	}
}

func (l *Ledger) dropSlice(s *slice) {
	for n := range s.entries {
		l.keys--
		l.keysByWorkspace[n.workspace]--
		if l.keysByWorkspace[n.workspace] == 0 {
			delete(l.keysByWorkspace, n.workspace)
		}
	}
	l.bytes -= s.bytes
	s.entries = nil
}

func (l *Ledger) findSlice(id string) *slice {
	for _, s := range l.slices {
		if s.id == id {
			return s
		}
	}
	return nil
}

// Begin decides what to do with a request of the workspace under the key. The fingerprint tells
// requests apart that come under one key.
func (l *Ledger) Begin(w ident.Workspace, k Key, fingerprint uint64) Decision {
	if k.Home != l.self {
		return Forward{Home: k.Home}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire(l.clock.Now())
	s := l.findSlice(k.Slice)
	if s == nil {
		return Unknown{Reason: "the key's time slice has ended"}
	}
	n := entryKey{workspace: w, suffix: k.Suffix}
	if e, found := s.entries[n]; found {
		return e.decide(fingerprint)
	}
	if s.closed[w] || !l.hasRoom(w) {
		s.closed[w] = true
		return NotRun{Reason: "too many keys; ask for a new prefix"}
	}
	e := &entry{fingerprint: fingerprint}
	s.entries[n] = e
	l.keys++
	l.keysByWorkspace[w]++
	return Run{Ticket: &Ticket{ledger: l, slice: s, entry: e}}
}

// hasRoom says whether the workspace may have one more key: no more than what is still free. One
// workspace alone gets half; later ones always find some.
func (l *Ledger) hasRoom(w ident.Workspace) bool {
	return l.keysByWorkspace[w] < l.limits.Keys-l.keys
}

func (e *entry) decide(fingerprint uint64) Decision {
	if e.fingerprint != fingerprint {
		return Mismatch{}
	}
	switch e.state {
	case answered:
		return Replay{Response: e.response}
	case voided:
		return NotRun{Reason: "given up before it ran"}
	case running:
		return Unknown{Reason: "still running"}
	}
	return Unknown{Reason: "the target's answer was lost"}
}

// A Ticket struct is the right to run one request. The first of its ends holds.
type Ticket struct {
	ledger *Ledger
	slice  *slice
	entry  *entry
}

// Complete records what the target answered.
func (t *Ticket) Complete(a *Response) {
	t.end(answered, t.ledger.trim(a))
}

// Void records that the request has not run, and that it never will. Call it before anybody is
// told so.
func (t *Ticket) Void() {
	t.end(voided, nil)
}

// Unknown records that nobody knows whether the request ran.
func (t *Ticket) Unknown() {
	t.end(unknown, nil)
}

func (t *Ticket) end(s state, a *Response) {
	l := t.ledger
	l.mu.Lock()
	defer l.mu.Unlock()
	if t.entry.state != running {
		return
	}
	t.entry.state = s
	if a.size() > l.limits.Bytes-l.bytes {
		a = &Response{Status: a.Status}
	}
	t.entry.response = a
	if t.slice.entries != nil {
		t.slice.bytes += a.size()
		l.bytes += a.size()
	}
}

// trim leaves the body out of answers that are too large to keep.
func (l *Ledger) trim(a *Response) *Response {
	if !a.Complete || a.size() > l.limits.ResponseBytes {
		return &Response{Status: a.Status}
	}
	return a
}
