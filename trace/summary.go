package trace

import (
	"cmp"
	"slices"
	"time"
)

// examples is how many requests a group names.
const examples = 3

// A Group struct is requests that failed for one cause at one service.
type Group struct {
	Service string `json:"service"`
	Kind    string `json:"kind"`
	Cause   string `json:"cause"`
	Count   int    `json:"count"`
	// Target had a part in the most of them, and TargetCount says in how many.
	Target      string    `json:"target,omitempty"`
	TargetCount int       `json:"target_count,omitempty"`
	First       time.Time `json:"first"`
	Last        time.Time `json:"last"`
	// Requests names some of them, to be explained.
	Requests []string `json:"requests"`
	targets  map[string]int
}

// A Summary struct is what failed, by cause. It is built line by line, in any order.
type Summary struct {
	Served int      `json:"served"`
	Failed int      `json:"failed"`
	Groups []*Group `json:"groups"`
	// Missing counts lines that the nodes left out of their logs.
	Missing int64 `json:"log_lines_missing"`
	since   time.Time
	groups  map[[3]string]*Group
}

// NewSummary returns a summary of what failed from the time on.
func NewSummary(since time.Time) *Summary {
	return &Summary{since: since, groups: map[[3]string]*Group{}}
}

// Add takes in one line.
func (s *Summary) Add(l *Line) {
	if l.At.Before(s.since) {
		return
	}
	switch l.Event {
	case requestSums:
		s.Served += int(l.Millis("served"))
	case "log_lines_dropped":
		s.Missing += int64(l.Millis("lines"))
	case requestFailed:
		s.add(l, l.Get("service"), l.Get("kind"), l.Get("cause"))
	case requestRefused:
		s.add(l, "-", "-", l.Get("reason"))
	}
}

func (s *Summary) add(l *Line, service, kind, cause string) {
	s.Failed++
	key := [3]string{service, kind, cause}
	g := s.groups[key]
	if g == nil {
		g = &Group{Service: service, Kind: kind, Cause: cause, First: l.At, Last: l.At, targets: map[string]int{}}
		s.groups[key] = g
		s.Groups = append(s.Groups, g)
	}
	g.Count++
	if l.At.Before(g.First) {
		g.First = l.At
	}
	if l.At.After(g.Last) {
		g.Last = l.At
	}
	if len(g.Requests) < examples && l.Get("request") != "" {
		g.Requests = append(g.Requests, l.Get("request"))
	}
	if t := l.Get("targets"); t != "" {
		g.targets[t]++
		if g.targets[t] > g.TargetCount {
			g.Target, g.TargetCount = t, g.targets[t]
		}
	}
}

// Sort puts the most frequent first.
func (s *Summary) Sort() {
	slices.SortFunc(s.Groups, func(a, b *Group) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Service, b.Service), cmp.Compare(a.Cause, b.Cause))
	})
}
