package pool_test

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"github.com/tinladder/tinladder/clock"
	"github.com/tinladder/tinladder/ident"
	"github.com/tinladder/tinladder/pool"
	tlv1 "github.com/tinladder/tinladder/schema/tinladder/v1"
)

// work is how long the targets of these tests usually take, and aim the latency objective: a target four times slower is
// likely to miss it.
const work, aim clock.Millis = 100, 500

// newSpeedNode returns a node that estimates the speeds of targets.
func newSpeedNode(t *testing.T, c *clock.Manual, name string) *node {
	t.Helper()
	tuning, err := pool.DefaultTuning.With("target-speeds")
	if err != nil {
		t.Fatal(err)
	}
	n := &node{clock: c, name: ident.Process{Node: ident.Node(name), Incarnation: 1}}
	b := pool.NewRetryBudget(c, rand.New(rand.NewPCG(3, 4)), 0.2, 100, 10*clock.Second)
	n.Pool = pool.New(tuning, c, rand.New(rand.NewPCG(1, uint64(len(name)))), b, n.onChange, n.onEvent)
	return n
}

// newSpeedFleet returns nodes that hear each other's reports.
func newSpeedFleet(t *testing.T, count int, list []pool.Target) []*node {
	t.Helper()
	c := clock.NewManual(1000)
	var fleet []*node
	for i := range count {
		n := newSpeedNode(t, c, fmt.Sprint("n", i))
		n.SetTargets(list)
		fleet = append(fleet, n)
	}
	for _, n := range fleet {
		for _, o := range fleet {
			if o != n {
				n.peers = append(n.peers, o)
			}
		}
	}
	return fleet
}

// A load is what callers ask of a fleet, and how its targets respond.
type load struct {
	// every is the time from one request to the next.
	every clock.Millis
	// takes returns how long the request takes at the target; without it, each takes its work.
	takes func(node int, l *pool.Lease, a *pool.Request) clock.Millis
	// ask changes the request, if it is set.
	ask func(a *pool.Request)
}

// drive has the fleet serve the load for some time, and returns how many requests each target got.
func drive(fleet []*node, d clock.Millis, w load) map[ident.Target]int {
	type flight struct {
		l   *pool.Lease
		end clock.Millis
	}
	c, got := fleet[0].clock, map[ident.Target]int{}
	var flights []flight
	next := c.Now()
	for i, end := 0, c.Now()+d; c.Now() < end || len(flights) > 0; c.Advance(1) {
		flights = slices.DeleteFunc(flights, func(f flight) bool {
			if f.end <= c.Now() {
				f.l.Done(pool.Good, false)
			}
			return f.end <= c.Now()
		})
		for ; next <= c.Now() && c.Now() < end; next, i = next+w.every, i+1 {
			n := i % len(fleet)
			a := fleet[n].request(false)
			a.Objective, a.Deadline, a.Work = aim, a.Began+60*clock.Second, work
			if w.ask != nil {
				w.ask(a)
			}
			l := fleet[n].TryAcquire(a)
			if l == nil {
				continue
			}
			got[l.Target]++
			takes := a.Work
			if w.takes != nil {
				takes = w.takes(n, l, a)
			}
			flights = append(flights, flight{l, c.Now() + takes})
		}
	}
	return got
}

// slower returns what the node estimates for the target.
func (n *node) slower(id ident.Target) float64 {
	for _, s := range n.Status() {
		if s.Target == id {
			return s.Slower
		}
	}
	return 0
}

func (n *node) mustBeUsual(t *testing.T) {
	t.Helper()
	for _, s := range n.Status() {
		if s.Slower > 1.3 || s.Slower < 1/1.3 {
			t.Errorf("%s is estimated to take %.2f times as long as the others", s.Target, s.Slower)
		}
	}
}

// slowed has the targets take x times as long.
func slowed(x float64, ids ...ident.Target) func(int, *pool.Lease, *pool.Request) clock.Millis {
	return func(_ int, l *pool.Lease, a *pool.Request) clock.Millis {
		if slices.Contains(ids, l.Target) {
			return clock.Millis(float64(a.Work) * x)
		}
		return a.Work
	}
}

