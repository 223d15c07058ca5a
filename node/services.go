package node

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"
	"github.com/tinladder/tinladder/assign"
	"github.com/tinladder/tinladder/clock"
	"github.com/tinladder/tinladder/ident"
	"github.com/tinladder/tinladder/logs"
	"github.com/tinladder/tinladder/pool"
	tlv1 "github.com/tinladder/tinladder/schema/tinladder/v1"
)

const (
	// nearEvery is the least time between two reports to the service's nodes in this hall, and
	// farEvery to those in others. Failures are told at once.
	nearEvery clock.Millis = 20
	farEvery  clock.Millis = 500
	// usedFor is how long after its last report a node is told of evidence on a service's targets, and mostUsers how many
	// are besides the carriers, the busiest first: now and then a request comes to each node of the fleet, and each failure
	// would be told to all of them.
	usedFor   = 8 * clock.Second
	mostUsers = 32
)

// A service is what this node knows of one service's targets.
type service struct {
	name  string
	pool  *pool.Pool
	tally tally

	mu     sync.Mutex
	nearAt clock.Millis
	farAt  clock.Millis
	queued bool
	// users are other nodes that were heard to use the service.
	users map[ident.Process]use
	// paces are how long the requests of each route take.
	paces map[string]*pace
	// carriers are the nodes that carried the service when last looked at.
	carriers map[ident.Process]bool
	// sharers are the nodes that carried the service of late.
	sharers *assign.Sharers
	// idleAt is when targets without work were last looked for; the tick alone uses it.
	idleAt clock.Millis
	// askedAt is when a request last came for the service, in milliseconds, and filled says that the pool has its targets.
	askedAt atomic.Int64
	filled  atomic.Bool
}

// A use is what a node last said of its requests for a service.
type use struct {
	at clock.Millis
	// asked is how many of them had ended of late.
	asked int
}

// services holds the pools of this node.
type services struct {
	node *Node
	// refreshing is held while targets are looked at.
	refreshing sync.Mutex
	// laid is who carries what, as of the last look at all targets; it is held with refreshing.
	laid uint64

	mu     sync.Mutex
	byName map[string]*service
	// members is the version of the members that the targets were last looked at with.
	members, carriers uint64
	// sends says whether this node might send to cold targets then.
	sends bool
	// refreshedAt is when the targets were last looked at, and stale says that some have changed since.
	refreshedAt clock.Millis
	stale       bool
	// none says that there were no targets then: the first ones are waited for by requests.
	none bool
	// turns are this node's places among those that try targets.
	turns *turns
	// most is how many nodes there were of late.
	most peak
	// lines bounds how many changes of belief by others' word the log is told of one by one.
	lines *logs.Limiter
}

// toldBeliefs is the most changes of belief by others' word in a second that are told of one by one.
const toldBeliefs = 16

func newServices(n *Node) *services {
	return &services{node: n, byName: map[string]*service{}, most: peak{keep: knownFor}, turns: newTurns(n.self.Node), lines: logs.NewLimiter(n.clock, toldBeliefs)}
}

// get returns the service that a request is for, making it if there is none, with its targets.
func (s *services) get(name string) *service {
	s.mu.Lock()
	svc := s.byName[name]
	if svc == nil {
		svc = s.add(name)
	}
	s.mu.Unlock()
	svc.askedAt.Store(int64(s.node.clock.Now()))
	if !svc.filled.Load() {
		s.refreshing.Lock()
		defer s.refreshing.Unlock()
		if !svc.filled.Load() {
			s.fill(svc, s.targets(s.known(), map[string]bool{name: true})[name])
		}
	}
	return svc
}

// fill gives the service's pool its targets.
func (s *services) fill(svc *service, targets []pool.Target) {
	svc.pool.SetFloor(int(s.node.records.documents.Load().services[svc.name].GetService().GetFloorSlots()))
	svc.pool.SetTargets(targets)
	svc.filled.Store(true)
}

// keepFor is how long a node that does not carry a service keeps its targets ready after a request for it: as long as callers
// that were sent here may come. Now and then a request comes to each node of the fleet, and what changes would cost them all.
const keepFor = 5 * clock.Second

