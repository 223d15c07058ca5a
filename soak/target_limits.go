package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/tinladder/tinladder/platform/standin"
)

const (
	// targetLimitWindow is the time in which a target with a limit gets at most targetLimitOvershoot times what the limit
	// allows and targetLimitSlack requests more, from contact after it first named the limit. Requests count of nodes that
	// have known the limit for toldAfter.
	targetLimitWindow    = 4 * time.Second
	targetLimitOvershoot = 1.5
	targetLimitSlack     = 5
	toldAfter            = 500 * time.Millisecond
)

// A limitSpan is a time in which a target named a limit.
type limitSpan struct {
	span
	perSecond float64
}

// limitTargets has some targets of a service, or all, name limits.
func limitTargets(w *world, r *rand.Rand, say func(string, ...any)) {
	service, d := services[r.IntN(len(services))], between(r, 8*time.Second, 11*time.Second)
	list := w.ofService(service)
	for _, i := range r.Perm(len(list))[:1+r.IntN(max(len(list), 1))] {
		t, perSecond := list[i], []float64{0, 0.4, 1, 1.5, 3, 8}[r.IntN(6)]
		w.mu.Lock()
		taken := len(t.limits) > 0 // one limit a target: the bound is for the time from when it first named one
		if !taken {
			t.limits = append(t.limits, limitSpan{span: span{from: time.Now()}, perSecond: perSecond})
		}
		w.mu.Unlock()
		if taken {
			continue
		}
		say("%s names %v a second for %s", t.ID, perSecond, d)
		t.SetRateLimit(fmt.Sprint(perSecond))
		defer func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			t.SetRateLimit("")
			t.limits[0].to = time.Now()
		}()
	}
	time.Sleep(d)
}

// checkTargetLimits: a target that names a limit gets no more than it allows from the nodes that know of it.
func (o *oracle) checkTargetLimits() {
	bySent := map[string]*sent{}
	for _, s := range o.sent {
		bySent[s.id] = s
	}
	for _, t := range o.world.all() {
		for _, l := range t.limits {
			o.checkTargetLimit(t, l, bySent)
		}
	}
}

func (o *oracle) checkTargetLimit(t *backend, l limitSpan, bySent map[string]*sent) {
	type process struct {
		name string
		life int
	}
	told := map[process]time.Time{}
	var counted []time.Time
	seen := slices.Clone(t.Seen())
	slices.SortFunc(seen, func(a, b standin.Seen) int { return a.At.Compare(b.At) })
	for _, x := range seen {
		s := bySent[x.ID]
		if s == nil || x.At.Before(l.from) || !l.to.IsZero() && x.At.After(l.to) {
			continue
		}
		p := process{s.node.name, s.life}
		if at, known := told[p]; !known {
			if s.status != 0 {
				told[p] = s.end
			}
		} else if x.At.Sub(at) >= toldAfter && x.At.Sub(l.from) >= contact && !s.node.struck(x.At.Add(-contact), x.At) {
			counted = append(counted, x.At)
		}
	}
	allowed := targetLimitOvershoot*l.perSecond*targetLimitWindow.Seconds() + targetLimitSlack
	for first, last := 0, 0; last < len(counted); last++ {
		for counted[last].Sub(counted[first]) >= targetLimitWindow {
			first++
		}
		if got := last - first + 1; float64(got) > allowed {
			o.breach("target limit", "%s, which names %v a second, got %d requests in %s until %s, %.1f are allowed",
				t.ID, l.perSecond, got, targetLimitWindow, counted[last].Format("15:04:05.000"), allowed)
			return
		}
	}
}
