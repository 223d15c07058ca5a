// Package watcher decides which nodes of a hall query the store. One node, the watcher, follows the store, and the
// others rely on its confirmations. While the store fails for some nodes, the hall searches for one that it
// answers, at a rate that does not grow with the size of the hall. The package does no I/O.
//
// It limits the load when the store is unavailable for some seconds, for all nodes or for some: if every node
// queried the store itself, each would add about a call a second while the store can bear it least.
package watcher

import (
	"maps"
	"math/rand/v2"
	"slices"
	"sync"

	"github.com/tinladder/tinladder/assign"
	"github.com/tinladder/tinladder/clock"
	"github.com/tinladder/tinladder/ident"
)

const (
	// StaleAfter is the age of the last confirmation by the store from which a node queries the store itself. It
	// exceeds the wait of a watcher's query, and is short enough that a node just cut off from the watchers still
	// applies a change within the platform's 2 s.
	StaleAfter clock.Millis = 1550
	// isolatedRankDelay is how much longer each node waits than the one ranked before it while it is in contact
	// with no other node of its hall, up to maxIsolatedDelay. It may be cut off and must not lose time.
	isolatedRankDelay, maxIsolatedDelay clock.Millis = 10, 150
	// rankDelay and maxRankDelay are the same while it is in contact with others: the nodes ranked before it may
	// have just ended.
	rankDelay, maxRankDelay clock.Millis = 25, 1000
	// isolatedAfter is how long a node has no contact with others before it counts as isolated: two lost
	// confirmations of a watcher, and some margin.
	isolatedAfter clock.Millis = 900
	// searchInterval is the pause between the queries of two nodes in turn while the store fails for nodes of the
	// hall.
	searchInterval clock.Millis = 100
	// failingTTL is how long after a failure a node counts as failing and is ranked last.
	failingTTL = 3 * clock.Second
	// minBackoff and maxBackoff bound a node's exponential backoff after failed queries. backoffPerFailing limits
	// a hall of any size to four calls a second, and maxHallBackoff bounds the backoff that it gives.
	minBackoff        clock.Millis = 150
	maxBackoff                     = 1 * clock.Second
	backoffPerFailing clock.Millis = 250
	maxHallBackoff                 = 6 * clock.Second
	// minJitter and maxJitter bound the random factor of a backoff: of many nodes that fail at the same moment
	// some query soon, and the others learn the result.
	minJitter, maxJitter = 0.1, 1.9
	// exclusiveFor is how long a query of a failing node holds back its other queries. One that gets no answer, or
	// a long one, holds them back no longer.
	exclusiveFor clock.Millis = 300
	// watchDuty is the name of the watcher's duty in package assign.
	watchDuty = "watch"
	// equalWeight gives all candidates the same weight.
	equalWeight = 100
)

// A Hall struct holds what a node knows of its hall's nodes, itself included, as candidates for watching. It is
// safe for concurrent use.
type Hall struct {
	clock clock.Clock
	self  ident.Process

	mu sync.Mutex
	// failing holds when each failing node was last known to fail.
	failing map[ident.Process]clock.Millis
	// lastFailing is the newest of these times, and heardAt when any other node was last heard.
	lastFailing, heardAt clock.Millis
	// succeededAt is when the store last answered this node.
	succeededAt clock.Millis
	// backoff grows with the number of failed queries, and jitter is its random factor.
	backoff clock.Millis
	jitter  float64
	// failedAt is when a query last failed, and queriedAt when one was last sent while this node was failing.
	failedAt, queriedAt clock.Millis
}

// New returns a hall that knows only the node itself.
func New(c clock.Clock, self ident.Process) *Hall {
	return &Hall{clock: c, self: self, failing: map[ident.Process]clock.Millis{}}
}

// Heard records a message from another node of the hall, which says whether the store fails for it.
func (h *Hall) Heard(p ident.Process, deaf bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.clock.Now()
	h.heardAt = now
	if deaf {
		h.failing[p], h.lastFailing = now, now
	} else {
		delete(h.failing, p)
	}
}

// HeardWithin reports whether another node of the hall was heard within span.
func (h *Hall) HeardWithin(span clock.Millis) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.heardAt > 0 && h.clock.Now()-h.heardAt < span
}

// QuerySucceeded records that the store answered this node, and reports whether the node was failing before.
func (h *Hall) QuerySucceeded() (regained bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	_, regained = h.failing[h.self]
	delete(h.failing, h.self)
	h.succeededAt, h.backoff, h.failedAt, h.queriedAt = h.clock.Now(), 0, 0, 0
	return regained
}

