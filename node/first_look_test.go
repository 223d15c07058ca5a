package node

import (
	"io"
	"testing"

	"github.com/matryer/is"
	"github.com/tinladder/tinladder/clock"
	"github.com/tinladder/tinladder/logs"
	"github.com/tinladder/tinladder/replica"
	tlv1 "github.com/tinladder/tinladder/schema/tinladder/v1"
	"github.com/tinladder/tinladder/settings"
	"github.com/tinladder/tinladder/store"
	"google.golang.org/protobuf/proto"
)

// TestFirstTargetsAreUsedAtOnce delivers targets right after the first state. The node had checked its
// targets when the state arrived, and waited 0.1 s until the next check: 42 requests were refused for lack of targets
// that it already knew.
func TestFirstTargetsAreUsedAtOnce(t *testing.T) {
	is := is.New(t)
	c := clock.NewManual(1000)
	log, err := logs.New(io.Discard, "error")
	is.NoErr(err)
	n := &Node{clock: c, log: log, metrics: newMetrics(c), platform: Platform{Source: func(func(store.Refusal)) store.Source { return nil }}}
	n.config.Store(settings.Defaults())
	n.build()
	state, err := proto.Marshal(&tlv1.DesiredState{Version: 1, Services: []*tlv1.DesiredService{{Name: "desk"}}})
	is.NoErr(err)
	n.records.put(store.State, []replica.Record{{Key: "config", Version: 1, Value: state}}, fromStore)
	c.Advance(2)
	n.records.put(store.Targets, []replica.Record{aTarget(t, 1, 2)}, fromStore)
	is.Equal(len(n.services.get("desk").pool.Status()), 1)
}
