// Package report decides which nodes hear of a change in the load of a service's targets, and when. It does no I/O.
//
// The load pattern: each of hundreds of requests a second changes the load of a target twice, and most bytes between nodes
// are reports. So load is told in batches, and to other halls seldom; but a target's hall is told at once what a node of
// another hall has there, and all are told at once of failures.
package report

import (
	"github.com/tinladder/tinladder/clock"
	"github.com/tinladder/tinladder/pool"
)

const (
	// nearInterval is the minimum time between two load reports to the nodes of this hall that carry the service;
	// farInterval is the same for those of other halls. Failures are reported at once.
	nearInterval clock.Millis = 20
	farInterval  clock.Millis = 500
)

// An Audience is the set of nodes that receive a report.
type Audience int

// Audiences, each with the ones before it.
const (
	// Nobody is told now.
	Nobody Audience = iota
	// SameHall are the nodes of this hall that carry the service.
	SameHall
	// TargetHall adds the carriers of the target's hall. Other users of the target learn its load from periodic reports.
	TargetHall
	// AllCarriers are those of all halls.
	AllCarriers
	// AllUsers adds the nodes that used the service recently.
	AllUsers
)

// A Schedule is one node's schedule of reports on one service. It is not safe for concurrent use.
type Schedule struct {
	near, far clock.Millis
	// delayed is set while a report to this hall is due later.
	delayed bool
}

// New returns a schedule by which nothing was reported yet.
func New() *Schedule {
	return &Schedule{}
}

// Change returns whom to tell of a change now. If that is nobody and later is positive, Delayed is to be called then.
func (s *Schedule) Change(kind pool.ChangeKind, now clock.Millis) (to Audience, later clock.Millis) {
	if wait := nearInterval - (now - s.near); kind == pool.LocalLoad && wait > 0 {
		if s.delayed {
			return Nobody, 0
		}
		s.delayed = true
		return Nobody, wait
	}
	to = SameHall
	switch {
	case kind == pool.HealthEvidence:
		to = AllUsers
	case now-s.far >= farInterval:
		to = AllCarriers
	case kind == pool.RemoteLoad:
		to = TargetHall
	}
	s.near = now
	if to >= AllCarriers {
		s.far = now
	}
	return to, 0
}

// Delayed returns whom to tell of the changes since the last report.
func (s *Schedule) Delayed(now clock.Millis) (to Audience, later clock.Millis) {
	s.delayed = false
	return s.Change(pool.LocalLoad, now)
}

// Periodic reports whether all carriers are to be told now, whether anything has changed or not.
func (s *Schedule) Periodic(now clock.Millis) bool {
	if now-s.far < farInterval {
		return false
	}
	s.far = now
	return true
}
