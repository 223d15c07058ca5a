package node

import (
	"slices"
	"sync"

	"github.com/tinladder/tinladder/assign"
	"github.com/tinladder/tinladder/ident"
	tlv1 "github.com/tinladder/tinladder/schema/tinladder/v1"
)

// carriersPerHall is how many nodes of each hall carry a service, unless its document says
// otherwise.
const carriersPerHall = 2

// carriers says which nodes carry which service: a few in each hall, so that they see enough of
// its targets to judge them. Any node can serve any service.
type carriers struct {
	node *Node

	mu      sync.Mutex
	version uint64
	cache   map[carrierKey][]*tlv1.Member
}

type carrierKey struct {
	service string
	hall    ident.Hall
	count   int
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

// inHall returns the nodes of the hall that carry the service, best first.
func (c *carriers) inHall(service string, hall ident.Hall) []*tlv1.Member {
	count := carriersPerHall
	if n := c.node.records.book.Load().nodes(service); n > 0 {
		count = (n + max(len(c.halls()), 1) - 1) / max(len(c.halls()), 1)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if v := c.node.members.Version(); v != c.version {
		c.version = v
		clear(c.cache)
	}
	k := carrierKey{service: service, hall: hall, count: count}
	list, found := c.cache[k]
	if !found {
		list = c.rank(k)
		c.cache[k] = list
	}
	return list
}

func (c *carriers) rank(k carrierKey) []*tlv1.Member {
	byNode := map[ident.Node]*tlv1.Member{}
	var candidates []assign.Candidate
	for _, m := range c.ready() {
		if hallOf(m) == k.hall {
			byNode[ident.Node(m.GetNode())] = m
			candidates = append(candidates, assign.Candidate{Node: ident.Node(m.GetNode()), Hall: k.hall, Weight: memberWeight})
		}
	}
	ranked := assign.Rank(k.service, candidates)
	var list []*tlv1.Member
	for _, r := range ranked[:min(len(ranked), k.count)] {
		list = append(list, byNode[r.Node])
	}
	return list
}

// halls returns the halls of all ready nodes, in order.
func (c *carriers) halls() []ident.Hall {
	var halls []ident.Hall
	for _, m := range c.ready() {
		if !slices.Contains(halls, hallOf(m)) {
			halls = append(halls, hallOf(m))
		}
	}
	slices.Sort(halls)
	return halls
}

// all returns the nodes of all halls that carry the service.
func (c *carriers) all(service string) []*tlv1.Member {
	var list []*tlv1.Member
	for _, h := range c.halls() {
		list = append(list, c.inHall(service, h)...)
	}
	return list
}
