package node

import (
	"maps"
	"math"
	"slices"
	"sync"

	"github.com/tinladder/tinladder/assign"
	"github.com/tinladder/tinladder/desired"
	"github.com/tinladder/tinladder/ident"
	tlv1 "github.com/tinladder/tinladder/schema/tinladder/v1"
)

// fewCarriers is the least nodes of each hall that carry a group of services.
const fewCarriers = 2

// carriers says which nodes carry which services: a few in each hall, so that they see enough of
// the targets to judge them and know what is in flight, and as many as the services' requests need.
// Any node can serve any service.
type carriers struct {
	node *Node

	mu sync.Mutex
	// version and generation tell when the members or the services have changed.
	version, seen, generation uint64
	left                      bool
	cache                     map[carrierKey][]*tlv1.Member
	// shared are the nodes that share the limits of workspaces, as of the same version; nil if not worked out yet.
	shared []*tlv1.Member
	// byHall are the ready nodes of each hall that has any; nil if not worked out yet.
	byHall map[ident.Hall][]*tlv1.Member
	slots  map[string]int
}

type carrierKey struct {
	group desired.Group
	hall  ident.Hall
}

func newCarriers(n *Node) *carriers {
	return &carriers{node: n, cache: map[carrierKey][]*tlv1.Member{}}
}

func hallOf(m *tlv1.Member) ident.Hall {
	return ident.Hall(m.GetHall())
}

func processOf(m *tlv1.Member) ident.Process {
	return ident.Process{Node: ident.Node(m.GetNode()), Incarnation: ident.Incarnation(m.GetIncarnation())}
}

// isReady says whether callers may be sent to the member.
func isReady(m *tlv1.Member) bool {
	return !m.GetLeaving() && m.GetState() == tlv1.NodeState_NODE_STATE_ALIVE
}

// ready returns the members that callers may be sent to, this node too.
func (c *carriers) ready() []*tlv1.Member {
	list := slices.DeleteFunc(slices.Clone(c.node.members.Live()), func(m *tlv1.Member) bool { return !isReady(m) })
	if !c.node.leaving.started() {
		list = append(list, c.node.members.Self())
	}
	return list
}

// setSlots says how many slots the targets of each service have.
func (c *carriers) setSlots(slots map[string]int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if maps.EqualFunc(c.slots, slots, alike) {
		return // as many carry them
	}
	c.slots = slots
	c.generation++
}

// slotsRoom is by how much of what they are slots may change without a look at who carries them.
const slotsRoom = 0.02

// alike says whether services of so many slots are carried alike.
func alike(a, b int) bool {
	return math.Abs(float64(a-b)) <= slotsRoom*float64(max(a, b))
}

// groupOf returns the service's group. Each of the fleet's own services is one by itself.
func (c *carriers) groupOf(service string) desired.Group {
	if t := c.node.records.table.Load(); t != nil {
		if _, found := t.Services[service]; found {
			return t.GroupOfService(service)
		}
	}
	return desired.Group(service)
}

// inHall returns the nodes of the hall that carry the group, best first.
func (c *carriers) inHall(group desired.Group, hall ident.Hall) []*tlv1.Member {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refresh()
	k := carrierKey{group: group, hall: hall}
	list, found := c.cache[k]
	if !found {
		list = c.rank(k)
		c.cache[k] = list
	}
	return list
}

// refresh forgets what was worked out of members or slots that have changed. The caller holds the lock.
func (c *carriers) refresh() {
	left := c.node.leaving.started()
	if v := c.node.members.Version(); v != c.version || c.seen != c.generation || left != c.left {
		c.version, c.seen, c.left = v, c.generation, left
		clear(c.cache)
		c.shared, c.byHall = nil, nil
	}
}

