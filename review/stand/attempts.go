package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/tinladder/tinladder/platform/standin"
)

const (
	attemptsAllowed = 2
	greyShare       = 0.55
	greyFor         = 8 * time.Second
	// excess is how many requests may run on more upstreams than their route allows, by the rule.
	excess = 3
)

// playAttempts has upstreams fail a part of their requests for some seconds, with 503 and without X-Not-Executed: they ran
// them. It counts the requests that ran on more upstreams than their route's maxAttempts.
func playAttempts(r *record, trouble bool) (bool, error) {
	f, err := startFleet(3, nil, func(s *standin.Store) {
		s.Configure(1, []string{"status-desk"}, standin.RouteRow{
			Name: "status", Host: host, Prefix: "/status/", Kind: standin.Repeatable, Timeout: "3s", Aim: "800ms", Service: "status-desk", Attempts: attemptsAllowed,
		})
	})
	defer f.stop()
	if err != nil {
		return false, err
	}
	var upstreams []*upstream
	for i := range 6 {
		u, err := newUpstream(f.store, fmt.Sprintf("i-%d", i+1), "status-desk", sortedKeys(zones)[i%3], 3, 40*time.Millisecond)
		if err != nil {
			return false, err
		}
		defer u.end()
		upstreams = append(upstreams, u)
	}
	q := newRequesters(f)
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	time.AfterFunc(15*time.Second, func() {
		if !trouble {
			return
		}
		r.sum("the upstreams of status-desk fail %.2f of their requests from now on, for %v", greyShare, greyFor)
		for _, u := range upstreams {
			u.setBehave(func(w http.ResponseWriter, _ *http.Request) bool {
				if rand.Float64() >= greyShare {
					return false
				}
				w.Header().Set("Content-Length", "0")
				w.WriteHeader(http.StatusServiceUnavailable)
				return true
			})
		}
		time.Sleep(greyFor)
		for _, u := range upstreams {
			u.setBehave(nil)
		}
		r.sum("the upstreams are well again")
	})
	q.stream(ctx, 40, func(i int) *try {
		return &try{method: http.MethodGet, path: fmt.Sprintf("/status/%d", i), deadlineMs: 3000}
	})
	r.history(q.all(), upstreams)
	ranAt := map[string]map[string]bool{}
	for _, u := range upstreams {
		for _, a := range u.seen() {
			if a.ran {
				if ranAt[a.id] == nil {
					ranAt[a.id] = map[string]bool{}
				}
				ranAt[a.id][a.upstream] = true
			}
		}
	}
	over, most, falsely, served := 0, 0, 0, 0
	for _, t := range q.all() {
		n := len(ranAt[t.id])
		most = max(most, n)
		if n > attemptsAllowed {
			over++
		}
		if t.status == http.StatusServiceUnavailable && n > 0 {
			falsely++
		}
		if t.status == http.StatusOK {
			served++
		}
	}
	r.sum("requests: %d, served %d; allowed upstreams for each: %d; ran on more: %d (the rule bears %d); most upstreams for one: %d", len(q.all()), served, attemptsAllowed, over, excess, most)
	r.sum("requests that had run and whose requester got 503: %d", falsely)
	return over > excess, nil
}
