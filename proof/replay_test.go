package proof_test

import (
	"context"
	"fmt"
	"iter"
	"maps"
	"math/rand/v2"
	"path/filepath"
	"reflect"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/BurntSushi/toml"
	"github.com/cockroachdb/errors"
	"github.com/tinladder/tinladder/attempt"
	"github.com/tinladder/tinladder/clock"
	"github.com/tinladder/tinladder/ident"
	"github.com/tinladder/tinladder/pool"
	"github.com/tinladder/tinladder/pool/speed"
)

// A replay is a load pattern, as a file of testdata/load has it: one service, its nodes and what happens to them, in
// virtual time over the real decisions (pool, attempt).
type replay struct {
	// Name says what the load is, and Without which mechanism answers it: without it the replay must do worse.
	Name, Without string
	// With names the optional mechanisms that are on.
	With []string
	// MayFall is by how much the share served may be below that without the mechanism, in the same plays; 0 means that
	// they are not compared.
	MayFall float64
	Seconds float64
	Nodes   int
	Targets int
	Slots   int
	// Noise is the share of targets that are failing by themselves, for 9 s on average.
	Noise float64
	// Slack and Ratio are the fleet's budget of further attempts.
	Ratio, Slack float64
	Kinds        []replayKind
	Events       []replayEvent
	Expect       replayExpect
}

// A replayKind is one kind of request.
type replayKind struct {
	Name       string
	Rate       float64 // a second
	Takes      clock.Millis
	Aim        clock.Millis
	Deadline   clock.Millis
	Repeatable bool
	Attempts   int
	Rank       uint32
	// Workspace is that of the callers; empty if they belong to none.
	Workspace string
	// Nodes is the share of the nodes, the first ones, that the requests come to; 0 stands for all.
	Nodes float64
}

// A replayEvent is something that happens for a while.
type replayEvent struct {
	At, For float64 // seconds
	// What is burst, shed, slow, fail, lost, crash, cut or restart.
	What string
	// Kind is the only kind of request that a burst concerns; empty stands for all.
	Kind string
	// Share is of the targets, of which the first From are left out, Nodes of the nodes that a cut concerns, and X how
	// strong it is.
	Share, From, Nodes, X float64
}

// replayExpect bounds what callers see. Windows are of two seconds.
type replayExpect struct {
	Served, InAim, WorstWindow float64 // at least
	Refused                    float64 // at most
	// HeldRefusal is the longest that a refused request waited for it, in milliseconds.
	HeldRefusal clock.Millis
	// KindsServed and KindsInAim are the least shares by kind of request.
	KindsServed, KindsInAim map[string]float64
}

// misses returns what callers saw less of than the replay asks for.
func (e *replayExpect) misses(got *replayed) []string {
	var list []string
	least := func(what string, x, want float64) {
		if x < want {
			list = append(list, fmt.Sprintf("%s %.3f, want %.3f", what, x, want))
		}
	}
	least("served", share(got.served, got.asked), e.Served)
	least("in aim", share(got.inAim, got.asked), e.InAim)
	least("worst window", got.worstWindow(), e.WorstWindow)
	for kind, want := range e.KindsServed {
		least(kind+" served", got.kind(kind).share(), want)
	}
	for kind, want := range e.KindsInAim {
		least(kind+" in aim", got.kind(kind).inAimShare(), want)
	}
	return list
}

// A kindCount is what callers saw of one kind of request.
type kindCount struct {
	servedCount
	inAim int
}

func (c kindCount) inAimShare() float64 {
	return share(c.inAim, c.asked)
}

// replayed is what callers saw.
type replayed struct {
	asked, served, inAim, refused int
	heldRefusal                   clock.Millis
	windows                       map[int]*[2]int
	byKind                        map[string]*kindCount
}

// newReplayed returns counts of nothing.
func newReplayed() *replayed {
	return &replayed{windows: map[int]*[2]int{}, byKind: map[string]*kindCount{}}
}

