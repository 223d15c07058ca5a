package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/tinladder/tinladder/platform/standin"
)

func init() {
	cases["stale-seeds"] = playStaleSeeds
}

// The tenant's limit, and the bounds of the rule as the sheet of tuul-gw-now-grown has them.
const (
	tenantKey       = "key-5b1f0c2277aa"
	tenantPerSecond = 30
	tenantBurst     = 40
	quotaWindow     = 5 * time.Second
	quotaAllowed    = (tenantPerSecond*5+tenantBurst)*1.1 + 20
)

// playStaleSeeds adds a machine whose settings name three seeds that were removed for good, and has one tenant send twice its
// limit to each side.
func playStaleSeeds(b *bed) (int, error) {
	zones := []string{"zone-a", "zone-b"}
	var mu sync.Mutex
	var ran []time.Time
	for i := range 8 {
		u, err := newUpstream(b, fmt.Sprintf("i-%02d", i), "clerk", zones[i%2], 3)
		if err != nil {
			return couldNot, err
		}
		u.arrived = func(a arrival) {
			mu.Lock()
			defer mu.Unlock()
			ran = append(ran, a.at)
			b.note("upstream %s begins %s", a.upstream, a.id)
		}
	}
	b.store.ConfigureKeyed(1, []string{"clerk"},
		[]standin.WorkspaceRow{{Name: "tenant-1", Keys: []string{tenantKey}, Rank: 1, PerSecond: tenantPerSecond, Burst: tenantBurst}},
		standin.RouteRow{Name: "release", Host: host, Prefix: "/release/", Kind: standin.RunOnce, Timeout: "3000ms", Aim: "800ms", Rank: 1, Service: "clerk", Attempts: 1})
	f := smallSite
	f.tenants, f.apply, f.drain = true, "2500ms", "2500ms"
	if err := b.addNodes(f, zones, 3); err != nil {
		return couldNot, err
	}
	if err := b.awaitReady(); err != nil {
		return couldNot, err
	}
	time.Sleep(3 * time.Second)
	removed, rest := b.nodes[:3], b.nodes[3:]
	var seeds []string
	for _, m := range removed {
		seeds = append(seeds, m.peers)
		if err := m.cmd.Process.Signal(syscall.SIGTERM); err != nil {
			return couldNot, err
		}
	}
	b.note("SIGTERM to the first three machines, which leave for good")
	for _, m := range removed {
		_ = m.cmd.Wait()
		m.cmd = nil
	}
	b.nodes = rest
	if !b.trouble {
		seeds = nil
		for _, m := range rest {
			seeds = append(seeds, m.peers)
		}
	}
	added, err := b.newMember("front-zone-a-9", "zone-a")
	if err != nil {
		return couldNot, err
	}
	if err := b.startWith(added, f, zones, seeds); err != nil {
		return couldNot, err
	}
	b.note("%s is added; its seeds are those of the removed machines: %v", added.name, b.trouble)
	time.Sleep(64 * time.Second) // its first minute, in which a machine that hears of no other refuses what has a limit
	if err := b.awaitReady(); err != nil {
		return couldNot, err
	}
	begun := time.Now()
	var wg sync.WaitGroup
	for _, ask := range []*member{rest[0], added} {
		addresses, ttl, err := resolve(ask, ask.zone)
		if err != nil || len(addresses) == 0 {
			return couldNot, fmt.Errorf("the directory of %s names %v: %w", ask.name, addresses, err)
		}
		b.note("the directory of %s names %s for %v", ask.name, b.names(addresses), ttl)
		wg.Go(func() {
			for i := 0; time.Since(begun) < 15*time.Second; i++ {
				wg.Go(func() {
					b.do(call{node: addresses[i%len(addresses)], method: http.MethodPost, path: "/release/1", limit: 3 * time.Second, body: []byte("release"), key: tenantKey})
				})
				time.Sleep(time.Second / (2 * tenantPerSecond))
			}
		})
	}
	wg.Wait()
	mu.Lock()
	defer mu.Unlock()
	most, first := 0, 0
	for i, at := range ran {
		for at.Sub(ran[first]) > quotaWindow {
			first++
		}
		most = max(most, i-first+1)
	}
	b.note("QUOTA: run in the worst %v: %d, allowed: %.0f", quotaWindow, most, quotaAllowed)
	if float64(most) > quotaAllowed {
		return broken, nil
	}
	return held, nil
}
