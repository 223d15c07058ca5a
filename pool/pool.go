// Package pool chooses a target for each request of one service on one node, and holds requests
// back while the targets are full. It weighs what this node and the service's other nodes have
// seen of each target. It does no I/O.
package pool

import (
	"container/list"
	"math/rand/v2"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/tinladder/tinladder/belief"
	"github.com/tinladder/tinladder/clock"
	"github.com/tinladder/tinladder/ident"
)

// ErrNoTarget says that no target may take the request.
var ErrNoTarget = errors.New("no target may take the request")

// A BusyError says that waiting is of no use, and when it may be worth coming back.
type BusyError struct {
	RetryAfter clock.Millis
	Reason     string
}

// Error implements error.
func (e *BusyError) Error() string {
	return e.Reason
}

// A Target struct is what is registered of a target.
type Target struct {
	ID      ident.Target
	Address string
	Slots   int
	Hall    ident.Hall
	// SameHall targets are in this node's hall, and OtherRegion ones in another region.
	SameHall, OtherRegion bool
	// Assigned are targets that this node tries when too little is known of them: near ones, and those
	// that are near no node.
	Assigned bool
	// TrialRank is this node's place among those whose part the target is, from 0: the first one tries it.
	TrialRank int
	// Life tells apart the lives of a target that starts again under its id: a later one knows nothing of before.
	Life uint64
	// Leaving targets take no new work.
	Leaving bool
	// WarmAt is until when the target is slow from its start.
	WarmAt clock.Millis
	// WarmupUntil is until when what it gets from all nodes together is bounded, and ColdRate this node's part of that by
	// the second; 0 if it may send none.
	WarmupUntil clock.Millis
	WarmupRate  float64
	// Evacuated targets are in a hall that is to get nothing.
	Evacuated bool
}

// An Outcome says how an attempt ended.
type Outcome int

// Outcomes of attempts.
const (
	// Good answers came from the target, whatever it said of the request itself.
	Good Outcome = iota
	// Failed answers say that the target failed.
	Failed
	// Late attempts ran out of time, though they had as much as usual requests need.
	Late
	// ConnectionLost attempts were sent and lost their connection.
	ConnectionLost
	// Unreachable targets took no connection.
	Unreachable
	// Shed requests were turned away by a target that is full, and did not run.
	Shed
	// Replaced targets are no more at their address.
	Replaced
	// Abandoned requests were given up by the caller, or by this node for another reason than
	// the target.
	Abandoned
)

type peerView struct {
	inFlight int
	at       clock.Millis
	okAt     clock.Millis
	failed   uint32
	late     uint32
	// triedAt is when the node was last heard to have a request there.
	triedAt clock.Millis
	// unreachable says that the node's own way to the target seems cut, and unreachableSince when that was first heard
	// after its last answer there.
	unreachable      bool
	unreachableSince clock.Millis
}

// peerTally is what another node said of how its requests ended.
type peerTally struct {
	tally
	at clock.Millis
}

type target struct {
	Target
	// restartedAt is when this node learned that the target had started again under its id; 0 if it never did.
	restartedAt   clock.Millis
	belief        belief.Belief
	localInFlight int
	peers         map[ident.Process]*peerView
	// peerInFlight is what they have in flight, as summed at othersAt; othersTriedAt is when one that can connect there was
	// last heard to have more.
	peerInFlight                int
	peerInFlightAt, peerTriedAt clock.Millis
	// okAt and failedAt are when this node saw the last good answer and the last failure.
	okAt, failedAt clock.Millis
	// lastFailed is when any node was last known to see a failure.
	lastFailed clock.Millis
	// failures and lates count since this node's start.
	failures, lates uint32
	lateAt          clock.Millis
	// blockedUntil is until when this node passes the target over, since it cannot reach it.
	blockedUntil    clock.Millis
	connectFailures int
	// unreachableAt is when it last took no connection from this node.
	unreachableAt clock.Millis
	// avoided says that the target is thought to be failing, keptForFloor that it is used all the same, since
	// the floor needs its slots.
	avoided, keptForFloor bool
	// announcedLeave says that the target itself said that it is leaving, or is replaced.
	announcedLeave bool
	// closings counts answers in a row that said that the connection closes.
	closings int
	addedAt  clock.Millis
	// evidenceAt is when the last evidence on the target came to this node; 0 if never.
	evidenceAt clock.Millis
	// joined targets came while this node knew the service already, and addedBeforeTraffic ones before its first request.
	joined, addedBeforeTraffic bool
	// usedAt is when any node last sent it a request that got there, as far as is known; triedAt is when this node last
	// gave it one, which may not get there.
	usedAt, triedAt clock.Millis
	removed         bool
	reportPending   bool
	// warmupBucket is what this node gave it while it was cold.
	warmupBucket tokenBucket
	// reportedAt is when the other nodes were last told of it.
	reportedAt clock.Millis
}

