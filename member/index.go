package member

import (
	"maps"
	"slices"

	tlv1 "github.com/tinladder/tinladder/schema/tinladder/v1"
)

// An index is worked out from the entries when they have changed.
type index struct {
	version uint64
	made    bool
	live    []string
	// members are the live nodes by name, which are asked for many times a tick; nil if any word of them has come since.
	members []*tlv1.Member
	// halls are those of the live nodes, by where they hear gossip.
	halls map[string]string
	// strangers are the addresses of seeds and of gone nodes that no live node has.
	strangers []string
}

// indexed returns the index of the entries as they are now.
func (t *Table) indexed() *index {
	if t.index.made && t.index.version == t.version {
		return &t.index
	}
	t.index = index{version: t.version, made: true, halls: map[string]string{}}
	known := map[string]bool{t.self.GetGossipAddress(): true}
	var gone []string
	for _, name := range slices.Sorted(maps.Keys(t.entries)) {
		m := t.entries[name].member
		if live(m) {
			t.index.live = append(t.index.live, name)
			known[m.GetGossipAddress()] = true
			t.index.halls[m.GetGossipAddress()] = m.GetHall()
		} else {
			gone = append(gone, m.GetGossipAddress())
		}
	}
	strangers := slices.Concat(t.seeds, gone)
	slices.Sort(strangers)
	t.index.strangers = slices.DeleteFunc(slices.Compact(strangers), func(a string) bool { return known[a] })
	return &t.index
}

// someLive returns up to n live nodes by chance.
func (t *Table) someLive(n int, not string) []string {
	names := t.indexed().live
	n = min(n, len(names))
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
