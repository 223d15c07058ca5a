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

// minCarriersPerHall is the minimum number of nodes per hall that carry a group of services.
const minCarriersPerHall = 2

// carriers assigns services to nodes: a few nodes of each hall carry each service, so that they see enough of its targets to
// judge them and know the requests in flight. Their number grows with the service's load. Any node can serve any service.
type carriers struct {
	node *Node

	mu sync.Mutex
	// version and seenGeneration are those of members and carriers that the caches were computed with; generation is raised
	// when the carriers may have changed.
	version, seenGeneration, generation uint64
	leaving                             bool
	cache                               map[carrierKey][]*tlv1.Member
	// sharerCache are the nodes that share workspace limits, of the same version; nil if not computed yet.
	sharerCache []*tlv1.Member
	// readyByHall are the ready nodes of each hall that has any; nil if not computed yet.
	readyByHall map[ident.Hall][]*tlv1.Member
	slots       map[string]int
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

// isReady reports whether callers may be sent to the member.
func isReady(m *tlv1.Member) bool {
	return !m.GetLeaving() && m.GetState() == tlv1.NodeState_NODE_STATE_ALIVE
}

// ready returns the members that callers may be sent to, including this node: those that reach targets, or all if none does.
func (c *carriers) ready() []*tlv1.Member {
	list := slices.DeleteFunc(slices.Clone(c.node.members.Live()), func(m *tlv1.Member) bool { return !isReady(m) })
	if !c.node.leaving.started() {
		list = append(list, c.node.members.Self())
	}
	if reaching := slices.DeleteFunc(slices.Clone(list), (*tlv1.Member).GetCutOff); len(reaching) > 0 {
		return reaching
	}
	return list
}

// setSlots sets the number of target slots of each service.
func (c *carriers) setSlots(slots map[string]int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if maps.EqualFunc(c.slots, slots, similarSlots) {
		return // the assignment stays
	}
	c.slots = slots
	c.generation++
}

// slotsTolerance is the relative change of slots that does not cause a new assignment.
const slotsTolerance = 0.02

// similarSlots reports whether two slot counts lead to the same assignment.
func similarSlots(a, b int) bool {
	return math.Abs(float64(a-b)) <= slotsTolerance*float64(max(a, b))
}

// groupOf returns the service's group. Services of the fleet's own interface form groups of one.
func (c *carriers) groupOf(service string) desired.Group {
	if t := c.node.records.table.Load(); t != nil {
		if _, found := t.Services[service]; found {
			return t.GroupOfService(service)
		}
	}
	return desired.Group(service)
}

// inHall returns the nodes of the hall that carry the group, in order of preference.
func (c *carriers) inHall(group desired.Group, hall ident.Hall) []*tlv1.Member {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refresh()
	k := carrierKey{group: group, hall: hall}
	list, found := c.cache[k]
	if !found {
		list = c.selectCarriers(k)
		c.cache[k] = list
	}
	return list
}

// refresh discards the caches if members or slots have changed. The caller holds the lock.
func (c *carriers) refresh() {
	left := c.node.leaving.started()
	if v := c.node.members.Version(); v != c.version || c.seenGeneration != c.generation || left != c.leaving {
		c.version, c.seenGeneration, c.leaving = v, c.generation, left
		clear(c.cache)
		c.sharerCache, c.readyByHall = nil, nil
	}
}

// sharers returns the nodes that share workspace limits, by name: the first carriers of each hall for the routes of the
// desired state. Nodes that carry them only under high load borrow instead: if each had a share, shares would move whenever
// the load changed, and the share of a node that waits for the others to agree is unused meanwhile.
func (c *carriers) sharers() []*tlv1.Member {
	t := c.node.records.table.Load()
	if t == nil {
		return nil
	}
	c.mu.Lock()
	c.refresh()
	shared, version, generation := c.sharerCache, c.version, c.generation
	c.mu.Unlock()
	if shared != nil {
		return shared
	}
	byNode := map[string]*tlv1.Member{}
	halls := c.halls()
	for _, g := range t.Groups() {
		for _, h := range halls {
			list := c.inHall(g, h)
			for _, m := range list[:min(minCarriersPerHall, len(list))] {
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
		c.sharerCache = shared
	}
	return shared
}

// selectCarriers takes nodes by capacity, in an order specific to the group, until they can carry what is required.
func (c *carriers) selectCarriers(k carrierKey) []*tlv1.Member {
	byNode := map[ident.Node]*tlv1.Member{}
	var candidates []assign.Candidate
	for _, m := range c.readyIn(k.hall) {
		byNode[ident.Node(m.GetNode())] = m
		candidates = append(candidates, assign.Candidate{Node: ident.Node(m.GetNode()), Hall: k.hall, Weight: m.GetWeight()})
	}
	need, few := c.required(k, len(c.hallsLocked()))
	var list []*tlv1.Member
	for _, r := range assign.Strongest(string(k.group), candidates, need, few) {
		list = append(list, byNode[r.Node])
	}
	return list
}

// equalWeight gives all candidates the same chance.
const equalWeight = assign.FullWeight

const (
	// demandHeadroom is the ratio of the carriers' capacity to the hall's requests in flight. minSlotShare is the minimum of that
	// capacity, as a share of all slots, for the time before any demand is known.
	demandHeadroom = 3
	minSlotShare   = 0.1
)

// required returns how many slots the group's carriers in one hall must be able to serve, and the minimum number of nodes.
// The slots follow the demand and never exceed those that exist.
func (c *carriers) required(k carrierKey, halls int) (slots, nodes int) {
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
	used := share * float64(c.node.demand.inFlight(k.hall)*demandHeadroom)
	slots = (slots + halls - 1) / halls
	return min(slots, max(int(used), int(minSlotShare*float64(slots)))), minCarriersPerHall
}

// demandChanged invalidates the assignment.
func (c *carriers) demandChanged() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.generation++
}

// currentGeneration returns a number that is raised whenever the carriers may have changed.
func (c *carriers) currentGeneration() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.generation
}

// readyIn returns the hall's members that callers may be sent to. The caller holds the lock.
func (c *carriers) readyIn(hall ident.Hall) []*tlv1.Member {
	if c.readyByHall == nil {
		c.readyByHall = map[ident.Hall][]*tlv1.Member{}
		for _, m := range c.ready() {
			c.readyByHall[hallOf(m)] = append(c.readyByHall[hallOf(m)], m)
		}
	}
	return c.readyByHall[hall]
}

// halls returns the halls of all ready nodes, sorted.
func (c *carriers) halls() []ident.Hall {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refresh()
	return c.hallsLocked()
}

// hallsLocked is halls for callers that hold the lock.
func (c *carriers) hallsLocked() []ident.Hall {
	_ = c.readyIn("")
	return slices.Sorted(maps.Keys(c.readyByHall))
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

// carries reports whether this node carries the service.
func (c *carriers) carries(service string) bool {
	return c.node.isAmong(c.all(service))
}

// isAmong reports whether this process is one of the members.
func (n *Node) isAmong(members []*tlv1.Member) bool {
	return slices.ContainsFunc(members, func(m *tlv1.Member) bool { return processOf(m) == n.self })
}

func nodeNames(members []*tlv1.Member) []ident.Node {
	names := make([]ident.Node, 0, len(members))
	for _, m := range members {
		names = append(names, ident.Node(m.GetNode()))
	}
	return names
}

// inOwnHall returns the nodes of this hall that carry the service.
func (c *carriers) inOwnHall(service string) []*tlv1.Member {
	return c.inHall(c.groupOf(service), c.node.hall())
}
