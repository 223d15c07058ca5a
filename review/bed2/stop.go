package main

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/tinladder/tinladder/platform/standin"
)

func init() {
	cases["stop"] = playStop
}

// longWork is how long the requests of the play take. It is within the work of the sheet's slowest kind.
const longWork = 6 * time.Second

// playStop stops a node as planned, with a grace period of 10 s. Requesters that hold a directory's answer for three times its
// ttl send requests to it 3.3 to 4.2 s after the SIGTERM, which take 6 s.
func playStop(b *bed) (int, error) {
	b.store.Configure(1, []string{"press", "registry"},
		standin.RouteRow{Name: "find", Host: host, Prefix: "/find/", Kind: standin.Repeatable, Timeout: "15000ms", Aim: "4000ms", Rank: 1, Service: "press", Attempts: 2},
		standin.RouteRow{Name: "order", Host: host, Prefix: "/order/", Kind: standin.RunOnce, Timeout: "10000ms", Aim: "1000ms", Rank: 0, Service: "registry", Attempts: 1})
	var mu sync.Mutex
	began := map[string]time.Time{}
	for i := range 32 {
		u, err := newUpstream(b, fmt.Sprintf("i-%02d", i), []string{"press", "registry"}[i%2], []string{"zone-a", "zone-b"}[i/2%2], 3)
		if err != nil {
			return couldNot, err
		}
		u.work = func(req *http.Request, _ []byte) time.Duration {
			if strings.HasSuffix(req.URL.Path, "/long") {
				return longWork
			}
			return 30 * time.Millisecond
		}
		u.arrived = func(a arrival) {
			mu.Lock()
			defer mu.Unlock()
			began[a.id] = a.at
			b.note("upstream %s begins %s, told %s ms", a.upstream, a.id, a.deadline)
		}
	}
	f := smallSite
	f.grace, f.apply, f.drain = "10s", "3000ms", "3000ms" // as in the deployments whose grace period is 10 s
	if err := b.addNodes(f, []string{"zone-a", "zone-b"}, 2); err != nil {
		return couldNot, err
	}
	if err := b.awaitReady(); err != nil {
		return couldNot, err
	}
	time.Sleep(3 * time.Second)
	for i := range 40 {
		b.do(call{node: b.nodes[i%len(b.nodes)].callers, method: http.MethodGet, path: "/find/short", limit: 15 * time.Second})
		b.do(call{node: b.nodes[i%len(b.nodes)].callers, method: http.MethodPost, path: "/order/short", limit: 10 * time.Second, body: []byte("order")})
	}
	addresses, ttl, err := resolve(b.nodes[1], "zone-a")
	if err != nil || !slices.Contains(addresses, b.nodes[0].callers) {
		return couldNot, fmt.Errorf("the directory names %s: %w", b.names(addresses), err)
	}
	b.note("the directory names %s for %v", b.names(addresses), ttl)
	stopped := time.Now()
	if b.trouble {
		if err := b.nodes[0].cmd.Process.Signal(syscall.SIGTERM); err != nil {
			return couldNot, err
		}
		b.note("SIGTERM to %s, grace period %s", b.nodes[0].name, f.grace)
	}
	var wg sync.WaitGroup
	var outcomes []outcome
	for i := range 12 {
		time.Sleep(time.Until(stopped.Add(3300*time.Millisecond + time.Duration(i)*80*time.Millisecond)))
		c := call{node: addresses[slices.Index(addresses, b.nodes[0].callers)], method: http.MethodGet, path: "/find/long", limit: 15 * time.Second}
		if i%2 == 1 {
			c.method, c.path, c.limit, c.body = http.MethodPost, "/order/long", 10*time.Second, []byte("order")
		}
		wg.Go(func() {
			o := b.do(c)
			mu.Lock()
			defer mu.Unlock()
			outcomes = append(outcomes, o)
		})
	}
	wg.Wait()
	cut, served, refused := 0, 0, 0
	for _, o := range outcomes {
		at, ran := began[o.id]
		switch {
		case o.status == http.StatusOK && o.signed:
			served++
		case ran && o.sent.Sub(stopped) > 3*time.Second:
			cut++
			b.note("LOST: %v, sent %.2f s after the stop, ended %.2f s after it; its upstream had begun it %.2f s before that", o, o.sent.Sub(stopped).Seconds(), o.ended.Sub(stopped).Seconds(), o.ended.Sub(at).Seconds())
		default:
			refused++
		}
	}
	b.note("served %d, refused or not connected %d, broken off while an upstream worked on them %d", served, refused, cut)
	if cut > 0 {
		return broken, nil
	}
	return held, nil
}
