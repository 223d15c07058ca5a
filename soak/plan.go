package soak

import (
	"fmt"
	"math/rand/v2"
	"os/exec"
	"sync"
	"syscall"
	"time"

	"github.com/tinladder/tinladder/platform/standin"
)

// A fault is one thing that happens to the world. It holds for as long as it lasts.
type fault struct {
	name string
	do   func(w *world, r *rand.Rand, say func(format string, args ...any))
}

// pauseMost is the longest between the begins of two faults, so that they overlap.
const pauseMost = 800 * time.Millisecond

// strike brings faults about, in series and at once, until none may begin any more, and waits for
// the last to be over.
func strike(w *world, faults []fault, r *rand.Rand, tl *timeline) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for end := time.Now().Add(w.cfg.Faults); time.Now().Before(end); {
		f := faults[r.IntN(len(faults))]
		own := rand.New(rand.NewPCG(r.Uint64(), 2))
		wg.Go(func() { f.do(w, own, func(format string, args ...any) { tl.note(f.name+": "+format, args...) }) })
		time.Sleep(time.Duration(r.Int64N(int64(pauseMost))))
	}
}

// between draws a time.
func between(r *rand.Rand, least, most time.Duration) time.Duration {
	return least + time.Duration(r.Int64N(int64(most-least)))
}

func (w *world) someNode(r *rand.Rand) *process {
	return w.nodes[r.IntN(len(w.nodes))]
}

// faults are all that may happen. A fault that finds its node or target taken by another does nothing.
var faults = []fault{
	{"kill", kill},
	{"terminate", terminate},
	{"freeze", freeze},
	{"reload", reload},
	{"cut one way", cutOneWay},
	{"lossy", lossy},
	{"store away", storeAway},
	{"store away for one", storeAwayForOne},
	{"store slow", storeSlow},
	{"store forgets", storeForgets},
	{"change", change},
	{"changes in a row", changes},
	{"gray target", grayTarget},
	{"target breaks answers", breakAnswers},
	{"service fails", failService},
	{"target leaves", leaveTarget},
	{"target crashes", crashTarget},
	{"target joins", joinTarget},
}

// named are faults that happen only where they are named: the seeds' draws are from the others.
var named = []fault{
	{"target hangs", hangTarget},
	{"service slow", slowService},
	{"targets fail", failTargets},
	{"targets name limits", limitTargets},
	{"targets say they leave", sayLeaving},
	{"targets ask for rest", askForRest},
	{"store returns from a copy", returnStore},
	{"targets send without end", sendWithoutEnd},
	{"targets answer early", answerEarly},
	{"targets end connections", endConnections},
	{"others write entries", forgeEntries},
}

// plannedWork is what operators do, stops above all.
var plannedWork = []fault{
	{"terminate", terminate},
	{"terminate", terminate},
	{"terminate", terminate},
	{"reload", reload},
	{"change", change},
	{"changes in a row", changes},
	{"target leaves", leaveTarget},
}

func kill(w *world, r *rand.Rand, say func(string, ...any)) {
	count := 1
	if r.IntN(4) == 0 {
		count = 1 + r.IntN(len(w.nodes)) // any number of them
	}
	down := between(r, 200*time.Millisecond, 2*time.Second)
	var wg sync.WaitGroup
	for _, i := range r.Perm(len(w.nodes))[:count] {
		wg.Go(func() { w.killOne(w.nodes[i], down, say) })
	}
	wg.Wait()
}

// take takes the node's process for a fault that ends it; nil if another has it.
func (p *process) take() *exec.Cmd {
	p.mu.Lock()
	defer p.mu.Unlock()
	cmd := p.cmd
	p.cmd = nil
	return cmd
}

func (w *world) killOne(p *process, down time.Duration, say func(string, ...any)) {
	cmd := p.take()
	if cmd == nil {
		return
	}
	end := p.hurting()
	defer end()
	say("%s for %s", p.name, down)
	_ = cmd.Process.Kill()
	_ = cmd.Wait()
	time.Sleep(down)
	if err := p.start(w.cfg.Binary); err != nil {
		say("%v", err)
	}
}

// terminate stops one node after another as planned, and starts each again.
func terminate(w *world, r *rand.Rand, say func(string, ...any)) {
	for range 1 + r.IntN(3) {
		p := w.someNode(r)
		if cmd := p.take(); cmd != nil {
			w.terminateOne(p, cmd, r.IntN(3) == 0, say)
		}
	}
}

func (w *world) terminateOne(p *process, cmd *exec.Cmd, twice bool, say func(string, ...any)) {
	end := p.stops()
	defer end()
	say("%s", p.name)
	_ = cmd.Process.Signal(syscall.SIGTERM)
	if twice {
		time.Sleep(50 * time.Millisecond)
		_ = cmd.Process.Signal(syscall.SIGTERM)
	}
	late := time.AfterFunc(grace, func() {
		say("%s was still there at the end of its grace period", p.name)
		p.outstays()
		_ = cmd.Process.Kill()
	})
	_ = cmd.Wait()
	late.Stop()
	if err := p.start(w.cfg.Binary); err != nil {
		say("%v", err)
	}
}

