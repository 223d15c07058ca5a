package trace

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// A Failure names requests that were not served alike: of a kind, for a cause.
type Failure struct {
	Kind  string `json:"kind"`
	Cause string `json:"cause"`
}

// String returns the failure as tables have it.
func (f Failure) String() string {
	return f.Kind + " " + f.Cause
}

// A Count struct is how many requests were not served in one way.
type Count struct {
	Failure
	Count int `json:"count"`
}

// A Span struct is what was not served within one span of time, by kind and cause.
type Span struct {
	From   time.Time `json:"from"`
	Failed int       `json:"failed"`
	Counts []Count   `json:"counts"`
}

// A Timeline struct counts what was not served over time, by kind and cause. It is built line by line, in
// any order.
type Timeline struct {
	since  time.Time
	every  time.Duration
	counts map[time.Time]map[Failure]int
}

// NewTimeline returns a timeline of what was not served from the time on, in spans of the length.
func NewTimeline(since time.Time, every time.Duration) *Timeline {
	return &Timeline{since: since, every: every, counts: map[time.Time]map[Failure]int{}}
}

// Add takes in one line. A request counts when it ended.
func (t *Timeline) Add(l *Line) {
	if l.At.Before(t.since) {
		return
	}
	switch l.Event {
	case requestFailed:
		t.add(l, Failure{Kind: l.Get("kind"), Cause: l.Get("cause")})
	case requestRefused:
		t.add(l, Failure{Kind: "-", Cause: "refused " + l.Get("status")})
	}
}

func (t *Timeline) add(l *Line, f Failure) {
	from := l.At.Truncate(t.every)
	if t.counts[from] == nil {
		t.counts[from] = map[Failure]int{}
	}
	t.counts[from][f]++
}

// Failures returns all ways in which requests were not served, the most frequent first.
func (t *Timeline) Failures() []Failure {
	total := map[Failure]int{}
	for _, counts := range t.counts {
		for f, n := range counts {
			total[f] += n
		}
	}
	return slices.SortedFunc(maps.Keys(total), func(a, b Failure) int {
		return cmp.Or(cmp.Compare(total[b], total[a]), cmp.Compare(a.String(), b.String()))
	})
}

// Spans returns the spans in which something was not served, in order.
func (t *Timeline) Spans() []Span {
	failures := t.Failures()
	spans := make([]Span, 0, len(t.counts))
	for _, from := range slices.SortedFunc(maps.Keys(t.counts), time.Time.Compare) {
		s := Span{From: from}
		for _, f := range failures {
			if n := t.counts[from][f]; n > 0 {
				s.Failed += n
				s.Counts = append(s.Counts, Count{Failure: f, Count: n})
			}
		}
		spans = append(spans, s)
	}
	return spans
}