// kind returns the counts of a kind of request.
func (r *replayed) kind(name string) *kindCount {
	if r.byKind[name] == nil {
		r.byKind[name] = &kindCount{}
	}
	return r.byKind[name]
}

func share(n, of int) float64 {
	return float64(n) / float64(max(of, 1))
}

// few is how many requests of a window say too little.
const few = 50

func (r *replayed) worstWindow() float64 {
	worst := 1.0
	for _, w := range r.windows {
		if w[0] > few {
			worst = min(worst, share(w[1], w[0]))
		}
	}
	return worst
}

// add sums another play's windows up with this one's, and all else.
func (r *replayed) add(o *replayed) {
	r.asked, r.served, r.inAim, r.refused = r.asked+o.asked, r.served+o.served, r.inAim+o.inAim, r.refused+o.refused
	r.heldRefusal = max(r.heldRefusal, o.heldRefusal)
	for at, x := range o.windows {
		w := r.window(at)
		w[0] += x[0]
		w[1] += x[1]
	}
	for name, x := range o.byKind {
		k := r.kind(name)
		k.asked, k.served, k.inAim = k.asked+x.asked, k.served+x.served, k.inAim+x.inAim
	}
}

// window returns how many requests were asked and in aim in a window.
func (r *replayed) window(at int) *[2]int {
	if r.windows[at] == nil {
		r.windows[at] = &[2]int{}
	}
	return r.windows[at]
}

func (r *replayed) String() string {
	return fmt.Sprintf("asked %d served %.3f in aim %.3f refused %.3f worst window %.3f longest held refusal %d ms",
		r.asked, share(r.served, r.asked), share(r.inAim, r.asked), share(r.refused, r.asked), r.worstWindow(), r.heldRefusal)
}

// A player plays a replay.
type player struct {
	replay
	*simulation
	tuning pool.Tuning
	seed   uint64
	index  map[ident.Target]int

	pmu sync.Mutex
	// nodes are the pools that serve now: those of the simulation, or of the one after a restart.
	nodes []*pool.Pool
	alive context.Context
	kill  context.CancelFunc
	got   *replayed
	// works is what each node has learned of each kind's work; nil if it is told.
	works map[string]*speed.Work
}

func newPlayer(r replay, t pool.Tuning, seed uint64) *player {
	d := deployment{
		targets: r.Targets, slots: r.Slots, nodes: r.Nodes, failRate: 0.9, errorRate: 0.01, failing: 9 * time.Second,
		sound: time.Duration(9 * float64(time.Second) * (1 - r.Noise) / max(r.Noise, 0.001)),
	}
	p := &player{replay: r, tuning: t, seed: seed, index: map[ident.Target]int{}, got: newReplayed()}
	p.simulation = newSimulation(d, t, seed)
	p.nodes = p.pools
	for i := range r.Targets {
		p.index[ident.Target(fmt.Sprint("t", i))] = i
	}
	p.alive, p.kill = context.WithCancel(context.Background())
	return p
}

// now yields the events of the kind that go on.
func (p *player) now(what string) iter.Seq[*replayEvent] {
	at := time.Since(p.start).Seconds()
	return func(yield func(*replayEvent) bool) {
		for i := range p.Events {
			if e := &p.Events[i]; e.What == what && at >= e.At && at < e.At+e.For && !yield(e) {
				return
			}
		}
	}
}

// hits returns the first event that goes on and concerns the target, if there is one.
func (p *player) hits(what string, t ident.Target) *replayEvent {
	at := float64(p.index[t]) / float64(p.Targets)
	for e := range p.now(what) {
		if at >= e.From && at < e.From+e.Share {
			return e
		}
	}
	return nil
}

// rate returns how often requests of the kind come now, per second.
func (p *player) rate(k replayKind) float64 {
	rate := k.Rate
	for e := range p.now("burst") {
		if e.Kind == "" || e.Kind == k.Name {
			rate *= e.X
		}
	}
	return rate
}

// totalRate returns how often requests come now, per second.
func (p *player) totalRate() float64 {
	total := 0.0
	for _, k := range p.Kinds {
		total += p.rate(k)
	}
	return total
}

