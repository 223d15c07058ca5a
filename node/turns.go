package node

import (
	"slices"
	"sync"

	"github.com/tinladder/tinladder/assign"
	"github.com/tinladder/tinladder/ident"
	tlv1 "github.com/tinladder/tinladder/schema/tinladder/v1"
)

// trialRanks are this node's places among those that try targets when too little is known of them, from 0: the nodes of a
// target's hall that carry its service, in an order that is each target's own, so that its trials are not made twice.
// A place is worked out once for as long as the carriers stay the same.
type trialRanks struct {
	self ident.Node

	mu       sync.Mutex
	carriers *carriers
	// sameHall and anyHall are the carriers of each service, and places those of targets among them.
	sameHall, anyHall map[string]*trialCandidates
}

// A trialCandidates is who tries the targets of one service.
type trialCandidates struct {
	members    []*tlv1.Member
	candidates []assign.Candidate
	ranks      map[ident.Target]int
}

func newTrialRanks(self ident.Node) *trialRanks {
	return &trialRanks{self: self, sameHall: map[string]*trialCandidates{}, anyHall: map[string]*trialCandidates{}}
}

// update looks at the carriers anew.
func (t *trialRanks) update(c *carriers) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.carriers = c
	for service, f := range t.sameHall {
		f.update(c.inOwnHall(service))
	}
	for service, f := range t.anyHall {
		f.update(c.all(service))
	}
}

// rank returns this node's place for the target, among the carriers rank this hall or rank all; -1 if it does not try it.
func (t *trialRanks) rank(x target, near bool) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	fields, members := t.anyHall, t.carriers.all
	if near {
		fields, members = t.sameHall, t.carriers.inOwnHall
	}
	f := fields[x.service]
	if f == nil {
		f = &trialCandidates{}
		f.update(members(x.service))
		fields[x.service] = f
	}
	place, found := f.ranks[x.id]
	if !found {
		place = assign.Position(string(x.id), f.candidates, t.self)
		f.ranks[x.id] = place
	}
	return place
}

// update forgets the places if the carriers are others now.
func (f *trialCandidates) update(members []*tlv1.Member) {
	same := func(a, b *tlv1.Member) bool { return a.GetNode() == b.GetNode() }
	if f.ranks != nil && slices.EqualFunc(f.members, members, same) {
		return
	}
	f.members, f.ranks, f.candidates = members, map[ident.Target]int{}, f.candidates[:0]
	for _, m := range members {
		f.candidates = append(f.candidates, assign.Candidate{Node: ident.Node(m.GetNode()), Weight: equalWeight})
	}
}
