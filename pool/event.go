package pool

import (
	"github.com/tinladder/tinladder/belief"
	"github.com/tinladder/tinladder/clock"
	"github.com/tinladder/tinladder/ident"
	"github.com/tinladder/tinladder/pool/fair"
	"github.com/tinladder/tinladder/pool/urgency"
)

// EventKind is a kind of change in what is known of a target.
type EventKind int

// Kinds of events.
const (
	// TargetAvoided means that the target is estimated to be failing.
	TargetAvoided EventKind = iota
	// TargetReturned means that the target is estimated to be healthy again.
	TargetReturned
	// TargetLeft means that the target announced that it is leaving, or is no longer at its address.
	TargetLeft
	// TargetCloses means that the target's responses close their connections, so that it counts as leaving for a time.
	TargetCloses
	// TargetKeepsConnections means that a target that counted as leaving has kept a connection.
	TargetKeepsConnections
	// TargetUnreachable means that the target accepts no connection from this node.
	TargetUnreachable
	// TargetLimited means that the target has named the rate at which it takes requests, or changed it.
	TargetLimited
	// TargetUnlimited means that the target no longer limits its requests.
	TargetUnlimited
	// TargetRests means that the target has asked this node for a rest.
	TargetRests
	// TargetsCutOff means that this node reaches no target of the service, though others do.
	TargetsCutOff
	// TargetsReached means that this node reaches the service's targets again.
	TargetsReached
	// TargetSlow means that the target is estimated to take much longer than the others for the same work.
	TargetSlow
	// TargetUsual means that the target is no longer estimated to be slow.
	TargetUsual
	// LevelChanged means that the service admits requests by another level of urgency, or all again.
	LevelChanged
	// WorkspaceHeld means that a workspace is held to its share of the room, WorkspaceReleased that it no longer is.
	WorkspaceHeld
	WorkspaceReleased
)

var eventNames = [...]string{
	TargetAvoided: "target_avoided", TargetReturned: "target_returned", TargetLeft: "target_left", TargetCloses: "target_closes",
	TargetKeepsConnections: "target_keeps_connections", TargetUnreachable: "target_unreachable",
	TargetLimited: "target_limited", TargetUnlimited: "target_unlimited", TargetRests: "target_rests",
	TargetsCutOff: "targets_cut_off", TargetsReached: "targets_reached",
	TargetSlow: "target_slow", TargetUsual: "target_usual", LevelChanged: "level_changed",
	WorkspaceHeld: "workspace_held", WorkspaceReleased: "workspace_released",
}

// String returns the kind's name in logs.
func (k EventKind) String() string {
	return eventNames[k]
}

// Event is one change in what is known of a target.
type Event struct {
	Kind   EventKind
	Target ident.Target
	// Failing is the probability that the target is failing now.
	Failing float64
	// PerSecond is the rate that the target named, for TargetLimited.
	PerSecond float64
	// Rest is the time that the target asked for, for TargetRests.
	Rest clock.Millis
	// Slower is how many times longer than the median target it takes, for TargetSlow and TargetUsual.
	Slower float64
	// Level is the level of urgency, for LevelChanged.
	Level urgency.State
	// By names the node that reported the change; it is empty if this node observed it.
	By ident.Node
	// Workspace is the one held, for WorkspaceHeld and WorkspaceReleased.
	Workspace fair.Holder
}

func (p *Pool) takeEvents() []Event {
	events := p.events
	p.events = nil
	return events
}

func (p *Pool) emit(events []Event) {
	for _, e := range events {
		p.onEvent(e)
	}
}

// updateBelief applies change to the target's belief. If that makes the target avoided or usable again, it adds an
// event and applies the floor.
func (p *Pool) updateBelief(t *target, by ident.Node, now clock.Millis, change func(b *belief.Belief)) {
	m := &p.tuning.Model
	change(&t.belief)
	t.evidenceAt = max(t.evidenceAt, now)
	failing := t.belief.FailingProb(m, now)
	switch {
	case !t.avoided && failing > avoidAbove:
		t.avoided = true
		p.addEvent(Event{Kind: TargetAvoided, Target: t.ID, Failing: failing, By: by})
		p.applyFloor(now)
	case t.avoided && failing < returnBelow:
		t.avoided = false
		p.addEvent(Event{Kind: TargetReturned, Target: t.ID, Failing: failing, By: by})
		p.applyFloor(now)
	}
}

func (p *Pool) addEvent(e Event) {
	p.events = append(p.events, e)
}
