package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/tinladder/tinladder/platform/standin"
)

const (
	poisonPath  = "/refund/poison"
	poisonEvery = 4 * time.Second
	backAfter   = 3 * time.Second
	// retriesBorne is how often such a request may reach upstreams later than contact after it crashed the third, by the rule.
	retriesBorne = 3
	crashesKnown = 3
	// leaveAfter is when a requester leaves that does not wait for its answer.
	leaveAfter = 150 * time.Millisecond
)

// Other forms of such a request, by the variable FORM. In each the body always comes with a length.
const (
	// formOne differs from the case in nothing else.
	formOne = "one"
	// formLeave is a repeatable request whose requester leaves before the crash.
	formLeave = "leave"
)

// playPoison has a request crash each upstream that begins to run it. It comes again every few seconds with the same path,
// caller and body, in chunks and with a length by turns.
func playPoison(r *record, trouble bool) (bool, error) {
	form := os.Getenv("FORM")
	kind := standin.RunOnce
	if form == formLeave {
		kind = standin.Repeatable
	}
	f, err := startFleet(3, nil, func(s *standin.Store) {
		s.Configure(1, []string{"refund-clerk"}, standin.RouteRow{
			Name: "refund", Host: host, Prefix: "/refund/", Kind: kind, Timeout: "3s", Aim: "800ms", Service: "refund-clerk", Attempts: 2,
		})
	})
	defer f.stop()
	if err != nil {
		return false, err
	}
	var mu sync.Mutex
	var crashes []time.Time
	var upstreams []*upstream
	for i := range 8 {
		u, err := newUpstream(f.store, fmt.Sprintf("i-%d", i+1), "refund-clerk", sortedKeys(zones)[i%3], 3, 240*time.Millisecond)
		if err != nil {
			return false, err
		}
		defer u.end()
		u.setBehave(func(_ http.ResponseWriter, q *http.Request) bool {
			if q.URL.Path != poisonPath || !trouble {
				return false
			}
			mu.Lock()
			crashes = append(crashes, time.Now())
			n := len(crashes)
			mu.Unlock()
			r.sum("upstream %s crashes under request %s, crash %d", u.id, q.Header.Get("X-Request-Id"), n)
			u.end()
			time.AfterFunc(backAfter, func() {
				if u.start() == nil {
					u.register("ready")
					r.say("upstream %s is back", u.id)
				}
			})
			return true
		})
		upstreams = append(upstreams, u)
	}
	q := newRequesters(f)
	ctx, cancel := context.WithTimeout(context.Background(), 75*time.Second)
	defer cancel()
	var wg sync.WaitGroup
	wg.Go(func() {
		time.Sleep(5 * time.Second)
		for i := 0; ctx.Err() == nil; i++ {
			t := &try{method: http.MethodPost, path: poisonPath, deadlineMs: 3000, payload: []byte("refund of order 17"), node: f.nodes[i%len(f.nodes)]}
			switch form {
			case formOne:
			case formLeave:
				t.patience = leaveAfter
			default:
				t.chunked = i%2 == 1
			}
			wg.Go(func() { q.send(t) })
			select {
			case <-time.After(poisonEvery):
			case <-ctx.Done():
			}
		}
	})
	q.stream(ctx, 24, func(i int) *try {
		return &try{method: http.MethodPost, path: fmt.Sprintf("/refund/%d", i), deadlineMs: 3000, payload: []byte("refund")}
	})
	wg.Wait()
	time.Sleep(time.Second)
	r.history(q.all(), upstreams)
	for _, line := range f.events("request_") {
		if !strings.Contains(line, "request_refused") {
			r.say("log of %s", line)
		}
	}
	reached, retries := 0, 0
	for _, u := range upstreams {
		for _, a := range u.seen() {
			if a.path != poisonPath {
				continue
			}
			reached++
			if len(crashes) >= crashesKnown && a.at.After(crashes[crashesKnown-1].Add(contact)) {
				retries++
			}
		}
	}
	ran := map[string]bool{}
	for _, u := range upstreams {
		for _, a := range u.seen() {
			if a.ran {
				ran[a.id] = true
			}
		}
	}
	lost := 0
	for _, t := range q.all() {
		if t.path != poisonPath && ran[t.id] && t.status != http.StatusOK {
			lost++
		}
	}
	r.sum("crashes: %d; the request reached upstreams %d times, of which %d later than %v after its third crash (the rule bears %d)", len(crashes), reached, retries, contact, retriesBorne)
	r.sum("other requests that upstreams had begun to run, and whose requesters got no success: %d of %d", lost, len(q.all())-reached)
	return retries > retriesBorne, nil
}
