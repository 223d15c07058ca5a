package config_test

import (
	"context"
	"fmt"
	"net/http/httptest"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"github.com/tinladder/tinladder/clock"
	"github.com/tinladder/tinladder/config"
	"github.com/tinladder/tinladder/platform"
	"github.com/tinladder/tinladder/platform/standin"
	tlv1 "github.com/tinladder/tinladder/schema/tinladder/v1"
	"github.com/tinladder/tinladder/store"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"
)

// A testTable accesses an emulated store by the platform's protocol.
type testTable struct {
	store.Table
	door *standin.Door
}

func (m *testTable) SetFaults(f standin.Faults) {
	m.door.SetFaults(f)
}

// cleaner is implemented by *testing.T and *rapid.T.
type cleaner interface{ Cleanup(f func()) }

func newTestTable(t cleaner) *testTable {
	door := standin.NewDoor(standin.New(clock.NewManual(1000), clock.Minute))
	s := httptest.NewServer(door)
	t.Cleanup(s.Close)
	return &testTable{Table: platform.NewTable(platform.NewClient(s.Listener.Addr().String(), clock.NewSystem())), door: door}
}

// service returns a document that expects the given version. Different queue lengths make documents distinct.
func service(name string, expected, queue int) *tlv1.Document {
	s := &tlv1.Service{Workspace: "w", Name: name, Queue: uint32(queue)}
	return &tlv1.Document{Key: "svc/w/" + name, Version: uint64(expected), Body: &tlv1.Document_Service{Service: s}}
}

// commitHook calls beforeCommit ahead of the first commit, such as for a change by another operator.
type commitHook struct {
	store.Table
	beforeCommit func()
}

func (t *commitHook) Commit(ctx context.Context, writes ...store.Write) error {
	if f := t.beforeCommit; f != nil {
		t.beforeCommit = nil
		f()
	}
	return t.Table.Commit(ctx, writes...)
}

// delayedTable holds a commit back and returns an error, so that the test can deliver the commit later.
type delayedTable struct {
	store.Table
	held []store.Write
	hold bool
}

func (t *delayedTable) Commit(ctx context.Context, writes ...store.Write) error {
	if t.hold {
		t.hold, t.held = false, writes
		return store.ErrUnavailable
	}
	return t.Table.Commit(ctx, writes...)
}

func TestStaleErrorNamesBothVersions(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	m := newTestTable(t)
	other := config.NewWriter(m, clock.NewManual(1))
	table := &commitHook{Table: m, beforeCommit: func() {
		_, err := other.Apply(ctx, config.Request{ID: "b", Author: "b", Document: service("s", 0, 2)})
		is.NoErr(err)
	}}
	_, err := config.NewWriter(table, clock.NewManual(1)).Apply(ctx, config.Request{ID: "a", Document: service("s", 0, 1)})
	var stale *config.StaleError
	is.True(errors.As(err, &stale))
	is.Equal(*stale, config.StaleError{Key: "svc/w/s", Expected: 0, Current: 1})
}

func TestConflictOnLogHeadIsRetried(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	m := newTestTable(t)
	other := config.NewWriter(m, clock.NewManual(1))
	table := &commitHook{Table: m, beforeCommit: func() {
		_, err := other.Apply(ctx, config.Request{ID: "b", Document: service("other", 0, 2)})
		is.NoErr(err)
	}}
	c, err := config.NewWriter(table, clock.NewManual(1)).Apply(ctx, config.Request{ID: "a", Document: service("s", 0, 1)})
	is.NoErr(err)
	is.Equal(c.GetSeq(), uint64(2))
}

func TestLostAnswerIsReadBack(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	m := newTestTable(t)
	m.SetFaults(standin.Faults{LoseAnswers: 1})
	w := config.NewWriter(m, clock.NewManual(1))
	c, err := w.Apply(ctx, config.Request{ID: "a", Document: service("s", 0, 1)})
	is.NoErr(err)
	is.Equal(c.GetSeq(), uint64(1))
	again, err := w.Apply(ctx, config.Request{ID: "a", Document: service("s", 0, 1)})
	is.NoErr(err) // the same change, sent again
	is.True(proto.Equal(c, again))
	head, err := config.NewLog(m).Head(ctx)
	is.NoErr(err)
	is.Equal(head, uint64(1))
}

func TestVoidedChangeCannotArriveLate(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	m := newTestTable(t)
	table := &delayedTable{Table: m, hold: true}
	w := config.NewWriter(table, clock.NewManual(1))
	_, err := w.Apply(ctx, config.Request{ID: "a", Document: service("s", 0, 1)})
	is.True(errors.Is(err, config.ErrVoided))
	var conflict *store.Conflict
	is.True(errors.As(m.Commit(ctx, table.held...), &conflict)) // the delayed commit conflicts
}