// needs says whether this node holds the service's targets ready: it carries the service, or was asked for it of late. The
// others of a hall, which are most, hold the records alone.
func (s *services) needs(svc *service) bool {
	at := clock.Millis(svc.askedAt.Load())
	return at > 0 && s.node.clock.Now()-at < keepFor || s.node.carriers.carries(svc.name)
}

// add makes a service with the targets that are known. The caller holds the lock.
func (s *services) add(name string) *service {
	n := s.node
	r := n.settings().Retries
	svc := &service{name: name, users: map[ident.Process]use{}, paces: map[string]*pace{}, sharers: assign.NewSharers()}
	b := pool.NewRetryBudget(n.clock, r.Ratio*pool.RatioShare, s.slack(svc, true), r.Window.Millis())
	svc.pool = pool.New(n.tuning, n.clock, newRand(), b, func(w pool.ChangeKind, of ident.Hall) { s.report(svc, w, of) },
		func(e pool.Event) { s.note(svc, e) })
	s.byName[name] = svc
	return svc
}

// pace returns how long the route's requests take at the service. It keeps no more than maxPaces, and
// forgets all when there are more: routes come and go.
func (s *service) pace(route string, c clock.Clock) *pace {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.paces[route]
	if p == nil {
		if len(s.paces) >= maxPaces {
			clear(s.paces)
		}
		p = newPace(c)
		s.paces[route] = p
	}
	return p
}

// maxPaces bounds the routes of one service whose pace is kept, at 4 KB each.
const maxPaces = 64

// all returns the services, by name.
func (s *services) all() []*service {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]*service, 0, len(s.byName))
	for _, svc := range s.byName {
		list = append(list, svc)
	}
	slices.SortFunc(list, func(a, b *service) int { return cmp.Compare(a.name, b.name) })
	return list
}

// known returns all targets that registered themselves or that documents name.
func (s *services) known() []target {
	registered, named := s.node.records.targets(), s.node.records.documents.Load().targets()
	if len(named) == 0 {
		return registered
	}
	return slices.Concat(registered, named)
}

// targets returns the targets of the services named, of those known, as pools take them; nil stands for all services.
func (s *services) targets(known []target, only map[string]bool) map[string][]pool.Target {
	byService := map[string][]pool.Target{}
	halls := s.node.carriers.halls()
	carried := map[string]bool{}
	for _, name := range s.named() {
		carried[name] = s.node.carriers.carries(name)
	}
	s.turns.begin(s.node.carriers)
	place := s.node.placing()
	for _, t := range known {
		if only != nil && !only[t.service] {
			continue
		}
		near := t.hall == s.node.hall()
		turn := -1
		if carried[t.service] && (near || !slices.Contains(halls, t.hall)) {
			turn = s.turns.of(t, near)
		}
		until, rate := place.cold(t, turn)
		byService[t.service] = append(byService[t.service], pool.Target{
			ID: t.id, Address: t.address, Slots: t.slots, Leaving: t.leaving, WarmAt: max(t.warmupUntil, until), Life: t.generation,
			Hall: t.hall, SameHall: near, OtherRegion: s.node.isAbroad(t.hall), Assigned: turn >= 0, TrialRank: max(turn, 0),
			Evacuated: place.evacuations[t.hall].inForce, WarmupUntil: until, WarmupRate: rate,
		})
	}
	return byService
}

// refreshPause is the least time between two looks at all targets because some changed: while a fleet starts, thousands
// of records come eight to a datagram, and a look costs time by the number of targets.
const refreshPause clock.Millis = 100

// targetsChanged takes over the targets that are known now, at once or, if that was just done, soon.
func (s *services) targetsChanged() {
	s.mu.Lock()
	now := s.node.clock.Now()
	wait := now-s.refreshedAt < refreshPause && !s.none
	s.stale = true
	s.mu.Unlock()
	if !wait {
		s.refreshTouched()
	}
}

// refresh takes over the targets that are known now, of all services.
func (s *services) refresh() {
	s.refreshing.Lock()
	defer s.refreshing.Unlock()
	s.node.records.takeChangedServices()
	s.refreshOf(nil)
}