var allSix = []ident.Target{"a", "b", "c", "d", "e", "f"}

// TestSlowTargetGetsAboutItsShare guards against a target that takes four times as long, and gets nothing, or as much as the
// others.
func TestSlowTargetGetsAboutItsShare(t *testing.T) {
	fleet := newSpeedFleet(t, 3, targets(6, 3))
	w := load{every: 9, takes: slowed(4, "a"), ask: func(a *pool.Request) { a.Objective = 20 * aim }} // 0.70 of the capacity
	drive(fleet, 5*clock.Second, w)
	got := drive(fleet, 20*clock.Second, w)
	others := 0
	for _, id := range allSix[1:] {
		others += got[id]
	}
	if x := float64(got["a"]) / (float64(others) / 5); x < 0.15 || x > 0.4 {
		t.Errorf("a target four times slower got %.2f of what others got", x)
	}
	for _, n := range fleet {
		if x := n.slower("a"); x < 3 || x > 5 {
			t.Errorf("it is estimated to take %.2f times as long", x)
		}
	}
}

// TestRequestsWithLittleTimeGoToFastTargets guards against short requests that are sent to a target where they miss their aim,
// while others have the time.
func TestRequestsWithLittleTimeGoToFastTargets(t *testing.T) {
	fleet := newSpeedFleet(t, 3, targets(6, 3))
	i, tight := 0, map[ident.Target]int{}
	w := load{every: 12, takes: slowed(4, "a"), ask: func(a *pool.Request) {
		if i++; i%2 == 0 {
			a.Objective = 20 * aim
		}
	}}
	drive(fleet, 5*clock.Second, w)
	w.takes = func(n int, l *pool.Lease, a *pool.Request) clock.Millis {
		if a.Objective == aim {
			tight[l.Target]++
		}
		return slowed(4, "a")(n, l, a)
	}
	got := drive(fleet, 20*clock.Second, w)
	if 10*tight["a"] > tight["b"] {
		t.Errorf("the slow target got %d requests with little time of %v", tight["a"], tight)
	}
	if got["a"] < got["b"]/8 {
		t.Errorf("the slow target got %d of %v", got["a"], got)
	}
}

// TestNoShareChangesWhenAllAreSlow guards against targets that are shunned for being as slow as all others. The requests need
// all targets: at less, those that were seen last get the most, whatever their speeds.
func TestNoShareChangesWhenAllAreSlow(t *testing.T) {
	fleet := newSpeedFleet(t, 3, targets(6, 3))
	drive(fleet, 5*clock.Second, load{every: 30})
	r, total := rand.New(rand.NewPCG(7, 8)), map[ident.Target]int{}
	w := load{every: 30, takes: func(_ int, _ *pool.Lease, a *pool.Request) clock.Millis {
		return clock.Millis((0.5 + r.Float64()) * 4 * float64(a.Work))
	}}
	for range 6 {
		for id, n := range drive(fleet, 4*clock.Second, w) {
			total[id] += n
			if n < 11 || n > 33 { // of 133 for six
				t.Errorf("%s got %d requests in 4 s", id, n)
			}
		}
	}
	for id, n := range total {
		if n < 107 || n > 160 { // 0.8 to 1.2 times a sixth
			t.Errorf("%s got %d requests in 24 s", id, n)
		}
	}
	for _, n := range fleet {
		n.mustBeUsual(t)
		if s := n.Stats(); s.Slow > 0 {
			t.Errorf("%d are counted as slow", s.Slow)
		}
	}
}

// TestHealedTargetGetsItsShareBack guards against a target that stays slow in the estimates when it no longer is, used or not.
func TestHealedTargetGetsItsShareBack(t *testing.T) {
	for _, used := range []bool{true, false} {
		fleet := newSpeedFleet(t, 3, targets(6, 3))
		drive(fleet, 10*clock.Second, load{every: 9, takes: slowed(4, "a")})
		if x := fleet[0].slower("a"); x < 3 {
			t.Fatalf("it is estimated to take %.2f times as long", x)
		}
		w := load{every: 9}
		if !used {
			w.ask = func(a *pool.Request) { a.Exclude = []ident.Target{"a"} }
		}
		drive(fleet, 4*clock.Second, w)
		if !used {
			fleet[0].clock.Advance(2 * clock.Second)
		}
		if x := fleet[0].slower("a"); x > 1.5 { // from there on a target counts as slow
			t.Errorf("used %v: it is estimated to take %.2f times as long", used, x)
		}
		if got := drive(fleet, 4*clock.Second, load{every: 9}); float64(got["a"]) < 0.75*float64(got["b"]) {
			t.Errorf("used %v: it got %d of %v", used, got["a"], got)
		}
	}
}