func freeze(w *world, r *rand.Rand, say func(string, ...any)) {
	p, d := w.someNode(r), between(r, 100*time.Millisecond, 4*time.Second)
	end := p.hurting()
	defer end()
	say("%s for %s", p.name, d)
	cmd := p.running()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Signal(syscall.SIGSTOP)
	time.Sleep(d)
	_ = cmd.Process.Signal(syscall.SIGCONT) // also if another fault has taken it meanwhile, which would never end it else
}

func reload(w *world, r *rand.Rand, say func(string, ...any)) {
	for range 1 + r.IntN(3) {
		p := w.someNode(r)
		say("%s", p.name)
		if cmd := p.running(); cmd != nil {
			_ = cmd.Process.Signal(syscall.SIGHUP)
		}
		time.Sleep(between(r, 0, 300*time.Millisecond))
	}
}

// cutOneWay drops what other nodes send a node; what it sends still passes.
func cutOneWay(w *world, r *rand.Rand, say func(string, ...any)) {
	p, d := w.someNode(r), between(r, 500*time.Millisecond, 4*time.Second)
	say("towards %s for %s", p.name, d)
	p.relay.SetCut(true)
	time.Sleep(d)
	p.relay.SetCut(false)
}

func lossy(w *world, r *rand.Rand, say func(string, ...any)) {
	p, d := w.someNode(r), between(r, 500*time.Millisecond, 4*time.Second)
	say("a third of what goes to %s for %s", p.name, d)
	p.relay.SetLoss(0.3)
	time.Sleep(d)
	p.relay.SetLoss(0)
}

// aways are how a store turns calls away.
var aways = []string{standin.Silent, standin.Busy, standin.Many, standin.Reset, standin.Broken}

func (w *world) storeFault(nodes []*process, f standin.Faults, d time.Duration) {
	var ends []func()
	for _, p := range nodes {
		ends = append(ends, p.deafened())
		p.door.SetFaults(f)
	}
	time.Sleep(d)
	for i, p := range nodes {
		p.door.SetFaults(standin.Faults{})
		ends[i]()
	}
}

func storeAway(w *world, r *rand.Rand, say func(string, ...any)) {
	how, d := aways[r.IntN(len(aways))], between(r, 500*time.Millisecond, 5*time.Second)
	say("%s for %s", how, d)
	w.storeFault(w.nodes, standin.Faults{Away: how}, d)
}

func storeAwayForOne(w *world, r *rand.Rand, say func(string, ...any)) {
	p, how, d := w.someNode(r), aways[r.IntN(len(aways))], between(r, 500*time.Millisecond, 5*time.Second)
	say("%s for %s, %s", how, p.name, d)
	w.storeFault([]*process{p}, standin.Faults{Away: how}, d)
}

func storeSlow(w *world, r *rand.Rand, say func(string, ...any)) {
	ms, d := 50+r.Int64N(800), between(r, 500*time.Millisecond, 4*time.Second)
	say("%d ms more for %s", ms, d)
	w.storeFault(w.nodes, standin.Faults{DelayMs: ms}, d)
}

func storeForgets(w *world, r *rand.Rand, say func(string, ...any)) {
	d := between(r, 100*time.Millisecond, time.Second)
	say("deaf for %s", d)
	for _, p := range w.nodes {
		p.door.SetFaults(standin.Faults{Deaf: true})
	}
	w.storeFault(w.nodes, standin.Faults{Deaf: true}, d)
	w.store.Forget()
}

func change(w *world, _ *rand.Rand, say func(string, ...any)) {
	w.configure()
	v, _ := w.newest()
	say("version %d", v)
}

func changes(w *world, r *rand.Rand, say func(string, ...any)) {
	for range 2 + r.IntN(6) {
		change(w, r, say)
		time.Sleep(between(r, 10*time.Millisecond, 400*time.Millisecond))
	}
}

func (w *world) someTarget(r *rand.Rand) *backend {
	list := w.all()
	return list[r.IntN(len(list))]
}

// ofService returns the targets of one service that have not left.
func (w *world) ofService(service string) (list []*backend) {
	for _, t := range w.all() {
		w.mu.Lock()
		if t.Service == service && t.leftAt.IsZero() {
			list = append(list, t)
		}
		w.mu.Unlock()
	}
	return list
}

// targetFault strikes some of a service's targets.
func (w *world) targetFault(r *rand.Rand, f standin.TargetFaults, share float64, say func(string, ...any)) {
	service, d := services[r.IntN(len(services))], between(r, time.Second, 4*time.Second)
	list := w.ofService(service)
	if len(list) == 0 {
		return
	}
	count := max(int(share*float64(len(list))), 1)
	var struck []*backend
	for _, i := range r.Perm(len(list))[:count] {
		struck = append(struck, list[i])
	}
	w.strikeTargets(struck, f, d, say)
}

