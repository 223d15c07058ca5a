package desired

import (
	"context"

	"github.com/cockroachdb/errors"
	"github.com/tinladder/tinladder/clock"
	tlv1 "github.com/tinladder/tinladder/schema/tinladder/v1"
)

// ErrGap says that a source no longer knows all changes since the mark: read the whole again.
var ErrGap = errors.New("changes were forgotten")

// A Mark is a place in a source's changes, to go on from.
type Mark uint64

// A Source is where the desired state and the targets' records are kept.
type Source interface {
	// State returns the newest state, or nil if there is none yet.
	State(ctx context.Context) (*tlv1.DesiredState, Mark, error)
	// StateAfter waits for a newer state. It returns nil after the wait, and ErrGap on a gap.
	StateAfter(ctx context.Context, m Mark, wait clock.Millis) (*tlv1.DesiredState, Mark, error)
	// Targets returns all targets.
	Targets(ctx context.Context) ([]*tlv1.TargetRecord, Mark, error)
	// TargetsAfter waits for changes. It returns none after the wait, and ErrGap on a gap.
	TargetsAfter(ctx context.Context, m Mark, wait clock.Millis) ([]*tlv1.TargetRecord, Mark, error)
}
