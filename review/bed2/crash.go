package main

import (
	"cmp"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/tinladder/tinladder/platform/standin"
)

func init() {
	cases["crash-anywhere"] = playCrashAnywhere
	cases["crash-twin"] = playCrashTwin
	cases["crash-late"] = playCrashLate
	cases["crash-silent"] = playCrashSilent
}

const (
	// contact is the bound of the sites, and retriesAllowed how many retries the rule allows.
	contact        = 3 * time.Second
	retriesAllowed = 3
)

// crashes are the arrivals at upstreams of the request that crashes them.
type crashes struct {
	mu       sync.Mutex
	arrivals []arrival
}

func (c *crashes) add(a arrival) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.arrivals = append(c.arrivals, a)
}

// judge counts the arrivals of requests that were sent later than contact after the third crash.
func (c *crashes) judge(b *bed, takes time.Duration) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !b.trouble || len(c.arrivals) < 3 {
		b.note("arrivals of the request that crashes upstreams: %d", len(c.arrivals))
		return held
	}
	third := c.arrivals[2].at.Add(takes)
	late := 0
	for _, a := range c.arrivals[3:] {
		if a.at.Sub(third) > contact {
			late++
			b.note("BUDGET: %s reached upstream %s %.1f s after the third crash", a.id, a.upstream, a.at.Sub(third).Seconds())
		}
	}
	b.note("arrivals: %d, later than %v after the third crash: %d, allowed: %d", len(c.arrivals), contact, late, retriesAllowed)
	if late > retriesAllowed {
		return broken
	}
	return held
}

// shop begins a play with one service, whose upstreams crash under the requests that poison says.
func (b *bed) shop(zones []string, perZone, upstreams int, poison func(req *http.Request, body []byte) bool, takes time.Duration, c *crashes, change ...func(u *upstream)) error {
	b.store.Configure(1, []string{"clerk"},
		standin.RouteRow{Name: "status", Host: host, Prefix: "/status/", Kind: standin.Repeatable, Timeout: "3000ms", Aim: "800ms", Rank: 2, Service: "clerk", Attempts: 2},
		standin.RouteRow{Name: "lookup", Host: host, Prefix: "/lookup/", Kind: standin.Repeatable, Timeout: "12000ms", Aim: "3000ms", Rank: 2, Service: "clerk", Attempts: 2},
		standin.RouteRow{Name: "release", Host: host, Prefix: "/release/", Kind: standin.RunOnce, Timeout: "3000ms", Aim: "800ms", Rank: 1, Service: "clerk", Attempts: 1})
	for i := range upstreams {
		u, err := newUpstream(b, fmt.Sprintf("i-%02d", i), "clerk", zones[i%len(zones)], 3)
		if err != nil {
			return err
		}
		u.work = func(req *http.Request, body []byte) time.Duration {
			if poison(req, body) {
				c.add(arrival{at: time.Now(), id: req.Header.Get("X-Request-Id"), path: req.RequestURI, upstream: u.id})
				b.note("upstream %s begins %s, under which upstreams crash", u.id, req.Header.Get("X-Request-Id"))
				return takes
			}
			return 20 * time.Millisecond
		}
		u.crashes = func(req *http.Request, body []byte) bool { return b.trouble && poison(req, body) }
		for _, f := range change {
			f(u)
		}
	}
	if err := b.addNodes(smallSite, zones, perZone); err != nil {
		return err
	}
	if err := b.awaitReady(); err != nil {
		return err
	}
	time.Sleep(4 * time.Second)
	return nil
}

// ordinary sends ordinary requests where the directory says, until the returned function is called. Each requester asks again
// when its answer has run out.
func (b *bed) ordinary(zones []string, every time.Duration, next func(i int) call) (stop func()) {
	done := make(chan struct{})
	var wg sync.WaitGroup
	for z, zone := range zones {
		wg.Go(func() {
			var addresses []string
			var until time.Time
			t := time.NewTicker(every)
			defer t.Stop()
			for i := 0; ; i++ {
				select {
				case <-done:
					return
				case <-t.C:
				}
				if time.Now().After(until) {
					if list, ttl, err := resolve(b.nodes[(z+i)%len(b.nodes)], zone); err == nil && len(list) > 0 {
						addresses, until = list, time.Now().Add(ttl)
					}
				}
				if len(addresses) == 0 {
					continue
				}
				c := next(i)
				c.node = addresses[i%len(addresses)]
				wg.Go(func() { b.do(c) })
			}
		})
	}
	return func() {
		close(done)
		wg.Wait()
	}
}

