package node

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/sirupsen/logrus"
	"github.com/tinladder/tinladder/clock"
)

const (
	// reachProbeInterval is how often a node that is cut off from a service's targets tries to connect to some.
	reachProbeInterval clock.Millis = 500
	// reachUse is how long after its last request a service counts in whether the node reaches targets.
	reachUse = 5 * clock.Second
)

// reach follows whether this node reaches targets. If it reaches those of no service, other nodes send it no callers.
type reach struct {
	node *Node
	// passed counts the requests that are at other nodes.
	passed atomic.Int64
	// cutOff is whether the other nodes were told that this one reaches no targets; used by tick only.
	cutOff bool
	// services is the number of services whose targets this node does not reach.
	services atomic.Int64

	mu sync.Mutex
	// probedAt is when targets of a service were last probed, by service; probing are those with probes under way.
	probedAt map[string]clock.Millis
	probing  map[string]bool
}

func newReach(n *Node) *reach {
	return &reach{node: n, probedAt: map[string]clock.Millis{}, probing: map[string]bool{}}
}

// enter counts a request that is passed to another node, and reports whether there may be one more.
func (r *reach) enter() bool {
	if r.passed.Add(1) > maxPassed {
		r.passed.Add(-1)
		return false
	}
	return true
}

func (r *reach) exit() {
	r.passed.Add(-1)
}

// isCutOff reports whether this node does not reach the targets of some service.
func (r *reach) isCutOff() bool {
	return r.services.Load() > 0
}

// closeIdle closes the connections to a service's targets, which may hang.
func (r *reach) closeIdle(svc *service) {
	for _, address := range svc.pool.Addresses() {
		r.node.conns.CloseIdle(address)
	}
}

// tick tells the other nodes whether this one reaches targets, and probes targets that it does not reach.
func (r *reach) tick() {
	now := r.node.clock.Now()
	cut, reached := 0, 0
	for _, svc := range r.node.services.all() {
		switch {
		case svc.pool.CutOff():
			cut++
			r.probe(svc, now)
		case now-clock.Millis(svc.lastRequestAt.Load()) < reachUse:
			reached++
		}
	}
	r.services.Store(int64(cut))
	cutOff := cut > 0 && reached == 0
	if cutOff == r.cutOff {
		return
	}
	r.cutOff = cutOff
	r.node.log.WithFields(logrus.Fields{"event": "node_reach", "cut_off": cutOff, "services_cut_off": cut}).Warn()
	r.node.sendGossip(r.node.members.AnnounceCutOff(cutOff))
}

// probe connects to some targets of the service, unless it did so a short time ago.
func (r *reach) probe(svc *service, now clock.Millis) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.probing[svc.name] || now-r.probedAt[svc.name] < reachProbeInterval {
		return
	}
	r.probedAt[svc.name], r.probing[svc.name] = now, true
	go func() {
		if r.reaches(svc.pool.ReachProbes()) {
			svc.pool.RecordReachProbes()
		}
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.probing, svc.name)
	}()
}

// reaches reports whether most of the addresses accept a connection. Single targets may be down, and a node that reaches
// few targets would be cut off again at once.
func (r *reach) reaches(addresses []string) bool {
	results := make(chan bool, len(addresses))
	for _, address := range addresses {
		go func() {
			results <- r.node.conns.Connects(context.Background(), address)
		}()
	}
	reached := 0
	for range addresses {
		if <-results {
			reached++
		}
	}
	return 2*reached > len(addresses)
}