// QueryFailed records that the store did not answer this node. It returns the backoff until this node's next query
// as its hall is now, and whether the node was not failing before.
func (h *Hall) QueryFailed() (pause clock.Millis, first bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.clock.Now()
	_, again := h.failing[h.self]
	h.failing[h.self], h.lastFailing = now, now
	if now-h.failedAt >= h.backoff/2 { // concurrent failures count once
		h.backoff = min(max(2*h.backoff, minBackoff), maxBackoff)
	}
	h.failedAt, h.jitter = now, minJitter+rand.Float64()*(maxJitter-minJitter)
	return h.delay(now), !again
}

// delay is this node's backoff after a failed query. It grows with the number of failing nodes in the hall, since
// the first node that succeeds tells the others; an isolated node cannot rely on that.
func (h *Hall) delay(now clock.Millis) clock.Millis {
	pause := h.backoff
	if now-h.heardAt < isolatedAfter {
		pause = max(pause, min(clock.Millis(h.countFailing(now))*backoffPerFailing, maxHallBackoff))
	}
	return clock.Millis(h.jitter * float64(pause))
}

// AllowQuery reports whether a query may be sent now, and records it. A failing node sends one query at a time,
// each after a backoff; once one succeeds, all may be sent. The caller must tell the other nodes of the query:
// they wait longer while they hear of it.
func (h *Hall) AllowQuery() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if _, deaf := h.failing[h.self]; !deaf {
		return true
	}
	now := h.clock.Now()
	if now < h.failedAt+h.delay(now) || now < h.queriedAt+exclusiveFor {
		return false
	}
	h.queriedAt = now
	return true
}

// Failing reports whether this node's last query failed.
func (h *Hall) Failing() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	_, deaf := h.failing[h.self]
	return deaf
}

// Healthy reports whether no node of the hall failed recently: nodes are then ranked by their weights alone.
func (h *Hall) Healthy() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.countFailing(h.clock.Now()) == 0
}

// countFailing counts the nodes that failed recently.
func (h *Hall) countFailing(now clock.Millis) (n int) {
	for _, at := range h.failing {
		if now-at < failingTTL {
			n++
		}
	}
	return n
}

// Rank returns this node's place, from 0, in the order in which the hall's nodes watch, given their weights. Nodes
// of high capacity come first, since a watcher reads each state in full and passes it on; nodes that failed
// recently come last.
func (h *Hall) Rank(weights map[ident.Process]uint32) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.clock.Now()
	eligible := map[ident.Node]uint32{h.self.Node: weights[h.self]}
	for p, w := range weights {
		if at, deaf := h.failing[p]; p != h.self && !(deaf && now-at < failingTTL) {
			eligible[p.Node] = w
		}
	}
	if at, deaf := h.failing[h.self]; deaf && now-at < failingTTL {
		return len(eligible) - 1
	}
	return rank(eligible, h.self.Node)
}

// rank returns a node's place. Nodes with at least half of the greatest weight come first.
func rank(weights map[ident.Node]uint32, self ident.Node) int {
	heaviest := slices.Max(slices.Collect(maps.Values(weights)))
	strong := func(n ident.Node) bool { return 2*weights[n] >= heaviest }
	var before int
	var equals []assign.Candidate
	for node := range weights {
		switch {
		case strong(node) == strong(self):
			equals = append(equals, assign.Candidate{Node: node, Weight: equalWeight})
		case strong(node):
			before++
		}
	}
	return before + assign.Position(watchDuty, equals, self)
}

// First returns the node that watches a hall whose nodes have the weights, or "" if there are none.
func First(weights map[ident.Node]uint32) ident.Node {
	if len(weights) == 0 {
		return ""
	}
	heaviest := slices.Max(slices.Collect(maps.Values(weights)))
	var strong []assign.Candidate
	for node, w := range weights {
		if 2*w >= heaviest {
			strong = append(strong, assign.Candidate{Node: node, Weight: equalWeight})
		}
	}
	return assign.First(watchDuty, strong)
}

// A Query struct describes a query that a node might send to the store.
type Query struct {
	// Age is how long ago the store last confirmed that it holds nothing newer.
	Age clock.Millis
	// Rank is the node's place among the hall's watchers.
	Rank int
	// Primary marks the query that is sent first: while the store fails, others follow only once it succeeded.
	Primary bool
}

// Due reports whether the node should send the query now.
func (h *Hall) Due(q Query) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.clock.Now()
	searching := now-h.lastFailing < failingTTL && h.lastFailing > 0
	switch {
	case q.Rank == 0 && q.Age <= StaleAfter:
		return true
	case now-h.heardAt >= isolatedAfter:
		return q.Age > StaleAfter+min(clock.Millis(q.Rank)*isolatedRankDelay, maxIsolatedDelay)
	case !q.Primary && now-h.succeededAt > StaleAfter && (searching || q.Rank > 0):
		return false
	case searching:
		return q.Age > StaleAfter && now-h.lastFailing >= clock.Millis(q.Rank+1)*searchInterval
	}
	return q.Age > StaleAfter+min(clock.Millis(q.Rank)*rankDelay, maxRankDelay)
}