// refreshTouched does the same of the services whose targets have changed, as long as members and carriers are those
// that all were last looked at with.
func (s *services) refreshTouched() {
	s.refreshing.Lock()
	defer s.refreshing.Unlock()
	s.refreshOf(s.node.records.takeChangedServices())
}

// refreshOf takes over the targets of the services named; nil stands for all. The caller holds the lock, so that of two
// looks at the targets the later one stays.
func (s *services) refreshOf(touched map[string]bool) {
	s.mu.Lock()
	s.refreshedAt, s.stale = s.node.clock.Now(), false
	s.mu.Unlock()
	slots, count := s.node.records.targetSlots()
	for _, t := range s.node.records.documents.Load().targets() {
		slots[t.service] += t.slots
		count++
	}
	s.mu.Lock()
	s.none = count == 0
	s.mu.Unlock()
	s.node.carriers.setSlots(slots)
	if laid := s.layout(); laid != s.laid { // whose part a target is depends on it
		touched, s.laid = nil, laid
	}
	s.mu.Lock()
	for _, name := range s.named() {
		if s.byName[name] == nil {
			s.add(name)
		}
	}
	s.mu.Unlock()
	needed := map[string]bool{}
	for _, svc := range s.all() {
		switch {
		case s.needs(svc):
			if touched == nil || touched[svc.name] || !svc.filled.Load() {
				needed[svc.name] = true
			}
		case svc.filled.Swap(false):
			svc.pool.SetTargets(nil)
		}
	}
	if len(needed) == 0 {
		return
	}
	targets := s.targets(s.known(), needed)
	for _, svc := range s.all() {
		if needed[svc.name] {
			s.fill(svc, targets[svc.name])
		}
	}
}

// count returns how many targets requests may go to by what this node knows, whether it holds them ready or not.
func (s *services) count() (targets int) {
	held := map[string]bool{}
	for _, svc := range s.all() {
		if svc.filled.Load() {
			held[svc.name] = true
			targets += svc.pool.Stats().Targets
		}
	}
	if len(held) == 0 {
		_, registered := s.node.records.targetSlots()
		return registered + len(s.node.records.documents.Load().targets())
	}
	for _, t := range s.known() {
		if !held[t.service] {
			targets++
		}
	}
	return targets
}

// layout sums up who carries what, in which halls, and whether this node sends to cold targets: with the same, targets that
// have not changed are used as before.
func (s *services) layout() uint64 {
	x := xxhash.New()
	for _, h := range s.node.carriers.halls() {
		_, _ = x.WriteString(string(h) + "\x00")
	}
	for _, name := range slices.Sorted(slices.Values(s.named())) {
		_, _ = x.WriteString(name + "\x01")
		for _, m := range s.node.carriers.all(name) {
			_, _ = x.WriteString(m.GetNode() + "\x00")
		}
	}
	if s.node.coldView().MaySend() {
		_, _ = x.WriteString("\x02")
	}
	return x.Sum64()
}

// relaid says whether targets are to be used in another way than at the last look at all of them.
func (s *services) relaid() bool {
	s.refreshing.Lock()
	defer s.refreshing.Unlock()
	return s.layout() != s.laid
}

// named returns the services that the desired state and the documents name.
func (s *services) named() []string {
	names := slices.Collect(maps.Keys(s.node.records.documents.Load().services))
	if t := s.node.records.table.Load(); t != nil {
		names = slices.AppendSeq(names, maps.Keys(t.Services))
	}
	return names
}

// report tells the service's other nodes what this one has seen: its load those of this hall, soon; the load of a
// target of another hall, that hall too, at once; evidence, all, at once.
func (s *services) report(svc *service, w pool.ChangeKind, of ident.Hall) {
	now := s.node.clock.Now()
	svc.mu.Lock()
	if wait := nearEvery - (now - svc.nearAt); w == pool.LocalLoad && wait > 0 {
		if !svc.queued {
			svc.queued = true
			time.AfterFunc(wait.Duration(), func() { s.flush(svc) })
		}
		svc.mu.Unlock()
		return
	}
	to := carriersNear
	switch {
	case w == pool.HealthEvidence:
		to, svc.farAt = allUsers, now
	case now-svc.farAt >= farEvery:
		to, svc.farAt = carriersAll, now
	case w == pool.RemoteLoad:
		to = carriersOf
	}
	svc.nearAt = now
	svc.mu.Unlock()
	s.send(svc, to, of)
}