// TestReleaseOfFasterTargetsChangesNothing guards against shares that hang on how fast targets were before a release.
func TestReleaseOfFasterTargetsChangesNothing(t *testing.T) {
	list := targets(6, 3)
	fleet := newSpeedFleet(t, 3, list)
	drive(fleet, 5*clock.Second, load{every: 12, takes: slowed(2, allSix...)})
	list = slices.Clone(list)
	for i := range list {
		list[i].Life = 2
	}
	for _, n := range fleet {
		n.SetTargets(list)
	}
	got := drive(fleet, 10*clock.Second, load{every: 12})
	for _, id := range allSix {
		if got[id] < 110 || got[id] > 170 { // of 833
			t.Errorf("%s got %d of %v", id, got[id], got)
		}
	}
	fleet[0].mustBeUsual(t)
}

// TestTailIsNoSpeed guards against a target that loses half of its share by a late response of seven times the usual time.
func TestTailIsNoSpeed(t *testing.T) {
	fleet := newSpeedFleet(t, 3, targets(6, 3))
	r := rand.New(rand.NewPCG(5, 6))
	w := load{every: 30, takes: func(_ int, _ *pool.Lease, a *pool.Request) clock.Millis {
		if r.Float64() < 0.03 {
			return 7 * a.Work
		}
		return clock.Millis((0.5 + r.Float64()) * float64(a.Work))
	}}
	for range 60 {
		drive(fleet, clock.Second, w)
		for _, n := range fleet {
			for _, s := range n.Status() {
				if s.Slower > 1.9 {
					t.Errorf("%s is estimated to take %.2f times as long", s.Target, s.Slower)
				}
			}
		}
	}
	fresh := newSpeedFleet(t, 1, targets(6, 3))
	drive(fresh, 700, load{every: 700, takes: slowed(7, allSix...)})
	drive(fresh, 100, load{every: 20})
	for _, s := range fresh[0].Status() {
		if s.Slower >= 2 {
			t.Errorf("%s had one tail and is estimated to take %.2f times as long", s.Target, s.Slower)
		}
	}
}

// TestMixOfKindsIsNoSpeed guards against a target that seems slow since it gets the requests with the most work.
func TestMixOfKindsIsNoSpeed(t *testing.T) {
	fleet := newSpeedFleet(t, 2, targets(6, 3))
	i := 0
	drive(fleet, 10*clock.Second, load{every: 15, ask: func(a *pool.Request) {
		if i++; i%4 == 0 {
			a.Work, a.Exclude = 5*work, []ident.Target{"c", "d", "e", "f"}
		}
	}})
	for _, n := range fleet {
		n.mustBeUsual(t)
	}
}

// TestSlowWayIsNotASlowTarget guards against a target that all nodes hold to be slow since one node's way there is.
func TestSlowWayIsNotASlowTarget(t *testing.T) {
	fleet := newSpeedFleet(t, 6, targets(6, 3))
	drive(fleet, 15*clock.Second, load{every: 10, takes: func(node int, l *pool.Lease, a *pool.Request) clock.Millis {
		if node == 0 && l.Target == "a" {
			return 4 * a.Work
		}
		return a.Work
	}})
	if x := fleet[0].slower("a"); x > 2 {
		t.Errorf("the node with the slow way estimates %.2f", x)
	}
	for _, n := range fleet[1:] {
		if x := n.slower("a"); x > 1.5 {
			t.Errorf("%s estimates %.2f", n.name.Node, x)
		}
	}
}

