// Package emulate stands in for what the fleet serves: targets that fail partially, callers that
// check every answer, and a network that cuts one way.
package emulate

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// HeaderOrder names a request. A target's answer repeats it.
	HeaderOrder = "X-Order"
	// TargetPath is where a target is steered and asked.
	TargetPath = "/.target/"
	// hangFor is how long a hanging target holds a request, unless the caller leaves.
	hangFor = 30 * time.Second
)

// Faults tells a target how to misbehave.
type Faults struct {
	// Fail is the share of requests answered with status 500.
	Fail float64 `json:"fail"`
	// Cut is the share of requests whose answer is cut.
	Cut float64 `json:"cut"`
	// Hang is the share of requests that are read and not answered.
	Hang float64 `json:"hang"`
	// Drop is the share of requests that are run, and whose connection is then closed.
	Drop float64 `json:"drop"`
	// Slow multiplies the service time.
	Slow float64 `json:"slow"`
}

// A Target struct is a back end with a few slots. It counts how often each order ran.
type Target struct {
	name  string
	slots chan struct{}
	takes time.Duration

	mu     sync.Mutex
	faults Faults
	runs   map[string]int
	served int
	over   int
}

// NewTarget returns a healthy target that takes so long for each request.
func NewTarget(name string, slots int, takes time.Duration) *Target {
	return &Target{name: name, slots: make(chan struct{}, slots), takes: takes, runs: map[string]int{}}
}

// SetFaults replaces the faults.
func (t *Target) SetFaults(f Faults) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults = f
}

// Runs returns how often each order ran.
func (t *Target) Runs() map[string]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	runs := make(map[string]int, len(t.runs))
	for k, v := range t.runs {
		runs[k] = v
	}
	return runs
}

// Counts is what a target has seen.
type Counts struct {
	Served int `json:"served"`
	// Over counts requests that found all slots taken.
	Over int `json:"over"`
}

// Counts returns what the target has seen.
func (t *Target) Counts() Counts {
	t.mu.Lock()
	defer t.mu.Unlock()
	return Counts{Served: t.served, Over: t.over}
}

// ServeHTTP serves requests, and under TargetPath steers the target.
func (t *Target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if what, found := strings.CutPrefix(r.URL.Path, TargetPath); found {
		t.steer(w, r, what)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if !t.enter(r.Context()) {
		return
	}
	defer func() { <-t.slots }()
	f := t.begin(r.Header.Get(HeaderOrder))
	takes := t.takes
	if f.Slow > 0 {
		takes = time.Duration(float64(takes) * f.Slow)
	}
	time.Sleep(takes)
	t.answer(w, r, f, len(body))
}

// enter takes a slot, or waits for one, as targets do that are over-full.
func (t *Target) enter(ctx context.Context) bool {
	select {
	case t.slots <- struct{}{}:
		return true
	default:
	}
	t.mu.Lock()
	t.over++
	t.mu.Unlock()
	select {
	case t.slots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

// begin counts the order as run.
func (t *Target) begin(order string) Faults {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.served++
	if order != "" {
		t.runs[order]++
	}
	return t.faults
}

func (t *Target) answer(w http.ResponseWriter, r *http.Request, f Faults, read int) {
	body := fmt.Sprintf(`{"order":%q,"target":%q,"path":%q,"read":%d}`, r.Header.Get(HeaderOrder), t.name, r.URL.Path, read)
	switch u := rand.Float64(); {
	case u < f.Fail:
		http.Error(w, "failing", http.StatusInternalServerError)
	case u < f.Fail+f.Hang:
		select {
		case <-time.After(hangFor):
		case <-r.Context().Done():
		}
	case u < f.Fail+f.Hang+f.Drop:
		panic(http.ErrAbortHandler)
	case u < f.Fail+f.Hang+f.Drop+f.Cut:
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		_, _ = io.WriteString(w, body[:len(body)/2])
		panic(http.ErrAbortHandler)
	default:
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		_, _ = io.WriteString(w, body)
	}
}

func (t *Target) steer(w http.ResponseWriter, r *http.Request, what string) {
	switch what {
	case "faults":
		var f Faults
		if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		t.SetFaults(f)
	case "runs":
		_ = json.NewEncoder(w).Encode(t.Runs())
	case "counts":
		_ = json.NewEncoder(w).Encode(t.Counts())
	default:
		http.NotFound(w, r)
	}
}
