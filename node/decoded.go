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

// targetCache are the targets of the records. A node looks at those that have changed alone, and makes a list of all of them
// only if it holds targets ready.
type targetCache struct {
	mu   sync.Mutex
	byID map[ident.Target]target
	// slots are how many the targets of each service have.
	slots map[string]int
	// list are the targets by their ids, nil if it is not made; shared says that it was handed out, and is copied before it
	// changes.
	list   []target
	shared bool
	// stale are the keys of records that came since they were last looked at.
	stale map[string]bool
	// changedServices are those whose targets have changed since they were last asked for.
	changedServices map[string]bool
}

func newTargetCache() targetCache {
	return targetCache{byID: map[ident.Target]target{}, slots: map[string]int{}, stale: map[string]bool{}, changedServices: map[string]bool{}}
}

// markStale notes records that came.
func (d *targetCache) markStale(changed []replica.Record) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, x := range changed {
		d.stale[x.Key] = true
	}
}

// set takes over a target as it is now; nil if it is no more.
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

// updateList keeps the list up with one target; nil if it is no more.
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

// maxListUpdates is the most records at once that a list is kept up with; beyond it is made anew when it is asked for.
const maxListUpdates = 256

// refreshTargets looks at the records that came. The caller holds the lock of what is decoded.
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

// targets returns all targets that registered themselves, by their ids. The caller must not change them.
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

// targetSlots returns how many slots the targets of each service have, and how many targets there are.
func (r *records) targetSlots() (slots map[string]int, targets int) {
	d := &r.targetCache
	d.mu.Lock()
	defer d.mu.Unlock()
	r.refreshTargets()
	return maps.Clone(d.slots), len(d.byID)
}

// takeChangedServices returns the services whose targets have changed since it was last called.
func (r *records) takeChangedServices() map[string]bool {
	d := &r.targetCache
	d.mu.Lock()
	defer d.mu.Unlock()
	r.refreshTargets()
	changed := d.changedServices
	d.changedServices = map[string]bool{}
	return changed
}