// sharing returns the nodes that share the limits of workspaces, by name: the first of each hall that carry the desired
// state's routes. Those that carry them only for as long as many requests are in flight borrow what they need: with a part
// for each, parts moved whenever requests came or went, and what a mover waits for others is nobody's meanwhile.
func (c *carriers) sharing() []*tlv1.Member {
	t := c.node.records.table.Load()
	if t == nil {
		return nil
	}
	c.mu.Lock()
	c.refresh()
	shared, version, generation := c.shared, c.version, c.generation
	c.mu.Unlock()
	if shared != nil {
		return shared
	}
	byNode := map[string]*tlv1.Member{}
	halls := c.halls()
	for _, g := range t.Groups() {
		for _, h := range halls {
			list := c.inHall(g, h)
			for _, m := range list[:min(fewCarriers, len(list))] {
				byNode[m.GetNode()] = m
			}
		}
	}
	for _, name := range slices.Sorted(maps.Keys(byNode)) {
		shared = append(shared, byNode[name])
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.version == version && c.generation == generation {
		c.shared = shared
	}
	return shared
}

// rank takes the nodes with the most capacity first, in an order of its own for each group, until
// they are enough.
func (c *carriers) rank(k carrierKey) []*tlv1.Member {
	byNode := map[ident.Node]*tlv1.Member{}
	var candidates []assign.Candidate
	for _, m := range c.readyIn(k.hall) {
		byNode[ident.Node(m.GetNode())] = m
		candidates = append(candidates, assign.Candidate{Node: ident.Node(m.GetNode()), Hall: k.hall, Weight: m.GetWeight()})
	}
	need, few := c.needs(k, len(c.openHalls()))
	var list []*tlv1.Member
	for _, r := range assign.Strongest(string(k.group), candidates, need, few) {
		list = append(list, byNode[r.Node])
	}
	return list
}

// evenWeight gives all candidates the same chance.
const evenWeight = assign.FullWeight

const (
	// demandRoom is how many times what a hall has in flight its carriers can carry, and unseenShare the share of all
	// slots that they can carry at least: what comes before anything was seen is not more.
	demandRoom  = 3
	unseenShare = 0.1
)

// needs says how many slots the group's nodes of one hall must be able to carry, and how many nodes
// there must be at least. The slots are those that its requests need, and no more than there are.
func (c *carriers) needs(k carrierKey, halls int) (slots, nodes int) {
	group := k.group
	halls = max(halls, 1)
	if n := c.node.records.documents.Load().requestedNodes(string(group)); n > 0 {
		return 0, (n + halls - 1) / halls
	}
	if t := c.node.records.table.Load(); t != nil {
		for _, name := range t.ServicesOf(group) {
			slots += c.slots[name]
		}
	}
	all := 0
	for _, n := range c.slots {
		all += n
	}
	share := float64(slots) / float64(max(all, 1))
	used := share * float64(c.node.demand.of(k.hall)*demandRoom)
	slots = (slots + halls - 1) / halls
	return min(slots, max(int(used), int(unseenShare*float64(slots)))), fewCarriers
}

// demandChanged has the carriers worked out anew.
func (c *carriers) demandChanged() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.generation++
}

// changes is raised whenever the carriers may be others.
func (c *carriers) changes() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.generation
}

// readyIn returns the hall's members that callers may be sent to. The caller holds the lock.
func (c *carriers) readyIn(hall ident.Hall) []*tlv1.Member {
	if c.byHall == nil {
		c.byHall = map[ident.Hall][]*tlv1.Member{}
		for _, m := range c.ready() {
			c.byHall[hallOf(m)] = append(c.byHall[hallOf(m)], m)
		}
	}
	return c.byHall[hall]
}

// halls returns the halls of all ready nodes, in order.
func (c *carriers) halls() []ident.Hall {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refresh()
	return c.openHalls()
}

// openHalls is halls for those that hold the lock.
func (c *carriers) openHalls() []ident.Hall {
	_ = c.readyIn("")
	return slices.Sorted(maps.Keys(c.byHall))
}

// all returns the nodes of all halls that carry the service.
func (c *carriers) all(service string) []*tlv1.Member {
	group := c.groupOf(service)
	var list []*tlv1.Member
	for _, h := range c.halls() {
		list = append(list, c.inHall(group, h)...)
	}
	return list
}

// carries says whether this node carries the service.
func (c *carriers) carries(service string) bool {
	return c.node.isAmong(c.all(service))
}

// isAmong says whether this process is one of the members.
func (n *Node) isAmong(members []*tlv1.Member) bool {
	return slices.ContainsFunc(members, func(m *tlv1.Member) bool { return processOf(m) == n.self })
}

// nodesOf returns the members' names.
func nodesOf(members []*tlv1.Member) []ident.Node {
	names := make([]ident.Node, 0, len(members))
	for _, m := range members {
		names = append(names, ident.Node(m.GetNode()))
	}
	return names
}

// near returns the nodes of this hall that carry the service.
func (c *carriers) near(service string) []*tlv1.Member {
	return c.inHall(c.groupOf(service), c.node.hall())
}
