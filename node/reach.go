package node

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/sirupsen/logrus"
	"github.com/tinladder/tinladder/clock"
	tlv1 "github.com/tinladder/tinladder/schema/tinladder/v1"
)

const (
	// reachProbeInterval is how often a node that is cut off from a service's targets tries to connect to some.
	reachProbeInterval clock.Millis = 500
	// checkInterval is how often a node without responses for checkSilence checks whether it reaches targets while others say
	// that they reach none.
	checkInterval = 2 * clock.Second
	checkSilence  = 1 * clock.Second
	// checkedTargets is how many targets it connects to.
	checkedTargets = 3
)

// reach follows whether this node reaches targets. If it reaches those of no service, other nodes send it no callers.
type reach struct {
	node *Node
	// passed counts the requests that are at other nodes.
	passed atomic.Int64
	// cutOff is whether the other nodes were told that this one reaches no targets.
	cutOff atomic.Bool
	// cutServices is the number of services whose targets this node does not reach.
	cutServices atomic.Int64
	// unreached is set while this node does not connect to most of the targets that it checks, of any service.
	unreached atomic.Bool
	// checkedAt is when it last checked; used by tick only. checking is set meanwhile.
	checkedAt clock.Millis
	checking  atomic.Bool

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
	return r.unreached.Load() || r.cutServices.Load() > 0
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
	cut := 0
	for _, svc := range r.node.services.all() {
		if svc.pool.CutOff() {
			cut++
			r.probe(svc, now)
		}
	}
	r.cutServices.Store(int64(cut))
	r.check(now)
	cutOff := r.unreached.Load() || cut > 0 && now-r.respondedAt() >= checkSilence
	if r.cutOff.Swap(cutOff) == cutOff {
		return
	}
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

// check connects to some targets if other nodes say that they reach none and this one had no response lately: the next nodes
// that get the callers of those that are cut off may be cut off too, and would find out one after the other.
func (r *reach) check(now clock.Millis) {
	interval := checkInterval
	switch {
	case r.unreached.Load():
		interval = reachProbeInterval
	case !r.othersCutOff() || now-r.respondedAt() < checkSilence:
		return
	}
	if now-r.checkedAt < interval || !r.checking.CompareAndSwap(false, true) {
		return
	}
	r.checkedAt = now
	go func() {
		defer r.checking.Store(false)
		if addresses := r.someTargets(); len(addresses) > 0 {
			r.unreached.Store(!r.reaches(addresses))
		}
	}()
}

// othersCutOff reports whether another node says that it reaches no target.
func (r *reach) othersCutOff() bool {
	return slices.ContainsFunc(r.node.members.Live(), (*tlv1.Member).GetCutOff)
}

// respondedAt returns when a target of any service last responded.
func (r *reach) respondedAt() (at clock.Millis) {
	for _, svc := range r.node.services.all() {
		at = max(at, svc.pool.RespondedAt())
	}
	return at
}

// someTargets returns the addresses of a few targets, of any services.
func (r *reach) someTargets() (addresses []string) {
	known := r.node.services.knownTargets()
	for _, i := range rand.Perm(len(known)) {
		if t := known[i]; !t.leaving && len(addresses) < checkedTargets {
			addresses = append(addresses, t.address)
		}
	}
	return addresses
}
