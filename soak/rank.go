package soak

import (
	"math"
	"net/http"
	"time"
)

const (
	// pressedFor is how long the spans are that are looked at, and pressedShare the share of requests that is refused in
	// those that count.
	pressedFor   = time.Second
	pressedShare = 0.1
	// rankShare is how much less often the more urgent workspace may be served, and rankErrors how many standard errors
	// of that chance may add.
	rankShare  = 0.05
	rankErrors = 3
	// rankLeast is the least requests of each workspace that say anything of its chance: of two, both may be served where
	// 18 of the other met a node that did not know its targets yet.
	rankLeast = 20
)

// served counts the requests of a workspace, and those of them that were served.
type served struct{ all, ok int }

func (s *served) add(o served) {
	s.all += o.all
	s.ok += o.ok
}

func (s served) share() float64 {
	return float64(s.ok) / float64(max(s.all, 1))
}

// checkRank: while requests are refused, the more urgent workspace is not served less often than the other. What lies
// beyond the other's limit does not count.
func (o *oracle) checkRank() {
	type span struct{ urgent, other served }
	spans := map[time.Time]*span{}
	for _, s := range o.sent {
		urgent := s.space == shops && !s.stray
		if s.path != "/get/" || !urgent && s.space != flood || s.status == 0 || s.status == http.StatusTooManyRequests ||
			!s.node.inTouch(s.at.Add(-contact), s.end) {
			continue
		}
		from := s.at.Truncate(pressedFor)
		if spans[from] == nil {
			spans[from] = &span{}
		}
		one := served{all: 1}
		if s.status == http.StatusOK {
			one.ok = 1
		}
		if urgent {
			spans[from].urgent.add(one)
		} else {
			spans[from].other.add(one)
		}
	}
	var urgent, other served
	for _, s := range spans {
		if all := (served{s.urgent.all + s.other.all, s.urgent.ok + s.other.ok}); all.share() <= 1-pressedShare {
			urgent.add(s.urgent)
			other.add(s.other)
		}
	}
	if min(urgent.all, other.all) < rankLeast {
		return
	}
	p := served{urgent.all + other.all, urgent.ok + other.ok}.share()
	chance := rankErrors * math.Sqrt(p*(1-p)*(1/float64(urgent.all)+1/float64(other.all)))
	if other.share()-urgent.share() > rankShare+chance {
		o.breach("rank", "while requests were refused, %d of %d of the more urgent workspace were served, and %d of %d of the other",
			urgent.ok, urgent.all, other.ok, other.all)
	}
}