// draw draws the kind of the next request, by the rates that hold now.
func (p *player) draw(r *rand.Rand) (k replayKind) {
	x := r.Float64() * p.totalRate()
	for _, k = range p.Kinds {
		if x -= p.rate(k); x < 0 {
			break
		}
	}
	return k
}

// send has a node make one attempt.
func (p *player) send(ctx context.Context, node int, k replayKind, l *pool.Lease, o turn, r *rand.Rand) (attempt.Result, pool.Outcome) {
	t := p.targets[l.Target]
	if e := p.hits("cut", l.Target); e != nil && float64(node) < e.Nodes*float64(p.Nodes) || p.hits("crash", l.Target) != nil {
		time.Sleep(120 * time.Millisecond)
		return attempt.Result{Unsent: true}, pool.Unreachable
	}
	if e := p.hits("shed", l.Target); e != nil && r.Float64() < e.X {
		return attempt.Result{Answered: true, Failed: true, NotRun: true}, pool.Shed
	}
	if ctx.Err() != nil {
		return attempt.Result{}, pool.Late // of two things at once a select takes either
	}
	select {
	case t.slots <- struct{}{}:
		defer func() { <-t.slots }()
	case <-ctx.Done():
		o.take()
		return attempt.Result{}, pool.Late
	}
	o.take()
	fails := p.errorRate
	if t.failing(time.Since(p.start)) {
		fails = p.failRate
	}
	if e := p.hits("fail", l.Target); e != nil {
		fails = max(fails, e.X)
	}
	if r.Float64() < fails {
		time.Sleep(3 * time.Millisecond)
		return attempt.Result{Answered: true, Failed: true}, pool.Failed
	}
	takes := k.Takes
	if e := p.hits("slow", l.Target); e != nil {
		takes = clock.Millis(float64(takes) * e.X)
	}
	work := time.NewTimer(o.after(time.Duration((0.5 + r.Float64()) * float64(takes.Duration()))))
	defer work.Stop()
	select {
	case <-work.C:
	case <-ctx.Done():
		o.take()
		return attempt.Result{}, pool.Late
	}
	if e := p.hits("lost", l.Target); e != nil && r.Float64() < e.X || p.hits("crash", l.Target) != nil {
		return attempt.Result{}, pool.ConnectionLost
	}
	return attempt.Result{Answered: true}, pool.Good
}

// work returns what the node knows of the work of requests of the kind. It learns from a response's time, unless that is 0.
func (p *player) work(node int, k replayKind, millis float64) clock.Millis {
	p.pmu.Lock()
	defer p.pmu.Unlock()
	if p.works == nil {
		return k.Takes
	}
	name := fmt.Sprint(node, k.Name)
	if p.works[name] == nil {
		p.works[name] = &speed.Work{}
	}
	if millis > 0 {
		p.works[name].Add(millis)
	}
	return p.works[name].Usual()
}

