package emulate

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// A Load struct sends requests at a steady rate, whether or not they are answered, and keeps
// what became of each run-once order.
type Load struct {
	// Callers take turns.
	Callers []*Caller
	// Rate is in requests a second; OnceShare of them are run-once.
	Rate      float64
	OnceShare float64
	GetPath   string
	OncePath  string

	mu      sync.Mutex
	counts  map[string]map[Result]int
	fates   map[string]Result
	latency *hdrhistogram.Histogram
	last    map[string]string
}

// maxLatencyUs bounds the latencies that are told apart.
const maxLatencyUs = 60_000_000

// NewLoad returns a load that has sent nothing.
func NewLoad(callers []*Caller, rate, onceShare float64, getPath, oncePath string) *Load {
	return &Load{
		Callers: callers, Rate: rate, OnceShare: onceShare, GetPath: getPath, OncePath: oncePath,
		counts:  map[string]map[Result]int{"get": {}, "once": {}},
		fates:   map[string]Result{},
		latency: hdrhistogram.New(1, maxLatencyUs, 3),
		last:    map[string]string{},
	}
}

// Run sends until the context ends, and waits for the last answers.
func (l *Load) Run(ctx context.Context, name string) {
	var wg sync.WaitGroup
	defer wg.Wait()
	t := time.NewTicker(time.Duration(float64(time.Second) / l.Rate))
	defer t.Stop()
	for i := 0; ; i++ {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		order := fmt.Sprintf("%s-%d", name, i)
		c := l.Callers[i%len(l.Callers)]
		wg.Go(func() { l.one(context.WithoutCancel(ctx), c, order) })
	}
}

func (l *Load) one(ctx context.Context, c *Caller, order string) {
	start := time.Now()
	if rand.Float64() < l.OnceShare {
		r, detail := c.Once(ctx, l.OncePath, order)
		l.note("once", order, r, detail, time.Since(start))
		return
	}
	r, detail := c.Get(ctx, l.GetPath+order, order)
	l.note("get", order, r, detail, time.Since(start))
}

func (l *Load) note(kind, order string, r Result, detail string, took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts[kind][r]++
	if kind == "once" {
		l.fates[order] = r
	}
	if r == OK {
		_ = l.latency.RecordValue(min(took.Microseconds(), maxLatencyUs))
	} else {
		l.last[r.String()] = detail
	}
}

// A Summary struct is what a load has seen.
type Summary struct {
	Get   map[string]int    `json:"get"`
	Once  map[string]int    `json:"once"`
	P50Ms float64           `json:"p50_ms"`
	P99Ms float64           `json:"p99_ms"`
	Last  map[string]string `json:"last,omitempty"`
}

// Summary returns what the load has seen so far.
func (l *Load) Summary() Summary {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := Summary{Get: map[string]int{}, Once: map[string]int{}, Last: map[string]string{}}
	for r := range results {
		if n := l.counts["get"][r]; n > 0 {
			s.Get[r.String()] = n
		}
		if n := l.counts["once"][r]; n > 0 {
			s.Once[r.String()] = n
		}
	}
	for k, v := range l.last {
		s.Last[k] = v
	}
	s.P50Ms = float64(l.latency.ValueAtQuantile(50)) / 1000
	s.P99Ms = float64(l.latency.ValueAtQuantile(99)) / 1000
	return s
}

// Fates returns how each run-once order ended.
func (l *Load) Fates() map[string]Result {
	l.mu.Lock()
	defer l.mu.Unlock()
	fates := make(map[string]Result, len(l.fates))
	for k, v := range l.fates {
		fates[k] = v
	}
	return fates
}

// Breaches is how often promises were broken.
type Breaches struct {
	Crossed      int `json:"answers_crossed_or_cut"`
	Doubled      int `json:"run_once_doubled"`
	ToldNotRun   int `json:"told_not_run_but_ran"`
	AnsweredLost int `json:"answered_but_never_ran"`
}

// Check compares what callers were told with how often the targets ran each order.
func Check(fates map[string]Result, crossed int, runs ...map[string]int) Breaches {
	total := map[string]int{}
	for _, m := range runs {
		for order, n := range m {
			total[order] += n
		}
	}
	b := Breaches{Crossed: crossed}
	for order, r := range fates {
		n := total[order]
		switch {
		case n > 1:
			b.Doubled++
		case r == NotRun && n > 0:
			b.ToldNotRun++
		case r == OK && n == 0:
			b.AnsweredLost++
		}
	}
	return b
}
