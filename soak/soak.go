// Package soak runs real nodes as processes on one machine, strikes them with faults that a seed
// draws, and checks the fleet's promises from what callers and targets see.
package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sort"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// The promises' bounds, as in the settings that the nodes get; the slacks are for this machine.
const (
	routeTimeout = 1500 * time.Millisecond
	// routeAttempts is the most targets that a request may run on.
	routeAttempts = 3
	grace         = 4 * time.Second
	// keptFor is how long after it was told to stop a node keeps connections that rest, less a little.
	keptFor      = grace * 80 / 100
	drainTimeout = 2 * time.Second
	configApply  = 2 * time.Second
	contact      = 3 * time.Second
	lossSlack    = 200 * time.Millisecond
	retryRatio   = 0.2
	retryWindow  = 10 * time.Second
	budgetSlack  = 30
	// machineSlack is how much later than in the rules something may happen, since callers, targets
	// and nodes share this machine.
	machineSlack = 700 * time.Millisecond
)

// A Config struct says what a run is made of.
type Config struct {
	Seed uint64
	// Nodes and Targets are how many there are at the start.
	Nodes, Targets int
	// Rate is requests a second, of all callers.
	Rate float64
	// Faults is for how long faults begin, and Calm how long the fleet has to come back, and is then
	// looked at for.
	Faults, Calm time.Duration
	// Resting is how many callers' connections rest for long between requests, over all nodes.
	Resting int
	// Leavers are callers that do not wait for their answers.
	Leavers int
	// Crashers are callers that send requests again and again that crash each target that runs them.
	Crashers int
	// CrashForms has these requests come in chunks and with a length by turns, and the callers of some leave at once.
	CrashForms bool
	// Uploaders are callers that send long bodies.
	Uploaders int
	// Only names the faults that may happen, if not all may.
	Only []string
	// Planned leaves nothing that strikes but what operators do: stops, reloads, changes of the desired state.
	Planned bool
	// Binary is the node's program, and Dir where settings and logs go.
	Binary, Dir string
}

// Usual is a run of the usual size: a few processes, about 20 s.
func Usual(seed uint64, binary, dir string) Config {
	return Config{
		Seed: seed, Nodes: 6, Targets: 10, Rate: 80, Leavers: 2, Crashers: 1, CrashForms: true, Uploaders: 2, Faults: 12 * time.Second, Calm: 5 * time.Second, Binary: binary, Dir: dir,
	}
}

// Stops is a run of planned stops in series, under connections that rest for long.
func Stops(seed uint64, binary, dir string) Config {
	cfg := Usual(seed, binary, dir)
	cfg.Planned, cfg.Resting, cfg.Crashers = true, 400, 0
	return cfg
}

// Returns is a run in which the store comes back from copies, several times, beside faults of nodes, changes, and targets that
// come and go.
func Returns(seed uint64, binary, dir string) Config {
	cfg := Usual(seed, binary, dir)
	cfg.Crashers = 0
	cfg.Only = []string{
		"store returns from a copy", "store returns from a copy", "store returns from a copy", "store away for one", "kill", "freeze", "terminate",
		"cut one way", "change", "changes in a row", "target leaves", "target joins", "target crashes",
	}
	return cfg
}

// faults are those that may happen.
func (c Config) faults() (list []fault, err error) {
	switch {
	case len(c.Only) == 0 && c.Planned:
		return plannedWork, nil
	case len(c.Only) == 0:
		return faults, nil
	}
	all := slices.Concat(faults, named)
	for _, name := range c.Only {
		i := slices.IndexFunc(all, func(f fault) bool { return f.name == name })
		if i < 0 {
			return nil, errors.Newf("no fault is named %q", name)
		}
		list = append(list, all[i])
	}
	return list, nil
}

// A Report struct is what a run showed.
type Report struct {
	Seed uint64
	// Breaches are broken promises; there must be none.
	Breaches []string
	// Unanswered are requests that went out whole to a node that was told to stop, and whose connection ended without a
	// whole answer; those that crossed its end are no breach.
	Unanswered []string
	// Timeline tells what was done, and when.
	Timeline []string
	Sent, Served,
	Refused, Failed int
	// Left are requests whose callers did not wait.
	Left int
	// Flood is the most requests of a workspace at its limit that ran in a window, FloodSent the most that were sent in it too.
	Flood, FloodSent int
	// Back is the share of requests that were served once all faults were over.
	Back float64
}

// A timeline notes what happens.
type timeline struct {
	mu    sync.Mutex
	start time.Time
	lines []string
}

func (t *timeline) note(format string, args ...any) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lines = append(t.lines, fmt.Sprintf("%7.3f s  ", time.Since(t.start).Seconds())+fmt.Sprintf(format, args...))
}

func (t *timeline) sorted() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	sort.Strings(t.lines)
	return t.lines
}

// startUp is how long a fleet has to be ready.
const startUp = 20 * time.Second

// Run plays one seed.
func Run(cfg Config) (r *Report, err error) {
	defer func() { err = errors.Wrapf(err, "soak seed %d", cfg.Seed) }()
	list, err := cfg.faults()
	if err != nil {
		return nil, err
	}
	w, err := newWorld(cfg)
	if err != nil {
		return nil, err
	}
	defer w.close()
	if err := w.ready(startUp); err != nil {
		return nil, err
	}
	tl := &timeline{start: time.Now()}
	o := newOracle(w)
	c := newCallers(w, o)
	c.start()
	time.Sleep(contact)
	strike(w, list, rand.New(rand.NewPCG(cfg.Seed, 1)), tl)
	tl.note("all faults are over")
	time.Sleep(cfg.Calm)
	o.calmFrom(time.Now())
	time.Sleep(cfg.Calm)
	c.stop()
	r = o.judge()
	r.Seed, r.Timeline = cfg.Seed, tl.sorted()
	return r, nil
}