// request has a node serve a request as the daemon does, but for hedges.
func (p *player) request(node int, k replayKind, o turn, r *rand.Rand) {
	o.take()
	began := time.Now()
	first := clock.FromDuration(began.Sub(p.start))
	p.pmu.Lock()
	alive, pl := p.alive, p.nodes[node]
	p.pmu.Unlock()
	ctx, cancel := context.WithTimeout(alive, k.Deadline.Duration()+lateInTurn)
	defer cancel()
	pl.RetryBudget().AddRequest()
	plan := attempt.Policy{Repeatable: k.Repeatable, MaxAttempts: k.Attempts}
	at := attempt.Progress{TimeLeft: k.Deadline}
	now := clock.NewSystem().Now()
	ask := &pool.Request{
		Repeatable: k.Repeatable, Priority: k.Rank, Began: now, Objective: k.Aim, Deadline: now + k.Deadline,
		Workspace: ident.Workspace(k.Workspace), Work: p.work(node, k, 0),
	}
	for {
		ask.MayRetry = plan.CanHedge(at.Ran)
		l, err := pl.Acquire(ctx, ask)
		o.take()
		if err != nil {
			p.end(pl, k, first, began, err, at.Ran == 0 && alive.Err() == nil, pool.Unserved)
			return
		}
		ask.Exclude = append(ask.Exclude, l.Target)
		end, out := p.send(ctx, node, k, l, o, r)
		l.Done(out, false)
		o.take() // a waiter that got the slot reports at this instant too
		p.work(node, k, l.MedianTime())
		at.Tried, at.TimeLeft, at.ServiceTime = len(ask.Exclude), k.Deadline-clock.FromDuration(time.Since(began)), pl.ServiceTime()
		if out != pool.Unreachable && out != pool.Shed {
			at.Ran++
		}
		step := plan.Next(end, at, func() bool { return pl.AllowRetry(ask) == pool.Allowed })
		switch {
		case step == attempt.Retry:
			o.take()
			continue
		case end.Answered && !end.Failed:
			p.end(pl, k, first, began, nil, false, pool.Served)
		default:
			how := pool.Unserved
			if out == pool.Late {
				how = pool.TimedOut
			} else if l.Reason == pool.Spread {
				how = pool.TrialFailed
			}
			p.end(pl, k, first, began, errors.New("failed"), step == attempt.NotRun, how)
		}
		return
	}
}

func (p *player) end(pl *pool.Pool, k replayKind, first clock.Millis, began time.Time, err error, refused bool, how pool.Result) {
	pl.RecordResult(how)
	took := clock.FromDuration(time.Since(began))
	p.pmu.Lock()
	defer p.pmu.Unlock()
	g := p.got
	w, kind := g.window(int(first/(2*clock.Second))), g.kind(k.Name)
	g.asked++
	w[0]++
	kind.asked++
	switch {
	case err == nil:
		g.served++
		kind.served++
		if took <= k.Aim {
			g.inAim++
			w[1]++
			kind.inAim++
		}
	case refused:
		g.refused++
		g.heldRefusal = max(g.heldRefusal, took)
	}
}

// restart replaces all nodes, and cuts what they have in flight.
func (p *player) restart() {
	fresh := newSimulation(p.deployment, p.tuning, p.seed+100)
	p.pmu.Lock()
	defer p.pmu.Unlock()
	p.kill()
	p.alive, p.kill = context.WithCancel(context.Background())
	p.nodes = fresh.pools
}

// play plays the whole replay.
func (p *player) play() *replayed {
	r := rand.New(rand.NewPCG(p.seed, 7))
	var wg sync.WaitGroup
	for _, e := range p.Events {
		if e.What == "restart" {
			wg.Go(func() {
				time.Sleep(driverTurn.after(time.Duration(e.At * float64(time.Second))))
				p.restart()
			})
		}
	}
	for i := 0; time.Since(p.start).Seconds() < p.Seconds; i++ {
		time.Sleep(driverTurn.after(p.exp(r, time.Duration(float64(time.Second)/p.totalRate()))))
		k := p.draw(r)
		node, own := r.IntN(p.nodesOf(k)), rand.New(rand.NewPCG(r.Uint64(), 3))
		wg.Go(func() { p.request(node, k, requestTurn(i), own) })
	}
	wg.Wait()
	time.Sleep(time.Second)
	p.kill()
	return p.got
}

// nodesOf returns how many of the nodes, the first ones, get requests of the kind.
func (p *player) nodesOf(k replayKind) int {
	if k.Nodes == 0 {
		return p.Nodes
	}
	return max(int(k.Nodes*float64(p.Nodes)), 1)
}

// loads reads all load patterns.
func loads(t *testing.T) []replay {
	files, err := filepath.Glob("testdata/load/*.toml")
	if err != nil || len(files) == 0 {
		t.Fatal("no load patterns", err)
	}
	var list []replay
	for _, f := range files {
		var r replay
		if meta, err := toml.DecodeFile(f, &r); err != nil || len(meta.Undecoded()) > 0 {
			t.Fatal(f, err, meta.Undecoded())
		}
		list = append(list, r)
	}
	return list
}

