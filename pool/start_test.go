package pool_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"github.com/tinladder/tinladder/clock"
	"github.com/tinladder/tinladder/ident"
	"github.com/tinladder/tinladder/pool"
)

// manyTargets returns so manyTargets near targets of three slots.
func manyTargets(count int) (list []pool.Target) {
	for i := range count {
		id := fmt.Sprint("t", i)
		list = append(list, pool.Target{ID: ident.Target(id), Address: id, Slots: 3, SameHall: true, Assigned: true})
	}
	return list
}

// fewRequests sends requests one at a time, 50 a second, of which those to targets for which fails holds fail. It returns
// how many failed and which targets were used.
func fewRequests(t *testing.T, n *node, count int, fails func(ident.Target) bool) (failed int, used map[ident.Target]bool) {
	t.Helper()
	used = map[ident.Target]bool{}
	for range count {
		l := n.mustAcquire(t, n.request(false))
		used[l.Target] = true
		outcome := pool.Good
		if fails(l.Target) {
			outcome = pool.Failed
			failed++
		}
		n.clock.Advance(5)
		l.Done(outcome, false)
		n.RecordResult(pool.Served)
		n.clock.Advance(15)
	}
	return failed, used
}

// threeInTen has three in ten targets fail.
func threeInTen(id ident.Target) bool {
	var i int
	_, _ = fmt.Sscanf(string(id), "t%d", &i)
	return i%10 < 3
}

// TestTargetsOfAStartAreNotAllTried has thousands of targets register in series before the first request, as when a whole
// fleet starts. If each of them were owed a trial, few requests would find out one target after the other, and as many
// would fail as targets do, for as long as there are targets left.
func TestTargetsOfAStartAreNotAllTried(t *testing.T) {
	is := is.New(t)
	c := clock.NewManual(1000)
	n := newNode(c, "n")
	list := manyTargets(2000)
	for i := 100; i <= len(list); i += 100 {
		n.SetTargets(list[:i])
		c.Advance(100)
	}
	c.Advance(10 * clock.Second)
	failed, used := fewRequests(t, n, 400, threeInTen)
	t.Logf("%d of 400 failed, %d targets used", failed, len(used))
	is.True(failed < 40) // the tenth from which on the platform holds the service to its floor
}

// TestJoinersAreTriedUnderSparseLoad has targets join a large service that has requests: each gets one soon, and no more
// requests are spent on that than a part of them.
func TestJoinersAreTriedUnderSparseLoad(t *testing.T) {
	is := is.New(t)
	c := clock.NewManual(1000)
	n := newNode(c, "n")
	list := manyTargets(2200)
	n.SetTargets(list[:2000])
	none := func(ident.Target) bool { return false }
	fewRequests(t, n, 200, none)
	n.SetTargets(list[:2020])
	_, used := fewRequests(t, n, 250, none) // 5 s
	for _, d := range list[2000:2020] {
		is.True(used[d.ID]) // a target that joined got nothing
	}
	n.SetTargets(list)
	_, used = fewRequests(t, n, 250, none)
	tried := 0
	for _, d := range list[2020:] {
		if used[d.ID] {
			tried++
		}
	}
	t.Logf("%d of 250 requests were trials of targets that joined", tried)
	is.True(tried > 0 && tried <= 250*20/100) // a failing target in three would make a tenth of all fail at 0.3
}
