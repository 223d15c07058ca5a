package pool_test

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"github.com/tinladder/tinladder/clock"
	"github.com/tinladder/tinladder/ident"
	"github.com/tinladder/tinladder/pool"
)

// TestColdTargetsGetTheirRate asks for far more than a cold target may get, once it is cold and once it is no longer.
func TestColdTargetsGetTheirRate(t *testing.T) {
	is := is.New(t)
	c := clock.NewManual(1000)
	n := newNode(c, "n1")
	list := targets(1, 100)
	list[0].WarmupUntil, list[0].WarmupRate = 4000, 5
	n.SetTargets(list)
	sent := 0
	for c.Now() < 3000 {
		if l := n.TryAcquire(n.request(true)); l != nil {
			sent++
			l.Done(pool.Good, false)
		}
		c.Advance(10)
	}
	is.True(sent >= 10 && sent <= 11) // 5 a second for 2 s, and the burst
	c.Advance(1000)
	for range 50 {
		is.True(n.TryAcquire(n.request(true)) != nil)
	}
}

// TestColdTargetsOfOtherNodesGetNothing has another node send to the only target: a request is refused at once, not when
// its time is over.
func TestColdTargetsOfOtherNodesGetNothing(t *testing.T) {
	is := is.New(t)
	c := clock.NewManual(1000)
	n := newNode(c, "n1")
	list := targets(1, 3)
	list[0].WarmupUntil = 4000
	n.SetTargets(list)
	_, err := n.Acquire(context.Background(), n.request(true))
	is.True(errors.Is(err, pool.ErrNoTarget))
	list[0].WarmupUntil, list[0].Evacuated = 0, true
	n.SetTargets(list)
	_, err = n.Acquire(context.Background(), n.request(true))
	is.True(errors.Is(err, pool.ErrNoTarget))
}

// TestRequestsWaitForColdTargets has a request wait until its target may get one more.
func TestRequestsWaitForColdTargets(t *testing.T) {
	is := is.New(t)
	c := clock.NewManual(1000)
	n := newNode(c, "n1")
	list := targets(1, 100)
	list[0].WarmupUntil, list[0].WarmupRate = 9000, 10
	n.SetTargets(list)
	is.True(n.TryAcquire(n.request(true)) != nil)
	got := make(chan error, 1)
	go func() {
		_, err := n.Acquire(context.Background(), n.request(true))
		got <- err
	}()
	for n.Stats().Waiting == 0 {
		time.Sleep(time.Millisecond)
	}
	n.Wake()
	is.Equal(n.Stats().Waiting, 1)
	c.Advance(100)
	n.Wake()
	is.NoErr(<-got)
}

// TestRequestsStayInTheirHalls has a request that only some halls may serve, while those have no room.
func TestRequestsStayInTheirHalls(t *testing.T) {
	is := is.New(t)
	c := clock.NewManual(1000)
	n := newNode(c, "n1")
	list := targets(4, 3)
	for i := range list {
		list[i].Hall = ident.Hall([]string{"h0", "h1"}[i%2])
	}
	n.SetTargets(list)
	for range 6 {
		a := n.request(true)
		a.Halls = map[ident.Hall]bool{"h1": true}
		l := n.TryAcquire(a)
		is.True(l != nil && (l.Target == "b" || l.Target == "d"))
	}
	a := n.request(true)
	a.Halls = map[ident.Hall]bool{"h1": true}
	is.True(n.TryAcquire(a) == nil)
	a.Halls = map[ident.Hall]bool{"h2": true}
	_, err := n.Acquire(context.Background(), a)
	is.True(errors.Is(err, pool.ErrNoTarget))
}
