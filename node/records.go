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

// fromStore is logged as the origin of records that were read from the store.
const fromStore = "store"

// records holds this node's replicas of the store's records, and the forms of them that requests use.
type records struct {
	node *Node
	sets map[store.Kind]*replica.Set
	// table is compiled from the desired state of the platform's operators, documents from those written through
	// the operators' interface.
	table     atomic.Pointer[desired.Table]
	documents atomic.Pointer[documentIndex]
	// firstState is closed once a desired state is in force.
	firstState chan struct{}
	// refused is the newest desired state that was rejected as a whole.
	refused atomic.Pointer[store.Refusal]
	// targetCache holds the registered targets in decoded form.
	targetCache targetCache
	// targetLineLimiter limits the log lines about single target records.
	targetLineLimiter *logs.Limiter
	// mu serializes the application of changes, so that they take effect in order.
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

// put adds the records that are newer than those held, and returns them.
func (r *records) put(k store.Kind, list []replica.Record, from string) []replica.Record {
	if r.sets[k] == nil || len(list) == 0 {
		return nil
	}
	changed := r.sets[k].Put(list)
	r.apply(k, changed, from)
	return changed
}

// replace replaces the replica of a kind with all records that the store has, as read at cursor m.
func (r *records) replace(k store.Kind, list []replica.Record, m store.Cursor, from string) []replica.Record {
	if k.HasOwnVersions() {
		changed := r.put(k, list, from)
		r.restoreLost(k, list)
		return changed
	}
	changed := r.sets[k].Replace(list, uint64(m))
	r.apply(k, changed, from)
	return changed
}

// apply puts changed records into force.
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
		r.node.suspects.mergeRecords(changed, from)
	case store.Evacuations:
		r.logEvacuations(changed, from)
	}
	switch k {
	case store.Targets:
		r.node.services.targetsChanged()
	case store.State, store.Documents, store.Evacuations:
		r.node.services.refresh()
	}
	if k != store.Targets && from != fromStore {
		r.node.duty.confirmToRandom(newsFanout)
	}
}

// applyState puts the newest desired state into force. An invalid one is skipped, and versions only increase within
// one process lifetime.
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

// compile returns the compiled state of a record, or nil if it is invalid or not newer than the one in force.
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

// recordRefusal logs and counts a record, or a part of one, that was read from the store and cannot be used. A target's is
// logged once, however often the store is read.
func (r *records) recordRefusal(x store.Refusal) {
	n := r.node
	if x.Kind == store.Targets && !r.targetCache.refusedFirst(x.Key, x.Version) {
		return
	}
	n.metrics.recordRefused(x.Kind, x.Part == "")
	n.log.WithFields(logrus.Fields{
		"event": "record_refused", "kind": x.Kind, "key": x.Key, "part": x.Part, "version": x.Version, "error": x.Err,
	}).Error()
	if x.Kind == store.State && x.Part == "" {
		r.refused.Store(&x)
	}
}

// hasNewestState reports whether no newer desired state has been rejected than the one held. A rejected one may withdraw
// what the one in force allows.
func (r *records) hasNewestState() bool {
	x := r.refused.Load()
	return x == nil || x.Version <= r.stateRow()
}

// noStateReason explains to callers why there is no desired state.
func (r *records) noStateReason() string {
	if x := r.refused.Load(); x != nil {
		return fmt.Sprintf("the desired state in the store cannot be used, record version %d: %v", x.Version, x.Err)
	}
	return "no desired state is known yet"
}

// firstStateTimeout is how long a request waits for the first desired state after the node's start. The state usually
// arrives within tens of milliseconds of the first response of the store or of another node.
const firstStateTimeout clock.Millis = 600

// await returns the desired state. Before the first one is in force it waits up to firstStateTimeout, but not beyond
// the end of the request or of the node's shutdown. It returns nil if there is none.
func (r *records) await(req *http.Request) *desired.Table {
	if t := r.table.Load(); t != nil || r.refused.Load() != nil {
		return t // a rejected state is not waited for
	}
	wait := time.NewTimer(firstStateTimeout.Duration())
	defer wait.Stop()
	select {
	case <-r.firstState:
	case <-wait.C:
	case <-req.Context().Done():
	case <-r.node.leaving.pendingCtx.Done():
	}
	return r.table.Load()
}

// maxTargetLines is how many target records a second are logged one by one; larger batches are logged as a count.
const maxTargetLines = 16

// logTargets logs targets that were added, changed or removed.
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

// logSuppressed logs how many target records targetLineLimiter has suppressed.
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

// decodeRegistration returns the registration in a target's record, or nil if the record is deleted or invalid.
func decodeRegistration(x replica.Record) *tlv1.RegisteredTarget {
	t := &tlv1.RegisteredTarget{}
	if x.Deleted || proto.Unmarshal(x.Value, t) != nil {
		return nil
	}
	return t
}

