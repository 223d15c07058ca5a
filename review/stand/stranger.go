package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/tinladder/tinladder/platform/standin"
)

// strangerRate is how many requests are sent a second, three quarters of what the upstreams bear.
const strangerRate = 36

// servesOn is how long an upstream serves after its entry has gone, at times many seconds.
const servesOn = drainTimeout + 8*time.Second

// playStranger has an upstream leave: its entry goes, and it serves on for some seconds. Then another writer writes an entry
// under its id, with fields missing, which names no upstream to use.
func playStranger(r *record, trouble bool) (bool, error) {
	f, err := startFleet(3, nil, func(s *standin.Store) {
		s.Configure(1, []string{"refund-clerk"}, standin.RouteRow{
			Name: "refund", Host: host, Prefix: "/refund/", Kind: standin.RunOnce, Timeout: "3s", Aim: "800ms", Service: "refund-clerk", Attempts: 2,
		})
	})
	defer f.stop()
	if err != nil {
		return false, err
	}
	var upstreams []*upstream
	for i := range 4 {
		u, err := newUpstream(f.store, fmt.Sprintf("i-%d", i+1), "refund-clerk", sortedKeys(zones)[i%3], 3, 240*time.Millisecond)
		if err != nil {
			return false, err
		}
		defer u.end()
		upstreams = append(upstreams, u)
	}
	leaver := upstreams[0]
	q := newRequesters(f)
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	var goneAt time.Time
	played := make(chan struct{})
	go func() {
		defer close(played)
		time.Sleep(8 * time.Second)
		f.store.Remove("servers", leaver.id)
		goneAt = time.Now()
		r.sum("the entry of %s has gone: it leaves, and serves on for %v", leaver.id, servesOn)
		time.Sleep(4 * time.Second)
		if trouble {
			row, _ := json.Marshal(map[string]any{
				"address": leaver.address, // no born, version, warmupLeft and callSeq
				"info":    map[string]any{"service": leaver.service, "zone": leaver.zone, "capacity": leaver.slots},
				"status":  map[string]any{"state": "ready"},
			})
			f.store.Put("servers", leaver.id, row)
			r.sum("another writer writes servers/%s: %s", leaver.id, row)
		}
		time.Sleep(time.Until(goneAt.Add(servesOn)))
		leaver.end()
		r.sum("%s ends", leaver.id)
	}()
	q.stream(ctx, strangerRate, func(i int) *try {
		return &try{method: http.MethodPost, path: fmt.Sprintf("/refund/%d", i), deadlineMs: 3000, payload: []byte("refund")}
	})
	<-played
	r.history(q.all(), upstreams)
	for _, line := range f.events("target_record", "record_refused", "target_reborn") {
		r.say("log of %s", line)
	}
	late, ranLate, lost := 0, 0, 0
	lateIDs := map[string]bool{} // of those that it ran
	for _, a := range leaver.seen() {
		if a.at.After(goneAt.Add(drainTimeout)) {
			late++
			if a.ran {
				ranLate++
				lateIDs[a.id] = true
			}
		}
	}
	for _, t := range q.all() {
		if lateIDs[t.id] && t.status != http.StatusOK {
			lost++
		}
	}
	r.sum("requests: %d; reached %s later than %v after its entry had gone: %d, of which it ran %d; requesters of %d of these got no answer of it", len(q.all()), leaver.id, drainTimeout, late, ranLate, lost)
	return late > 0, nil
}
