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
	// former holds the last form of targets that are gone, by which records of another writer under their ids are known.
	former map[ident.Target]target
	// refused holds the versions of the records that were refused last, by key.
	refusedMu sync.Mutex
	refused   map[string]uint64
	// changedServices are the services whose targets changed since takeChangedServices was last called.
	changedServices map[string]bool
}

func newTargetCache() targetCache {
	return targetCache{
		byID: map[ident.Target]target{}, slots: map[string]int{}, stale: map[string]bool{}, changedServices: map[string]bool{},
		former: map[ident.Target]target{}, refused: map[string]uint64{},
	}
}

// maxFormer bounds the targets that are remembered after they are gone, and the refused records.
const maxFormer = 4096

// keepFormer remembers a target that is gone.
func (d *targetCache) keepFormer(t target) {
	if !t.namesStart {
		return
	}
	if len(d.former) >= maxFormer {
		clear(d.former)
	}
	d.former[t.id] = t
}

// refusedFirst reports whether this version of the record is refused for the first time.
func (d *targetCache) refusedFirst(key string, version uint64) bool {
	d.refusedMu.Lock()
	defer d.refusedMu.Unlock()
	if d.refused[key] == version {
		return false
	}
	if len(d.refused) >= maxFormer {
		clear(d.refused)
	}
	d.refused[key] = version
	return true
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
		if t == nil {
			d.keepFormer(was)
		}
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
		if !found || t == nil {
			if held {
				d.set(id, nil)
			}
			continue
		}
		r.refreshTarget(was, newTarget(x, t), held)
	}
	clear(d.stale)
}

// refreshTarget puts a decoded target in the place of its last form, if it is held. A record that it cannot have written names
// no target; if it is merely older than what is held, that stays.
func (r *records) refreshTarget(was, next target, held bool) {
	d := &r.targetCache
	last := was
	if !held {
		last = d.former[next.id]
	}
	if err := next.checkOwn(last); err != nil {
		r.recordRefusal(store.Refusal{Kind: store.Targets, Key: string(next.id), Version: next.version, Err: err})
		switch {
		case held && next.namesStart:
			was.version = next.version
			d.set(was.id, &was)
		case held:
			d.set(was.id, nil)
		}
		return
	}
	delete(d.former, next.id)
	if held {
		next = r.updateTarget(was, next)
	}
	d.set(next.id, &next)
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
