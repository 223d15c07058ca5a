// Package member keeps the list of live nodes: each node probes one other at a time, asks some
// to probe for it when no answer comes, and passes news on with its probes. It does no I/O.
package member

import (
	"slices"

	"github.com/tinladder/tinladder/ident"
	tlv1 "github.com/tinladder/tinladder/schema/tinladder/v1"
)

// An entry is what is known of one other node.
type entry struct {
	member *tlv1.Member
	// suspectAt is when this node first held it suspect.
	suspectAt int64
	// notified says that the suspect was told.
	notified bool
	// goneAt is when this node first held it gone.
	goneAt int64
}

func stateRank(s tlv1.NodeState) int {
	switch s {
	case tlv1.NodeState_NODE_STATE_ALIVE:
		return 1
	case tlv1.NodeState_NODE_STATE_SUSPECT:
		return 2
	case tlv1.NodeState_NODE_STATE_GONE:
		return 3
	}
	return 0
}

// lifeOf orders the processes of one node.
func lifeOf(m *tlv1.Member) uint64 {
	if m.GetLife() > 0 {
		return m.GetLife()
	}
	return m.GetIncarnation()
}

// newer says whether a tells more recent things of a node than b does. A later process wins,
// then the process's own later word, then the worse news.
func newer(a, b *tlv1.Member) bool {
	switch {
	case lifeOf(a) != lifeOf(b):
		return lifeOf(a) > lifeOf(b)
	case a.GetIncarnation() != b.GetIncarnation():
		return a.GetIncarnation() > b.GetIncarnation()
	case a.GetRumor() != b.GetRumor():
		return a.GetRumor() > b.GetRumor()
	}
	return stateRank(a.GetState()) > stateRank(b.GetState())
}

func live(m *tlv1.Member) bool {
	return m.GetState() == tlv1.NodeState_NODE_STATE_ALIVE || m.GetState() == tlv1.NodeState_NODE_STATE_SUSPECT
}

// ProcessOf returns the process that m tells of.
func ProcessOf(m *tlv1.Member) ident.Process {
	return ident.Process{
		Node:        ident.Node(m.GetNode()),
		Incarnation: ident.Incarnation(m.GetIncarnation()),
	}
}

// broadcasts holds what is still to be passed on, with how often.
type broadcasts struct {
	remaining map[string]int
}

func newBroadcasts() *broadcasts {
	return &broadcasts{remaining: map[string]int{}}
}

func (n *broadcasts) set(node string, times int) {
	n.remaining[node] = times
}

// raise is add for news that may be passed on oftener already.
func (n *broadcasts) raise(node string, times int) {
	n.remaining[node] = max(n.remaining[node], times)
}

// next returns up to limit nodes to tell of, those told least first, and counts them as told. It is asked for each message,
// with up to a word of each node of the fleet: the few that come first are picked out, and the others not sorted.
func (n *broadcasts) next(limit int) []string {
	nodes := make([]string, 0, limit+1)
	for node, left := range n.remaining {
		if len(nodes) == limit && !n.less(node, left, nodes[limit-1]) {
			continue
		}
		i := len(nodes)
		for i > 0 && n.less(node, left, nodes[i-1]) {
			i--
		}
		nodes = slices.Insert(nodes, i, node)
		nodes = nodes[:min(limit, len(nodes))]
	}
	for _, node := range nodes {
		n.remaining[node]--
		if n.remaining[node] <= 0 {
			delete(n.remaining, node)
		}
	}
	return nodes
}

// less says whether a node of which so much is left to tell comes less another one.
func (n *broadcasts) less(node string, left int, other string) bool {
	if d := left - n.remaining[other]; d != 0 {
		return d > 0
	}
	return node < other
}
