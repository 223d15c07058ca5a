package pool

import (
	"github.com/tinladder/tinladder/belief"
	"github.com/tinladder/tinladder/clock"
)

// Tuning sets how a pool weighs and waits.
type Tuning struct {
	Model belief.Model
	// FailCost is what a failure costs a request that cannot be repeated, and RetryCost one that can.
	FailCost, RetryCost float64
	// LateCost is what an answer costs that comes, and comes late.
	LateCost float64
	// CrossHallCost is what a target in another hall costs, and CrossHallByteCost what each byte that goes there and
	// back adds.
	CrossHallCost, CrossHallByteCost float64
	// CrossRegionCost is what a target in another region costs besides: the way there is long, and dear.
	CrossRegionCost float64
	// LoadCost is what each slot in use costs, as a share of the slots.
	LoadCost float64
	// UnreachableBackoff is how long a target is passed over that this node cannot connect to.
	UnreachableBackoff clock.Millis
	// PeerTTL is how long what another node has in flight is counted without hearing it again.
	PeerTTL clock.Millis
	// Hold is the share of a request's aim that it may wait for a free slot before it is given to a
	// target's own queue.
	Hold float64
	// Overcommit is how many requests may be in a target's own queue, as a multiple of its slots. What waits here goes
	// to whoever is free first, so few wait there. None would leave targets idle for as long as word of a free slot takes.
	Overcommit float64
	// JoinWait is how soon a new target is tried, with any request.
	JoinWait clock.Millis
	// JoinShare is the part of the requests that may try new targets while there are more targets than requests can keep
	// at work.
	JoinShare float64
	// ExploreIdle is how long a target may go without requests before a repeatable one tries it, and
	// SpreadIdle before any does where too few targets have work: so much less than the two seconds of the
	// platform's floor that the next request comes and arrives in time.
	ExploreIdle, SpreadIdle clock.Millis
	// CalmSpread is the share of the targets that are likely sound that must have work at any time.
	CalmSpread float64
	// SparseBelow is how many requests there must be, as a multiple of the targets that are to have work, for work to be
	// spread and idle targets to be tried at all (docs/design/16-shifted.md).
	SparseBelow float64
	// DeepSpread is the share of all targets that did not fail just now that must have work in deep trouble: while
	// more than FloorShare of the requests fail, somewhat less than the tenth from which on the platform holds
	// the service to its floor. FloorLimit is the share from which on failures count whether they may be chance or
	// not: just under that tenth.
	DeepSpread             float64
	FloorShare, FloorLimit float64
	// TroubleWindow is how long requests count as such of late.
	TroubleWindow clock.Millis
	// RecoveryTime is how long after a failure a target may count as sound again (2 s on the platform).
	RecoveryTime clock.Millis
	// SpareBelow is how likely a target may be failing that is tried since few slots are free.
	SpareBelow float64
	// MaxUtilization is the share of the slots of targets that are known to be sound that may be in use
	// before another target is tried, with any request; HealthyBelow is how likely a target that is
	// known to be sound may be failing.
	MaxUtilization, HealthyBelow float64
	// MaxFailTime bounds the time until a failure shows, in service times: by then another attempt is
	// made. 0 has failures show at once.
	MaxFailTime float64
	// QueueTime takes the wait at a target out of the service times that are learned. With it the wait for
	// a sound target is not thought twice as long, and 0.2 to 0.3 points more of all requests are served.
	QueueTime bool
	// PeerLoad counts what other nodes have in flight.
	PeerLoad bool
	// Hedge allows a second attempt beside one that takes long.
	Hedge bool
	// FirstServiceTime is assumed until answers have been seen.
	FirstServiceTime clock.Millis
}

// DefaultTuning was chosen by measurement (docs/design/12-choice.md).
var DefaultTuning = Tuning{
	Model:              belief.DefaultModel,
	FailCost:           1,
	RetryCost:          0.35,
	LateCost:           0.55,
	CrossHallCost:      0.03,
	CrossHallByteCost:  6e-6,
	CrossRegionCost:    0.06,
	LoadCost:           0.05,
	UnreachableBackoff: 1500,
	PeerTTL:            2100,
	Hold:               0.15,
	Overcommit:         0.5,
	JoinWait:           1500,
	JoinShare:          0.15,
	ExploreIdle:        1500,
	SpreadIdle:         1400,
	CalmSpread:         0.85,
	SparseBelow:        1.5,
	DeepSpread:         0.95,
	SpareBelow:         0.4,
	MaxUtilization:     0.6,
	HealthyBelow:       0.15,
	TroubleWindow:      2000,
	FloorShare:         0.08,
	FloorLimit:         0.098,
	RecoveryTime:       1800,
	MaxFailTime:        2,
	QueueTime:          true,
	PeerLoad:           true,
	Hedge:              true,
	FirstServiceTime:   200,
}
