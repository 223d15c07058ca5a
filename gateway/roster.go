package gateway

import (
	"maps"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"
	"github.com/tinladder/tinladder/clock"
	"github.com/tinladder/tinladder/ident"
	tlv1 "github.com/tinladder/tinladder/schema/tinladder/v1"
)

// forgetGone is how long a record that is gone is kept, so that an older one is known as such.
const forgetGone = 5 * clock.Minute

type record struct {
	*tlv1.TargetRecord
	warmAt clock.Millis
	goneAt clock.Millis
}

// A roster knows the targets that registered themselves. Of each it keeps the newest record.
type roster struct {
	node *Node

	mu      sync.Mutex
	records map[string]*record
	sum     uint64
}

func newRoster(n *Node) *roster {
	return &roster{node: n, records: map[string]*record{}}
}

// put takes in records that are newer than those held, and returns them.
func (r *roster) put(list []*tlv1.TargetRecord) (news []*tlv1.TargetRecord) {
	r.mu.Lock()
	now := r.node.clock.Now()
	for _, d := range list {
		old := r.records[d.GetId()]
		if old != nil && old.GetVersion() >= d.GetVersion() {
			continue
		}
		next := &record{TargetRecord: d, warmAt: now + clock.Millis(d.GetColdMs())}
		if d.GetGone() {
			next.goneAt = now
		}
		if d.GetGone() && old != nil {
			next.Service, next.Address, next.Hall = old.GetService(), old.GetAddress(), old.GetHall()
		}
		r.records[d.GetId()] = next
		news = append(news, d)
	}
	r.forget(now)
	r.count()
	r.mu.Unlock()
	if len(news) > 0 {
		r.tell(news)
		r.node.services.refresh()
	}
	return news
}

// replace takes in the whole list as it was at the mark: what it lacks is gone.
func (r *roster) replace(list []*tlv1.TargetRecord, mark uint64) []*tlv1.TargetRecord {
	named := map[string]bool{}
	for _, d := range list {
		named[d.GetId()] = true
	}
	r.mu.Lock()
	for id, old := range r.records {
		if !named[id] && !old.GetGone() && old.GetVersion() <= mark {
			list = append(list, &tlv1.TargetRecord{Id: id, Version: mark, Gone: true})
		}
	}
	r.mu.Unlock()
	return r.put(list)
}

func (r *roster) forget(now clock.Millis) {
	for id, d := range r.records {
		if d.GetGone() && now-d.goneAt > forgetGone {
			delete(r.records, id)
		}
	}
}

// count works the sum out that is equal if the records are.
func (r *roster) count() {
	r.sum = 0
	var b [8]byte
	for id, d := range r.records {
		if d.GetGone() {
			continue
		}
		x := xxhash.New()
		_, _ = x.WriteString(id)
		for i := range b {
			b[i] = byte(d.GetVersion() >> (8 * i))
		}
		_, _ = x.Write(b[:])
		r.sum ^= x.Sum64()
	}
}

func (r *roster) tell(news []*tlv1.TargetRecord) {
	for _, d := range news {
		r.node.log.WithFields(logrus.Fields{
			"event": "target", "target": d.GetId(), "service": d.GetService(), "address": d.GetAddress(),
			"hall": d.GetHall(), "leaving": d.GetLeaving(), "gone": d.GetGone(), "version": d.GetVersion(),
		}).Info()
	}
}

// Sum is equal on two nodes if their records are.
func (r *roster) Sum() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.sum
}

// all returns all records, those that are gone too, with ages counted from now.
func (r *roster) all() []*tlv1.TargetRecord {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.node.clock.Now()
	list := make([]*tlv1.TargetRecord, 0, len(r.records))
	for _, id := range slices.Sorted(maps.Keys(r.records)) {
		d := r.records[id]
		list = append(list, &tlv1.TargetRecord{
			Id: d.GetId(), Service: d.GetService(), Address: d.GetAddress(), Hall: d.GetHall(), Slots: d.GetSlots(),
			Leaving: d.GetLeaving(), ColdMs: int64(max(d.warmAt-now, 0)), Version: d.GetVersion(), Gone: d.GetGone(),
		})
	}
	return list
}

// ofService returns the records of a service's targets that are not gone.
func (r *roster) ofService(name string) []*record {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []*record
	for _, id := range slices.Sorted(maps.Keys(r.records)) {
		if d := r.records[id]; d.GetService() == name && !d.GetGone() {
			list = append(list, d)
		}
	}
	return list
}

func hallOf(m *tlv1.Member) ident.Hall {
	return ident.Hall(m.GetHall())
}