// replaySeeds is how many plays are summed up: one alone moves by 0.05.
const replaySeeds = 4

// play plays a replay with a tuning, with some seeds.
func (r replay) play(t *testing.T, tuning pool.Tuning, seeds int) *replayed {
	sum := newReplayed()
	for _, x := range plays(t, seeds, func(seed uint64) *replayed { return newPlayer(r, tuning, seed+1).play() }) {
		sum.add(x)
	}
	return sum
}

// tuning returns the tuning with the replay's optional mechanisms on, and the named ones off.
func (r replay) tuning(t *testing.T, off ...string) pool.Tuning {
	t.Helper()
	tuning, err := pool.DefaultTuning.With(r.With...)
	if err != nil {
		t.Fatal(err)
	}
	if tuning, err = tuning.Without(off...); err != nil {
		t.Fatal(err)
	}
	return tuning
}

// TestLoadReplays plays the load patterns of testdata/load, and the same without the mechanism that answers each.
func TestLoadReplays(t *testing.T) {
	for _, r := range loads(t) {
		t.Run(r.Name, func(t *testing.T) {
			got := r.play(t, r.tuning(t), replaySeeds)
			t.Log(got)
			for _, name := range slices.Sorted(maps.Keys(got.byKind)) {
				k := got.byKind[name]
				t.Logf("%s: served %.3f in aim %.3f of %d", name, k.share(), k.inAimShare(), k.asked)
			}
			e := r.Expect
			for _, miss := range e.misses(got) {
				t.Error(miss)
			}
			if x := share(got.refused, got.asked); x > e.Refused {
				t.Errorf("refused %.3f, want at most %.3f", x, e.Refused)
			}
			if got.heldRefusal > e.HeldRefusal {
				t.Errorf("a refusal was held for %d ms", got.heldRefusal)
			}
			if r.Without == "" {
				return
			}
			seeds := 1
			if r.MayFall > 0 {
				seeds = replaySeeds
			}
			less := r.play(t, r.tuning(t, r.Without), seeds)
			t.Logf("without %s: %v", r.Without, less)
			for _, name := range slices.Sorted(maps.Keys(less.byKind)) {
				t.Logf("without it, %s: served %.3f", name, less.byKind[name].share())
			}
			fall := share(less.served, less.asked) - share(got.served, got.asked)
			t.Logf("served %.4f less than without it", fall)
			if r.MayFall > 0 && fall > r.MayFall {
				t.Errorf("served %.4f less than without it, at most %.4f is due to the reserve", fall, r.MayFall)
			}
			misses := e.misses(less)
			t.Log("without it: ", misses)
			if len(misses) == 0 {
				t.Errorf("nothing is worse without %s", r.Without)
			}
		})
	}
}

// TestReplaysAreTheSameEachTime plays each pattern twice at a time: a figure that differs says that the plays hang on
// the order in which goroutines come to run.
func TestReplaysAreTheSameEachTime(t *testing.T) {
	const seconds = 11 // all events begin before
	for _, r := range loads(t) {
		r.Seconds = min(r.Seconds, seconds)
		tuning := r.tuning(t)
		got := plays(t, 2, func(uint64) *replayed { return newPlayer(r, tuning, 1).play() })
		if !reflect.DeepEqual(got[0], got[1]) {
			t.Errorf("%s: %v, and %v", r.Name, got[0], got[1])
		}
	}
}

// TestMeasureReplays prints what callers see in each load pattern with each mechanism switched off. It is no check.
func TestMeasureReplays(t *testing.T) {
	if !*measure {
		t.Skip("a measurement; run with -measure")
	}
	for _, r := range loads(t) {
		for _, off := range append([]string{""}, pool.Mechanisms()...) {
			var names []string
			if off != "" {
				names = []string{off}
			}
			t.Logf("%s without %-13s %v", r.Name, off, r.play(t, r.tuning(t, names...), replaySeeds))
		}
	}
}