func (w *world) strikeTargets(list []*backend, f standin.TargetFaults, d time.Duration, say func(string, ...any)) {
	say("%s %+v for %s", names(list), f, d)
	for _, t := range list {
		end := w.hurting(t)
		defer end()
		t.SetFaults(f)
		defer t.SetFaults(standin.TargetFaults{})
	}
	time.Sleep(d)
}

// names returns what the targets are called.
func names(list []*backend) (all []string) {
	for _, t := range list {
		all = append(all, t.ID)
	}
	return all
}

func grayTarget(w *world, r *rand.Rand, say func(string, ...any)) {
	w.targetFault(r, []standin.TargetFaults{
		{Fail: 0.9}, {Fail: 0.4}, {Hang: 0.5}, {Lose: 0.5}, {Shed: 1}, {Slow: 6}, {Vague: 0.5},
	}[r.IntN(7)], r.Float64()/2, say)
}

func breakAnswers(w *world, r *rand.Rand, say func(string, ...any)) {
	w.targetFault(r, []standin.TargetFaults{
		{Cut: 0.4}, {Garbage: 0.4}, {Extra: 0.4}, {Late: 0.4}, {Unframed: 0.4}, {Early: true}, {Closing: true},
	}[r.IntN(7)], r.Float64()/2, say)
}

// endConnections has some targets, or all, end the connection with each answer, which lacks a length or says so. They are
// sound.
func endConnections(w *world, r *rand.Rand, say func(string, ...any)) {
	list := w.ofService(services[r.IntN(len(services))])
	if len(list) == 0 {
		return
	}
	f := []standin.TargetFaults{{Unframed: 1}, {Closing: true}}[r.IntN(2)]
	some := list[:1+r.IntN(len(list))]
	say("%s %+v", names(some), f)
	for _, t := range some {
		t.SetFaults(f)
		defer t.SetFaults(standin.TargetFaults{})
	}
	time.Sleep(between(r, time.Second, 4*time.Second))
}

// failService has all targets of a service fail most requests.
func failService(w *world, r *rand.Rand, say func(string, ...any)) {
	w.targetFault(r, []standin.TargetFaults{{Fail: 0.8}, {Shed: 0.8}, {Vague: 0.8}, {Lose: 0.8}}[r.IntN(4)], 1, say)
}

// hangTarget has half of a service's targets hold many requests without an answer.
func hangTarget(w *world, r *rand.Rand, say func(string, ...any)) {
	w.targetFault(r, standin.TargetFaults{Hang: 0.8}, 0.5, say)
}

// slowService has all targets of a service take long, so that not all requests can be served.
func slowService(w *world, r *rand.Rand, say func(string, ...any)) {
	w.targetFault(r, standin.TargetFaults{Slow: 6}, 1, say)
}

// failTargets has the first of a service's targets fail half of all requests, always the same ones, so that the others
// stay sound.
func failTargets(w *world, r *rand.Rand, say func(string, ...any)) {
	service, d := services[r.IntN(len(services))], between(r, time.Second, 4*time.Second)
	list := w.ofService(service)
	w.strikeTargets(list[:max(len(list)*2/5, min(len(list), 1))], standin.TargetFaults{Fail: 0.5}, d, say)
}

// leaveTarget has a target say that it leaves, serve on for long, and go; another comes.
func leaveTarget(w *world, r *rand.Rand, say func(string, ...any)) {
	t := w.someTarget(r)
	w.mu.Lock()
	taken := !t.leftAt.IsZero()
	if !taken {
		t.leftAt = time.Now()
	}
	w.mu.Unlock()
	if taken {
		return
	}
	if err := w.addTarget(t.Service, t.Hall); err != nil {
		say("%v", err)
	}
	if r.IntN(2) == 0 {
		say("%s says so", t.ID)
		t.Register(true)
	} else {
		say("%s loses its entry", t.ID)
		t.Unregister()
	}
	w.mu.Lock()
	t.leftAt = time.Now()
	w.mu.Unlock()
	time.Sleep(drainTimeout + 2*time.Second)
	t.Unregister()
	t.Close()
}

// crashTarget ends a target without a word; its entry goes later.
func crashTarget(w *world, r *rand.Rand, say func(string, ...any)) {
	t := w.someTarget(r)
	w.mu.Lock()
	taken := !t.leftAt.IsZero()
	if !taken {
		t.leftAt = time.Now()
	}
	w.mu.Unlock()
	if taken {
		return
	}
	say("%s", t.ID)
	t.Close()
	if err := w.addTarget(t.Service, t.Hall); err != nil {
		say("%v", err)
	}
	time.Sleep(between(r, time.Second, 3*time.Second))
	t.Unregister()
}

func joinTarget(w *world, r *rand.Rand, say func(string, ...any)) {
	service := services[r.IntN(len(services))]
	say("of %s", service)
	if err := w.addTarget(service, fmt.Sprint("h", r.IntN(halls))); err != nil {
		say("%v", err)
	}
}
