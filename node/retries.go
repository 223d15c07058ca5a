package node

import (
	"sync"

	"github.com/tinladder/tinladder/clock"
	"github.com/tinladder/tinladder/pool"
)

// The fleet's budget of retries is dealt out, so that it holds whoever hears whom: each node has the
// ratio of its own requests, and a part of the slack.

// peakNodesWindow is how long nodes that were heard count as nodes of late.
const peakNodesWindow = 30 * clock.Second

// distributeSlack gives each service's budget this node's part of the slack.
func (s *services) distributeSlack() {
	for _, svc := range s.all() {
		svc.pool.RetryBudget().SetSlack(s.slackShare(svc, false))
	}
}

// slackShare is this node's part of the fleet's slackShare of retries for the service. The service may be new to it: whether the
// node has carried it for long is not known then, and it is taken to.
func (s *services) slackShare(svc *service, first bool) float64 {
	n := s.node
	live := len(n.members.Live()) + 1
	r := n.settings().Retries
	v := pool.FleetView{Live: live, PeakLive: s.most.observe(live, n.clock.Now()), JustStarted: n.clock.Now()-n.duty.since < r.Window.Millis()}
	carriers := n.carriers.all(svc.name)
	svc.mu.Lock()
	v.Carriers, v.Carries = svc.sharers.Observe(nodesOf(carriers), n.isAmong(carriers) && v.HasQuorum(), first, n.clock.Now())
	svc.mu.Unlock()
	return r.Slack * pool.SlackShare(v)
}

// limitPeakNodesWindow is how long nodes that were heard count for limits: a cut may last for minutes.
const limitPeakNodesWindow = 5 * clock.Minute

// A recentMax is the most of something of late.
type recentMax struct {
	// window is how long the most counts.
	window clock.Millis
	mu     sync.Mutex
	max    int
	at     clock.Millis
}

// observe takes in a value and returns the most of late.
func (p *recentMax) observe(n int, now clock.Millis) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if n >= p.max || now-p.at > p.window {
		p.max, p.at = n, now
	}
	return p.max
}
