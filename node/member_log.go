package node

import (
	"fmt"
	"strings"

	"github.com/sirupsen/logrus"
	"github.com/tinladder/tinladder/ident"
	tlv1 "github.com/tinladder/tinladder/schema/tinladder/v1"
)

// maxNamesInLine is the maximum number of nodes named in one log line.
const maxNamesInLine = 8

// logStart logs this process and its main settings.
func (n *Node) logStart() {
	s := n.settings()
	n.log.WithFields(logrus.Fields{
		"event": "started", "node": n.self.Node, "process": n.self, "hall": n.hall(), "callers": s.Node.Callers,
		"store": s.Store.Address, "grace_ms": s.Bounds.Grace.Millis(), "retry_ratio": s.Retries.Ratio,
		"retry_slack": s.Retries.Slack, "cores": s.Capacity.Cores,
	}).Warn()
}

// A memberLog logs changes among the other nodes, one line for each kind of change.
type memberLog struct {
	node    *Node
	version uint64
	known   map[ident.Process]string
}

func newMemberLog(n *Node) *memberLog {
	return &memberLog{node: n, known: map[ident.Process]string{}}
}

// tick logs the changes since the last call.
func (w *memberLog) tick() {
	v := w.node.members.Version()
	if v == w.version {
		return
	}
	w.version = v
	now := map[ident.Process]string{}
	changes := map[string][]string{}
	for _, m := range w.node.members.Live() {
		p := processOf(m)
		now[p] = memberStateName(m)
		if w.known[p] != now[p] {
			changes[now[p]] = append(changes[now[p]], m.GetNode())
		}
	}
	for p := range w.known {
		if _, found := now[p]; !found {
			changes["gone"] = append(changes["gone"], string(p.Node))
		}
	}
	w.known = now
	for what, names := range changes {
		w.node.log.WithFields(logrus.Fields{
			"event": "member_" + what, "nodes": joinNames(names), "count": len(names), "live": len(now), "version": v,
		}).Info()
	}
}

// memberStateName returns the state of a node as logged.
func memberStateName(m *tlv1.Member) string {
	switch {
	case m.GetState() == tlv1.NodeState_NODE_STATE_SUSPECT:
		return "suspected"
	case m.GetLeaving():
		return "leaving"
	}
	return "alive"
}

func joinNames(names []string) string {
	if more := len(names) - maxNamesInLine; more > 0 {
		return fmt.Sprintf("%s,and_%d_more", strings.Join(names[:maxNamesInLine], ","), more)
	}
	return strings.Join(names, ",")
}