func TestUnavailableStoreLeavesOutcomeUnknownUntilResolved(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	m := newTestTable(t)
	table := &delayedTable{Table: m, hold: true}
	w := config.NewWriter(table, clock.NewManual(1))
	away := &commitHook{Table: table, beforeCommit: func() { m.SetFaults(standin.Faults{Away: standin.Reset}) }}
	_, err := config.NewWriter(away, clock.NewManual(1)).Apply(ctx, config.Request{ID: "a", Document: service("s", 0, 1)})
	is.True(errors.Is(err, config.ErrOutcomeUnknown))
	m.SetFaults(standin.Faults{})
	is.NoErr(m.Commit(ctx, table.held...))
	c, err := w.Resolve(ctx, "a")
	is.NoErr(err)
	is.Equal(c.GetSeq(), uint64(1))
}

func TestHistoryIsTheAuditTrail(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	m := newTestTable(t)
	w := config.NewWriter(m, clock.NewManual(77))
	for i := range 5 {
		_, err := w.Apply(ctx, config.Request{ID: fmt.Sprint("c", i), Author: fmt.Sprint("op", i), Document: service("s", i, i)})
		is.NoErr(err)
	}
	changes, err := config.NewLog(m).History(ctx, "svc/w/s", 2)
	is.NoErr(err)
	is.Equal(len(changes), 2)
	is.Equal(changes[0].GetWho(), "op4")
	is.Equal(changes[0].GetReplaced(), uint64(4))
	is.Equal(changes[1].GetAtMs(), int64(77))
}

// TestOperatorsRacing has operators change two services through a table that becomes unreachable, loses
// responses and delays commits. The oracle is the log: each change reported as applied is in it once, no
// change reported as voided is, and each change replaced the version that it expected.
func TestOperatorsRacing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ctx := context.Background()
		m := newTestTable(t)
		table := &delayedTable{Table: m}
		w := config.NewWriter(table, clock.NewManual(1))
		log := config.NewLog(m)
		applied := map[string]bool{}
		voided := map[string]bool{}
		undecided := map[string]bool{}
		known := map[string]int{}
		n := 0
		settle := func(id string, c *tlv1.Change, err error) {
			delete(undecided, id)
			switch {
			case err == nil:
				applied[id] = true
				known[c.GetDocument().GetKey()] = int(c.GetSeq())
			case errors.Is(err, config.ErrVoided):
				voided[id] = true
			case errors.Is(err, config.ErrOutcomeUnknown), errors.Is(err, store.ErrUnavailable):
				undecided[id] = true
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"apply": func(t *rapid.T) {
				name := rapid.SampledFrom([]string{"s", "t"}).Draw(t, "service")
				expected := known["svc/w/"+name] - rapid.SampledFrom([]int{0, 0, 0, 1}).Draw(t, "stale by")
				n++
				id := fmt.Sprint("c", n)
				c, err := w.Apply(ctx, config.Request{ID: id, Document: service(name, max(expected, 0), n)})
				settle(id, c, err)
			},
			"resolve": func(t *rapid.T) {
				if n == 0 {
					t.Skip()
				}
				id := fmt.Sprint("c", rapid.IntRange(1, n).Draw(t, "change"))
				if !undecided[id] {
					t.Skip()
				}
				c, err := w.Resolve(ctx, id)
				settle(id, c, err)
			},
			"faults": func(t *rapid.T) {
				m.SetFaults(standin.Faults{
					Away:        rapid.SampledFrom([]string{"", standin.Reset, standin.Busy, standin.Broken}).Draw(t, "away"),
					LoseAnswers: rapid.IntRange(0, 2).Draw(t, "lost answers"),
				})
			},
			"hold": func(*rapid.T) { table.hold = true },
			"arrive": func(*rapid.T) {
				m.SetFaults(standin.Faults{})
				if table.held != nil {
					_ = m.Commit(ctx, table.held...)
				}
			},
			"": func(t *rapid.T) {
				faults := standin.Faults{}
				m.SetFaults(faults)
				changes, err := log.Since(ctx, 0)
				if err != nil {
					t.Fatal(err)
				}
				checkLog(t, changes, applied, voided)
				for _, c := range changes {
					known[c.GetDocument().GetKey()] = int(c.GetSeq())
				}
			},
		})
	})
}

func checkLog(t *rapid.T, changes []*tlv1.Change, applied, voided map[string]bool) {
	count := map[string]int{}
	latest := map[string]uint64{}
	for i, c := range changes {
		if c.GetSeq() != uint64(i+1) {
			t.Fatalf("change %d is at place %d", c.GetSeq(), i+1)
		}
		key := c.GetDocument().GetKey()
		if c.GetReplaced() != latest[key] {
			t.Fatalf("change %d replaced %d, but %d was in force", c.GetSeq(), c.GetReplaced(), latest[key])
		}
		latest[key] = c.GetSeq()
		count[c.GetId()]++
	}
	for id := range applied {
		if count[id] != 1 {
			t.Fatalf("change %s was told as made and is in the log %d times", id, count[id])
		}
	}
	for id := range voided {
		if count[id] != 0 {
			t.Fatalf("change %s was told as not made and is in the log", id)
		}
	}
}
