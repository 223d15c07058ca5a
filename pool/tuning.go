package pool

import (
	"github.com/tinladder/tinladder/belief"
	"github.com/tinladder/tinladder/clock"
)

// Tuning holds the weights and limits of a pool.
type Tuning struct {
	Model belief.Model
	// FailCost is the cost of a failure to a request that cannot be repeated, RetryCost to one that can.
	FailCost, RetryCost float64
	// LateCost is the cost of a response that comes late.
	LateCost float64
	// CrossHallCost is the cost of a target in another hall, CrossHallByteCost the additional cost per byte sent
	// there and back.
	CrossHallCost, CrossHallByteCost float64
	// CrossRegionCost is the additional cost of a target in another region: the path there is long and expensive.
	CrossRegionCost float64
	// LoadCost is the cost of a target with all slots in use; it is proportional to the share in use.
	LoadCost float64
	// UnreachableBackoff is how long a target is passed over that this node cannot connect to.
	UnreachableBackoff clock.Millis
	// PeerTTL is how long another node's requests in flight count without a new report from it.
	PeerTTL clock.Millis
	// Hold is the share of a request's latency objective that it may wait for a free slot before it is given to a
	// target's own queue.
	Hold float64
	// Overcommit is how many requests may be in a target's own queue, as a multiple of its slots. Requests that
	// wait at the node go to whichever target is free first, so few wait at a target. With none there, targets
	// would idle until the report of a free slot arrives.
	Overcommit float64
	// JoinWait is how soon a new target is tried, with any request.
	JoinWait clock.Millis
	// JoinShare is the share of the requests that may try new targets while there are more targets than requests
	// can keep at work.
	JoinShare float64
	// ExploreIdle is how long a target may go without requests before a repeatable one tries it, SpreadIdle before
	// any request does where too few targets have work. SpreadIdle is below the two seconds of the platform's floor
	// by enough for the next request to come and arrive in time.
	ExploreIdle, SpreadIdle clock.Millis
	// CalmSpread is the share of the targets likely to be healthy that must have work at any time.
	CalmSpread float64
	// SparseBelow is how many requests there must be, as a multiple of the targets that are to have work, for work
	// to be spread and idle targets to be tried at all (docs/design/16-shifted.md).
	SparseBelow float64
	// DeepSpread is the share of all targets that did not fail just now that must have work in deep trouble, which
	// is while more than FloorShare of the requests fail: somewhat less than the tenth from which on the platform
	// holds the service to its floor. From FloorLimit on, just under that tenth, failures count whether they may be
	// chance or not.
	DeepSpread             float64
	FloorShare, FloorLimit float64
	// TroubleWindow is the time span of the requests that count as recent.
	TroubleWindow clock.Millis
	// RecoveryTime is how long after a failure a target may count as healthy again (2 s on the platform).
	RecoveryTime clock.Millis
	// SpareBelow is the failing probability below which a target is tried when few slots are free.
	SpareBelow float64
	// MaxUtilization is the share of the slots of targets known to be healthy that may be in use before another
	// target is tried, with any request; HealthyBelow is the failing probability below which a target is known to
	// be healthy.
	MaxUtilization, HealthyBelow float64
	// MaxFailTime limits the time until a failure shows, in service times: by then another attempt is made. 0 means
	// that failures show at once.
	MaxFailTime float64
	// QueueTime excludes the wait at a target from the service times that are learned. Otherwise the wait for a
	// healthy target is estimated twice as long, and 0.2 to 0.3 percentage points fewer of all requests are served.
	QueueTime bool
	// PeerLoad includes what other nodes have in flight.
	PeerLoad bool
	// Hedge allows a second attempt beside a slow one.
	Hedge bool
	// RetryOrder spends the retry budget on urgent requests first while it is short.
	RetryOrder bool
	// FairShares divides the slots and the queue among workspaces while requests wait.
	FairShares bool
	// UrgencyLevel admits requests by their priority, at one level for all nodes, while requests wait.
	UrgencyLevel bool
	// TargetSpeeds estimates how long each target takes relative to the others.
	TargetSpeeds bool
	// FirstServiceTime is the service time assumed until responses have been seen.
	FirstServiceTime clock.Millis
}

// DefaultTuning is the tuning for the platform's load patterns (docs/design/12-choice.md).
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
