package node

import (
	"slices"
	"time"

	"github.com/tinladder/tinladder/ident"
	"github.com/tinladder/tinladder/quarantine"
	tlv1 "github.com/tinladder/tinladder/schema/tinladder/v1"
)

// collectors returns the nodes that collect the crash reports of the request, this one possibly among them.
func (s *suspects) collectors(p quarantine.Fingerprint) []*tlv1.Member {
	byNode := map[ident.Node]*tlv1.Member{}
	var names []ident.Node
	for _, m := range append(slices.Clone(s.node.members.Live()), s.node.members.Self()) {
		if m.GetLeaving() {
			continue
		}
		name := ident.Node(m.GetNode())
		byNode[name] = m
		names = append(names, name)
	}
	var list []*tlv1.Member
	for _, name := range quarantine.Collectors(p, names) {
		list = append(list, byNode[name])
	}
	return list
}

// withCollectors returns the members and the collectors of the reported requests.
func (s *suspects) withCollectors(members []*tlv1.Member, prints []quarantine.Fingerprint) []*tlv1.Member {
	list := slices.Clone(members)
	for _, p := range prints {
		for _, m := range s.collectors(p) {
			if !slices.ContainsFunc(list, func(x *tlv1.Member) bool { return x.GetNode() == m.GetNode() }) {
				list = append(list, m)
			}
		}
	}
	return list
}

// announceSum has all nodes told of crashes that several nodes reported, if this node collects the reports of the request.
func (s *suspects) announceSum(p quarantine.Fingerprint) {
	rank := slices.IndexFunc(s.collectors(p), func(m *tlv1.Member) bool { return processOf(m) == s.node.self })
	switch {
	case rank < 0:
	case rank == 0:
		s.announce(p)
	default:
		time.AfterFunc(quarantine.AnnounceDelay(rank).Duration(), func() { s.announce(p) })
	}
}

// announce tells all nodes what is known of the request, and has it written to the store, unless that was done.
func (s *suspects) announce(p quarantine.Fingerprint) {
	c, found := s.list.Unannounced(p)
	if !found {
		return
	}
	s.list.MarkAnnounced(p, len(c.Crashes))
	s.markDirty(p)
	s.send(&tlv1.Suspects{Suspects: []*tlv1.Suspect{quarantine.ToWire(c, s.node.clock.Now())}}, s.node.members.Live())
}
