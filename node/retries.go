package node

import (
	"sync"

	"github.com/tinladder/tinladder/clock"
	"github.com/tinladder/tinladder/pool"
)

// The fleet's retry budget is divided among its nodes in advance, so that it holds during network partitions too: each
// node may retry a ratio of its own requests, and has a share of the slack.

// peakNodesWindow is the period over which the recent maximum of live nodes is taken.
const peakNodesWindow = 30 * clock.Second

// distributeSlack sets this node's share of the slack in the retry budget of each service.
func (s *services) distributeSlack() {
	for _, svc := range s.all() {
		svc.pool.RetryBudget().SetSlack(s.slackShare(svc, false))
	}
}

// slackShare returns this node's share of the fleet's retry slack for the service. When first is set the service is new to
// the node, which cannot know for how long it has carried it, and is assumed to have done so for long.
func (s *services) slackShare(svc *service, first bool) float64 {
	n := s.node
	live := len(n.members.Live()) + 1
	r := n.settings().Retries
	v := pool.FleetView{Live: live, PeakLive: s.peakNodes.observe(live, n.clock.Now()), JustStarted: n.clock.Now()-n.duty.startedAt < r.Window.Millis()}
	carriers := n.carriers.all(svc.name)
	svc.mu.Lock()
	v.SharerCount, v.IsSharer = svc.sharers.Observe(nodeNames(carriers), n.isAmong(carriers) && v.HasQuorum(), first, n.clock.Now())
	svc.mu.Unlock()
	return r.Slack * pool.SlackShare(v)
}

// limitPeakNodesWindow is the same period for limits. It is longer, since a network partition may last for minutes.
const limitPeakNodesWindow = 5 * clock.Minute

// A recentMax tracks the recent maximum of a value.
type recentMax struct {
	// window is how long a maximum is kept.
	window clock.Millis
	mu     sync.Mutex
	max    int
	at     clock.Millis
}

// observe adds a value and returns the recent maximum.
func (p *recentMax) observe(n int, now clock.Millis) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if n >= p.max || now-p.at > p.window {
		p.max, p.at = n, now
	}
	return p.max
}