// playCrashAnywhere sends a request under which upstreams crash again and again, to one machine after the other: first to those
// that the directory does not name now, then to the others.
func playCrashAnywhere(b *bed) (int, error) {
	zones := []string{"zone-a", "zone-b"}
	var seen crashes
	const takes = 100 * time.Millisecond
	poison := func(req *http.Request, _ []byte) bool { return req.URL.Path == "/release/bad" }
	if err := b.shop(zones, 8, 12, poison, takes, &seen); err != nil {
		return couldNot, err
	}
	stop := b.ordinary(zones, 100*time.Millisecond, func(int) call {
		return call{method: http.MethodGet, path: "/status/1", limit: 3 * time.Second}
	})
	var named []string
	for _, zone := range zones {
		list, ttl, err := resolve(b.nodes[0], zone)
		if err != nil {
			return couldNot, err
		}
		b.note("the directory names %s for %s, for %v", b.names(list), zone, ttl)
		named = append(named, list...)
	}
	order := slices.Clone(b.nodes)
	slices.SortStableFunc(order, func(x, y *member) int {
		return cmp.Compare(boolToInt(slices.Contains(named, x.callers)), boolToInt(slices.Contains(named, y.callers)))
	})
	for i := range 24 {
		began := time.Now()
		b.do(call{node: order[i%len(order)].callers, method: http.MethodPost, path: "/release/bad", limit: 3 * time.Second, body: []byte(`{"shop":17,"amount":"12.50"}`)})
		time.Sleep(time.Until(began.Add(3500 * time.Millisecond)))
	}
	stop()
	return seen.judge(b, takes), nil
}

func boolToInt(x bool) int {
	if x {
		return 1
	}
	return 0
}

// playCrashTwin sends a long request under which upstreams crash, among others of the same caller and path that begin alike
// and are as long.
func playCrashTwin(b *bed) (int, error) {
	zones := []string{"zone-a", "zone-b"}
	var seen crashes
	const takes = 100 * time.Millisecond
	body := func(last byte) []byte {
		list := slices.Repeat([]byte("0017;release;12.50;MNT;ok\n"), 3000)
		list[len(list)-2] = last
		return list
	}
	poison := func(req *http.Request, body []byte) bool {
		return req.URL.Path == "/release/batch" && len(body) > 1 && body[len(body)-2] == '!'
	}
	if err := b.shop(zones, 2, 8, poison, takes, &seen); err != nil {
		return couldNot, err
	}
	stop := b.ordinary(zones, 200*time.Millisecond, func(i int) call {
		return call{method: http.MethodPost, path: "/release/batch", limit: 3 * time.Second, body: body('a' + byte(i%26))}
	})
	for i := range 20 {
		began := time.Now()
		b.do(call{node: b.nodes[i%len(b.nodes)].callers, method: http.MethodPost, path: "/release/batch", limit: 3 * time.Second, body: body('!')})
		time.Sleep(time.Until(began.Add(3200 * time.Millisecond)))
	}
	stop()
	return seen.judge(b, takes), nil
}

// playCrashLate sends a request under which upstreams crash after 2.5 s, and whose requester leaves before.
func playCrashLate(b *bed) (int, error) {
	zones := []string{"zone-a", "zone-b"}
	var seen crashes
	const takes = 2500 * time.Millisecond
	poison := func(req *http.Request, _ []byte) bool { return req.URL.Path == "/lookup/bad" }
	if err := b.shop(zones, 2, 8, poison, takes, &seen); err != nil {
		return couldNot, err
	}
	stop := b.ordinary(zones, 200*time.Millisecond, func(int) call {
		return call{method: http.MethodGet, path: "/status/1", limit: 3 * time.Second}
	})
	for i := range 14 {
		began := time.Now()
		b.do(call{node: b.nodes[i%len(b.nodes)].callers, method: http.MethodGet, path: "/lookup/bad", limit: 12 * time.Second, leaveAfter: 500 * time.Millisecond})
		time.Sleep(time.Until(began.Add(6 * time.Second)))
	}
	stop()
	return seen.judge(b, takes), nil
}

// playCrashSilent sends a request under which upstreams crash without a word: they fall silent, and are back after 4.5 s.
func playCrashSilent(b *bed) (int, error) {
	zones := []string{"zone-a", "zone-b"}
	var seen crashes
	const takes = 100 * time.Millisecond
	poison := func(req *http.Request, _ []byte) bool { return req.URL.Path == "/release/bad" }
	silent := func(u *upstream) { u.silent, u.downFor = true, 4500*time.Millisecond }
	if err := b.shop(zones, 2, 12, poison, takes, &seen, silent); err != nil {
		return couldNot, err
	}
	stop := b.ordinary(zones, 200*time.Millisecond, func(int) call {
		return call{method: http.MethodGet, path: "/status/1", limit: 3 * time.Second}
	})
	for i := range 14 {
		began := time.Now()
		b.do(call{node: b.nodes[i%len(b.nodes)].callers, method: http.MethodPost, path: "/release/bad", limit: 3 * time.Second, body: []byte(`{"shop":17,"amount":"12.50"}`)})
		time.Sleep(time.Until(began.Add(6 * time.Second)))
	}
	stop()
	return seen.judge(b, takes), nil
}
