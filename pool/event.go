package pool

import (
	"github.com/tinladder/tinladder/belief"
	"github.com/tinladder/tinladder/clock"
	"github.com/tinladder/tinladder/ident"
)

// An EventKind names a change in what is believed of a target.
type EventKind int

// Kinds of events.
const (
	// TargetAvoided targets are thought to be failing.
	TargetAvoided EventKind = iota
	// TargetReturned targets are thought to be sound again.
	TargetReturned
	// TargetLeft targets said themselves that they are leaving, or are no more at their address.
	TargetLeft
	// TargetUnreachable targets take no connection from this node.
	TargetUnreachable
)

// String returns the kind's name in logs.
func (k EventKind) String() string {
	return [...]string{"target_avoided", "target_returned", "target_left", "target_unreachable"}[k]
}

// An Event struct is one change in what is believed of a target.
type Event struct {
	Kind   EventKind
	Target ident.Target
	// Failing is how likely the target is failing now.
	Failing float64
	// By names the node whose word it was; it is empty for this node's own.
	By ident.Node
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

// updateBelief changes what is believed of a target, and notes when that changes how it is used.
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
