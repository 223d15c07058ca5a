package node

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"github.com/tinladder/tinladder/clock"
	"github.com/tinladder/tinladder/desired"
	"github.com/tinladder/tinladder/ident"
	"github.com/tinladder/tinladder/logs"
	"github.com/tinladder/tinladder/replica"
	tlv1 "github.com/tinladder/tinladder/schema/tinladder/v1"
	"github.com/tinladder/tinladder/store"
	"google.golang.org/protobuf/proto"
)

// fromStore names the store as the origin of news.
const fromStore = "store"

// records holds this node's copy of what the store has, ready for use.
type records struct {
	node *Node
	sets map[store.Kind]*replica.Set
	// table is the desired state of the platform's operators, book that of the fleet's own.
	table     atomic.Pointer[desired.Table]
	documents atomic.Pointer[documentIndex]
	// firstState is closed when the firstState desired state is in force.
	firstState chan struct{}
	// refused is the newest desired state that cannot be used at all.
	refused atomic.Pointer[store.Refusal]
	// targetCache are the targets as they were last asked for.
	targetCache targetCache
	// targetLineLimiter bounds how many records of targets the log is told of one by one.
	targetLineLimiter *logs.Limiter
	// mu keeps changes from being taken over out of order.
	mu sync.Mutex
}

func newRecords(n *Node) *records {
	r := &records{node: n, targetLineLimiter: logs.NewLimiter(n.clock, maxTargetLines), sets: map[store.Kind]*replica.Set{}, firstState: make(chan struct{}), targetCache: newTargetCache()}
	for _, k := range []store.Kind{store.State, store.Targets, store.Documents, store.Suspects, store.Evacuations} {
		r.sets[k] = replica.New(n.clock)
	}
	r.documents.Store(newDocumentIndex(nil))
	return r
}

// put takes in records that are newer than those held, and returns them.
func (r *records) put(k store.Kind, list []replica.Record, from string) []replica.Record {
	if r.sets[k] == nil || len(list) == 0 {
		return nil
	}
	changed := r.sets[k].Put(list)
	r.apply(k, changed, from)
	return changed
}

// replace takes in all records that the store has, as read at the mark.
func (r *records) replace(k store.Kind, list []replica.Record, m store.Cursor, from string) []replica.Record {
	changed := r.sets[k].Replace(list, uint64(m))
	r.apply(k, changed, from)
	return changed
}

