package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/tinladder/tinladder/platform"
	"github.com/tinladder/tinladder/platform/standin"
)

// Two workspaces ask: one whose key is replaced again and again, while somebody goes on to show those that were taken
// away, and one that asks far more than its limit allows.
const (
	shops, flood = "shops", "flood"
	floodKey     = "key-of-the-flood"
	// rotateEvery is how often the shops' key is replaced, and overlap for how long both keys hold.
	rotateEvery = 2500 * time.Millisecond
	overlap     = 900 * time.Millisecond
	// revoke is how soon a key that was taken away runs nowhere.
	revoke = 3 * time.Second
	// stealEvery and floodEvery are the pauses of those who show old keys, and of each of the flooders, who wait for
	// their answers in between.
	stealEvery = 60 * time.Millisecond
	floodEvery = 20 * time.Millisecond
	flooders   = 4
	// The flood's limit, and what the fleet may make of it in a window.
	floodRate, floodBurst = 8, 8
	limitWindow           = 5 * time.Second
	limitOvershoot        = 0.1
	limitSlack            = 20
)

// keyring is the shops' keys: those that hold, the newest last, when the store took each, and when each was taken away.
type keyring struct {
	hold        []string
	taken, gone map[string]time.Time
	made        int
}

func newKeyring() keyring {
	return keyring{
		hold: []string{keyNamed(1)}, made: 1, gone: map[string]time.Time{},
		taken: map[string]time.Time{keyNamed(1): time.Now(), floodKey: time.Now()},
	}
}

// key returns the key that callers use: the old one for as long as both hold, until all nodes know the next.
func (w *world) key() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.keys.hold[0]
}

// stolen returns one of the keys that were taken away of late, or the one that holds.
func (w *world) stolen(r *rand.Rand) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := min(r.IntN(3), w.keys.made-1)
	return keyNamed(w.keys.made - n)
}

func keyNamed(n int) string {
	return fmt.Sprintf("key-of-the-shops-%d", n)
}

// workspaces are those of the next desired state.
func (w *world) workspaces() []standin.WorkspaceRow {
	return []standin.WorkspaceRow{
		{Name: shops, Keys: slices.Clone(w.keys.hold), Rank: 1},
		{Name: flood, Keys: []string{floodKey}, Rank: 2, PerSecond: floodRate, Burst: floodBurst},
	}
}

// rotate replaces the shops' key.
func (w *world) rotate() {
	w.mu.Lock()
	w.keys.made++
	next := keyNamed(w.keys.made)
	old := w.keys.hold
	w.keys.hold = append(slices.Clone(old), next)
	w.mu.Unlock()
	w.configure()
	w.mu.Lock()
	w.keys.taken[next] = time.Now()
	w.mu.Unlock()
	time.Sleep(overlap)
	w.mu.Lock()
	w.keys.hold = []string{next}
	w.mu.Unlock()
	w.configure()
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, k := range old {
		w.keys.gone[k] = time.Now()
	}
}

// rotating replaces the key now and then.
func (c *callers) rotating(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(rotateEvery)
		c.world.rotate()
	}
}

// steal shows keys that were taken away.
func (c *callers) steal(ctx context.Context) {
	r := rand.New(rand.NewPCG(c.world.cfg.Seed, 200))
	for i := 0; ctx.Err() == nil; i++ {
		time.Sleep(stealEvery)
		c.once(&sent{id: fmt.Sprintf("s-%d", i), path: "/get/", space: shops, key: c.world.stolen(r), stray: true}, r)
	}
}

// flooding asks, with the other flooders, far more than their limit allows.
func (c *callers) flooding(ctx context.Context, flooder int) {
	r := rand.New(rand.NewPCG(c.world.cfg.Seed, 201+uint64(flooder)))
	for i := 0; ctx.Err() == nil; i++ {
		time.Sleep(floodEvery)
		c.once(&sent{id: fmt.Sprintf("f-%d-%d", flooder, i), path: "/get/", space: flood, key: floodKey, stray: true}, r)
	}
}