// says has another node report a time of the target.
func (n *node) says(by, id string, ratio, samples, life uint32) {
	n.ApplyReport(ident.Process{Node: ident.Node(by), Incarnation: 1}, &tlv1.Report{Seen: []*tlv1.Seen{
		{Target: id, OkMs: -1, FailedMs: -1, RelativeTime: ratio, TimeSamples: samples, Life: life},
	}})
}

// TestAbsurdReportsOfSpeedSayNothing guards against reports that no sound node sends, and one node that says what it likes.
func TestAbsurdReportsOfSpeedSayNothing(t *testing.T) {
	fleet := newSpeedFleet(t, 3, targets(6, 3))
	drive(fleet, 5*clock.Second, load{every: 10})
	n := fleet[0]
	before := n.slower("a")
	for _, ratio := range []uint32{0, 1, 124, 8001, math.MaxUint32} {
		n.says("bad", "a", ratio, math.MaxUint32, 0)
		n.clock.Advance(100)
		if x := n.slower("a"); math.Abs(x-before) > 0.05 {
			t.Errorf("a report of %d thousandths changed the estimate from %.2f to %.2f", ratio, before, x)
		}
	}
	n.says("bad", "a", 4000, 0, 0)
	n.clock.Advance(100)
	if x := n.slower("a"); math.Abs(x-before) > 0.05 {
		t.Errorf("a report without samples changed the estimate from %.2f to %.2f", before, x)
	}
	n.says("bad", "a", 8000, math.MaxUint32, 0)
	n.clock.Advance(100)
	if x := n.slower("a"); x > math.Sqrt(8) { // half of the weight at most, on a log scale
		t.Errorf("one node moved the estimate to %.2f", x)
	}
	n.clock.Advance(15 * clock.Second)
	if x := n.slower("a"); x > 1.1 {
		t.Errorf("15 s later the estimate is %.2f", x)
	}
}

// TestRestartForgetsTheSpeed guards against a target that is held to be slow for what it was before its restart.
func TestRestartForgetsTheSpeed(t *testing.T) {
	is := is.New(t)
	list := targets(6, 3)
	fleet := newSpeedFleet(t, 2, list)
	drive(fleet, 5*clock.Second, load{every: 10, takes: slowed(4, "a")})
	n := fleet[0]
	is.True(n.slower("a") > 2)
	list = slices.Clone(list)
	list[0].Life = 9
	n.SetTargets(list)
	n.says("n1", "a", 4000, 16, 0) // by a node that does not know of the restart yet
	n.says("n9", "a", 4000, 16, 1<<16|7)
	n.clock.Advance(100)
	is.Equal(n.slower("a"), 1.0)
}

// TestNodesOfBeforeSayNothingOfSpeeds guards against reports without the fields that change an estimate, and nodes without
// the mechanism that send or use them.
func TestNodesOfBeforeSayNothingOfSpeeds(t *testing.T) {
	is := is.New(t)
	fleet := newSpeedFleet(t, 1, targets(6, 3))
	n, old := fleet[0], newNode(fleet[0].clock, "old")
	old.SetTargets(targets(6, 3))
	drive([]*node{old}, 5*clock.Second, load{every: 20, takes: slowed(4, "a")})
	drive(fleet, 5*clock.Second, load{every: 20, takes: slowed(4, "a")})
	before := n.slower("a")
	is.True(before > 2)
	for _, s := range old.Report(true).GetSeen() {
		is.Equal(s.GetRelativeTime(), uint32(0))
		is.Equal(s.GetTimeSamples(), uint32(0))
	}
	n.ApplyReport(old.name, old.Report(true))
	is.Equal(n.slower("a"), before)
	old.ApplyReport(n.name, n.Report(true))
	old.clock.Advance(100)
	is.Equal(old.slower("a"), 1.0)
}

// TestDoubledReportsOfSpeedCountOnce guards against datagrams that come twice.
func TestDoubledReportsOfSpeedCountOnce(t *testing.T) {
	is := is.New(t)
	var got []float64
	for _, times := range []int{1, 5} {
		fleet := newSpeedFleet(t, 1, targets(6, 3))
		drive(fleet, 2*clock.Second, load{every: 30})
		for range times {
			fleet[0].says("n9", "a", 4000, 4, 0)
		}
		fleet[0].clock.Advance(100)
		got = append(got, fleet[0].slower("a"))
	}
	is.True(got[0] > 1.3)
	is.True(math.Abs(got[0]-got[1]) < 1e-6)
}