// apply puts new records in force.
func (r *records) apply(k store.Kind, changed []replica.Record, from string) {
	if len(changed) == 0 {
		return
	}
	if k == store.Targets {
		r.targetCache.markStale(changed)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	switch k {
	case store.State:
		r.applyState(from)
	case store.Documents:
		r.documents.Store(newDocumentIndex(r.sets[k].Live()))
		r.node.log.WithFields(logrus.Fields{"event": "documents_in_force", "from": from, "new": len(changed)}).Info()
	case store.Targets:
		r.logTargets(changed, from)
	case store.Suspects:
		r.node.suspects.take(changed, from)
	case store.Evacuations:
		r.tellEvacuations(changed, from)
	}
	switch k {
	case store.Targets:
		r.node.services.targetsChanged()
	case store.State, store.Documents, store.Evacuations:
		r.node.services.refresh()
	}
	if k != store.Targets && from != fromStore {
		r.node.duty.pass(passNews)
	}
}

// applyState puts the newest desired state in force. One that makes no sense changes nothing, and
// within one life of the process versions only rise.
func (r *records) applyState(from string) {
	n := r.node
	for _, x := range r.sets[store.State].Live() {
		n.stateTransfer.addVersion(x)
		t := r.compile(x, from)
		if t == nil {
			n.lag.markCaughtUp(store.State, x.Version)
			continue
		}
		if r.table.Swap(t) == nil {
			close(r.firstState)
		}
		for _, err := range t.Faults() {
			n.metrics.recordRefused(store.State, false)
			n.log.WithFields(logrus.Fields{"event": "part_refused", "version": t.Version, "from": from, "error": err}).Error()
		}
		n.metrics.stateVersion(uint64(t.Version))
		n.log.WithFields(logrus.Fields{
			"event": "state_in_force", "version": t.Version, "from": from, "routes": len(t.Routes()),
			"bytes": len(x.Value), "read_ms": n.clock.Now() - x.ReadAt, "behind_ms": n.lag.markCaughtUp(store.State, x.Version),
		}).Warn()
	}
}

// compile returns the state of a record as requests use it, or nil if it is not to be put in force.
func (r *records) compile(x replica.Record, from string) *desired.Table {
	n := r.node
	s := &tlv1.DesiredState{}
	if err := proto.Unmarshal(x.Value, s); err != nil {
		n.log.WithFields(logrus.Fields{"event": "state_refused", "from": from, "error": err}).Error()
		return nil
	}
	if old := r.table.Load(); old != nil && desired.Version(s.GetVersion()) <= old.Version {
		n.log.WithFields(logrus.Fields{"event": "state_ignored", "from": from, "version": s.GetVersion(), "in_force": old.Version}).Warn()
		return nil
	}
	t, err := desired.Compile(s)
	if err != nil {
		n.log.WithFields(logrus.Fields{"event": "state_refused", "from": from, "error": err}).Error()
		return nil
	}
	return t
}

// recordRefusal tells of a record, or a part of one, that was read from the store and cannot be used.
func (r *records) recordRefusal(x store.Refusal) {
	n := r.node
	n.metrics.recordRefused(x.Kind, x.Part == "")
	n.log.WithFields(logrus.Fields{
		"event": "record_refused", "kind": x.Kind, "key": x.Key, "part": x.Part, "version": x.Version, "error": x.Err,
	}).Error()
	if x.Kind == store.State && x.Part == "" {
		r.refused.Store(&x)
	}
}

// hasNewestState says whether this node holds the newest state that it has seen: one that the store has and that cannot be
// read may take away what the one in force allows.
func (r *records) hasNewestState() bool {
	x := r.refused.Load()
	return x == nil || x.Version <= r.sets[store.State].Newest()
}

// noStateReason says why there is no desired state.
func (r *records) noStateReason() string {
	if x := r.refused.Load(); x != nil {
		return fmt.Sprintf("the desired state in the store cannot be used, record version %d: %v", x.Version, x.Err)
	}
	return "no desired state is known yet"
}

// firstStateTimeout is how long a request waits for the first desired state after the node's start. It is
// there within tens of milliseconds of the store's or another node's answer.
const firstStateTimeout clock.Millis = 600

// await returns the desired state. A request that comes before there is one waits a little, and no longer than the node is
// there to answer it.
func (r *records) await(req *http.Request) *desired.Table {
	if t := r.table.Load(); t != nil || r.refused.Load() != nil {
		return t // one that cannot be used is not waited for
	}
	wait := time.NewTimer(firstStateTimeout.Duration())
	defer wait.Stop()
	select {
	case <-r.firstState:
	case <-wait.C:
	case <-req.Context().Done():
	case <-r.node.leaving.ending.Done():
	}
	return r.table.Load()
}

// maxTargetLines is the most records of targets in a second that are told of one by one.
const maxTargetLines = 16

// logTargets tells the log of targets that came, changed or went.
func (r *records) logTargets(changed []replica.Record, from string) {
	if len(changed) > maxTargetLines {
		var newest uint64
		for _, x := range changed {
			newest = max(newest, x.Version)
		}
		r.node.log.WithFields(logrus.Fields{"event": "target_records", "count": len(changed), "newest": newest, "from": from}).Info()
		return
	}
	for _, x := range changed {
		if r.targetLineLimiter.Allow() {
			r.logTarget(x, from)
		}
	}
}

// logSuppressed tells the log how many records of targets came besides those that it was told of.
func (r *records) logSuppressed() {
	if more := r.targetLineLimiter.TakeSuppressed(); more > 0 {
		r.node.log.WithFields(logrus.Fields{"event": "target_records", "count": more, "newest": r.sets[store.Targets].Newest(), "from": "all"}).Info()
	}
}

func (r *records) logTarget(x replica.Record, from string) {
	f := logrus.Fields{"event": "target_record", "target": x.Key, "gone": x.Deleted, "version": x.Version, "from": from}
	if t := decodeRegistration(x); t != nil {
		f["service"], f["address"], f["hall"], f["leaving"] = t.GetService(), t.GetAddress(), t.GetHall(), t.GetLeaving()
	}
	r.node.log.WithFields(f).Info()
}

// decodeRegistration returns what the target said of itself, or nil.
func decodeRegistration(x replica.Record) *tlv1.RegisteredTarget {
	t := &tlv1.RegisteredTarget{}
	if x.Deleted || proto.Unmarshal(x.Value, t) != nil {
		return nil
	}
	return t
}

// A target is one that a service has.
type target struct {
	id          ident.Target
	service     string
	address     string
	hall        ident.Hall
	slots       int
	leaving     bool
	warmupUntil clock.Millis
	// version is that of the record that says so.
	version uint64
	// generation tells the target's starts under one id apart, and seq counts what it wrote in this one.
	generation, seq uint64
}

// newTarget is the target of a record that says t of itself.
func newTarget(x replica.Record, t *tlv1.RegisteredTarget) target {
	return target{
		version: x.Version,
		id:      ident.Target(x.Key), service: t.GetService(), address: t.GetAddress(), hall: ident.Hall(t.GetHall()),
		slots: int(t.GetSlots()), leaving: t.GetLeaving(), warmupUntil: x.ReadAt + clock.Millis(t.GetColdMs()),
		generation: uint64(t.GetBorn()), seq: t.GetSeq(),
	}
}

// updateTarget returns a target as it is now. Where it has started again under its id, the connections to its former life are
// given up: nobody answers on them.
func (r *records) updateTarget(was, t target) target {
	if was.version == t.version {
		return was
	}
	if t.generation == 0 { // it does not say when it started: what it wrote is counted anew
		t.generation = was.generation
		if t.seq < was.seq {
			t.generation++
		}
	}
	if t.generation == was.generation {
		return t
	}
	r.node.conns.CloseIdle(was.address)
	r.node.log.WithFields(logrus.Fields{
		"event": "target_reborn", "target": t.id, "service": t.service, "address": t.address, "life": t.generation, "was": was.generation,
	}).Warn()
	return t
}

// toWire returns records as other nodes are told of them.
func (r *records) toWire(k store.Kind, list []replica.Record) *tlv1.Records {
	now := r.node.clock.Now()
	out := &tlv1.Records{Kind: string(k)}
	for _, x := range list {
		out.Records = append(out.Records, &tlv1.Record{
			Key: x.Key, Version: x.Version, Gone: x.Deleted, Value: x.Value, AgeMs: int64(max(now-x.ReadAt, 0)),
		})
	}
	return out
}

// receive takes in records that another node tells of.
func (r *records) receive(m *tlv1.Records, from string) {
	now := r.node.clock.Now()
	list := make([]replica.Record, 0, len(m.GetRecords()))
	for _, x := range m.GetRecords() {
		value, err := r.valueOf(store.Kind(m.GetKind()), x)
		if err != nil {
			r.node.log.WithFields(logrus.Fields{
				"event": "record_unreadable", "key": x.GetKey(), "version": x.GetVersion(), "base": x.GetBase(), "from": from, "error": err,
			}).Info()
			continue
		}
		list = append(list, replica.Record{
			Key: x.GetKey(), Version: x.GetVersion(), Deleted: x.GetGone(), Value: value, ReadAt: now - clock.Millis(x.GetAgeMs()),
		})
	}
	k := store.Kind(m.GetKind())
	changed := r.put(k, list, from)
	if m.GetHall() != "" && ident.Hall(m.GetHall()) != r.node.hall() && len(changed) > 0 {
		r.node.duty.forwardToHall(k, changed)
	}
}

// valueOf returns a record's value, also of one that was packed.
func (r *records) valueOf(k store.Kind, x *tlv1.Record) ([]byte, error) {
	switch {
	case len(x.GetPacked()) == 0:
		return x.GetValue(), nil
	case k != store.State:
		return nil, errors.Newf("packed record of kind %q", k)
	case x.GetVersion() <= r.sets[k].Newest():
		return nil, nil // it is no news, and is not taken
	}
	return r.node.stateTransfer.decode(x)
}

// stateSize returns how many bytes the newest state has, as nodes send it.
func (r *records) stateSize() (bytes int) {
	for _, x := range r.sets[store.State].Live() {
		bytes += len(x.Value)
	}
	return bytes
}
