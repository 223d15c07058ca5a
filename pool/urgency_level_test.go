package pool_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"github.com/tinladder/tinladder/clock"
	"github.com/tinladder/tinladder/ident"
	"github.com/tinladder/tinladder/pool"
	tlv1 "github.com/tinladder/tinladder/schema/tinladder/v1"
	"google.golang.org/protobuf/proto"
)

// levelNode is a pool with a level of urgency, in the time of its bubble.
type levelNode struct {
	*pool.Pool
	clock clock.Clock

	mu     sync.Mutex
	events []pool.Event
	// refused and held are of requests that the level refused: how many, and the longest that one waited for it.
	refused map[uint32]int
	held    time.Duration
	retry   clock.Millis
	granted map[uint32]int
}

func newLevelNode(on bool, targetCount, slots int) *levelNode {
	n := &levelNode{clock: clock.NewSystem(), refused: map[uint32]int{}, granted: map[uint32]int{}}
	tuning := pool.DefaultTuning
	tuning.UrgencyLevel = on
	b := pool.NewRetryBudget(n.clock, rand.New(rand.NewPCG(3, 4)), 0.2, 100, 10*clock.Second)
	n.Pool = pool.New(tuning, n.clock, rand.New(rand.NewPCG(1, 2)), b, func(pool.ChangeKind, ident.Hall) {}, n.onEvent)
	n.SetTargets(targets(targetCount, slots))
	return n
}

func (n *levelNode) onEvent(e pool.Event) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.events = append(n.events, e)
}

// record counts how a request of a priority was admitted or refused, after a time.
func (n *levelNode) record(priority uint32, err error, took time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	var busy *pool.BusyError
	if errors.As(err, &busy) && busy.ByUrgency {
		n.refused[priority]++
		n.held = max(n.held, took)
		n.retry = max(n.retry, busy.RetryAfter)
	}
	if err == nil {
		n.granted[priority]++
	}
}

// ask makes a request of 100 ms at a target.
func (n *levelNode) ask(priority uint32) {
	now := n.clock.Now()
	a := &pool.Request{Priority: priority, Began: now, Objective: 800, Deadline: now + 5000}
	began := time.Now()
	l, err := n.Acquire(context.Background(), a)
	n.record(priority, err, time.Since(began))
	if err != nil {
		return
	}
	time.Sleep(100 * time.Millisecond)
	l.Done(pool.Good, false)
}

// press asks for twice the room of 8 slots for a while, a tenth of it urgent.
func (n *levelNode) press(d time.Duration) {
	for i := 0; i < int(d/(6250*time.Microsecond)); i++ {
		priority := uint32(2)
		if i%10 == 0 {
			priority = 0
		}
		go n.ask(priority)
		time.Sleep(6250 * time.Microsecond)
		if i%16 == 0 {
			n.Wake()
		}
	}
}

// TestLessUrgentAreRefusedAtOnce guards against requests that take a place in the queue of a service without room, and
// against urgent ones refused for them.
func TestLessUrgentAreRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newLevelNode(true, 4, 2)
		n.press(4 * time.Second)
		n.mu.Lock()
		is.Equal(n.refused[0], 0)
		is.True(n.refused[2] > 100)
		is.True(n.granted[2] > 100)
		is.True(n.held <= 200*time.Millisecond) // a quarter of the objective
		is.True(n.retry >= 250 && n.retry <= 4500)
		n.mu.Unlock()
		is.True(n.UrgencyLevel().On)
		n.press(2 * time.Second)
		is.True(n.Stats().Waiting < 40)
		n.mu.Lock()
		lines := 0
		for _, e := range n.events {
			if e.Kind == pool.LevelChanged {
				lines++
			}
		}
		n.mu.Unlock()
		is.True(lines >= 1 && lines <= 7) // one a second
		time.Sleep(2 * time.Second)
		n.Wake()
		is.True(!n.UrgencyLevel().On)
		time.Sleep(10 * time.Second)
	})
}

// TestNoLevelUnlessAskedFor guards against nodes that decide otherwise than before by default.
func TestNoLevelUnlessAskedFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newLevelNode(false, 4, 2)
		n.press(3 * time.Second)
		is.Equal(n.Report(false).GetLack(), nil)
		n.mu.Lock()
		is.Equal(len(n.refused), 0)
		n.mu.Unlock()
		time.Sleep(20 * time.Second)
	})
}

// TestFurtherAttemptsKeepTheirPlace guards against a request that was at a target and is refused by the level: it may have
// run, and its caller has waited.
func TestFurtherAttemptsKeepTheirPlace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newLevelNode(true, 4, 2)
		n.press(4 * time.Second)
		n.mu.Lock()
		is.True(n.refused[2] > 100)
		n.mu.Unlock()
		now := n.clock.Now()
		for range 20 {
			a := &pool.Request{Priority: 2, Began: now, Objective: 800, Deadline: now + 5000, Exclude: []ident.Target{"a"}}
			l, err := n.Acquire(context.Background(), a)
			is.NoErr(err)
			l.Done(pool.Good, false)
		}
		time.Sleep(20 * time.Second)
	})
}

// TestLackIsToldAndHeard guards against a lack that other nodes don't learn of, one that is told while there is none, and
// one that is taken from reports of unknown age.
func TestLackIsToldAndHeard(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newLevelNode(true, 4, 2)
		go n.ask(0)
		time.Sleep(10 * time.Millisecond)
		is.Equal(n.Report(false).GetLack(), nil)
		n.press(4 * time.Second)
		r := n.Report(false)
		is.Equal(len(r.GetLack().GetArrivals()), 2)
		is.True(r.GetLack().GetShare() < 900)
		is.True(r.GetLack().GetGranted() > 0)
		t.Logf("%d bytes of %d", proto.Size(r.GetLack()), proto.Size(r))
		for _, whole := range []bool{false, true} {
			other := newLevelNode(true, 4, 2)
			other.Wake()
			time.Sleep(100 * time.Millisecond)
			r.Whole = whole
			other.ApplyReport(ident.Process{Node: "n2", Incarnation: 1}, r)
			other.Wake()
			is.Equal(other.UrgencyLevel().PeersAge >= 0, !whole)
		}
		time.Sleep(20 * time.Second)
	})
}

// TestMalformedLack guards against reports that no node of ours sends.
func TestMalformedLack(t *testing.T) {
	const most = 1<<32 - 1
	many := &tlv1.Lack{Wait: most, Share: most, Granted: most}
	for i := range uint32(100) {
		many.Arrivals = append(many.Arrivals, &tlv1.Arrivals{Rank: most - i, PerSecond: most}, nil, &tlv1.Arrivals{Rank: i})
	}
	for i, lack := range []*tlv1.Lack{{}, many, {Wait: most, Arrivals: []*tlv1.Arrivals{nil}}} {
		t.Run(fmt.Sprint(i), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				n := newLevelNode(true, 4, 2)
				for range 40 {
					n.ApplyReport(ident.Process{Node: "n2", Incarnation: 1}, &tlv1.Report{Lack: lack})
					go n.ask(0)
					go n.ask(2)
					time.Sleep(100 * time.Millisecond)
					n.Wake()
				}
				time.Sleep(time.Second)
				n.mu.Lock()
				defer n.mu.Unlock()
				is.Equal(len(n.refused), 0)
			})
		})
	}
}
