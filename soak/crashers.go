package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"
)

const (
	// crashPrefix begins the paths of requests that crash each target that runs them.
	crashPrefix = "/get/crash-"
	// crashEvery is the pause of a caller that sends one such request again and again, and crashesFor how long it does
	// until it takes another one.
	crashEvery = 200 * time.Millisecond
	crashesFor = 8 * time.Second
	// crashPatience is how long a caller of such a request waits that leaves before the crash.
	crashPatience = 5 * time.Millisecond
	// enoughCrashes hold such a request back, and lateSends is how often it may be sent later than contact after that.
	enoughCrashes = 3
	lateSends     = 3
	// backAfter is how long it takes until another target stands in for one that crashed, and lapsesAfter until the
	// entry of that one goes.
	backAfter, lapsesAfter = time.Second, 2 * time.Second
)

// crash sends one request after the other that crashes targets, each for a while, to any node, until no faults begin any
// more.
func (c *callers) crash(ctx context.Context, place int) {
	r := rand.New(rand.NewPCG(c.world.cfg.Seed, uint64(place)+400))
	began := time.Now()
	for i := 0; ctx.Err() == nil && time.Since(began) < c.world.cfg.Faults; i++ {
		time.Sleep(crashEvery)
		conn := dial(c.world.someNode(r))
		if conn == nil {
			continue
		}
		which := int(time.Since(began) / crashesFor)
		s := &sent{id: fmt.Sprintf("c%d-%d", place, i), path: fmt.Sprintf("%s%d-%d/", crashPrefix, place, which), space: shops, key: c.world.key(), stray: true}
		if c.world.cfg.CrashForms {
			s.chunked = i%2 == 1
			if (place+which)%2 == 1 {
				s.patience = crashPatience
			}
		}
		conn.send(s)
		if s.patience > 0 && s.status == 0 && s.end.Sub(s.at) >= s.patience {
			s.left = s.end
		}
		conn.close()
		c.oracle.add(s)
	}
}

// replaceCrashed has another target stand in for each that crashed under a request, until the context ends.
func (w *world) replaceCrashed(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(20 * time.Millisecond)
		for _, t := range w.all() {
			if at := t.CrashedAt(); !at.IsZero() && w.leaves(t) {
				time.AfterFunc(backAfter, func() { _ = w.addTarget(t.Service, t.Hall) })
				time.AfterFunc(lapsesAfter, t.Unregister)
			}
		}
	}
}

// leaves notes that the target is there no more, and says whether that is new.
func (w *world) leaves(t *backend) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !t.leftAt.IsZero() {
		return false
	}
	t.leftAt = time.Now()
	return true
}

// checkCrash: a request under which three targets have crashed reaches targets three times more at most, once all nodes can
// have heard. What nodes send that are not in touch does not count.
func (o *oracle) checkCrash() {
	nodes := map[string]*process{}
	for _, s := range o.sent {
		nodes[s.id] = s.node
	}
	crashes, arrivals := map[string][]time.Time{}, map[string][]time.Time{}
	for _, t := range o.world.all() {
		for _, x := range t.Seen() {
			if !strings.HasPrefix(x.Path, crashPrefix) {
				continue
			}
			if x.Ran && x.Path == t.CrashedUnder() {
				crashes[x.Path] = append(crashes[x.Path], t.CrashedAt())
			}
			if n := nodes[x.ID]; n != nil && n.inTouch(x.At.Add(-contact), x.At) {
				arrivals[x.Path] = append(arrivals[x.Path], x.At)
			}
		}
	}
	for path, list := range crashes {
		slices.SortFunc(list, time.Time.Compare)
		list = slices.CompactFunc(list, time.Time.Equal)
		if len(list) < enoughCrashes {
			continue
		}
		bound, late := list[enoughCrashes-1].Add(contact+machineSlack), 0
		for _, at := range arrivals[path] {
			if at.After(bound) {
				late++
			}
		}
		if late > lateSends {
			o.breach("crash", "%s reached targets %d times later than %v after the third crash; %d crashed in all", path, late, contact, len(list))
		}
	}
	for _, s := range o.sent {
		if strings.HasPrefix(s.path, crashPrefix) && s.status == http.StatusOK {
			o.breach("crash", "%v was served, though no target bears it", s)
		}
	}
}
