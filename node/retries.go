package node

import (
	"sync"

	"github.com/tinladder/tinladder/clock"
	"github.com/tinladder/tinladder/pool"
)

// The fleet's budget of retries is dealt out, so that it holds whoever hears whom: each node has the
// ratio of its own requests, and a part of the slack.

// knownFor is how long nodes that were heard count as nodes of late.
const knownFor = 30 * clock.Second

// deal gives each service's budget this node's part of the slack.
func (s *services) deal() {
	for _, svc := range s.all() {
		svc.pool.RetryBudget().SetSlack(s.slack(svc, false))
	}
}

// slack is this node's part of the fleet's slack of retries for the service. The service may be new to it: whether the
// node has carried it for long is not known then, and it is taken to.
func (s *services) slack(svc *service, first bool) float64 {
	n := s.node
	live := len(n.members.Live()) + 1
	r := n.settings().Retries
	v := pool.FleetView{Live: live, PeakLive: s.peakNodes.see(live, n.clock.Now()), JustStarted: n.clock.Now()-n.duty.since < r.Window.Millis()}
	carriers := n.carriers.all(svc.name)
	svc.mu.Lock()
	v.Carriers, v.Carries = svc.sharers.Observe(nodeNames(carriers), n.isAmong(carriers) && v.HasQuorum(), first, n.clock.Now())
	svc.mu.Unlock()
	return r.Slack * pool.SlackShare(v)
}

// limitKnownFor is how long nodes that were heard count for limits: a cut may last for minutes.
const limitKnownFor = 5 * clock.Minute

// A peak is the most of something of late.
type peak struct {
	// keep is how long the most counts.
	keep clock.Millis
	mu   sync.Mutex
	most int
	at   clock.Millis
}

// see takes in a value and returns the most of late.
func (p *peak) see(n int, now clock.Millis) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if n >= p.most || now-p.at > p.keep {
		p.most, p.at = n, now
	}
	return p.most
}
