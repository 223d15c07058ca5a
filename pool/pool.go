// Package pool chooses a target for each request of one service on one node, and queues requests while the targets
// are full. It combines what this node and the service's other nodes have observed of each target. It does no I/O.
package pool

import (
	"math/rand/v2"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/tinladder/tinladder/belief"
	"github.com/tinladder/tinladder/clock"
	"github.com/tinladder/tinladder/ident"
	"github.com/tinladder/tinladder/pool/speed"
	"github.com/tinladder/tinladder/pool/urgency"
)

// ErrNoTarget means that no target may take the request.
var ErrNoTarget = errors.New("no target may take the request")

// BusyError means that waiting is of no use; RetryAfter is when another request may be worthwhile.
type BusyError struct {
	RetryAfter clock.Millis
	Reason     string
	// ByUrgency says that the service admits only more urgent requests at present.
	ByUrgency bool
}

// Error implements error.
func (e *BusyError) Error() string {
	return e.Reason
}

// Target is what is registered of a target.
type Target struct {
	ID      ident.Target
	Address string
	Slots   int
	Hall    ident.Hall
	// SameHall says that the target is in this node's hall, OtherRegion that it is in another region.
	SameHall, OtherRegion bool
	// Assigned says that this node tries the target when too little is known of it: targets of its own hall, and
	// those of a hall without nodes.
	Assigned bool
	// TrialRank is this node's rank among the nodes that the target is assigned to; rank 0 tries it first.
	TrialRank int
	// Life identifies a generation of a target that restarts under its id. Nothing learned of one applies to the
	// next.
	Life uint64
	// Leaving targets take no new work.
	Leaving bool
	// WarmAt is when the target reaches its usual speed after its start.
	WarmAt clock.Millis
	// Until WarmupUntil the target's load from all nodes together is limited, and WarmupRate is this node's share
	// in requests per second; 0 if it may send none.
	WarmupUntil clock.Millis
	WarmupRate  float64
	// SenderRank is this node's rank, from 0, among the SenderCount nodes that send to the target if it limits its
	// requests; -1 if the node is not among them.
	SenderRank, SenderCount int
	// Evacuated targets are in a hall that is to get no work.
	Evacuated bool
}

// Outcome says how an attempt ended.
type Outcome int

// Outcomes of attempts.
const (
	// Good means that the target responded, whatever it said about the request itself.
	Good Outcome = iota
	// Failed means that the response shows a failure of the target.
	Failed
	// Late means that the attempt timed out, though it had as much time as usual requests need.
	Late
	// ConnectionLost means that the request was sent and its connection was lost.
	ConnectionLost
	// Unreachable means that the target accepted no connection.
	Unreachable
	// Shed means that the target's response asks to come back later. Whether it ran the request is another question.
	Shed
	// Replaced means that the target is no longer at its address.
	Replaced
	// Abandoned means that the caller gave the request up, or this node did for a reason other than the target.
	Abandoned
)

type peerView struct {
	inFlight int
	at       clock.Millis
	okAt     clock.Millis
	failed   uint32
	late     uint32
	// triedAt is when the node last reported more requests there.
	triedAt clock.Millis
	// unreachable says that the node's own network path to the target seems broken, unreachableSince when it first
	// reported that after its last response there.
	unreachable      bool
	unreachableSince clock.Millis
	// speed is what the node says of the target's time.
	speed speed.View
}

// peerTally is what another node reported of how its requests ended.
type peerTally struct {
	tally
	at clock.Millis
}

