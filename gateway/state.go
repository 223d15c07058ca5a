package gateway

import (
	"sync"
	"sync/atomic"

	"github.com/sirupsen/logrus"
	"github.com/tinladder/tinladder/desired"
	tlv1 "github.com/tinladder/tinladder/schema/tinladder/v1"
)

// A stateHolder has the newest desired state that this node has seen. It never goes back.
type stateHolder struct {
	node    *Node
	current atomic.Pointer[desired.Table]
	mu      sync.Mutex
}

func newStateHolder(n *Node) *stateHolder {
	return &stateHolder{node: n}
}

// table returns the state in force, or nil if none is known.
func (h *stateHolder) table() *desired.Table {
	return h.current.Load()
}

func (h *stateHolder) version() desired.Version {
	if t := h.table(); t != nil {
		return t.Version
	}
	return 0
}

// put takes in a state if it is newer, and says whether it was.
func (h *stateHolder) put(s *tlv1.DesiredState, from string) bool {
	if s == nil {
		return false
	}
	h.mu.Lock()
	if desired.Version(s.GetVersion()) <= h.version() {
		h.mu.Unlock()
		return false
	}
	t, err := desired.Compile(s)
	if err != nil {
		h.mu.Unlock()
		h.node.log.WithFields(logrus.Fields{"event": "state_refused", "from": from, "error": err}).Error()
		return false
	}
	h.current.Store(t)
	h.mu.Unlock()
	h.node.log.WithFields(logrus.Fields{"event": "state_in_force", "version": t.Version, "from": from, "routes": len(t.Routes())}).Info()
	h.node.services.refresh()
	h.node.announce()
	return true
}
