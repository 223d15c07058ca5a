package main

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/tinladder/tinladder/platform/standin"
)

const (
	minShare = 0.7
	// floorSpan is the length of the rule's window, and the shares those of unserved requests between which it counts.
	floorSpan              = 2 * time.Second
	leastShare, mostShare  = 0.1, 0.5
	unframedFrom           = 10 * time.Second
	unframedCount, ofCount = 2, 5
)

// playUnframed has some upstreams of a service answer without a length: their answers end with the connection.
func playUnframed(r *record, trouble bool) (bool, error) {
	f, err := startFleet(3, nil, func(s *standin.Store) {
		s.Configure(1, []string{"status-desk"}, standin.RouteRow{
			Name: "status", Host: host, Prefix: "/status/", Kind: standin.Repeatable, Timeout: "3s", Aim: "800ms", Service: "status-desk", Attempts: 2,
		})
	})
	defer f.stop()
	if err != nil {
		return false, err
	}
	var upstreams []*upstream
	for i := range ofCount {
		u, err := newUpstream(f.store, fmt.Sprintf("i-%d", i+1), "status-desk", sortedKeys(zones)[i%3], 3, 100*time.Millisecond)
		if err != nil {
			return false, err
		}
		defer u.end()
		upstreams = append(upstreams, u)
	}
	q := newRequesters(f)
	ctx, cancel := context.WithTimeout(context.Background(), 40*time.Second)
	defer cancel()
	time.AfterFunc(unframedFrom, func() {
		if !trouble {
			return
		}
		r.sum("%d of %d upstreams answer without a length from now on", unframedCount, ofCount)
		for _, u := range upstreams[:unframedCount] {
			u.setBehave(func(w http.ResponseWriter, _ *http.Request) bool {
				w.Header().Set("Transfer-Encoding", "identity") // no length and no chunks: the answer ends with the connection
				_, _ = w.Write([]byte("an answer"))
				return true
			})
		}
	})
	q.stream(ctx, 115, func(i int) *try {
		return &try{method: http.MethodGet, path: fmt.Sprintf("/status/%d", i), deadlineMs: 3000}
	})
	r.history(q.all(), upstreams)
	for _, line := range f.events("target_left") {
		r.sum("log of %s", line)
	}
	windows, low := 0, 0
	for from := r.begun.Add(3 * time.Second); from.Before(time.Now().Add(-floorSpan)); from = from.Add(100 * time.Millisecond) {
		to := from.Add(floorSpan)
		reached, asked, unserved := 0, 0, 0
		for _, u := range upstreams {
			for _, a := range u.seen() {
				if a.at.After(from) && a.at.Before(to) {
					reached++
					break
				}
			}
		}
		for _, t := range q.all() {
			if t.at.After(from) && t.at.Before(to) {
				asked++
				if t.status != http.StatusOK || t.err != nil {
					unserved++
				}
			}
		}
		share := float64(unserved) / float64(max(asked, 1))
		windows++
		if reached > 0 && float64(reached) < minShare*ofCount && share > leastShare && share < mostShare {
			low++
		}
	}
	served := 0
	for _, t := range q.all() {
		if t.status == http.StatusOK && t.err == nil {
			served++
		}
	}
	r.sum("served %d of %d requests; windows of %v in which fewer than %.1f of the sound upstreams got requests, and a tenth to a half of the requests were not served: %d of %d", served, len(q.all()), floorSpan, minShare, low, windows)
	return low > 0, nil
}
