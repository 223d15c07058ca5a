package node

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/tinladder/tinladder/clock"
	"github.com/tinladder/tinladder/ident"
	tlv1 "github.com/tinladder/tinladder/schema/tinladder/v1"
	"github.com/tinladder/tinladder/store"
	"google.golang.org/protobuf/proto"
)

// slowObjects is an object store with slow writes.
type slowObjects struct {
	store.Objects
	mu    sync.Mutex
	saved int
}

// Put implements store.Objects.
func (o *slowObjects) Put(_ context.Context, x store.Object) error {
	time.Sleep(100 * time.Millisecond)
	b := &tlv1.EventBatch{}
	if err := proto.Unmarshal(x.Value, b); err != nil {
		return err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.saved += len(b.GetEvents())
	return nil
}

// TestEventsAreSavedOnce flushes the event log, as a node does at its end, while a periodic save is in progress. The event
// report had these events twice.
func TestEventsAreSavedOnce(t *testing.T) {
	is := is.New(t)
	o := &slowObjects{}
	l := newEventLog(ident.Process{Node: "n"}, o, clock.NewSystem())
	l.enabled = true
	l.add(&tlv1.Event{})
	var wg sync.WaitGroup
	wg.Go(func() { l.tick(t.Context()) })
	time.Sleep(20 * time.Millisecond)
	l.add(&tlv1.Event{}) // not part of the first save
	l.flush(t.Context())
	wg.Wait()
	is.Equal(o.saved, 2)
}
