// Package watcher decides which nodes of a hall ask the store, and when. One node follows the store and the
// others rely on its word. Where the store turns nodes away, the hall searches for one that it answers, at a pace
// that does not grow with the hall. It does no I/O.
//
// The load that it answers: the store is away for some seconds, for all nodes or for some, and nodes that all ask
// for themselves would add a call each every second or so, just when it can bear them least.
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
	// StaleAfter is how old the last word of the store may be before a node asks the store itself: more than the
	// wait of a watcher's question, and so little that a node that was just cut off from the watchers still
	// has a change in force within the platform's 2 s.
	StaleAfter clock.Millis = 1550
	// lonelyStep and lonelyMost are how much longer each node waits than the one ranked before it, and the most of
	// it, where it hears nobody of its hall: it may be cut off, and has no time to lose.
	lonelyStep, lonelyMost clock.Millis = 10, 150
	// step and most are the same where it hears others: the nodes before it may have ended just now.
	step, most clock.Millis = 25, 1000
	// lonelyAfter is how long a node hears nobody until it takes itself for cut off: two words of a watcher
	// that were lost, and some room.
	lonelyAfter clock.Millis = 900
	// searchStep is the pause between two nodes that try one after the other, while the store turns nodes away.
	searchStep clock.Millis = 100
	// deafFor is how long a node that was turned away is passed over.
	deafFor = 3 * clock.Second
	// pauseFirst and pauseMost bound the pause of a node after questions that failed, by their number; pausePerDeaf has
	// a hall of any size make four calls a second, and pauseLongest bounds that.
	pauseFirst   clock.Millis = 150
	pauseMost                 = 1 * clock.Second
	pausePerDeaf clock.Millis = 250
	pauseLongest              = 6 * clock.Second
	// spreadLeast and spreadMost are by how much chance shortens or lengthens a pause: of many nodes that were turned away
	// at the same moment some ask soon, and the others hear of it.
	spreadLeast, spreadMost = 0.1, 1.9
	// oneAtATime is how long a question of a node that was turned away keeps its others back. One that the store
	// leaves without an answer, or answers at length, holds them up no longer.
	oneAtATime clock.Millis = 300
	// watchDuty names the duty to watch the store.
	watchDuty = "watch"
	// evenWeight gives all candidates the same chance.
	evenWeight = 100
)

// A Hall struct is what a node knows of the nodes of its hall as watchers, itself too. It is safe for concurrent use.
type Hall struct {
	clock clock.Clock
	self  ident.Process

	mu sync.Mutex
	// deafAt is when nodes were last known to be turned away.
	deafAt map[ident.Process]clock.Millis
	// lastDeaf is the newest of those, and heardAt when any other node was heard.
	lastDeaf, heardAt clock.Millis
	// reachedAt is when the store last answered this node.
	reachedAt clock.Millis
	// pause is the one after the last question that failed, by the number of them, and spread what chance makes of it.
	pause  clock.Millis
	spread float64
	// failedAt is when a question last failed, and askedAt when one last went out while the store turned this node away.
	failedAt, askedAt clock.Millis
}

// New returns a hall of which only the node itself is known.
func New(c clock.Clock, self ident.Process) *Hall {
	return &Hall{clock: c, self: self, deafAt: map[ident.Process]clock.Millis{}}
}

// Heard takes in the word of another node of the hall, which says whether the store turns it away.
func (h *Hall) Heard(p ident.Process, deaf bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.clock.Now()
	h.heardAt = now
	if deaf {
		h.deafAt[p], h.lastDeaf = now, now
	} else {
		delete(h.deafAt, p)
	}
}

// HeardWithin says whether another node of the hall was heard so shortly ago.
func (h *Hall) HeardWithin(span clock.Millis) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.heardAt > 0 && h.clock.Now()-h.heardAt < span
}

// Answered notes that the store answered this node, and says whether it had turned it away before.
func (h *Hall) Answered() (regained bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	_, regained = h.deafAt[h.self]
	delete(h.deafAt, h.self)
	h.reachedAt, h.pause, h.failedAt, h.askedAt = h.clock.Now(), 0, 0, 0
	return regained
}

// TurnedAway notes that the store did not answer this node. It returns how long this node waits until its next question,
// as its hall is now, and whether the question before it was answered.
func (h *Hall) TurnedAway() (pause clock.Millis, first bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.clock.Now()
	_, again := h.deafAt[h.self]
	h.deafAt[h.self], h.lastDeaf = now, now
	if now-h.failedAt >= h.pause/2 { // questions that fail together count once
		h.pause = min(max(2*h.pause, pauseFirst), pauseMost)
	}
	h.failedAt, h.spread = now, spreadLeast+rand.Float64()*(spreadMost-spreadLeast)
	return h.wait(now), !again
}

