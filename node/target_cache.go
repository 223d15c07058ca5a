package node

import (
	"cmp"
	"maps"
	"slices"
	"sync"

	"github.com/tinladder/tinladder/ident"
	"github.com/tinladder/tinladder/replica"
	"github.com/tinladder/tinladder/store"
)

// targetCache holds the decoded targets of the records. Only changed records are decoded again, and the sorted list of
// all targets is built only on demand.
type targetCache struct {
	mu   sync.Mutex
	byID map[ident.Target]target
	// slots is the total of slots of each service's targets.
	slots map[string]int
	// list holds the targets sorted by id, or nil until it is needed. If shared is set it was returned to a caller, and is
	// copied before the next change.
	list   []target
	shared bool
	// stale holds the keys of records that changed since they were last decoded.
	stale map[string]bool
	// changedServices are the services whose targets changed since takeChangedServices was last called.
	changedServices map[string]bool
}

func newTargetCache() targetCache {
	return targetCache{byID: map[ident.Target]target{}, slots: map[string]int{}, stale: map[string]bool{}, changedServices: map[string]bool{}}
}

// markStale marks changed records for decoding.
func (d *targetCache) markStale(changed []replica.Record) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, x := range changed {
		d.stale[x.Key] = true
	}
}

// set replaces a target, or removes it if t is nil.
func (d *targetCache) set(id ident.Target, t *target) {
	if was, held := d.byID[id]; held {
		d.changedServices[was.service] = true
		d.addSlots(was.service, -was.slots)
		delete(d.byID, id)
	}
	if t != nil {
		d.changedServices[t.service] = true
		d.addSlots(t.service, t.slots)
		d.byID[id] = *t
	}
	d.updateList(id, t)
}

// updateList applies the change of one target to the list; t is nil if the target was removed.
func (d *targetCache) updateList(id ident.Target, t *target) {
	if d.list == nil {
		return
	}
	if d.shared {
		d.list, d.shared = slices.Clone(d.list), false
	}
	i, found := slices.BinarySearchFunc(d.list, id, func(x target, id ident.Target) int { return cmp.Compare(x.id, id) })
	switch {
	case t != nil && found:
		d.list[i] = *t
	case t != nil:
		d.list = slices.Insert(d.list, i, *t)
	case found:
		d.list = slices.Delete(d.list, i, i+1)
	}
}

func (d *targetCache) addSlots(service string, slots int) {
	d.slots[service] += slots
	if d.slots[service] == 0 {
		delete(d.slots, service)
	}
}

// maxListUpdates is up to how many changes at once are applied to the list one by one. Beyond it the list is rebuilt.
const maxListUpdates = 256

// refreshTargets decodes the stale records. The caller holds the lock of targetCache.
func (r *records) refreshTargets() {
	d := &r.targetCache
	if len(d.stale) > maxListUpdates {
		d.list = nil
	}
	for key := range d.stale {
		id := ident.Target(key)
		x, found := r.sets[store.Targets].Get(key)
		t := decodeRegistration(x)
		was, held := d.byID[id]
		switch {
		case !found || t == nil:
			if held {
				d.set(id, nil)
			}
		case held:
			next := r.updateTarget(was, newTarget(x, t))
			d.set(id, &next)
		default:
			next := newTarget(x, t)
			d.set(id, &next)
		}
	}
	clear(d.stale)
}

// targets returns all registered targets sorted by id. The caller must not modify the list.
func (r *records) targets() []target {
	d := &r.targetCache
	d.mu.Lock()
	defer d.mu.Unlock()
	r.refreshTargets()
	if d.list == nil {
		d.list = slices.SortedFunc(maps.Values(d.byID), func(a, b target) int { return cmp.Compare(a.id, b.id) })
	}
	d.shared = true
	return d.list
}

// targetSlots returns the total of slots of each service's targets, and the number of targets.
func (r *records) targetSlots() (slots map[string]int, targets int) {
	d := &r.targetCache
	d.mu.Lock()
	defer d.mu.Unlock()
	r.refreshTargets()
	return maps.Clone(d.slots), len(d.byID)
}

// takeChangedServices returns the services whose targets have changed since the last call.
func (r *records) takeChangedServices() map[string]bool {
	d := &r.targetCache
	d.mu.Lock()
	defer d.mu.Unlock()
	r.refreshTargets()
	changed := d.changedServices
	d.changedServices = map[string]bool{}
	return changed
}
