package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/tinladder/tinladder/platform/standin"
)

const (
	// restSettles is how long after it asked for a rest a target may get requests, and restSlack how many later.
	restSettles = 500 * time.Millisecond
	restSlack   = 2
)

// A restSpan is a time in which a target asked for rests of the given length.
type restSpan struct {
	span
	rest time.Duration
}

// sayLeaving has a target say in its answers that it leaves, and the store learn of it much later.
func sayLeaving(w *world, r *rand.Rand, say func(string, ...any)) {
	t := w.someTarget(r)
	w.mu.Lock()
	taken := !t.leftAt.IsZero() || !t.saidLeavingAt.IsZero()
	if !taken {
		t.saidLeavingAt = time.Now()
	}
	w.mu.Unlock()
	if taken {
		return
	}
	w.hurting(t) // it is no sound target from now on
	if err := w.addTarget(t.Service, t.Hall); err != nil {
		say("%v", err)
	}
	say("%s", t.ID)
	t.SayLeaving()
	time.Sleep(drainTimeout + between(r, 2*time.Second, 6*time.Second))
	w.mu.Lock()
	t.leftAt = time.Now()
	w.mu.Unlock()
	t.Unregister()
	time.Sleep(drainTimeout + 2*time.Second)
	t.Close()
}

// askForRest has targets of a service turn requests away and ask for rests.
func askForRest(w *world, r *rand.Rand, say func(string, ...any)) {
	service, d := services[r.IntN(len(services))], between(r, 2*time.Second, 6*time.Second)
	list := w.ofService(service)
	var struck []*backend
	rest := []time.Duration{time.Second, 2500 * time.Millisecond, 4 * time.Second}[r.IntN(3)]
	for _, i := range r.Perm(len(list))[:(len(list)+1)/2] {
		t := list[i]
		w.mu.Lock()
		taken := len(t.rests) > 0 // one length a target
		if !taken {
			t.rests = append(t.rests, restSpan{span: span{from: time.Now()}, rest: rest})
			struck = append(struck, t)
		}
		w.mu.Unlock()
		if !taken {
			t.SetRest(fmt.Sprint(rest.Seconds()))
		}
	}
	w.strikeTargets(struck, standin.TargetFaults{Shed: []float64{0.5, 1}[r.IntN(2)]}, d, say)
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, t := range struck {
		t.SetRest("")
		t.rests[0].to = time.Now()
	}
}

// processLife is one process of a node.
type processLife struct {
	name string
	life int
}

// An arrival is a request as it came to a target, and as it was sent.
type arrival struct {
	standin.Seen
	sent *sent
	by   processLife
}

// arrivalsAt returns the callers' requests that came to the target, in order.
func (o *oracle) arrivalsAt(t *backend) (list []arrival) {
	bySent := map[string]*sent{}
	for _, s := range o.sent {
		bySent[s.id] = s
	}
	for _, x := range t.Seen() {
		if s := bySent[x.ID]; s != nil {
			list = append(list, arrival{x, s, processLife{s.node.name, s.life}})
		}
	}
	slices.SortFunc(list, func(a, b arrival) int { return a.At.Compare(b.At) })
	return list
}

// checkWordOfLeaving: a target gets no request that was sent long after its node passed on an answer that says that it
// leaves. A restart or a freeze of the node excuses it.
func (o *oracle) checkWordOfLeaving() {
	for _, t := range o.world.all() {
		if t.saidLeavingAt.IsZero() {
			continue
		}
		told := map[processLife]time.Time{}
		for _, x := range o.arrivalsAt(t) {
			at, known := told[x.by]
			if late := x.sent.at.Sub(at); known && late > drainTimeout && !x.sent.node.struck(at, x.At) {
				o.breach("word of leaving", "%s got request %s of %s %s after an answer that said so", t.ID, x.ID, x.by.name, late)
				break
			}
			if !known && x.Ran && x.sent.saysLeaving {
				told[x.by] = x.sent.end
			}
		}
	}
}

// checkRests: a target that has asked a process for a rest gets few requests of it meanwhile.
func (o *oracle) checkRests() {
	for _, t := range o.world.all() {
		for _, r := range t.rests {
			o.checkRest(t, r)
		}
	}
}

func (o *oracle) checkRest(t *backend, r restSpan) {
	list := o.arrivalsAt(t)
	for i, asked := range list {
		if asked.Ran || asked.At.Before(r.from) || asked.At.After(r.to) {
			continue
		}
		count := 0
		for _, x := range list[i+1:] {
			since := x.At.Sub(asked.At)
			if x.by == asked.by && since > restSettles+machineSlack && since < r.rest && !x.sent.node.struck(asked.At, x.At) {
				count++
			}
		}
		if count > restSlack {
			o.breach("rest", "%s, which had asked %s for %s at %s, got %d requests of it meanwhile",
				t.ID, asked.by.name, r.rest, asked.At.Format("15:04:05.000"), count)
			return
		}
	}
}