// once sends one request on a connection of its own.
func (c *callers) once(s *sent, r *rand.Rand) {
	conn := dial(c.world.someNode(r))
	if conn == nil {
		return
	}
	defer conn.close()
	conn.send(s)
	c.oracle.add(s)
}

// checkKeys: no key reaches a target, each request runs in its workspace's name, no key works once it is gone, and one
// that holds is known in time.
func (o *oracle) checkKeys() {
	byID := map[string]*sent{}
	for _, s := range o.sent {
		byID[s.id] = s
		o.checkDenied(s)
	}
	for _, t := range o.world.all() {
		for _, x := range t.Seen() {
			s := byID[x.ID]
			if s == nil {
				continue // it asks a public route
			}
			for name, values := range x.Header {
				if strings.Contains(strings.Join(values, " "), "key-of-the-") {
					o.breach("key", "%s: target %s got the key, in %s", s, t.ID, name)
				}
			}
			if got := x.Header[http.CanonicalHeaderKey(platform.Headers().Workspace)]; !slices.Equal(got, []string{s.space}) {
				o.breach("workspace", "%s: target %s was told %q, and not %s", s, t.ID, got, s.space)
			}
			if gone, found := o.world.keys.gone[s.key]; found && x.Ran && s.at.Sub(gone) > revoke+machineSlack/2 {
				o.breach("revoked", "%s ran %s after its key was taken away", s, s.at.Sub(gone))
			}
		}
	}
}

// checkDenied: a key that holds is not called unknown by a node in touch.
func (o *oracle) checkDenied(s *sent) {
	if s.status != http.StatusUnauthorized || s.stray && s.space == shops {
		return
	}
	since := s.at.Add(-configApply - machineSlack)
	taken, known := o.world.keys.taken[s.key]
	if _, gone := o.world.keys.gone[s.key]; !gone && known && taken.Before(since) && s.node.inTouch(since.Add(-contact), s.end) {
		o.breach("denied", "%s", s)
	}
}

// ran is one request of the flood that ran: when its caller sent it to which node, and when it came to a target.
type ran struct {
	sent, came time.Time
	node       string
}

// floodRan returns the flood's requests that ran, in the order in which they came to targets.
func (o *oracle) floodRan() (list []ran) {
	byID := map[string]*sent{}
	for _, s := range o.sent {
		byID[s.id] = s
	}
	for _, x := range o.arrivals(services[0]) {
		if s := byID[x.ID]; s != nil && s.space == flood && x.Ran {
			list = append(list, ran{sent: s.at, came: x.At, node: s.node.name})
			delete(byID, x.ID)
		}
	}
	return list
}

// mostRan returns the requests of the window that holds the most of those that are in it from since on until they came.
func mostRan(list []ran, since func(ran) time.Time) (most []ran) {
	for _, first := range list {
		from := since(first)
		var in []ran
		for _, r := range list {
			if !since(r).Before(from) && r.came.Sub(from) < limitWindow {
				in = append(in, r)
			}
		}
		if len(in) > len(most) {
			most = in
		}
	}
	return most
}

// describe says which nodes requests went through, how many were long on their way, and when all came.
func describe(list []ran) string {
	nodes, late := map[string]int{}, 0
	for _, r := range list {
		nodes[r.node]++
		if r.came.Sub(r.sent) > lossSlack {
			late++
		}
	}
	return fmt.Sprintf("%v, %d sent over %s before they came, from %s to %s", nodes, late, lossSlack,
		list[0].came.Format("15:04:05.000"), list[len(list)-1].came.Format("15:04:05.000"))
}

// checkLimit: in no window do more of the flood's requests run than its limit allows, over all nodes.
func (o *oracle) checkLimit() {
	allowed := (floodRate*limitWindow.Seconds()+floodBurst)*(1+limitOvershoot) + limitSlack
	list := o.floodRan()
	most := mostRan(list, func(r ran) time.Time { return r.came })
	o.flood, o.floodSent = len(most), len(mostRan(list, func(r ran) time.Time { return r.sent }))
	if float64(len(most)) > allowed {
		o.breach("limit", "%d requests of the flood ran within %s, %.1f are allowed: %s; sent within it too: %d", len(most), limitWindow, allowed, describe(most), o.floodSent)
	}
}