// A target is a process that serves requests of a service.
type target struct {
	id          ident.Target
	service     string
	address     string
	hall        ident.Hall
	slots       int
	leaving     bool
	warmupUntil clock.Millis
	// version is that of the record that the target was read from.
	version uint64
	// generation distinguishes starts of the target under the same id, and seq counts its writes within one generation.
	generation, seq uint64
	// namesStart says that generation is the time of its start, as it names it.
	namesStart bool
}

// newTarget returns the target that registered itself as t in record x.
func newTarget(x replica.Record, t *tlv1.RegisteredTarget) target {
	return target{
		version: x.Version,
		id:      ident.Target(x.Key), service: t.GetService(), address: t.GetAddress(), hall: ident.Hall(t.GetHall()),
		slots: int(t.GetSlots()), leaving: t.GetLeaving(), warmupUntil: x.ReadAt + clock.Millis(t.GetColdMs()),
		generation: uint64(t.GetBorn()), seq: t.GetSeq(), namesStart: t.GetBorn() != 0,
	}
}

// checkOwn returns an error if the target that was known as was cannot have written t: it named its start before and does
// not now, its writes count back within one life, or the store has it from a copy older than its present life.
func (t target) checkOwn(was target) error {
	sameEra := replica.EraOf(t.version) == replica.EraOf(was.version)
	switch {
	case !was.namesStart || t.version == was.version:
		return nil
	case !t.namesStart:
		return errors.New("it does not name its start, and did before")
	case sameEra && t.generation == was.generation && t.seq < was.seq:
		return errors.Newf("write %d of the life that has made %d", t.seq, was.seq)
	case !sameEra && t.generation < was.generation:
		return errors.Newf("life %d from a copy, before the present one %d", t.generation, was.generation)
	}
	return nil
}

// updateTarget returns the new form of a target that was known as was. If it has restarted under its id, idle connections
// to the previous generation are closed, since nothing answers on them.
func (r *records) updateTarget(was, t target) target {
	if was.version == t.version {
		return was
	}
	restored := replica.EraOf(t.version) != replica.EraOf(was.version) && t.seq <= was.seq
	if t.generation == 0 { // the start time is unknown; a lower seq means a restart, or comes from a copy of the store
		t.generation = was.generation
		if t.seq < was.seq && !restored {
			t.generation++
		}
	}
	if t.generation == was.generation {
		if restored {
			t.seq, t.leaving = was.seq, t.leaving || was.leaving
		}
		return t
	}
	r.node.conns.CloseIdle(was.address)
	r.node.log.WithFields(logrus.Fields{
		"event": "target_reborn", "target": t.id, "service": t.service, "address": t.address, "life": t.generation, "was": was.generation,
	}).Warn()
	return t
}

// toWire returns records in the form in which they are sent to other nodes.
func (r *records) toWire(k store.Kind, list []replica.Record) *tlv1.Records {
	now := r.node.clock.Now()
	out := &tlv1.Records{Kind: wireName(k)}
	for _, x := range list {
		out.Records = append(out.Records, &tlv1.Record{
			Key: x.Key, Version: x.Version, Gone: x.Deleted, Value: x.Value, Row: x.Row, AgeMs: int64(max(now-x.ReadAt, 0)),
		})
	}
	return out
}

// receive adds records that another node has sent.
func (r *records) receive(m *tlv1.Records, from string) {
	now := r.node.clock.Now()
	k := kindNamed(m.GetKind())
	list := make([]replica.Record, 0, len(m.GetRecords()))
	for _, x := range m.GetRecords() {
		value, err := r.valueOf(k, x)
		if err != nil {
			r.node.log.WithFields(logrus.Fields{
				"event": "record_unreadable", "key": x.GetKey(), "version": x.GetVersion(), "base": x.GetBase(), "from": from, "error": err,
			}).Info()
			continue
		}
		list = append(list, replica.Record{
			Key: x.GetKey(), Version: x.GetVersion(), Deleted: x.GetGone(), Value: value, Row: x.GetRow(), ReadAt: now - clock.Millis(x.GetAgeMs()),
		})
	}
	if !k.HasOwnVersions() {
		for _, x := range list {
			r.node.duty.noteEra(replica.EraOf(x.Version))
		}
	}
	changed := r.put(k, list, from)
	if m.GetHall() != "" && ident.Hall(m.GetHall()) != r.node.hall() && len(changed) > 0 {
		r.node.duty.forwardToHall(k, changed)
	}
}

// valueOf returns a record's value, decompressed if necessary.
func (r *records) valueOf(k store.Kind, x *tlv1.Record) ([]byte, error) {
	switch {
	case len(x.GetPacked()) == 0:
		return x.GetValue(), nil
	case k != store.State:
		return nil, errors.Newf("packed record of kind %q", k)
	case x.GetVersion() <= r.sets[k].Newest():
		return nil, nil // not newer than the one held, and not needed
	}
	return r.node.stateTransfer.decode(x)
}

// stateSize returns the size in bytes of the newest desired state, uncompressed.
func (r *records) stateSize() (bytes int) {
	for _, x := range r.sets[store.State].Live() {
		bytes += len(x.Value)
	}
	return bytes
}