type target struct {
	Target
	// restartedAt is when this node learned that the target had restarted under its id; 0 if it never did.
	restartedAt   clock.Millis
	belief        belief.Belief
	localInFlight int
	peers         map[ident.Process]*peerView
	// peerInFlight is the number of requests that the peers have in flight, summed at peerInFlightAt; peerTriedAt
	// is when a peer that can connect there last reported more.
	peerInFlight                int
	peerInFlightAt, peerTriedAt clock.Millis
	// okAt and failedAt are when this node saw the last good response and the last failure.
	okAt, failedAt clock.Millis
	// lastFailed is when any node is known to have last seen a failure.
	lastFailed clock.Millis
	// failures and lates count since this node's start.
	failures, lates uint32
	lateAt          clock.Millis
	// Until blockedUntil this node passes the target over, since it cannot connect to it.
	blockedUntil    clock.Millis
	connectFailures int
	// unreachableAt is when a connection from this node last failed.
	unreachableAt clock.Millis
	// avoided says that the target is estimated to be failing, keptForFloor that it is used nevertheless because
	// the floor needs its slots.
	avoided, keptForFloor bool
	// announcedLeave says that the target itself announced that it is leaving, or is replaced.
	announcedLeave bool
	// Until restUntil the target wants nothing from this node.
	restUntil clock.Millis
	closing   closing
	addedAt   clock.Millis
	// evidenceAt is when the latest evidence on the target arrived; 0 if never.
	evidenceAt clock.Millis
	// joined targets were added while this node knew the service already, addedBeforeTraffic ones before its first
	// request.
	joined, addedBeforeTraffic bool
	// usedAt is when any node last sent it a request that arrived, as far as is known; triedAt is when this node
	// last gave it one, which may not arrive.
	usedAt, triedAt clock.Millis
	removed         bool
	// reportPending, homeReportPending and farReportPending say that nodes of this hall, of the target's hall and of
	// all other halls have not been told of a change.
	reportPending, homeReportPending, farReportPending bool
	// farInFlight is the number of requests that the nodes of all halls were last told of.
	farInFlight int
	// warmupBucket limits what this node sends to the target while it is warming up.
	warmupBucket tokenBucket
	limit        rateLimit
	// responseTime is the shortest recent time until a good response, and respondedAt when the latest one came.
	responseTime float64
	respondedAt  clock.Millis
	// reportedAt is when the target was last reported to the other nodes.
	reportedAt clock.Millis
	speed      targetSpeed
}

// ChangeKind says which nodes a change is for, and how soon.
type ChangeKind int

// Kinds of changes.
const (
	// LocalLoad is a change in the load of a target of this hall, for this hall's nodes.
	LocalLoad ChangeKind = iota
	// RemoteLoad is a change in the load of a target of another hall, for that hall's nodes at once.
	RemoteLoad
	// HealthEvidence is evidence of a target's health, for all nodes at once.
	HealthEvidence
)

// Pool holds the targets of one service. It is safe for concurrent use.
type Pool struct {
	clock  clock.Clock
	rand   *rand.Rand
	tuning Tuning
	budget *RetryBudget
	// onChange is called, with no lock held, when there is something to report to the other nodes on a target of
	// the hall.
	onChange func(n ChangeKind, of ident.Hall)
	// onEvent is called, with no lock held, for each change in what is known of a target.
	onEvent func(Event)

	mu          sync.Mutex
	targets     map[ident.Target]*target
	order       []*target
	waiting     waitList
	serviceTime float64
	speeds      speeds
	// failTime is the running mean of the time until a failure shows.
	failTime  float64
	floor     int
	reportSeq uint64
	ended     *window
	// started counts this node's attempts, as they start.
	started     *window
	peerTallies map[ident.Process]peerTally
	// sawTraffic says that a request of any node is known to have gone to a target.
	sawTraffic bool
	// joinTrials is how many new targets may be tried now while load is sparse.
	joinTrials      float64
	timeoutBaseline timeoutBaseline
	// limitShare is the share of targets' limits that this node and those in contact with it may use.
	limitShare float64
	// formerStates are the states that targets named which the pool no longer has.
	formerStates map[ident.Target]namedState
	// wokeAt is when Wake was last called.
	wokeAt clock.Millis
	reach  reach
	events []Event
	// urgency decides whom the service admits while it lacks room; nil if all.
	urgency  *urgency.Control
	levelLog levelLog
	// shares is nil without Tuning.FairShares.
	shares *shares
}

