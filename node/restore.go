package node

import (
	"context"

	"github.com/sirupsen/logrus"
	"github.com/tinladder/tinladder/clock"
	"github.com/tinladder/tinladder/ident"
	"github.com/tinladder/tinladder/replica"
	"github.com/tinladder/tinladder/store"
)

// maxRestoreTries is how often a document is tried to be written again, restoreDelay apart, while the store is unavailable.
const (
	maxRestoreTries = 30
	restoreDelay    = 1 * clock.Second
)

// restoreLost has documents written again that a complete read of the store lacks, or has in an earlier version. The first to
// watch of each hall writes them.
func (r *records) restoreLost(k store.Kind, list []replica.Record) {
	if k != store.Documents || r.node.duty.rank() > 0 {
		return
	}
	stored := map[string]uint64{}
	for _, x := range list {
		stored[x.Key] = x.Version
	}
	for _, x := range r.sets[k].Live() {
		if stored[x.Key] < x.Version {
			go r.node.restoreDocument(ident.Key(x.Key))
		}
	}
}

// restoreDocument writes the document that this node holds to the store again.
func (n *Node) restoreDocument(k ident.Key) {
	for range maxRestoreTries {
		ctx, cancel := context.WithTimeout(context.Background(), storeCallTimeout.Duration())
		c, err := n.writer.Restore(ctx, n.heldDocument(k))
		cancel()
		if err != nil {
			n.log.WithFields(logrus.Fields{"event": "document_not_restored", "key": k, "error": err}).Warn()
			if !sleep(n.leaving.pendingCtx, restoreDelay) {
				return
			}
			continue
		}
		if c != nil {
			n.log.WithFields(logrus.Fields{"event": "document_restored", "key": k, "version": c.GetSeq(), "lost": c.GetReplaced()}).Warn()
			n.duty.readNow(store.Documents)
		}
		return
	}
}