// TestReportTellsSpeeds guards against a node that has no requests of its own, and does not use what others have seen.
func TestReportTellsSpeeds(t *testing.T) {
	fleet := newSpeedFleet(t, 3, targets(6, 3))
	drive(fleet[:2], 10*clock.Second, load{every: 10, takes: slowed(4, "a"), ask: func(a *pool.Request) { a.Objective = 20 * aim }})
	if x := fleet[2].slower("a"); x < 2.5 {
		t.Errorf("a node without requests estimates %.2f", x)
	}
}

// TestSlownessIsLoggedOnce guards against lines at each sample, and none at all.
func TestSlownessIsLoggedOnce(t *testing.T) {
	is := is.New(t)
	fleet := newSpeedFleet(t, 1, targets(6, 3))
	drive(fleet, 10*clock.Second, load{every: 10, takes: slowed(4, "a")})
	is.Equal(fleet[0].Stats().Slow, 1)
	drive(fleet, 10*clock.Second, load{every: 10})
	var kinds []pool.EventKind
	for _, e := range fleet[0].events {
		is.Equal(e.Target, ident.Target("a"))
		kinds = append(kinds, e.Kind)
	}
	is.True(reflect.DeepEqual(kinds, []pool.EventKind{pool.TargetSlow, pool.TargetUsual}))
}

// TestSilenceIsNoSlowness guards against a target that hangs, and is excused for being slow; a slow one has the time that it
// is known to need.
func TestSilenceIsNoSlowness(t *testing.T) {
	fleet := newSpeedFleet(t, 1, targets(6, 3))
	n := fleet[0]
	drive(fleet, 10*clock.Second, load{every: 15, takes: slowed(4, "a"), ask: func(a *pool.Request) { a.Objective = 20 * aim }})
	at := func(id ident.Target) *pool.Lease {
		a := n.request(false)
		a.Work = work
		for _, other := range allSix {
			if other != id {
				a.Exclude = append(a.Exclude, other)
			}
		}
		return n.mustAcquire(t, a)
	}
	if x := at("a").UsualTime(); x < 3*work || x > 5*work {
		t.Errorf("the slow target is expected to take %d ms", x)
	}
	for range 8 {
		for _, o := range []pool.Outcome{pool.Late, pool.Abandoned} {
			l := at("b")
			drive(fleet, 500, load{every: 15, ask: func(a *pool.Request) { a.Exclude = []ident.Target{"b"} }})
			l.Done(o, false)
		}
	}
	n.clock.Advance(100)
	if x := n.slower("b"); x > 1.1 {
		t.Errorf("a target that hangs is estimated to take %.2f times as long", x)
	}
}

// TestWaitSumsTheWork guards against callers that are told to wait as long behind short requests as behind long ones.
func TestWaitSumsTheWork(t *testing.T) {
	retryAfter := func(ahead clock.Millis) clock.Millis {
		n := newSpeedFleet(t, 1, targets(1, 1))[0]
		drive([]*node{n}, 5*clock.Second, load{every: 120})
		n.occupy("a", 2)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		for range 10 {
			a := n.request(false)
			a.Work, a.Objective, a.Deadline = ahead, 60*clock.Minute, a.Began+60*clock.Minute
			go func() { _, _ = n.Acquire(ctx, a) }()
		}
		for n.Stats().Waiting < 10 {
			time.Sleep(time.Millisecond)
		}
		a := n.request(false)
		a.Work, a.Deadline = work, a.Began+1
		_, err := n.Acquire(ctx, a)
		var busy *pool.BusyError
		if !errors.As(err, &busy) {
			t.Fatal(err)
		}
		return busy.RetryAfter
	}
	short, long := retryAfter(work), retryAfter(10*work)
	if long < 5*short {
		t.Errorf("behind ten requests a caller is told to wait %d ms, behind ten with ten times the work %d ms", short, long)
	}
}