// New returns a pool without targets.
func New(t Tuning, c clock.Clock, r *rand.Rand, b *RetryBudget, onChange func(n ChangeKind, of ident.Hall), onEvent func(Event)) *Pool {
	if t.RetryOrder {
		b.keepOrder()
	}
	p := &Pool{
		clock: c, rand: r, tuning: t, budget: b, onChange: onChange, onEvent: onEvent,
		targets: map[ident.Target]*target{}, waiting: newWaitList(), serviceTime: float64(t.FirstServiceTime), failTime: float64(t.FirstServiceTime), speeds: newSpeeds(t.FirstServiceTime),
		ended: newWindow(t.TroubleWindow), started: newWindow(t.TroubleWindow), peerTallies: map[ident.Process]peerTally{},
		limitShare: 1, formerStates: map[ident.Target]namedState{},
		reach: newReach(),
	}
	if t.UrgencyLevel {
		p.urgency = urgency.New(min(t.PeerTTL, claimTTL))
	}
	if t.FairShares {
		p.shares = newShares(p)
		p.waiting.fair = p.shares.queue
	}
	return p
}

// Hedges reports whether a second attempt may be made beside a slow one.
func (p *Pool) Hedges() bool {
	return p.tuning.Hedge
}

// RetryBudget returns the budget for further attempts.
func (p *Pool) RetryBudget() *RetryBudget {
	return p.budget
}

// AllowRetry says whether the request may be tried again, as the retry budget has it, and counts the attempt if so.
func (p *Pool) AllowRetry(a *Request) Permit {
	loss := LosesAnswer
	if a.Objective > 0 && p.clock.Now()+p.ServiceTime() > a.Began+a.Objective {
		loss = LosesLateAnswer
	}
	return p.budget.AllowInOrder(FurtherAttempt{Priority: a.Priority, Loss: loss})
}

// AllowHedge is AllowRetry for a second attempt beside one that goes on.
func (p *Pool) AllowHedge(a *Request) Permit {
	return p.budget.AllowInOrder(FurtherAttempt{Priority: a.Priority, Loss: LosesTime})
}

// SetTargets replaces the targets, and keeps what is known of those that stay.
func (p *Pool) SetTargets(targets []Target) {
	p.mu.Lock()
	now := p.clock.Now()
	byID := make(map[ident.Target]*target, len(targets))
	p.order = p.order[:0]
	for _, registered := range targets {
		t := p.targets[registered.ID]
		restarted := t != nil && t.Life != registered.Life
		if t == nil || restarted {
			t = &target{belief: belief.New(&p.tuning.Model, now), peers: map[ident.Process]*peerView{}, addedAt: now, joined: len(p.targets) > 0, addedBeforeTraffic: !p.sawTraffic, speed: targetSpeed{factor: 1}}
			t.restore(p.formerStates[registered.ID], registered.Life, now)
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
	p.keepStates(p.targets, now)
	p.targets = byID
	p.applyFloor(now)
	grants := p.grantWaiting()
	p.mu.Unlock()
	deliver(grants)
}

// Stats holds a pool's counts at one moment.
type Stats struct {
	Waiting, InFlight, Targets, Usable int
	// Slow is the number of targets that are estimated to be slow.
	Slow        int
	ServiceTime clock.Millis
	// HeldWorkspaces are held to their share of the room now, ShareRefused counts requests refused for it since the start.
	HeldWorkspaces, ShareRefused int
}

// Stats returns the current counts.
func (p *Pool) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := Stats{Waiting: p.waiting.len(), Targets: len(p.order), ServiceTime: clock.Millis(p.serviceTime)}
	now := p.clock.Now()
	p.updateSpeeds(now)
	if p.shares != nil {
		s.HeldWorkspaces, s.ShareRefused = len(p.shares.heldAt), int(p.shares.refused)
	}
	for _, t := range p.order {
		s.InFlight += t.localInFlight
		if t.speed.slow {
			s.Slow++
		}
		if p.usable(t, now) {
			s.Usable++
		}
	}
	return s
}
