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

// A memory is a table on a stand-in, reached by the platform's protocol.
type memory struct {
	store.Table
	door *standin.Door
}

func (m *memory) SetFaults(f standin.Faults) {
	m.door.SetFaults(f)
}

// cleaner is what tests and property checks have in common.
type cleaner interface{ Cleanup(f func()) }

func newMemory(t cleaner) *memory {
	door := standin.NewDoor(standin.New(clock.NewManual(1000), clock.Minute))
	s := httptest.NewServer(door)
	t.Cleanup(s.Close)
	return &memory{Table: platform.NewTable(platform.NewClient(s.Listener.Addr().String())), door: door}
}

// service returns a document that expects the version and says something of its own.
func service(name string, expected, queue int) *tlv1.Document {
	s := &tlv1.Service{Workspace: "w", Name: name, Queue: uint32(queue)}
	return &tlv1.Document{Key: "svc/w/" + name, Version: uint64(expected), Body: &tlv1.Document_Service{Service: s}}
}

// racing lets another operator in between a read and a commit.
type racing struct {
	store.Table
	before func()
}

func (t *racing) Commit(ctx context.Context, writes ...store.Write) error {
	if f := t.before; f != nil {
		t.before = nil
		f()
	}
	return t.Table.Commit(ctx, writes...)
}

// late holds a commit back, answers that it is lost, and lets it arrive afterwards.
type late struct {
	store.Table
	held []store.Write
	hold bool
}

func (t *late) Commit(ctx context.Context, writes ...store.Write) error {
	if t.hold {
		t.hold, t.held = false, writes
		return store.ErrUnavailable
	}
	return t.Table.Commit(ctx, writes...)
}

func TestRacingOperatorIsToldBothVersions(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	m := newMemory(t)
	other := config.NewWriter(m, clock.NewManual(1))
	table := &racing{Table: m, before: func() {
		_, err := other.Apply(ctx, config.Request{ID: "b", Who: "b", Document: service("s", 0, 2)})
		is.NoErr(err)
	}}
	_, err := config.NewWriter(table, clock.NewManual(1)).Apply(ctx, config.Request{ID: "a", Document: service("s", 0, 1)})
	var stale *config.StaleError
	is.True(errors.As(err, &stale))
	is.Equal(*stale, config.StaleError{Key: "svc/w/s", Expected: 0, Current: 1})
}

func TestRaceForTheLogAloneIsTriedAgain(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	m := newMemory(t)
	other := config.NewWriter(m, clock.NewManual(1))
	table := &racing{Table: m, before: func() {
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
	m := newMemory(t)
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
	m := newMemory(t)
	table := &late{Table: m, hold: true}
	w := config.NewWriter(table, clock.NewManual(1))
	_, err := w.Apply(ctx, config.Request{ID: "a", Document: service("s", 0, 1)})
	is.True(errors.Is(err, config.ErrVoided))
	var conflict *store.Conflict
	is.True(errors.As(m.Commit(ctx, table.held...), &conflict)) // the write comes, and is refused
}

func TestAwayTableLeavesTheChangeUndecidedUntilResolved(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	m := newMemory(t)
	table := &late{Table: m, hold: true}
	w := config.NewWriter(table, clock.NewManual(1))
	away := &racing{Table: table, before: func() { m.SetFaults(standin.Faults{Away: standin.Reset}) }}
	_, err := config.NewWriter(away, clock.NewManual(1)).Apply(ctx, config.Request{ID: "a", Document: service("s", 0, 1)})
	is.True(errors.Is(err, config.ErrUndecided))
	m.SetFaults(standin.Faults{})
	is.NoErr(m.Commit(ctx, table.held...))
	c, err := w.Resolve(ctx, "a")
	is.NoErr(err)
	is.Equal(c.GetSeq(), uint64(1))
}

func TestHistoryIsTheAuditTrail(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	m := newMemory(t)
	w := config.NewWriter(m, clock.NewManual(77))
	for i := range 5 {
		_, err := w.Apply(ctx, config.Request{ID: fmt.Sprint("c", i), Who: fmt.Sprint("op", i), Document: service("s", i, i)})
		is.NoErr(err)
	}
	changes, err := config.NewLog(m).History(ctx, "svc/w/s", 2)
	is.NoErr(err)
	is.Equal(len(changes), 2)
	is.Equal(changes[0].GetWho(), "op4")
	is.Equal(changes[0].GetReplaced(), uint64(4))
	is.Equal(changes[1].GetAtMs(), int64(77))
}

// TestOperatorsRacing lets operators change two services through a table that goes away, loses
// answers and delivers commits late. The oracle is the log itself: every change told as made is
// in it once, none told as not made ever is, and each replaces the version it expected.
func TestOperatorsRacing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ctx := context.Background()
		m := newMemory(t)
		table := &late{Table: m}
		w := config.NewWriter(table, clock.NewManual(1))
		log := config.NewLog(m)
		told := map[string]bool{}
		void := map[string]bool{}
		open := map[string]bool{}
		known := map[string]int{}
		n := 0
		settle := func(id string, c *tlv1.Change, err error) {
			delete(open, id)
			switch {
			case err == nil:
				told[id] = true
				known[c.GetDocument().GetKey()] = int(c.GetSeq())
			case errors.Is(err, config.ErrVoided):
				void[id] = true
			case errors.Is(err, config.ErrUndecided), errors.Is(err, store.ErrUnavailable):
				open[id] = true
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
				if !open[id] {
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
				checkLog(t, changes, told, void)
				for _, c := range changes {
					known[c.GetDocument().GetKey()] = int(c.GetSeq())
				}
			},
		})
	})
}

func checkLog(t *rapid.T, changes []*tlv1.Change, told, void map[string]bool) {
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
	for id := range told {
		if count[id] != 1 {
			t.Fatalf("change %s was told as made and is in the log %d times", id, count[id])
		}
	}
	for id := range void {
		if count[id] != 0 {
			t.Fatalf("change %s was told as not made and is in the log", id)
		}
	}
}
