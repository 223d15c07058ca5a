package pool

import (
	"maps"

	"github.com/cockroachdb/errors"
	"github.com/tinladder/tinladder/clock"
	"github.com/tinladder/tinladder/ident"
)

// ErrCutOff means that this node connects to no target, and another one may. It is an ErrNoTarget.
var ErrCutOff = errors.Wrap(ErrNoTarget, "this node reaches no target")

// The load pattern: a node loses its network paths to all targets, while callers and the other nodes reach it. Requests
// on open connections hang, new connections fail one by one. The targets look down from here, and are not: another node
// could serve what comes to this one.

const (
	// cutOffTargets is how many targets must accept no connection, one after the other without a response, for this node
	// to count as cut off; all of them if the service has fewer. None may have responded for cutOffSilence: a node that
	// reaches some of many targets has responses in between.
	cutOffTargets              = 3
	cutOffSilence clock.Millis = 500
	// cutOffWindow is how long a failed connection counts.
	cutOffWindow = 5 * clock.Second
)

// reach is whether this node reaches the service's targets.
type reach struct {
	// failing are the targets that accepted no connection from this node since any of them last responded to it, and when
	// that first was.
	failing map[ident.Target]clock.Millis
	// respondedAt is when a target last responded.
	respondedAt clock.Millis
	// cutOff is set until connections to some targets have succeeded again.
	cutOff bool
	// reportPending says that nodes of other halls have not been told of a change of cutOff.
	reportPending bool
	// peers are the other nodes that report that they are cut off.
	peers map[ident.Process]bool
}

func newReach() reach {
	return reach{failing: map[ident.Target]clock.Millis{}, peers: map[ident.Process]bool{}}
}

// set changes whether the node is cut off.
func (r *reach) set(cutOff bool) {
	r.cutOff, r.reportPending = cutOff, true
	clear(r.failing)
}

// applyReport applies what another node says of itself.
func (r *reach) applyReport(from ident.Process, cutOff bool) {
	if cutOff {
		r.peers[from] = true
	} else {
		delete(r.peers, from)
	}
}

// addFailure counts a target that accepted no connection.
func (r *reach) addFailure(id ident.Target, now clock.Millis) {
	if _, found := r.failing[id]; !found {
		r.failing[id] = now
	}
}

// addResponse counts a target's response. It does not end that the node is cut off: connections that are open may work
// on while all new ones fail.
func (r *reach) addResponse(now clock.Millis) {
	r.respondedAt = now
	if !r.cutOff {
		clear(r.failing)
	}
}

// updateReach determines whether this node is cut off from the targets, and reports whether it is since now.
func (p *Pool) updateReach(now clock.Millis) (changed bool) {
	if p.reach.cutOff || len(p.reach.failing) == 0 {
		return false
	}
	candidates, responding := 0, false
	for _, t := range p.order {
		if !t.mayWork() {
			continue
		}
		candidates++
		at, failing := p.reach.failing[t.ID]
		responding = responding || failing && t.respondedToPeers(at)
	}
	for id, at := range p.reach.failing {
		if t := p.targets[id]; t == nil || !t.mayWork() || now-at > cutOffWindow {
			delete(p.reach.failing, id)
		}
	}
	if !responding || len(p.reach.failing) < min(cutOffTargets, candidates) || now-p.reach.respondedAt < cutOffSilence {
		return false
	}
	p.reach.set(true)
	p.addEvent(Event{Kind: TargetsCutOff})
	return true
}

// suspectsCutOff reports whether this node reaches no target, as far as it has tried: it may not know that others do, since
// nodes that have few requests for a service hear little of its targets.
func (p *Pool) suspectsCutOff(now clock.Millis) bool {
	candidates, failing := 0, 0
	for _, t := range p.order {
		if !t.mayWork() {
			continue
		}
		candidates++
		if at, found := p.reach.failing[t.ID]; found && now-at <= cutOffWindow {
			failing++
		}
	}
	return failing > 0 && failing >= min(cutOffTargets, candidates) && now-p.reach.respondedAt >= cutOffSilence
}

// SuspectsCutOff reports whether a request that this node could not connect to a target for may have better chances at
// another node: this one is cut off, or reaches no target as far as it has tried.
func (p *Pool) SuspectsCutOff() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.reach.cutOff || p.suspectsCutOff(p.clock.Now())
}

// RespondedAt returns when a target last responded to this node; 0 if none did.
func (p *Pool) RespondedAt() clock.Millis {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.reach.respondedAt
}

// CutOff reports whether this node reaches no target of the service, though others do.
func (p *Pool) CutOff() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.reach.cutOff
}

// ReachProbes returns the addresses of some targets to connect to while this node is cut off: of those that respond to other
// nodes, if there are any.
func (p *Pool) ReachProbes() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	var responding, others []string
	for _, i := range p.rand.Perm(len(p.order)) {
		switch t := p.order[i]; {
		case !t.mayWork():
		case t.respondedToPeers(now - p.tuning.PeerTTL):
			responding = append(responding, t.Address)
		default:
			others = append(others, t.Address)
		}
	}
	if len(responding) > 0 {
		others = responding
	}
	return others[:min(len(others), cutOffTargets)]
}

// RecordReachProbes records that connections to most addresses of ReachProbes succeeded: the node is not cut off any more.
func (p *Pool) RecordReachProbes() {
	p.mu.Lock()
	p.reach.set(false)
	for _, t := range p.order {
		if t.connectFailures > 0 {
			t.connectFailures, t.blockedUntil = 0, 0
			t.markLoadChanged()
			t.farReportPending = true
		}
	}
	p.addEvent(Event{Kind: TargetsReached})
	events := p.takeEvents()
	p.mu.Unlock()
	p.emit(events)
	p.onChange(HealthEvidence, "")
}

// CutOffPeers returns the other nodes that report that they reach no target, or report targets as unreachable and had no
// response from any since.
func (p *Pool) CutOffPeers() map[ident.Process]bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	unreaching, reaching := map[ident.Process]bool{}, map[ident.Process]bool{}
	for _, t := range p.order {
		for from, s := range t.peers {
			switch {
			case now-s.at > p.tuning.PeerTTL:
			case s.unreachable && s.okAt < s.unreachableSince:
				unreaching[from] = true
			case now-s.okAt < p.tuning.PeerTTL:
				reaching[from] = true
			}
		}
	}
	for from := range reaching {
		delete(unreaching, from)
	}
	maps.Copy(unreaching, p.reach.peers)
	return unreaching
}

// reachableByPeers reports whether a target may take the request that accepts no connection from this node, and has
// responded to another one since.
func (p *Pool) reachableByPeers(a *Request, now clock.Millis) bool {
	for _, t := range p.order {
		if now < t.blockedUntil && p.mayTake(t, a) && t.respondedToPeers(t.unreachableAt) {
			return true
		}
	}
	return false
}

// Addresses returns the addresses of all targets.
func (p *Pool) Addresses() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	addresses := make([]string, 0, len(p.order))
	for _, t := range p.order {
		addresses = append(addresses, t.Address)
	}
	return addresses
}
