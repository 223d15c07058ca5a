package member_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"
	"github.com/tinladder/tinladder/clock"
	"github.com/tinladder/tinladder/ident"
	"github.com/tinladder/tinladder/member"
	tlv1 "github.com/tinladder/tinladder/schema/tinladder/v1"
	"google.golang.org/protobuf/proto"
)

const (
	contactsStep     clock.Millis = 500
	contactsInterval              = 15 * clock.Second
	searchInterval                = 5 * clock.Second
)

// contactsFleet is a fleet in virtual time whose nodes keep contacts in a store.
type contactsFleet struct {
	clock *clock.Manual
	nodes []*contactsNode
	// row is the list as it stands in the store, nil while there is none; away is set while the store is away.
	row  *tlv1.Gossip
	away bool
	// cut is set while groups do not reach each other.
	cut           bool
	reads, writes int
}

type contactsNode struct {
	record   *tlv1.Member
	contacts *member.Contacts
	group    int
	readAt   clock.Millis
	ended    bool
}

func (f *contactsFleet) add(count, group int) (added []*contactsNode) {
	for range count {
		name := fmt.Sprintf("n%03d", len(f.nodes))
		m := &tlv1.Member{Node: name, Incarnation: uint64(f.clock.Now()), GossipAddress: "at-" + name}
		n := &contactsNode{record: m, contacts: member.NewContacts(m, f.clock), group: group, readAt: f.clock.Now() - contactsInterval}
		f.nodes = append(f.nodes, n)
		added = append(added, n)
	}
	return added
}

// live returns the other nodes of the node's group.
func (f *contactsFleet) live(n *contactsNode) (list []*tlv1.Member) {
	for _, o := range f.nodes {
		if o != n && !o.ended && o.group == n.group {
			list = append(list, o.record)
		}
	}
	return list
}

// reachesMost reports whether the node has read a list most of whose nodes it is in contact with.
func (f *contactsFleet) reachesMost(n *contactsNode) bool {
	named, reached, known := n.contacts.Reached(f.live(n))
	return known && float64(reached) >= 0.6*float64(named)
}

// run lets time pass. The first node of each group is its keeper; added nodes read the list until they reach most of it.
func (f *contactsFleet) run(d clock.Millis, added ...*contactsNode) {
	for end := f.clock.Now() + d; f.clock.Now() < end; f.clock.Advance(contactsStep) {
		seen := map[int]bool{}
		for _, n := range f.nodes {
			keeper := !n.ended && !seen[n.group]
			seen[n.group] = seen[n.group] || keeper
			interval := contactsInterval
			if slices.Contains(added, n) && !f.reachesMost(n) {
				interval = searchInterval
			} else if !keeper {
				continue
			}
			if !n.ended && f.clock.Now()-n.readAt >= interval && !f.away {
				n.readAt = f.clock.Now()
				f.update(n, keeper)
			}
		}
	}
}

func (f *contactsFleet) update(n *contactsNode, keeper bool) {
	f.reads++
	n.contacts.Observe(f.row)
	for _, address := range n.contacts.Addresses() {
		for _, o := range f.nodes {
			if !f.cut && !o.ended && o.record.GetGossipAddress() == address && o.group != n.group {
				f.merge(o.group, n.group)
			}
		}
	}
	if !keeper {
		return
	}
	if next, changed := n.contacts.Next(f.live(n), func(ident.Node) bool { return false }); changed {
		f.writes++
		f.row = proto.CloneOf(next)
		n.contacts.Wrote(next)
	}
}

func (f *contactsFleet) merge(from, to int) {
	for _, n := range f.nodes {
		if n.group == from {
			n.group = to
		}
	}
}

func (f *contactsFleet) groups() int {
	seen := map[int]bool{}
	for _, n := range f.nodes {
		if !n.ended {
			seen[n.group] = true
		}
	}
	return len(seen)
}

// TestGroupsMeetByContacts starts groups that do not know of each other, in fleets of all sizes: each took itself for the
// whole fleet. The number of calls to the store must not grow with the fleet.
func TestGroupsMeetByContacts(t *testing.T) {
	for _, size := range []int{6, 300, 986} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			for _, c := range []struct {
				name string
				play func(f *contactsFleet, added *contactsNode)
			}{
				{"a node with stale seeds", func(*contactsFleet, *contactsNode) {}},
				{"the store is away at the start", func(f *contactsFleet, added *contactsNode) {
					f.away = true
					f.run(clock.Minute, added)
					f.away = false
				}},
				{"a copy of the store that is older than the list", func(f *contactsFleet, _ *contactsNode) { f.row = nil }},
				{"a list of nodes that are gone", func(f *contactsFleet, _ *contactsNode) {
					f.row = &tlv1.Gossip{}
					for i := range 20 {
						name := fmt.Sprint("gone", i)
						f.row.Members = append(f.row.Members, &tlv1.Member{Node: name, GossipAddress: "at-" + name, Rumor: uint64(i)})
					}
				}},
				{"halves", func(f *contactsFleet, _ *contactsNode) {
					for i, n := range f.nodes[:len(f.nodes)-1] {
						n.group = i % 2
					}
				}},
			} {
				t.Run(c.name, func(t *testing.T) {
					is := is.New(t)
					f := &contactsFleet{clock: clock.NewManual(1_000_000)}
					f.add(size, 0)
					f.run(20 * clock.Second)
					is.True(f.reads <= 5)
					added := f.add(1, 2)[0]
					c.play(f, added)
					f.reads, f.writes = 0, 0
					f.run(2*contactsInterval, added)
					is.Equal(f.groups(), 1)
					f.run(2*clock.Minute, added)
					is.True(f.reachesMost(added))
					is.True(f.reads <= 32)
					is.True(f.writes <= 10)
				})
			}
		})
	}
}

// TestNodeThatReachesNoContactWaits has a node that is cut off from the others read their contacts: they live, as their
// entries change, so it must not take itself for the whole fleet. Once they have ended it may.
func TestNodeThatReachesNoContactWaits(t *testing.T) {
	is := is.New(t)
	f := &contactsFleet{clock: clock.NewManual(1_000_000)}
	f.add(6, 0)
	f.run(10 * clock.Second)
	f.cut = true
	added := f.add(1, 1)[0]
	f.run(5*clock.Minute, added)
	is.Equal(f.reachesMost(added), false)
	f.writes = 0
	f.run(clock.Minute, added)
	is.True(f.writes <= 10) // the groups do not overwrite each other all the time
	for _, n := range f.nodes[:6] {
		n.ended = true
	}
	f.run(30*clock.Second, added)
	is.Equal(f.reachesMost(added), false)
	f.run(90*clock.Second, added)
	is.True(f.reachesMost(added))
}

// TestContactsAreBounded has more groups than the list has room for; a list that another writer filled is bounded too.
func TestContactsAreBounded(t *testing.T) {
	is := is.New(t)
	f := &contactsFleet{clock: clock.NewManual(1_000_000), cut: true}
	for i := range 40 {
		f.add(3, i)
	}
	f.run(2 * clock.Minute)
	is.True(len(f.row.GetMembers()) <= 24)
	many := &tlv1.Gossip{}
	for i := range 100_000 {
		many.Members = append(many.Members, &tlv1.Member{Node: fmt.Sprint(i), GossipAddress: fmt.Sprint("at-", i)})
	}
	n := f.nodes[0]
	n.contacts.Observe(many)
	is.True(len(n.contacts.Addresses()) <= 24)
}
