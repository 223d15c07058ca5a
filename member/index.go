package member

import (
	"maps"
	"slices"

	tlv1 "github.com/tinladder/tinladder/schema/tinladder/v1"
)

// An index holds views of the entries that are updated incrementally: updates arrive many times a second, and a
// large fleet has a thousand entries.
type index struct {
	// live holds the names of the live nodes in order, and members their records.
	live    []string
	members []*tlv1.Member
	// shared is set once members was handed out: it is then copied before the next change.
	shared bool
	// owners maps gossip addresses to the live nodes that use them.
	owners map[string]owner
	// unclaimed holds the addresses of seeds and gone nodes that no live node uses. It is nil until computed after
	// a change.
	unclaimed []string
}

// An owner is the live node that uses a gossip address.
type owner struct {
	node, hall string
}

// update replaces the old record of a node by cur; nil stands for no record.
func (x *index) update(node string, old, cur *tlv1.Member) {
	if x.shared {
		x.members, x.shared = slices.Clone(x.members), false
	}
	i, found := slices.BinarySearch(x.live, node)
	nowLive := cur != nil && live(cur)
	switch {
	case nowLive && found:
		x.members[i] = cur
	case nowLive:
		x.live, x.members = slices.Insert(x.live, i, node), slices.Insert(x.members, i, cur)
	case found:
		x.live, x.members = slices.Delete(x.live, i, i+1), slices.Delete(x.members, i, i+1)
	}
	x.updateOwner(node, old, cur, nowLive)
}

// updateOwner records the gossip address that the node uses.
func (x *index) updateOwner(node string, old, cur *tlv1.Member, nowLive bool) {
	if x.owners == nil {
		x.owners = map[string]owner{}
	}
	if nowLive && old != nil && live(old) && old.GetGossipAddress() == cur.GetGossipAddress() && old.GetHall() == cur.GetHall() {
		return
	}
	x.unclaimed = nil
	if old != nil && x.owners[old.GetGossipAddress()].node == node {
		delete(x.owners, old.GetGossipAddress())
	}
	if nowLive {
		x.owners[cur.GetGossipAddress()] = owner{node: node, hall: cur.GetHall()}
	}
}

// unclaimedAddresses returns the addresses of seeds, contacts and gone nodes that no live node uses.
func (t *Table) unclaimedAddresses() []string {
	x := &t.index
	if x.unclaimed != nil {
		return x.unclaimed
	}
	list := slices.Concat(t.seeds, t.contacts)
	for _, name := range slices.Sorted(maps.Keys(t.notAlive)) {
		if m := t.entries[name].member; !live(m) {
			list = append(list, m.GetGossipAddress())
		}
	}
	slices.Sort(list)
	x.unclaimed = slices.DeleteFunc(slices.Compact(list), func(a string) bool {
		_, known := x.owners[a]
		return known || a == t.self.GetGossipAddress()
	})
	if x.unclaimed == nil {
		x.unclaimed = []string{}
	}
	return x.unclaimed
}

// randomLive returns up to n random live nodes other than exclude.
func (t *Table) randomLive(n int, exclude string) []string {
	names := t.index.live
	n = min(n, len(names))
	if len(names) > minSampleRatio*n {
		return t.sample(names, n, exclude)
	}
	var chosen []string
	for _, i := range t.rand.Perm(len(names)) {
		if len(chosen) == n {
			break
		}
		if names[i] != exclude {
			chosen = append(chosen, names[i])
		}
	}
	return chosen
}

// minSampleRatio is the least ratio of names to the sample size at which names are drawn one by one.
const minSampleRatio = 4

// sample draws n distinct names, where n is much smaller than the number of names.
func (t *Table) sample(names []string, n int, exclude string) (chosen []string) {
	for len(chosen) < n {
		name := names[t.rand.IntN(len(names))]
		if name != exclude && !slices.Contains(chosen, name) {
			chosen = append(chosen, name)
		}
	}
	return chosen
}
