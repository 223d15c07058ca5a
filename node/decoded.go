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

// decoded are the targets of the records. A node looks at those that have changed alone, and makes a list of all of them
// only if it holds targets ready.
type decoded struct {
	mu   sync.Mutex
	byID map[ident.Target]target
	// slots are how many the targets of each service have.
	slots map[string]int
	// list are the targets by their ids, nil if it is not made; shared says that it was handed out, and is copied before it
	// changes.
	list   []target
	shared bool
	// touched are the keys of records that came since they were last looked at.
	touched map[string]bool
	// services are those whose targets have changed since they were last asked for.
	services map[string]bool
}

func newDecoded() decoded {
	return decoded{byID: map[ident.Target]target{}, slots: map[string]int{}, touched: map[string]bool{}, services: map[string]bool{}}
}

// touch notes records that came.
func (d *decoded) touch(news []replica.Record) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, x := range news {
		d.touched[x.Key] = true
	}
}

// set takes over a target as it is now; nil if it is no more.
func (d *decoded) set(id ident.Target, t *target) {
	if was, held := d.byID[id]; held {
		d.services[was.service] = true
		d.addSlots(was.service, -was.slots)
		delete(d.byID, id)
	}
	if t != nil {
		d.services[t.service] = true
		d.addSlots(t.service, t.slots)
		d.byID[id] = *t
	}
	d.follow(id, t)
}

// follow keeps the list up with one target; nil if it is no more.
func (d *decoded) follow(id ident.Target, t *target) {
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

func (d *decoded) addSlots(service string, slots int) {
	d.slots[service] += slots
	if d.slots[service] == 0 {
		delete(d.slots, service)
	}
}

// followMost is the most records at once that a list is kept up with; beyond it is made anew when it is asked for.
const followMost = 256

// decode looks at the records that came. The caller holds the lock of what is decoded.
func (r *records) decode() {
	d := &r.decoded
	if len(d.touched) > followMost {
		d.list = nil
	}
	for key := range d.touched {
		id := ident.Target(key)
		x, found := r.sets[store.Targets].Get(key)
		t := registered(x)
		was, held := d.byID[id]
		switch {
		case !found || t == nil:
			if held {
				d.set(id, nil)
			}
		case held:
			next := r.follow(was, targetOf(x, t))
			d.set(id, &next)
		default:
			next := targetOf(x, t)
			d.set(id, &next)
		}
	}
	clear(d.touched)
}

// targets returns all targets that registered themselves, by their ids. The caller must not change them.
func (r *records) targets() []target {
	d := &r.decoded
	d.mu.Lock()
	defer d.mu.Unlock()
	r.decode()
	if d.list == nil {
		d.list = slices.SortedFunc(maps.Values(d.byID), func(a, b target) int { return cmp.Compare(a.id, b.id) })
	}
	d.shared = true
	return d.list
}

// targetSlots returns how many slots the targets of each service have, and how many targets there are.
func (r *records) targetSlots() (slots map[string]int, targets int) {
	d := &r.decoded
	d.mu.Lock()
	defer d.mu.Unlock()
	r.decode()
	return maps.Clone(d.slots), len(d.byID)
}

// touchedServices returns the services whose targets have changed since it was last called.
func (r *records) touchedServices() map[string]bool {
	d := &r.decoded
	d.mu.Lock()
	defer d.mu.Unlock()
	r.decode()
	touched := d.services
	d.services = map[string]bool{}
	return touched
}
