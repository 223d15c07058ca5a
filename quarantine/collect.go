package quarantine

import (
	"github.com/tinladder/tinladder/assign"
	"github.com/tinladder/tinladder/clock"
	"github.com/tinladder/tinladder/ident"
)

const (
	// collectorCount is the number of nodes that collect the crash reports of a request, so that one is left if others are
	// down or cut off.
	collectorCount = 3
	// announceDelay is how long a collector waits for the announcement of each one before it.
	announceDelay clock.Millis = 200
)

// collectorKeyPrefix is the prefix of the key by which the collectors of a request are chosen.
const collectorKeyPrefix = "crashes/"

// Collectors returns the nodes that collect the crash reports of a request, by rank. Each crash may be seen by another node:
// without a place that all reports go to, none of them would know that there were several. All nodes choose the same ones.
func Collectors(fp Fingerprint, nodes []ident.Node) []ident.Node {
	candidates := make([]assign.Candidate, len(nodes))
	for i, n := range nodes {
		candidates[i] = assign.Candidate{Node: n, Weight: assign.FullWeight}
	}
	ranked := assign.Rank(collectorKeyPrefix+fp.String(), candidates)
	chosen := make([]ident.Node, min(collectorCount, len(ranked)))
	for i := range chosen {
		chosen[i] = ranked[i].Node
	}
	return chosen
}

// AnnounceDelay returns how long the collector of the given rank waits before it announces what it has added up.
func AnnounceDelay(rank int) clock.Millis {
	return announceDelay * clock.Millis(rank)
}

// MarkAnnounced records that all nodes were told of this many crashes of the request.
func (l *List) MarkAnnounced(fp Fingerprint, crashes int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e := l.entries[fp]; e != nil {
		e.announced = max(e.announced, crashes)
	}
}

// Unannounced returns what is known of a request with recurring crashes, if that is more than all nodes were told.
func (l *List) Unannounced(fp Fingerprint) (c Suspect, found bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.entries[fp]
	if e == nil || !e.Recurring() || len(e.Crashes) <= e.announced {
		return Suspect{}, false
	}
	return e.clone(), true
}
