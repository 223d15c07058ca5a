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
	// homes are the live nodes by where they hear gossip.
	homes map[string]home
	// strangers are the addresses of seeds and of gone nodes that no live node has; nil if not worked out since a change.
	strangers []string
}

// A home is who hears gossip at an address.
type home struct {
	node, hall string
}

// update takes in what is known of a node now, in place of what was; nil stands for nothing.
func (x *index) update(node string, was, is *tlv1.Member) {
	if x.shared {
		x.members, x.shared = slices.Clone(x.members), false
	}
	i, found := slices.BinarySearch(x.live, node)
	lives := is != nil && live(is)
	switch {
	case lives && found:
		x.members[i] = is
	case lives:
		x.live, x.members = slices.Insert(x.live, i, node), slices.Insert(x.members, i, is)
	case found:
		x.live, x.members = slices.Delete(x.live, i, i+1), slices.Delete(x.members, i, i+1)
	}
	x.move(node, was, is, lives)
}

// move follows where the node hears gossip.
func (x *index) move(node string, was, is *tlv1.Member, lives bool) {
	if x.homes == nil {
		x.homes = map[string]home{}
	}
	if lives && was != nil && live(was) && was.GetGossipAddress() == is.GetGossipAddress() && was.GetHall() == is.GetHall() {
		return
	}
	x.strangers = nil
	if was != nil && x.homes[was.GetGossipAddress()].node == node {
		delete(x.homes, was.GetGossipAddress())
	}
	if lives {
		x.homes[is.GetGossipAddress()] = home{node: node, hall: is.GetHall()}
	}
}

// strangers returns the addresses of seeds and of gone nodes that no live node has.
func (t *Table) strangers() []string {
	x := &t.index
	if x.strangers != nil {
		return x.strangers
	}
	list := slices.Clone(t.seeds)
	for _, name := range slices.Sorted(maps.Keys(t.unwell)) {
		if m := t.entries[name].member; !live(m) {
			list = append(list, m.GetGossipAddress())
		}
	}
	slices.Sort(list)
	x.strangers = slices.DeleteFunc(slices.Compact(list), func(a string) bool {
		_, known := x.homes[a]
		return known || a == t.self.GetGossipAddress()
	})
	if x.strangers == nil {
		x.strangers = []string{}
	}
	return x.strangers
}

// someLive returns up to n live nodes by chance.
func (t *Table) someLive(n int, not string) []string {
	names := t.index.live
	n = min(n, len(names))
	if len(names) > sparseSample*n {
		return t.sample(names, n, not)
	}
	var chosen []string
	for _, i := range t.rand.Perm(len(names)) {
		if len(chosen) == n {
			break
		}
		if names[i] != not {
			chosen = append(chosen, names[i])
		}
	}
	return chosen
}

// sparseSample is how many times as many names there must be for a sample to be drawn one by one.
const sparseSample = 4

// sample draws n of many more names.
func (t *Table) sample(names []string, n int, not string) (chosen []string) {
	for len(chosen) < n {
		name := names[t.rand.IntN(len(names))]
		if name != not && !slices.Contains(chosen, name) {
			chosen = append(chosen, name)
		}
	}
	return chosen
}
