// Package member implements gossip-based membership and failure detection. Each node probes one other node at a
// time, asks a few others to probe it when no ack arrives, and piggybacks membership updates on these messages.
// The package does no I/O.
package member

import (
	"slices"

	"github.com/tinladder/tinladder/ident"
	tlv1 "github.com/tinladder/tinladder/schema/tinladder/v1"
)

// An entry holds what this node knows of one other node.
type entry struct {
	member *tlv1.Member
	// suspectAt is when this node first considered it suspect.
	suspectAt int64
	// notified is set once the suspect was pinged a second time.
	notified bool
	// goneAt is when this node first considered it gone.
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

// lifeOf returns the number that orders the processes of one node.
func lifeOf(m *tlv1.Member) uint64 {
	if m.GetLife() > 0 {
		return m.GetLife()
	}
	return m.GetIncarnation()
}

// newer reports whether a supersedes b, two records of one node. A later process wins, then the higher rumor
// number of the same process, then the worse state.
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

// ProcessOf returns the process that m describes.
func ProcessOf(m *tlv1.Member) ident.Process {
	return ident.Process{
		Node:        ident.Node(m.GetNode()),
		Incarnation: ident.Incarnation(m.GetIncarnation()),
	}
}

// broadcasts holds the nodes whose records are still to be sent, with the number of transmissions that remain.
type broadcasts struct {
	remaining map[string]int
}

func newBroadcasts() *broadcasts {
	return &broadcasts{remaining: map[string]int{}}
}

func (n *broadcasts) set(node string, times int) {
	n.remaining[node] = times
}

// raise is like set, but never lowers the remaining transmissions.
func (n *broadcasts) raise(node string, times int) {
	n.remaining[node] = max(n.remaining[node], times)
}

// next returns up to limit nodes, those with the most remaining transmissions first, and counts one transmission
// for each. It runs for every message, and the queue may hold every node of the fleet, so it selects the first few
// without sorting the rest.
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

// less reports whether a node with the given remaining transmissions sorts before other.
func (n *broadcasts) less(node string, left int, other string) bool {
	if d := left - n.remaining[other]; d != 0 {
		return d > 0
	}
	return node < other
}
