package node

import (
	"context"
	"fmt"
	"io"
	"testing"

	"github.com/sirupsen/logrus"
	"github.com/tinladder/tinladder/clock"
	"github.com/tinladder/tinladder/backing"
	tlv1 "github.com/tinladder/tinladder/schema/tinladder/v1"
	"github.com/tinladder/tinladder/settings"
	"pgregory.net/rapid"
)

const (
	testSeats = 4
	testNodes = 3
)

// slowTable lets others in before a commit, or has a commit come late, with its answer lost.
type slowTable struct {
	*backing.Memory
	before func()
	hold   bool
	held   []backing.Write
}

func (t *slowTable) Commit(ctx context.Context, writes ...backing.Write) error {
	if f := t.before; f != nil {
		t.before = nil
		f()
	}
	if t.hold {
		t.hold, t.held = false, writes
		return backing.ErrAway
	}
	return t.Memory.Commit(ctx, writes...)
}

// seatFleet is a few nodes in one process, on one clock, that never run: a test moves their
// seat keepers on one at a time.
type seatFleet struct {
	clock    *clock.Manual
	platform *slowTable
	running  map[string]*Node
	names    []string
}

func noWait(context.Context, clock.Millis) error { return nil }

func newSeatFleet(t testing.TB) *seatFleet {
	f := &seatFleet{clock: clock.NewManual(1_000_000), running: map[string]*Node{}}
	f.platform = &slowTable{Memory: backing.NewMemory(f.clock, noWait)}
	for i := range testNodes {
		f.names = append(f.names, fmt.Sprint("n", i))
		f.start(t, f.names[i])
	}
	return f
}

// start runs another process of the node, at its address.
func (f *seatFleet) start(t testing.TB, name string) {
	if old := f.running[name]; old != nil {
		old.close()
	}
	f.clock.Advance(1)
	s := settings.Defaults()
	s.Node = settings.Node{
		Name: name, Hall: "h", Weight: 100, Gossip: "127.0.0.1:0", Peers: "127.0.0.1:0", Callers: "127.0.0.1:0", Operators: "127.0.0.1:0",
		AdvertiseGossip: name + ":1",
	}
	s.Fleet.Keys = []string{"00112233445566778899aabbccddeeff"}
	log := logrus.New()
	log.SetOutput(io.Discard)
	n, err := New(s, f.platform, f.clock, log)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(n.close)
	f.running[name] = n
	f.meet()
	n.holdings.Put(seatDocument())
	f.follow()
}

// meet lets all know each other.
func (f *seatFleet) meet() {
	for _, a := range f.running {
		for _, b := range f.running {
			a.members.Merge([]*tlv1.Member{b.members.Self()})
		}
	}
}

func (f *seatFleet) follow() {
	for _, n := range f.running {
		n.guards.follow()
	}
}

func seatDocument() *tlv1.Document {
	s := &tlv1.Service{Workspace: "w", Name: "s", FloorSlots: 3}
	for i := range testSeats + 1 {
		s.Targets = append(s.Targets, &tlv1.Target{Id: fmt.Sprint("t", i), Address: "127.0.0.1:1", Slots: 3})
	}
	return &tlv1.Document{Key: "svc/w/s", Version: 1, Body: &tlv1.Document_Service{Service: s}}
}

func (n *Node) heldSeats() []int {
	for _, s := range n.guards.all() {
		return s.Seats()
	}
	return nil
}

// check fails if two living processes go by one seat.
func (f *seatFleet) check(t interface{ Fatalf(string, ...any) }) (held int) {
	by := map[int]string{}
	for name, n := range f.running {
		for _, i := range n.heldSeats() {
			if by[i] != "" {
				t.Fatalf("seat %d is held by %s and %s", i, by[i], name)
			}
			by[i] = name
			held++
		}
	}
	return held
}

// TestSeatsHaveOneHolder lets nodes claim, keep and give up seats through a table that goes away
// and loses answers, while processes restart, pause, leave, and drop out of the platform's list.
func TestSeatsHaveOneHolder(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f := newSeatFleet(t)
		ctx := context.Background()
		name := rapid.SampledFrom(f.names)
		rt.Repeat(map[string]func(*rapid.T){
			"tick": func(t *rapid.T) { f.running[name.Draw(t, "node")].seats.tick(ctx) },
			"wait": func(t *rapid.T) { f.clock.Advance(clock.Millis(rapid.IntRange(100, 9000).Draw(t, "ms"))) },
			"faults": func(rt *rapid.T) {
				f.platform.SetFaults(backing.Faults{Away: rapid.Bool().Draw(rt, "away"), LoseAnswers: rapid.IntRange(0, 2).Draw(rt, "lost")})
			},
			"restart": func(rt *rapid.T) { f.start(t, name.Draw(rt, "node")) },
			"race": func(rt *rapid.T) {
				other := f.running[name.Draw(rt, "node")]
				f.platform.before = func() { other.seats.tick(ctx) }
			},
			"hold": func(*rapid.T) { f.platform.hold = true },
			"arrive": func(*rapid.T) {
				_ = f.platform.Memory.Commit(ctx, f.platform.held...)
				f.platform.held = nil
			},
			"leave": func(rt *rapid.T) { f.running[name.Draw(rt, "node")].seats.release(ctx) },
			"list": func(rt *rapid.T) {
				// The list may lack a node that lives, if it has never been in it.
				var addresses []string
				for _, n := range f.names {
					addresses = append(addresses, n+":1")
				}
				f.running[name.Draw(rt, "node")].seats.listed(addresses[:rapid.IntRange(0, 1).Draw(rt, "listed")*testNodes])
			},
			"": func(rt *rapid.T) { f.check(rt) },
		})
	})
}

// TestLateCommitGivesNoSeatAway has a node give its seats up by a commit whose answer is lost, look
// again before it has come, and another node claim a seat once it has.
func TestLateCommitGivesNoSeatAway(t *testing.T) {
	for gives := range testNodes {
		f := newSeatFleet(t)
		ctx := context.Background()
		tick := func(i int) {
			f.clock.Advance(10 * clock.Second)
			f.running[f.names[i%testNodes]].seats.tick(ctx)
		}
		tick(gives)
		tick(gives + 1)
		f.platform.hold = true
		f.running[f.names[gives]].seats.release(ctx)
		tick(gives)
		_ = f.platform.Memory.Commit(ctx, f.platform.held...)
		tick(gives + 2)
		f.check(t)
	}
}

func TestSeatsAreAllClaimed(t *testing.T) {
	f := newSeatFleet(t)
	for range 10 {
		for _, n := range f.running {
			n.seats.tick(context.Background())
		}
		f.clock.Advance(2 * clock.Second)
	}
	if held := f.check(t); held != testSeats {
		t.Fatalf("%d of %d seats are held", held, testSeats)
	}
	f.start(t, "n1") // its seats are free, since a later process has its address
	for range 10 {
		for _, n := range f.running {
			n.seats.tick(context.Background())
		}
		f.clock.Advance(2 * clock.Second)
	}
	if held := f.check(t); held != testSeats {
		t.Fatalf("%d of %d seats are held after a restart", held, testSeats)
	}
}
