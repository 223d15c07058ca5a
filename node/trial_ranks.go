package node

import (
	"slices"
	"sync"

	"github.com/tinladder/tinladder/assign"
	"github.com/tinladder/tinladder/ident"
	tlv1 "github.com/tinladder/tinladder/schema/tinladder/v1"
)

// trialRanks caches this node's rank, from 0, among the nodes that send trial requests to a target of which too little is
// known. These are the carriers of its service in the target's hall, in an order specific to the target, so that a trial is
// not made twice. Ranks are computed once for each set of carriers.
type trialRanks struct {
	self ident.Node

	mu       sync.Mutex
	carriers *carriers
	// sameHall and anyHall hold the candidates of each service: the carriers of this hall, and those of all halls.
	sameHall, anyHall map[string]*trialCandidates
	// senders holds the nodes that send to targets that limit their requests.
	senders map[senderKey]*trialCandidates
}

// trialCandidates are the nodes that may try the targets of one service, and this node's rank by target.
type trialCandidates struct {
	members    []*tlv1.Member
	candidates []assign.Candidate
	ranks      map[ident.Target]int
}

func newTrialRanks(self ident.Node) *trialRanks {
	return &trialRanks{self: self, sameHall: map[string]*trialCandidates{}, anyHall: map[string]*trialCandidates{}, senders: map[senderKey]*trialCandidates{}}
}

// update follows the current carriers.
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

// rank returns this node's rank for the target, among the carriers of this hall if near is set or of all halls; -1 if it does
// not try it.
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
	return f.rank(x.id, t.self)
}

// rank returns the node's rank for the target; -1 if it is not a candidate.
func (f *trialCandidates) rank(id ident.Target, n ident.Node) int {
	place, found := f.ranks[id]
	if !found {
		place = assign.Position(string(id), f.candidates, n)
		f.ranks[id] = place
	}
	return place
}

// update discards the ranks if the carriers have changed.
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
