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

// slowObjects takes a while to save.
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

// TestEventsAreSavedOnce: a node ends, and saves its events, while it saves them anyway. The night's report had them twice.
func TestEventsAreSavedOnce(t *testing.T) {
	is := is.New(t)
	o := &slowObjects{}
	l := newEventLog(ident.Process{Node: "n"}, o, clock.NewSystem())
	l.enabled = true
	l.add(&tlv1.Event{})
	var wg sync.WaitGroup
	wg.Go(func() { l.tick(t.Context()) })
	time.Sleep(20 * time.Millisecond)
	l.add(&tlv1.Event{}) // which the first save does not have
	l.flush(t.Context())
	wg.Wait()
	is.Equal(o.saved, 2)
}