// ChangeKind says who should hear what has changed, and how soon.
type ChangeKind int

// News by how far it should go.
const (
	// LocalLoad is the load of targets of this hall, for this hall's nodes.
	LocalLoad ChangeKind = iota
	// RemoteLoad is the load of targets of other halls, for those halls' nodes at once.
	RemoteLoad
	// HealthEvidence on a target is for all nodes at once.
	HealthEvidence
)

// A Pool struct holds the targets of one service. It is safe for concurrent use.
type Pool struct {
	clock  clock.Clock
	rand   *rand.Rand
	tuning Tuning
	budget *RetryBudget
	// onChange is called, with no lock held, when there is something to tell the other nodes of a target of the hall.
	onChange func(n ChangeKind, of ident.Hall)
	// onEvent is called, with no lock held, for each change in what is believed of a target.
	onEvent func(Event)

	mu          sync.Mutex
	targets     map[ident.Target]*target
	order       []*target
	waiting     *list.List
	serviceTime float64
	// failTime is how long it takes until a failure shows.
	failTime  float64
	floor     int
	reportSeq uint64
	ended     *window
	// started counts this node's attempts, as they begin.
	started   *window
	peerTallies map[ident.Process]peerTally
	// sawTraffic says that a request of any node is known to have gone to a target.
	sawTraffic bool
	// joinTrials is how many targets that joined may be tried now while load is sparse.
	joinTrials      float64
	timeoutBaseline timeoutBaseline
	events          []Event
}

// New returns a pool without targets.
func New(t Tuning, c clock.Clock, r *rand.Rand, b *RetryBudget, onChange func(n ChangeKind, of ident.Hall), onEvent func(Event)) *Pool {
	return &Pool{
		clock: c, rand: r, tuning: t, budget: b, onChange: onChange, onEvent: onEvent,
		targets: map[ident.Target]*target{}, waiting: list.New(), serviceTime: float64(t.FirstServiceTime), failTime: float64(t.FirstServiceTime),
		ended: newWindow(t.TroubleWindow), started: newWindow(t.TroubleWindow), peerTallies: map[ident.Process]peerTally{},
	}
}

// Hedges says whether a second attempt may be made beside one that takes long.
func (p *Pool) Hedges() bool {
	return p.tuning.Hedge
}

// RetryBudget returns what bounds further attempts.
func (p *Pool) RetryBudget() *RetryBudget {
	return p.budget
}

// SetTargets replaces the targets. What is known of those that stay is kept.
func (p *Pool) SetTargets(targets []Target) {
	p.mu.Lock()
	now := p.clock.Now()
	byID := make(map[ident.Target]*target, len(targets))
	p.order = p.order[:0]
	for _, registered := range targets {
		t := p.targets[registered.ID]
		restarted := t != nil && t.Life != registered.Life
		if t == nil || restarted {
			t = &target{belief: belief.New(&p.tuning.Model, now), peers: map[ident.Process]*peerView{}, addedAt: now, joined: len(p.targets) > 0, addedBeforeTraffic: !p.sawTraffic}
		}
		if restarted {
			t.restartedAt = now
		}
		t.Target = registered
		byID[registered.ID] = t
		p.order = append(p.order, t)
	}
	for id, t := range p.targets {
		t.removed = byID[id] == nil
	}
	p.targets = byID
	p.applyFloor(now)
	grants := p.grantWaiting()
	p.mu.Unlock()
	deliver(grants)
}

// Stats is a look at a pool.
type Stats struct {
	Waiting, InFlight, Targets, Usable int
	ServiceTime                        clock.Millis
}

// Stats returns the pool's counts now.
func (p *Pool) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := Stats{Waiting: p.waiting.Len(), Targets: len(p.order), ServiceTime: clock.Millis(p.serviceTime)}
	now := p.clock.Now()
	for _, t := range p.order {
		s.InFlight += t.localInFlight
		if p.usable(t, now) {
			s.Usable++
		}
	}
	return s
}
