package member

import (
	"maps"
	"slices"

	tlv1 "github.com/tinladder/tinladder/schema/tinladder/v1"
)

// An index follows the entries as they change: news comes many times a second, and a large fleet has a thousand of them.
type index struct {
	// live are the names of the live nodes, in order, and members what is known of each.
	live    []string
	members []*tlv1.Member
	// shared says that members was handed out, and is copied before it changes.
	shared bool
	// owners are the live nodes by where they hear gossip.
	owners map[string]owner
	// unclaimed are the addresses of seeds and of gone nodes that no live node has; nil if not worked out since a change.
	unclaimed []string
}

// A owner is who hears gossip at an address.
type owner struct {
	node, hall string
}

// update takes in what is known of a node now, in place of what was; nil stands for nothing.
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

// updateOwner follows where the node hears gossip.
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

// unclaimedAddresses returns the addresses of seeds and of gone nodes that no live node has.
func (t *Table) unclaimedAddresses() []string {
	x := &t.index
	if x.unclaimed != nil {
		return x.unclaimed
	}
	list := slices.Clone(t.seeds)
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

// randomLive returns up to n live nodes by chance.
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

// minSampleRatio is how many times as many names there must be for a sample to be drawn one by one.
const minSampleRatio = 4

// sample draws n of many more names.
func (t *Table) sample(names []string, n int, exclude string) (chosen []string) {
	for len(chosen) < n {
		name := names[t.rand.IntN(len(names))]
		if name != exclude && !slices.Contains(chosen, name) {
			chosen = append(chosen, name)
		}
	}
	return chosen
}