// An audience says which other nodes a report is for.
type audience int

// Audiences, each with the ones before it.
const (
	// carriersNear are the nodes of this hall that carry the service.
	carriersNear audience = iota
	// carriersOf are those of a target's hall: whoever else uses it learns of its load now and then.
	carriersOf
	// carriersAll are those of all halls.
	carriersAll
	// allUsers are all nodes that used the service of late.
	allUsers
)

// flush sends what waited to be told.
func (s *services) flush(svc *service) {
	svc.mu.Lock()
	svc.queued = false
	svc.mu.Unlock()
	s.report(svc, pool.LocalLoad, s.node.hall())
}

func (s *services) send(svc *service, to audience, of ident.Hall) {
	n := s.node
	r := svc.pool.Report(false)
	if r == nil {
		return
	}
	s.sign(svc, r)
	members := n.carriers.near(svc.name)
	switch to {
	case carriersOf:
		members = slices.Concat(members, n.carriers.inHall(n.carriers.groupOf(svc.name), of))
	case carriersAll:
		members = n.carriers.all(svc.name)
	case allUsers:
		members = s.withUsers(svc, n.carriers.all(svc.name))
	}
	addresses := gossipAddresses(members, func(m *tlv1.Member) bool { return m.GetNode() != string(n.self.Node) })
	n.wire.send(&tlv1.Parcel{Body: &tlv1.Parcel_Report{Report: r}}, addresses...)
}

// withUsers adds the nodes that used the service the most of late to those that carry it.
func (s *services) withUsers(svc *service, carriers []*tlv1.Member) []*tlv1.Member {
	now := s.node.clock.Now()
	carry := map[ident.Process]bool{}
	for _, m := range carriers {
		carry[processOf(m)] = true
	}
	asked := map[ident.Process]int{}
	svc.mu.Lock()
	for p, u := range svc.users {
		switch {
		case now-u.at > usedFor:
			delete(svc.users, p)
		case !carry[p]:
			asked[p] = u.asked
		}
	}
	svc.mu.Unlock()
	list := slices.Clone(carriers)
	for _, p := range assign.Busiest(asked, mostUsers) {
		if m := s.node.members.Get(p.Node); m != nil && processOf(m) == p {
			list = append(list, m)
		}
	}
	return list
}

func (s *services) sign(svc *service, r *tlv1.Report) {
	r.Node, r.Incarnation, r.Service = string(s.node.self.Node), uint64(s.node.self.Incarnation), svc.name
}

// refreshLoad tells other nodes now and then of requests that have been in flight for long.
func (s *services) refreshLoad() {
	now := s.node.clock.Now()
	for _, svc := range s.all() {
		svc.mu.Lock()
		due := now-svc.farAt >= farEvery
		if due {
			svc.farAt = now
		}
		svc.mu.Unlock()
		if due {
			s.send(svc, carriersAll, s.node.hall())
		}
	}
}

// tick follows the members, and keeps other nodes told.
func (s *services) tick() {
	s.mu.Lock()
	v, g := s.node.members.Version(), s.node.carriers.changes()
	sends := s.node.coldView().MaySend()
	changed, stale := v != s.members || g != s.carriers || sends != s.sends, s.stale
	s.members, s.carriers, s.sends = v, g, sends
	s.mu.Unlock()
	s.refreshLoad()
	s.tellSums()
	s.tellIdle()
	s.wake()
	s.deal()
	switch {
	case changed:
		if s.relaid() {
			s.refresh()
		} else if stale {
			s.refreshTouched()
		}
		s.welcome()
	case stale:
		s.refreshTouched()
	}
}

// wake gives requests to cold targets as their rates allow.
func (s *services) wake() {
	for _, svc := range s.all() {
		svc.pool.Wake()
	}
}

