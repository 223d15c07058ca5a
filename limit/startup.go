package limit

import (
	"slices"

	"github.com/tinladder/tinladder/clock"
	"github.com/tinladder/tinladder/ident"
)

const (
	// StartupPeriod is how long after its start a process assumes that it may not know all nodes yet.
	StartupPeriod = 2 * clock.Second
	// ColdStartPeriod is how long after its start a process may find that all others have just started too. It is shorter
	// than a restart of all nodes one after the other takes, in which those that have not restarted use their shares.
	ColdStartPeriod = StartupPeriod
	// settledPeriod is how long the nodes or the sharers in view must stay the same for all to be considered known.
	settledPeriod clock.Millis = 350
	// sharersSettledPeriod is the same for the sharers of a node that knows few others beside them. Such a node takes
	// itself for a sharer because it doesn't know those that come before it.
	sharersSettledPeriod clock.Millis = 100
	// otherNodes is the number of nodes in contact per sharer from which a node knows others beside the sharers.
	otherNodes = 2.5
)

// Startup follows what a process that has just started sees of the fleet: all processes of a fleet may start at once,
// and discover each other within a second or two. It is not safe for concurrent use.
type Startup struct {
	startedAt                       clock.Millis
	live                            int
	sharers                         []ident.Node
	liveChangedAt, sharersChangedAt clock.Millis
	reachedAllSeeds                 bool
}

// NewStartup returns a Startup for a process that starts now.
func NewStartup(now clock.Millis) *Startup {
	return &Startup{startedAt: now, liveChangedAt: now, sharersChangedAt: now}
}

// Observe records a view of the fleet and returns it with JustStarted, and with IsSharer only if the node may take a
// share yet.
func (s *Startup) Observe(v View, now clock.Millis) View {
	if v.Live != s.live {
		s.live, s.liveChangedAt = v.Live, now
	}
	if !slices.Equal(v.Sharers, s.sharers) {
		s.sharers, s.sharersChangedAt = v.Sharers, now
	}
	s.reachedAllSeeds = s.reachedAllSeeds || v.ReachedAllSeeds()
	v.JustStarted = s.JustStarted(now)
	if v.JustStarted && now-s.sharersChangedAt < sharersSettledPeriod && float64(v.Live) < otherNodes*float64(v.SharerCount) {
		v.IsSharer = false
	}
	return v
}

// JustStarted reports whether the process started recently and may not know all nodes yet: the nodes in contact have
// changed just now, and it has not found all seeds and the same sharers for a while.
func (s *Startup) JustStarted(now clock.Millis) bool {
	settled := now-s.liveChangedAt >= settledPeriod || s.reachedAllSeeds && now-s.sharersChangedAt >= settledPeriod
	return s.IsStarting(now) && !settled
}

// IsStarting reports whether the process started within StartupPeriod.
func (s *Startup) IsStarting(now clock.Millis) bool {
	return now-s.startedAt < StartupPeriod
}
