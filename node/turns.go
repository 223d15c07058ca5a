package node

import (
	"slices"
	"sync"

	"github.com/tinladder/tinladder/assign"
	"github.com/tinladder/tinladder/ident"
	tlv1 "github.com/tinladder/tinladder/schema/tinladder/v1"
)

// turns are this node's places among those that try targets when too little is known of them, from 0: the nodes of a
// target's hall that carry its service, in an order that is each target's own, so that its trials are not made twice.
// A place is worked out once for as long as the carriers stay the same.
type turns struct {
	self ident.Node

	mu       sync.Mutex
	carriers *carriers
	// near and all are the carriers of each service, and places those of targets among them.
	near, all map[string]*field
}

// A field is who tries the targets of one service.
type field struct {
	members    []*tlv1.Member
	candidates []assign.Candidate
	places     map[ident.Target]int
}

func newTurns(self ident.Node) *turns {
	return &turns{self: self, near: map[string]*field{}, all: map[string]*field{}}
}

// begin looks at the carriers anew.
func (t *turns) begin(c *carriers) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.carriers = c
	for service, f := range t.near {
		f.follow(c.near(service))
	}
	for service, f := range t.all {
		f.follow(c.all(service))
	}
}

// of returns this node's place for the target, among the carriers of this hall or of all; -1 if it does not try it.
func (t *turns) of(x target, near bool) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	fields, members := t.all, t.carriers.all
	if near {
		fields, members = t.near, t.carriers.near
	}
	f := fields[x.service]
	if f == nil {
		f = &field{}
		f.follow(members(x.service))
		fields[x.service] = f
	}
	place, found := f.places[x.id]
	if !found {
		place = assign.Position(string(x.id), f.candidates, t.self)
		f.places[x.id] = place
	}
	return place
}

// follow forgets the places if the carriers are others now.
func (f *field) follow(members []*tlv1.Member) {
	same := func(a, b *tlv1.Member) bool { return a.GetNode() == b.GetNode() }
	if f.places != nil && slices.EqualFunc(f.members, members, same) {
		return
	}
	f.members, f.places, f.candidates = members, map[ident.Target]int{}, f.candidates[:0]
	for _, m := range members {
		f.candidates = append(f.candidates, assign.Candidate{Node: ident.Node(m.GetNode()), Weight: evenWeight})
	}
}