// wait is how long this node waits after a question that failed. A hall of many waits the longer, since the first that is
// answered tells the others; a node that hears none of them cannot rely on that.
func (h *Hall) wait(now clock.Millis) clock.Millis {
	pause := h.pause
	if now-h.heardAt < lonelyAfter {
		pause = max(pause, min(clock.Millis(h.deaf(now))*pausePerDeaf, pauseLongest))
	}
	return clock.Millis(h.spread * float64(pause))
}

// Admits says whether a question may go out now, and counts it. A node that was turned away asks again after a pause, and
// one question at a time: as soon as one is answered, all may go out. It tells the others that it asks: while they hear of
// that, they wait longer.
func (h *Hall) Admits() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if _, deaf := h.deafAt[h.self]; !deaf {
		return true
	}
	now := h.clock.Now()
	if now < h.failedAt+h.wait(now) || now < h.askedAt+oneAtATime {
		return false
	}
	h.askedAt = now
	return true
}

// Deaf says whether the store turned this node away when it last asked.
func (h *Hall) Deaf() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	_, deaf := h.deafAt[h.self]
	return deaf
}

// Calm says whether the store turned no node of the hall away of late: places go by the nodes' weights alone then.
func (h *Hall) Calm() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.deaf(h.clock.Now()) == 0
}

// deaf counts the nodes that were turned away of late.
func (h *Hall) deaf(now clock.Millis) (n int) {
	for _, at := range h.deafAt {
		if now-at < deafFor {
			n++
		}
	}
	return n
}

// Rank returns this node's place in the order in which the hall's nodes watch, from 0, given what each can
// carry. Those that can carry the most come first, since a watcher reads each state whole and hands it on;
// those that were turned away of late come last.
func (h *Hall) Rank(weights map[ident.Process]uint32) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.clock.Now()
	able := map[ident.Node]uint32{h.self.Node: weights[h.self]}
	for p, w := range weights {
		if at, deaf := h.deafAt[p]; p != h.self && !(deaf && now-at < deafFor) {
			able[p.Node] = w
		}
	}
	if at, deaf := h.deafAt[h.self]; deaf && now-at < deafFor {
		return len(able) - 1
	}
	return rank(able, h.self.Node)
}

// rank returns a node's place: first come those that carry at least half of the most.
func rank(weights map[ident.Node]uint32, self ident.Node) int {
	heaviest := slices.Max(slices.Collect(maps.Values(weights)))
	strong := func(n ident.Node) bool { return 2*weights[n] >= heaviest }
	var before int
	var equals []assign.Candidate
	for node := range weights {
		switch {
		case strong(node) == strong(self):
			equals = append(equals, assign.Candidate{Node: node, Weight: evenWeight})
		case strong(node):
			before++
		}
	}
	return before + assign.Position(watchDuty, equals, self)
}

// First returns the node of a hall that watches it, as far as its nodes are known to have the weights; "" if there
// is none.
func First(weights map[ident.Node]uint32) ident.Node {
	if len(weights) == 0 {
		return ""
	}
	heaviest := slices.Max(slices.Collect(maps.Values(weights)))
	var strong []assign.Candidate
	for node, w := range weights {
		if 2*w >= heaviest {
			strong = append(strong, assign.Candidate{Node: node, Weight: evenWeight})
		}
	}
	return assign.First(watchDuty, strong)
}

// A Question struct is what a node might ask the store.
type Question struct {
	// Age is how long ago the store was last known to hold nothing newer.
	Age clock.Millis
	// Rank is the node's place among the hall's watchers.
	Rank int
	// Leads says that this question goes first: while the store turns nodes away, others follow only once it was
	// answered.
	Leads bool
}

// Due says whether the node should ask now.
func (h *Hall) Due(q Question) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.clock.Now()
	searching := now-h.lastDeaf < deafFor && h.lastDeaf > 0
	switch {
	case q.Rank == 0 && q.Age <= StaleAfter:
		return true
	case now-h.heardAt >= lonelyAfter:
		return q.Age > StaleAfter+min(clock.Millis(q.Rank)*lonelyStep, lonelyMost)
	case !q.Leads && now-h.reachedAt > StaleAfter && (searching || q.Rank > 0):
		return false
	case searching:
		return q.Age > StaleAfter && now-h.lastDeaf >= clock.Millis(q.Rank+1)*searchStep
	}
	return q.Age > StaleAfter+min(clock.Millis(q.Rank)*step, most)
}
