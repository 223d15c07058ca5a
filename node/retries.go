package node

import (
	"fmt"
	"strings"
	"sync"

	"github.com/sirupsen/logrus"
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
	v := pool.FleetView{Live: live, PeakLive: s.peakNodes.observe(live, n.clock.Now())}
	carriers := n.carriers.all(svc.name)
	svc.mu.Lock()
	v.SharerCount, v.IsSharer = svc.sharers.Observe(nodeNames(carriers), n.isAmong(carriers) && v.HasQuorum(), first, n.clock.Now())
	svc.mu.Unlock()
	svc.holdsShare.Store(v.IsSharer)
	return r.Slack * pool.SlackShare(v)
}

// budgetLogInterval is the minimum time between two lines on the retry budget of a service, which are logged while attempts
// are retried or denied.
const budgetLogInterval = 2 * clock.Second

// A budgetLog is what was last logged of a service's retry budget.
type budgetLog struct {
	at    clock.Millis
	stats pool.BudgetStats
}

// changed reports whether a line is due.
func (l *budgetLog) changed(s pool.BudgetStats, now clock.Millis) bool {
	if now-l.at < budgetLogInterval || s.Made == l.stats.Made && s.Denied == l.stats.Denied {
		return false
	}
	l.at, l.stats = now, s
	return true
}

// logRetryBudgets logs how much of the retry budget this node has used, and the slack that it has a share of.
func (s *services) logRetryBudgets() {
	now := s.node.clock.Now()
	for _, svc := range s.all() {
		b := svc.pool.RetryBudget().Stats()
		if !svc.budgetLog.changed(b, now) {
			continue
		}
		f := logrus.Fields{
			"event": "retry_budget", "service": svc.name, "requests": b.Requests, "retries": b.Retries, "denied_total": b.Denied, "made_total": b.Made,
			"slack": fmt.Sprintf("%.2f", b.Slack), "sharer": svc.holdsShare.Load(), "running_ms": now - s.node.duty.startedAt,
		}
		if b.DeniedForOrder > 0 {
			f["denied_for_order"], f["order_denied"], f["short"], f["chance"] = b.DeniedForOrder, orderDenied(b), b.Short, fmt.Sprintf("%.2f", b.Chance)
		}
		s.node.log.WithFields(f).Info()
	}
}

// orderDenied returns how many further attempts were denied for their order, by rank.
func orderDenied(b pool.BudgetStats) string {
	var list []string
	for _, d := range b.DeniedByRank {
		list = append(list, fmt.Sprintf("%d/%v:%d", d.Priority, d.Loss, d.Denied))
	}
	if b.OtherDenied > 0 {
		list = append(list, fmt.Sprint("other:", b.OtherDenied))
	}
	return strings.Join(list, " ")
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
