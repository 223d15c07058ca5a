package node

import (
	"slices"

	"github.com/tinladder/tinladder/ident"
	tlv1 "github.com/tinladder/tinladder/schema/tinladder/v1"
)

// senderRank returns this node's rank, from 0, among the nodes that send to a target that limits its requests, and how many
// these are: the carriers of its service in its hall, followed by those of the other halls. The rank is -1 if the node is not
// among them.
func (t *trialRanks) senderRank(x target) (rank, count int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	inHall := t.carriers.inHall(t.carriers.groupOf(x.service), x.hall)
	all := t.carriers.all(x.service)
	count = len(all)
	if rank = t.rankAmong(senderKey{x.service, x.hall, true}, x.id, inHall); rank >= 0 {
		return rank, count
	}
	others := slices.DeleteFunc(slices.Clone(all), func(m *tlv1.Member) bool { return hallOf(m) == x.hall })
	if rank = t.rankAmong(senderKey{x.service, x.hall, false}, x.id, others); rank >= 0 {
		rank += len(inHall)
	}
	return rank, count
}

// A senderKey names the carriers of a service in a hall, or all others.
type senderKey struct {
	service string
	hall    ident.Hall
	inHall  bool
}

func (t *trialRanks) rankAmong(k senderKey, id ident.Target, members []*tlv1.Member) int {
	f := t.senders[k]
	if f == nil {
		f = &trialCandidates{}
		t.senders[k] = f
	}
	f.update(members)
	return f.rank(id, t.self)
}

// limitedTargets returns the targets of the services that limit their requests; nil stands for all services.
func (s *services) limitedTargets(only map[string]bool) map[ident.Target]bool {
	limited := map[ident.Target]bool{}
	for _, svc := range s.all() {
		if only == nil || only[svc.name] {
			for id := range svc.pool.LimitedTargets() {
				limited[id] = true
			}
		}
	}
	return limited
}

// assignSenders has the next refresh compute this node's ranks for the service's targets that limit their requests.
func (s *services) assignSenders(svc *service) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.newlyLimited[svc.name] = true
	s.stale = true
}
