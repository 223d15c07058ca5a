package node

import (
	"sync"

	"github.com/sirupsen/logrus"
	"github.com/tinladder/tinladder/clock"
	"github.com/tinladder/tinladder/store"
)

// lag knows since when this node lacks records that others hold.
type lag struct {
	node *Node

	mu    sync.Mutex
	kinds map[store.Kind]missing
}

// missing says that another node holds a version that this one lacks, and since when that is known.
type missing struct {
	newest uint64
	since  clock.Millis
}

func newLag(n *Node) *lag {
	return &lag{node: n, kinds: map[store.Kind]missing{}}
}

// heard notes the newest version that the node at the address holds.
func (l *lag) heard(k store.Kind, newest uint64, address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	held := l.node.records.sets[k].Newest()
	if newest <= held {
		return
	}
	m, lacking := l.kinds[k]
	if newest <= m.newest {
		return
	}
	if !lacking {
		m.since = l.node.clock.Now()
	}
	m.newest = newest
	l.kinds[k] = m
	if k == store.State {
		l.node.log.WithFields(logrus.Fields{"event": "state_behind", "held": held, "newest": newest, "by": address}).Info()
	}
}

// caughtUp notes that the version is in force here, or cannot be, and returns how long this node has been behind.
func (l *lag) caughtUp(k store.Kind, version uint64) clock.Millis {
	l.mu.Lock()
	defer l.mu.Unlock()
	m, lacking := l.kinds[k]
	if !lacking {
		return 0
	}
	if version >= m.newest {
		delete(l.kinds, k)
	}
	return l.node.clock.Now() - m.since
}

// behind returns how long this node has been behind; 0 if it is not.
func (l *lag) behind(k store.Kind) clock.Millis {
	l.mu.Lock()
	defer l.mu.Unlock()
	m, lacking := l.kinds[k]
	if !lacking {
		return 0
	}
	return l.node.clock.Now() - m.since
}

// lacks says whether another node is known to hold a newer version than is in force here.
func (l *lag) lacks(k store.Kind) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, lacking := l.kinds[k]
	return lacking
}
