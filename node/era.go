package node

import (
	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"github.com/tinladder/tinladder/clock"
	"github.com/tinladder/tinladder/replica"
	"github.com/tinladder/tinladder/store"
)

// noteAnswer notes the era that the store named to this node, if it answered.
func (d *duty) noteAnswer(err error) {
	if err == nil || errors.Is(err, store.ErrGap) {
		d.noteEra(d.node.platform.Era())
	}
}

// noteEra notes the store's era, as it named it to this node or to another one. Above 0, a new one means that the store came
// back from a copy; a node that has just started cannot tell when.
func (d *duty) noteEra(era uint64) {
	d.mu.Lock()
	was := d.era
	if era <= was {
		d.mu.Unlock()
		return
	}
	d.era, d.returnedAt = era, d.node.clock.Now()
	d.mu.Unlock()
	d.node.metrics.storeEra(era)
	d.node.log.WithFields(logrus.Fields{
		"event": "store_returned", "era": era, "was": was, "targets": d.node.records.sets[store.Targets].Len(),
		"state": d.node.records.sets[store.State].Newest(),
	}).Warn()
	d.node.suspects.storeRestored()
}

// knownEra returns the newest era of the store that this node knows of.
func (d *duty) knownEra() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.era
}

// isSettled reports whether the store has had the time to get back what it lost when it came back from a copy. Until then
// its newest state may be older than one that was in force, and only what other nodes proved before holds.
func (d *duty) isSettled() bool {
	return d.settlesIn() == 0
}

// settlesIn returns the time until then; 0 if the store has settled.
func (d *duty) settlesIn() clock.Millis {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.returnedAt == 0 {
		return 0
	}
	return max(d.returnedAt+replica.ReturnGrace-d.node.clock.Now(), 0)
}

// deliveredWith returns the kind and those that are delivered with it.
func deliveredWith(k store.Kind) []store.Kind {
	if k == store.State {
		return []store.Kind{store.State, store.Evacuations}
	}
	return []store.Kind{k}
}

// unswept returns for how long the kind, or one delivered with it, has needed a complete read after the store's return.
func (r *records) unswept(k store.Kind) (longest clock.Millis, unswept bool) {
	for _, with := range deliveredWith(k) {
		if long, is := r.sets[with].Unswept(); is {
			longest, unswept = max(longest, long), true
		}
	}
	return longest, unswept
}

// settling returns for how long records of the kind, or of one delivered with it, may be written again after the store's return.
func (r *records) settling(k store.Kind) (longest clock.Millis) {
	for _, with := range deliveredWith(k) {
		longest = max(longest, r.sets[with].Settling())
	}
	return longest
}

// stateRow returns the version of the store's row with the desired state that this node holds; 0 if it is not known.
func (r *records) stateRow() uint64 {
	for _, x := range r.sets[store.State].Live() {
		return x.Row
	}
	return 0
}
