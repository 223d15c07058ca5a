package member

import (
	"maps"
	"slices"
	"sync"

	"github.com/tinladder/tinladder/clock"
	"github.com/tinladder/tinladder/ident"
	tlv1 "github.com/tinladder/tinladder/schema/tinladder/v1"
)

const (
	// contactsPerGroup is how many nodes of a group the list names.
	contactsPerGroup = 3
	// maxContacts bounds the list.
	maxContacts = 24
	// contactTTL is how long a contact of another group may stay unconfirmed. Its keeper confirms it at the first read that is
	// contactConfirmInterval after the last time.
	contactTTL             = 1 * clock.Minute
	contactConfirmInterval = 20 * clock.Second
)

// Contacts is one node's view of a short list of nodes that is kept in the store. Nodes whose seeds are all gone, and groups
// of nodes that do not know of each other, find the others by it. Of each group one node, its keeper, reads the list and
// writes it, so that the cost does not grow with the number of nodes. It is safe for concurrent use.
type Contacts struct {
	clock clock.Clock
	self  *tlv1.Member

	mu sync.Mutex
	// known is set once a list that names any node was read or written.
	known bool
	list  map[string]contact
	// rumor is the highest number with which this node confirmed contacts, and confirmedAt when it did so last.
	rumor       uint64
	confirmedAt clock.Millis
}

// A contact is a node on the list, and when this node last saw its entry change.
type contact struct {
	entry     *tlv1.Member
	changedAt clock.Millis
}

// NewContacts returns an empty list for the node.
func NewContacts(self *tlv1.Member, c clock.Clock) *Contacts {
	return &Contacts{clock: c, self: contactEntry(self, 0), list: map[string]contact{}}
}

// contactEntry returns the list's entry of a node.
func contactEntry(m *tlv1.Member, rumor uint64) *tlv1.Member {
	return &tlv1.Member{Node: m.GetNode(), Incarnation: m.GetIncarnation(), GossipAddress: m.GetGossipAddress(), Rumor: rumor}
}

// Observe records the list as it stands in the store.
func (c *Contacts) Observe(list *tlv1.Gossip) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	was := c.list
	c.list = map[string]contact{}
	for _, m := range list.GetMembers()[:min(len(list.GetMembers()), maxContacts)] {
		if m.GetNode() == "" || m.GetGossipAddress() == "" {
			continue
		}
		x := contact{entry: m, changedAt: now}
		if old, found := was[m.GetNode()]; found && sameEntry(old.entry, m) {
			x.changedAt = old.changedAt
		}
		c.list[m.GetNode()] = x
	}
	c.known = len(c.list) > 0
}

func sameEntry(a, b *tlv1.Member) bool {
	return a.GetIncarnation() == b.GetIncarnation() && a.GetRumor() == b.GetRumor() && a.GetGossipAddress() == b.GetGossipAddress()
}

// Addresses returns the gossip addresses of the nodes on the list.
func (c *Contacts) Addresses() (list []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, name := range slices.Sorted(maps.Keys(c.list)) {
		list = append(list, c.list[name].entry.GetGossipAddress())
	}
	return list
}

// Reached returns how many nodes the list names, and how many of these are live members or this node. It returns false if the
// list is not known.
func (c *Contacts) Reached(live []*tlv1.Member) (named, reached int, known bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	group := c.group(live)
	for name := range c.list {
		if group[name] != nil {
			reached++
		}
	}
	return len(c.list), reached, c.known
}

// group returns the nodes that this one is in contact with, and itself.
func (c *Contacts) group(live []*tlv1.Member) map[string]*tlv1.Member {
	group := map[string]*tlv1.Member{c.self.GetNode(): c.self}
	for _, m := range live {
		group[m.GetNode()] = m
	}
	return group
}

// Next returns the list that the keeper of a group should write, given the members that it knows, and false if the list in
// the store is good. left reports whether a node has said itself that it ends.
func (c *Contacts) Next(live []*tlv1.Member, left func(ident.Node) bool) (next *tlv1.Gossip, changed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	group := c.group(live)
	var own []string
	var others []contact
	behind := false
	for _, name := range slices.Sorted(maps.Keys(c.list)) {
		x := c.list[name]
		switch {
		case group[name] != nil && !group[name].GetLeaving():
			own = append(own, name)
			behind = behind || x.entry.GetRumor() < c.rumor || x.entry.GetGossipAddress() != group[name].GetGossipAddress()
		case group[name] == nil && !left(ident.Node(name)) && now-x.changedAt < contactTTL:
			others = append(others, x)
		default:
			changed = true
		}
	}
	listed := len(own)
	own = c.choose(own, live)
	if !changed && !behind && listed == len(own) && now-c.confirmedAt < contactConfirmInterval {
		return nil, false
	}
	rumor := c.rumor
	for _, x := range c.list {
		rumor = max(rumor, x.entry.GetRumor())
	}
	next = &tlv1.Gossip{From: c.self}
	for _, name := range own {
		next.Members = append(next.Members, contactEntry(group[name], rumor+1))
	}
	slices.SortStableFunc(others, func(a, b contact) int { return int(b.changedAt - a.changedAt) })
	for _, x := range others[:min(len(others), maxContacts-len(own))] {
		next.Members = append(next.Members, x.entry)
	}
	return next, true
}

// choose returns the nodes of this group that the list should name: some of those that it names, or else this node and
// further ones.
func (c *Contacts) choose(listed []string, live []*tlv1.Member) []string {
	own := listed[:min(len(listed), contactsPerGroup)]
	add := func(name string) {
		if len(own) < contactsPerGroup && !slices.Contains(own, name) {
			own = append(own, name)
		}
	}
	add(c.self.GetNode())
	for _, m := range live {
		if !m.GetLeaving() {
			add(m.GetNode())
		}
	}
	return own
}

// Wrote records that this node, the keeper, wrote the list.
func (c *Contacts) Wrote(list *tlv1.Gossip) {
	c.Observe(list)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.confirmedAt = c.clock.Now()
	for _, m := range list.GetMembers() {
		c.rumor = max(c.rumor, m.GetRumor())
	}
}
