package node

import (
	"sync"

	"github.com/sirupsen/logrus"
	"github.com/tinladder/tinladder/clock"
	"github.com/tinladder/tinladder/store"
)

// lagTracker tracks since when this node has lacked records that others hold.
type lagTracker struct {
	node *Node

	mu   sync.Mutex
	gaps map[store.Kind]versionGap
}

// A versionGap is the newest version that another node is known to hold and this one lacks, and since when one is lacking.
type versionGap struct {
	newest uint64
	since  clock.Millis
}

func newLagTracker(n *Node) *lagTracker {
	return &lagTracker{node: n, gaps: map[store.Kind]versionGap{}}
}

// observe notes the newest version that the node at the address holds.
func (l *lagTracker) observe(k store.Kind, newest uint64, address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	held := l.node.records.sets[k].Newest()
	if newest <= held {
		return
	}
	m, lacking := l.gaps[k]
	if newest <= m.newest {
		return
	}
	if !lacking {
		m.since = l.node.clock.Now()
	}
	m.newest = newest
	l.gaps[k] = m
	if k == store.State {
		l.node.log.WithFields(logrus.Fields{"event": "state_behind", "held": held, "newest": newest, "by": address}).Info()
	}
}

// markCaughtUp notes that the version is in force or was rejected, and returns how long this node has been behind.
func (l *lagTracker) markCaughtUp(k store.Kind, version uint64) clock.Millis {
	l.mu.Lock()
	defer l.mu.Unlock()
	m, lacking := l.gaps[k]
	if !lacking {
		return 0
	}
	if version >= m.newest {
		delete(l.gaps, k)
	}
	return l.node.clock.Now() - m.since
}

// behind returns how long this node has been behind, or 0 if it is not.
func (l *lagTracker) behind(k store.Kind) clock.Millis {
	l.mu.Lock()
	defer l.mu.Unlock()
	m, lacking := l.gaps[k]
	if !lacking {
		return 0
	}
	return l.node.clock.Now() - m.since
}

// isBehind reports whether another node is known to hold a newer version than is in force here.
func (l *lagTracker) isBehind(k store.Kind) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, lacking := l.gaps[k]
	return lacking
}
