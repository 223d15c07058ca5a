package node

import (
	"context"
	"fmt"
	"sync"

	"github.com/tinladder/tinladder/clock"
	"github.com/tinladder/tinladder/ident"
	tlv1 "github.com/tinladder/tinladder/schema/tinladder/v1"
	"github.com/tinladder/tinladder/store"
	"google.golang.org/protobuf/proto"
)

const (
	eventsPrefix = "events/"
	// maxEvents is the maximum number of events held while the object store is unavailable.
	maxEvents = 10_000
	// The interval between batches is at least minBatchInterval and grows by batchIntervalPerNode for each node of the fleet,
	// to stay within the platform's write rate.
	minBatchInterval                  = 10 * clock.Second
	batchIntervalPerNode clock.Millis = 50
	// eventsPageSize is the number of batches per read.
	eventsPageSize = 500
	// eventsOverlap is how much earlier than requested a read starts: batches are named by the time at which they were saved,
	// and a node whose clock is behind must not be missed.
	eventsOverlap = 2 * clock.Second
)

type failureKey struct {
	service string
	outcome Outcome
}

// An eventLog saves what this node did on its own to the object store, for the operators' report.
type eventLog struct {
	self    ident.Process
	objects store.Objects
	clock   clock.Clock

	mu       sync.Mutex
	pending  []*tlv1.Event
	failures map[failureKey]uint64
	lost     uint64
	seq      uint64
	lastSave clock.Millis
	nodes    int
	// enabled reports whether operators read the saved events.
	enabled bool
	// saving is a semaphore of one, held while a batch is saved.
	saving chan struct{}
}

func newEventLog(self ident.Process, o store.Objects, c clock.Clock) *eventLog {
	return &eventLog{self: self, objects: o, clock: c, failures: map[failureKey]uint64{}, nodes: 1, saving: make(chan struct{}, 1)}
}

// add keeps an event until it is saved. Beyond maxEvents the oldest are dropped and counted.
func (l *eventLog) add(e *tlv1.Event) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.append(e)
}

func (l *eventLog) append(e *tlv1.Event) {
	e.AtMs = int64(l.clock.Now())
	e.Node = string(l.self.Node)
	if len(l.pending) == maxEvents {
		l.pending = l.pending[1:]
		l.lost++
	}
	l.pending = append(l.pending, e)
}

// countFailure counts a request that ended without a target's complete response.
func (l *eventLog) countFailure(service string, o Outcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.failures) < maxEvents {
		l.failures[failureKey{service: service, outcome: o}]++
	}
}

// setNodeCount sets how many nodes share the platform's write rate.
func (l *eventLog) setNodeCount(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.nodes = n
}

// tick saves a batch when one is due.
func (l *eventLog) tick(ctx context.Context) {
	l.mu.Lock()
	due := l.clock.Now()-l.lastSave >= max(minBatchInterval, batchIntervalPerNode*clock.Millis(l.nodes))
	l.mu.Unlock()
	if due {
		l.flush(ctx)
	}
}

// flush saves the pending events. It waits for a save in progress, whose events would otherwise be saved twice. Events that
// could not be saved are kept.
func (l *eventLog) flush(ctx context.Context) {
	if !l.enabled {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, clock.Second.Duration())
	defer cancel()
	select {
	case l.saving <- struct{}{}:
		defer func() { <-l.saving }()
	case <-ctx.Done():
		return
	}
	l.mu.Lock()
	l.lastSave = l.clock.Now()
	l.appendCounts()
	batch := l.pending
	l.seq++
	name := fmt.Sprintf("%s%013d-%s-%d-%d", eventsPrefix, l.lastSave, l.self.Node, l.self.Incarnation, l.seq)
	l.mu.Unlock()
	if len(batch) == 0 {
		return
	}
	value, err := proto.Marshal(&tlv1.EventBatch{Events: batch})
	if err != nil {
		return
	}
	if l.objects.Put(ctx, store.Object{Name: name, Value: value}) != nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.removeSaved(batch)
}

// appendCounts turns counters into events. The caller holds the lock.
func (l *eventLog) appendCounts() {
	for k, n := range l.failures {
		e := &tlv1.Event{Kind: tlv1.EventKind_EVENT_KIND_FAILED_REQUESTS, Service: k.service, Count: n, Reason: string(k.outcome)}
		if svc, err := ident.ParseService(k.service); err == nil {
			e.Workspace, e.Service = string(svc.Workspace), svc.Name
		}
		l.append(e)
	}
	clear(l.failures)
	if l.lost > 0 {
		lost := l.lost
		l.lost = 0
		l.append(&tlv1.Event{Kind: tlv1.EventKind_EVENT_KIND_LOST_EVENTS, Count: lost, Reason: "the object store was away"})
	}
}

// removeSaved removes saved events, some of which may have been dropped for lack of room already. The caller holds the lock.
func (l *eventLog) removeSaved(saved []*tlv1.Event) {
	last := saved[len(saved)-1]
	for i, e := range l.pending {
		if e == last {
			l.pending = l.pending[i+1:]
			return
		}
	}
}

// since returns the saved and unsaved events of a workspace, or of all workspaces if it is empty.
func (l *eventLog) since(ctx context.Context, w ident.Workspace, from clock.Millis) (events []*tlv1.Event, err error) {
	after := fmt.Sprintf("%s%013d", eventsPrefix, max(from-eventsOverlap, 0))
	for {
		objects, err := l.objects.List(ctx, eventsPrefix, after, eventsPageSize)
		if err != nil {
			return l.unsaved(w, from), err
		}
		for _, o := range objects {
			b := &tlv1.EventBatch{}
			if err := proto.Unmarshal(o.Value, b); err != nil {
				return nil, err
			}
			events = append(events, filter(b.GetEvents(), w, from)...)
			after = o.Name
		}
		if len(objects) < eventsPageSize {
			return append(events, l.unsaved(w, from)...), nil
		}
	}
}

func (l *eventLog) unsaved(w ident.Workspace, from clock.Millis) []*tlv1.Event {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.appendCounts()
	return filter(l.pending, w, from)
}

func filter(events []*tlv1.Event, w ident.Workspace, from clock.Millis) []*tlv1.Event {
	var list []*tlv1.Event
	for _, e := range events {
		if e.GetAtMs() >= int64(from) && (w == "" || e.GetWorkspace() == string(w) || e.GetWorkspace() == "") {
			list = append(list, e)
		}
	}
	return list
}