// tellSums tells the log of the requests of each service now and then, and of what was not told one by one.
func (s *services) tellSums() {
	now := s.node.clock.Now()
	if more := s.lines.TakeSuppressed(); more > 0 {
		s.node.log.WithFields(logrus.Fields{"event": "target_beliefs", "count": more, "by": "peers"}).Info()
	}
	for _, svc := range s.all() {
		if f := svc.tally.sum(now); f != nil {
			st := svc.pool.Stats()
			f["service"], f["waiting"], f["targets"], f["usable"] = svc.name, st.Waiting, st.Targets, st.Usable
			s.node.log.WithFields(f).Info()
		}
	}
}

// welcome tells nodes that have come to carry a service all that this one knows of it, if it carries
// the service too.
func (s *services) welcome() {
	for _, svc := range s.all() {
		now := map[ident.Process]bool{}
		var fresh []*tlv1.Member
		for _, m := range s.node.carriers.all(svc.name) {
			p := processOf(m)
			now[p] = true
			if p != s.node.self && !svc.carriers[p] {
				fresh = append(fresh, m)
			}
		}
		carried := svc.carriers[s.node.self]
		svc.carriers = now
		if !carried || len(fresh) == 0 {
			continue
		}
		r := svc.pool.Report(true)
		s.sign(svc, r)
		for part := range slices.Chunk(r.GetSeen(), seenPerParcel) {
			one := &tlv1.Report{Node: r.Node, Incarnation: r.Incarnation, Seq: r.Seq, Service: r.Service, Seen: part, Asked: r.Asked, Unserved: r.Unserved, Failed: r.Failed}
			n := gossipAddresses(fresh, func(*tlv1.Member) bool { return true })
			s.node.wire.send(&tlv1.Parcel{Body: &tlv1.Parcel_Report{Report: one}}, n...)
		}
	}
}

// seenPerParcel bounds one datagram of what was seen.
const seenPerParcel = 24

// hear takes in another node's report.
func (s *services) hear(r *tlv1.Report) {
	if r.GetNode() == string(s.node.self.Node) {
		return
	}
	s.mu.Lock()
	svc := s.byName[r.GetService()]
	s.mu.Unlock()
	if svc == nil || !svc.filled.Load() {
		return
	}
	from := ident.Process{Node: ident.Node(r.GetNode()), Incarnation: ident.Incarnation(r.GetIncarnation())}
	svc.mu.Lock()
	svc.users[from] = use{at: s.node.clock.Now(), asked: int(r.GetAsked())}
	svc.mu.Unlock()
	svc.pool.ApplyReport(from, r)
}

// needed returns the services whose targets this node holds ready.
func (s *services) needed() (names []string) {
	for _, svc := range s.all() {
		if svc.filled.Load() {
			names = append(names, svc.name)
		}
	}
	return names
}

// reports returns all that this node has seen, of the services that the node has use for that asks.
func (s *services) reports(req *tlv1.SyncRequest) []*tlv1.Report {
	var list []*tlv1.Report
	for _, svc := range s.all() {
		if req.GetPacks() && !slices.Contains(req.GetServices(), svc.name) {
			continue
		}
		if r := svc.pool.Report(true); r != nil && len(r.GetSeen()) > 0 {
			s.sign(svc, r)
			list = append(list, r)
		}
	}
	return list
}

// note tells of a change in what is believed of a target. Each node that changes its mind puts it into
// the night's report, by whoever's word: one node's word may move those that hear it over the bound, and
// not that node itself. Only the nodes that carry or use a service hear of its targets.
func (s *services) note(svc *service, e pool.Event) {
	s.node.metrics.belief(e.Kind)
	if e.By == "" || s.lines.Allow() {
		s.node.log.WithFields(logrus.Fields{
			"event": e.Kind, "service": svc.name, "target": e.Target, "failing": fmt.Sprintf("%.2f", e.Failing), "by": e.By,
		}).Info()
	}
	kind, told := eventKinds[e.Kind]
	name, err := ident.ParseService(svc.name)
	if !told || err != nil {
		return
	}
	s.node.events.add(&tlv1.Event{Kind: kind, Workspace: string(name.Workspace), Service: name.Name, Target: string(e.Target)})
}

// eventKinds are the events that operators find in their report.
var eventKinds = map[pool.EventKind]tlv1.EventKind{
	pool.TargetAvoided:  tlv1.EventKind_EVENT_KIND_EJECTED,
	pool.TargetReturned: tlv1.EventKind_EVENT_KIND_READMITTED,
}
