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
	// nearReportInterval is the least time between two reports to the service's nodes in this hall, and
	// farEvery to those in others. Failures are told at once.
	nearReportInterval clock.Millis = 20
	farReportInterval  clock.Millis = 500
	// userRetention is how long after its last report a node is told of evidence on a service's targets, and mostUsers how many
	// are besides the carriers, the busiest first: now and then a request comes to each node of the fleet, and each failure
	// would be told to all of them.
	userRetention = 8 * clock.Second
	maxUsers      = 32
)

// A service is what this node knows of one service's targets.
type service struct {
	name  string
	pool  *pool.Pool
	tally tally

	mu             sync.Mutex
	lastNearReport clock.Millis
	lastFarReport  clock.Millis
	flushScheduled bool
	// users are other nodes that were heard to use the service.
	users map[ident.Process]usage
	// paces are how long the requests of each route take.
	paces map[string]*pace
	// carriers are the nodes that carried the service when last looked at.
	carriers map[ident.Process]bool
	// sharers are the nodes that carried the service of late.
	sharers *assign.Sharers
	// idleCheckedAt is when targets without work were last looked for; the tick alone uses it.
	idleCheckedAt clock.Millis
	// lastRequestAt is when a request last came for the service, in milliseconds, and filled says that the pool has its targets.
	lastRequestAt atomic.Int64
	loaded        atomic.Bool
}

// A usage is what a node last said of its requests for a service.
type usage struct {
	reportedAt clock.Millis
	// requests is how many of them had ended of late.
	requests int
}

// services holds the pools of this node.
type services struct {
	node *Node
	// refreshMu is held while targets are looked at.
	refreshMu sync.Mutex
	// lastLayout is who carries what, as of the last look at all targets; it is held with refreshing.
	lastLayout uint64

	mu     sync.Mutex
	byName map[string]*service
	// membersVersion is the version of the membersVersion that the targets were last looked at with.
	membersVersion, carriersGeneration uint64
	// maySend says whether this node might send to cold targets then.
	maySend bool
	// refreshedAt is when the targets were last looked at, and stale says that some have changed since.
	refreshedAt clock.Millis
	stale       bool
	// noTargets says that there were no targets then: the first ones are waited for by requests.
	noTargets bool
	// trialRanks are this node's places among those that try targets.
	trialRanks *trialRanks
	// most is how many nodes there were of late.
	most peak
	// peerBeliefLines bounds how many changes of belief by others' word the log is told of one by one.
	peerBeliefLines *logs.Limiter
}

// maxPeerBeliefLines is the most changes of belief by others' word in a second that are told of one by one.
const maxPeerBeliefLines = 16

func newServices(n *Node) *services {
	return &services{node: n, byName: map[string]*service{}, most: peak{keep: knownFor}, trialRanks: newTrialRanks(n.self.Node), peerBeliefLines: logs.NewLimiter(n.clock, maxPeerBeliefLines)}
}

// get returns the service that a request is for, making it if there is none, with its targets.
func (s *services) get(name string) *service {
	s.mu.Lock()
	svc := s.byName[name]
	if svc == nil {
		svc = s.add(name)
	}
	s.mu.Unlock()
	svc.lastRequestAt.Store(int64(s.node.clock.Now()))
	if !svc.loaded.Load() {
		s.refreshMu.Lock()
		defer s.refreshMu.Unlock()
		if !svc.loaded.Load() {
			s.load(svc, s.poolTargets(s.knownTargets(), map[string]bool{name: true})[name])
		}
	}
	return svc
}

// load gives the service's pool its targets.
func (s *services) load(svc *service, targets []pool.Target) {
	svc.pool.SetFloor(int(s.node.records.book.Load().services[svc.name].GetService().GetFloorSlots()))
	svc.pool.SetTargets(targets)
	svc.loaded.Store(true)
}

// poolRetention is how long a node that does not carry a service keeps its targets ready after a request for it: as long as callers
// that were sent here may come. Now and then a request comes to each node of the fleet, and what changes would cost them all.
const poolRetention = 5 * clock.Second

// needsTargets says whether this node holds the service's targets ready: it carries the service, or was asked for it of late. The
// others of a hall, which are most, hold the records alone.
func (s *services) needsTargets(svc *service) bool {
	at := clock.Millis(svc.lastRequestAt.Load())
	return at > 0 && s.node.clock.Now()-at < poolRetention || s.node.carriers.carries(svc.name)
}

// add makes a service with the targets that are known. The caller holds the lock.
func (s *services) add(name string) *service {
	n := s.node
	r := n.settings().Retries
	svc := &service{name: name, users: map[ident.Process]usage{}, paces: map[string]*pace{}, sharers: assign.NewSharers()}
	b := pool.NewRetryBudget(n.clock, r.Ratio*pool.RatioShare, s.slack(svc, true), r.Window.Millis())
	svc.pool = pool.New(n.tuning, n.clock, newRand(), b, func(w pool.ChangeKind, of ident.Hall) { s.report(svc, w, of) },
		func(e pool.Event) { s.recordEvent(svc, e) })
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

// knownTargets returns all targets that registered themselves or that documents name.
func (s *services) knownTargets() []target {
	registered, named := s.node.records.targets(), s.node.records.book.Load().targets()
	if len(named) == 0 {
		return registered
	}
	return slices.Concat(registered, named)
}

// poolTargets returns the poolTargets of the services named, of those known, as pools take them; nil stands for all services.
func (s *services) poolTargets(known []target, only map[string]bool) map[string][]pool.Target {
	byService := map[string][]pool.Target{}
	halls := s.node.carriers.halls()
	carried := map[string]bool{}
	for _, name := range s.serviceNames() {
		carried[name] = s.node.carriers.carries(name)
	}
	s.trialRanks.update(s.node.carriers)
	place := s.node.placing()
	for _, t := range known {
		if only != nil && !only[t.service] {
			continue
		}
		near := t.hall == s.node.hall()
		trialRank := -1
		if carried[t.service] && (near || !slices.Contains(halls, t.hall)) {
			trialRank = s.trialRanks.rank(t, near)
		}
		until, rate := place.cold(t, trialRank)
		byService[t.service] = append(byService[t.service], pool.Target{
			ID: t.id, Address: t.address, Slots: t.slots, Leaving: t.leaving, WarmAt: max(t.warmAt, until), Life: t.life,
			Hall: t.hall, SameHall: near, OtherRegion: s.node.isAbroad(t.hall), Assigned: trialRank >= 0, TrialRank: max(trialRank, 0),
			Evacuated: place.evacuations[t.hall].inForce, WarmupUntil: until, WarmupRate: rate,
		})
	}
	return byService
}

// minRefreshInterval is the least time between two looks at all targets because some changed: while a fleet starts, thousands
// of records come eight to a datagram, and a look costs time by the number of targets.
const minRefreshInterval clock.Millis = 100

// targetsChanged takes over the targets that are known now, at once or, if that was just done, soon.
func (s *services) targetsChanged() {
	s.mu.Lock()
	now := s.node.clock.Now()
	wait := now-s.refreshedAt < minRefreshInterval && !s.noTargets
	s.stale = true
	s.mu.Unlock()
	if !wait {
		s.refreshChanged()
	}
}

// refresh takes over the targets that are known now, of all services.
func (s *services) refresh() {
	s.refreshMu.Lock()
	defer s.refreshMu.Unlock()
	s.node.records.touchedServices()
	s.refreshServices(nil)
}

// refreshChanged does the same of the services whose targets have changed, as long as members and carriers are those
// that all were last looked at with.
func (s *services) refreshChanged() {
	s.refreshMu.Lock()
	defer s.refreshMu.Unlock()
	s.refreshServices(s.node.records.touchedServices())
}

// refreshServices takes over the targets of the services named; nil stands for all. The caller holds the lock, so that of two
// looks at the targets the later one stays.
func (s *services) refreshServices(touched map[string]bool) {
	s.mu.Lock()
	s.refreshedAt, s.stale = s.node.clock.Now(), false
	s.mu.Unlock()
	slots, count := s.node.records.targetSlots()
	for _, t := range s.node.records.book.Load().targets() {
		slots[t.service] += t.slots
		count++
	}
	s.mu.Lock()
	s.noTargets = count == 0
	s.mu.Unlock()
	s.node.carriers.setSlots(slots)
	if laid := s.layoutHash(); laid != s.lastLayout { // whose part a target is depends on it
		touched, s.lastLayout = nil, laid
	}
	s.mu.Lock()
	for _, name := range s.serviceNames() {
		if s.byName[name] == nil {
			s.add(name)
		}
	}
	s.mu.Unlock()
	needed := map[string]bool{}
	for _, svc := range s.all() {
		switch {
		case s.needsTargets(svc):
			if touched == nil || touched[svc.name] || !svc.loaded.Load() {
				needed[svc.name] = true
			}
		case svc.loaded.Swap(false):
			svc.pool.SetTargets(nil)
		}
	}
	if len(needed) == 0 {
		return
	}
	targets := s.poolTargets(s.knownTargets(), needed)
	for _, svc := range s.all() {
		if needed[svc.name] {
			s.load(svc, targets[svc.name])
		}
	}
}

// count returns how many targets requests may go to by what this node knows, whether it holds them ready or not.
func (s *services) count() (targets int) {
	held := map[string]bool{}
	for _, svc := range s.all() {
		if svc.loaded.Load() {
			held[svc.name] = true
			targets += svc.pool.Stats().Targets
		}
	}
	if len(held) == 0 {
		_, registered := s.node.records.targetSlots()
		return registered + len(s.node.records.book.Load().targets())
	}
	for _, t := range s.knownTargets() {
		if !held[t.service] {
			targets++
		}
	}
	return targets
}

// layoutHash sums up who carries what, in which halls, and whether this node sends to cold targets: with the same, targets that
// have not changed are used as before.
func (s *services) layoutHash() uint64 {
	x := xxhash.New()
	for _, h := range s.node.carriers.halls() {
		_, _ = x.WriteString(string(h) + "\x00")
	}
	for _, name := range slices.Sorted(slices.Values(s.serviceNames())) {
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

// layoutChanged says whether targets are to be used in another way than at the last look at all of them.
func (s *services) layoutChanged() bool {
	s.refreshMu.Lock()
	defer s.refreshMu.Unlock()
	return s.layoutHash() != s.lastLayout
}

// serviceNames returns the services that the desired state and the documents name.
func (s *services) serviceNames() []string {
	names := slices.Collect(maps.Keys(s.node.records.book.Load().services))
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
	if wait := nearReportInterval - (now - svc.lastNearReport); w == pool.LocalLoad && wait > 0 {
		if !svc.flushScheduled {
			svc.flushScheduled = true
			time.AfterFunc(wait.Duration(), func() { s.flush(svc) })
		}
		svc.mu.Unlock()
		return
	}
	to := sameHallCarriers
	switch {
	case w == pool.HealthEvidence:
		to, svc.lastFarReport = allUsers, now
	case now-svc.lastFarReport >= farReportInterval:
		to, svc.lastFarReport = allCarriers, now
	case w == pool.RemoteLoad:
		to = targetHallCarriers
	}
	svc.lastNearReport = now
	svc.mu.Unlock()
	s.send(svc, to, of)
}

// An audience says which other nodes a report is for.
type audience int

// Audiences, each with the ones before it.
const (
	// sameHallCarriers are the nodes of this hall that carry the service.
	sameHallCarriers audience = iota
	// targetHallCarriers are those of a target's hall: whoever else uses it learns of its load now and then.
	targetHallCarriers
	// allCarriers are those of all halls.
	allCarriers
	// allUsers are all nodes that used the service of late.
	allUsers
)

// flush sends what waited to be told.
func (s *services) flush(svc *service) {
	svc.mu.Lock()
	svc.flushScheduled = false
	svc.mu.Unlock()
	s.report(svc, pool.LocalLoad, s.node.hall())
}

func (s *services) send(svc *service, to audience, of ident.Hall) {
	n := s.node
	r := svc.pool.Report(false)
	if r == nil {
		return
	}
	s.setSender(svc, r)
	members := n.carriers.inOwnHall(svc.name)
	switch to {
	case targetHallCarriers:
		members = slices.Concat(members, n.carriers.inHall(n.carriers.groupOf(svc.name), of))
	case allCarriers:
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
		case now-u.reportedAt > userRetention:
			delete(svc.users, p)
		case !carry[p]:
			asked[p] = u.requests
		}
	}
	svc.mu.Unlock()
	list := slices.Clone(carriers)
	for _, p := range assign.Busiest(asked, maxUsers) {
		if m := s.node.members.Get(p.Node); m != nil && processOf(m) == p {
			list = append(list, m)
		}
	}
	return list
}

func (s *services) setSender(svc *service, r *tlv1.Report) {
	r.Node, r.Incarnation, r.Service = string(s.node.self.Node), uint64(s.node.self.Incarnation), svc.name
}

// reportLoads tells other nodes now and then of requests that have been in flight for long.
func (s *services) reportLoads() {
	now := s.node.clock.Now()
	for _, svc := range s.all() {
		svc.mu.Lock()
		due := now-svc.lastFarReport >= farReportInterval
		if due {
			svc.lastFarReport = now
		}
		svc.mu.Unlock()
		if due {
			s.send(svc, allCarriers, s.node.hall())
		}
	}
}

// tick follows the members, and keeps other nodes told.
func (s *services) tick() {
	s.mu.Lock()
	v, g := s.node.members.Version(), s.node.carriers.currentGeneration()
	sends := s.node.coldView().MaySend()
	changed, stale := v != s.membersVersion || g != s.carriersGeneration || sends != s.maySend, s.stale
	s.membersVersion, s.carriersGeneration, s.maySend = v, g, sends
	s.mu.Unlock()
	s.reportLoads()
	s.logSummaries()
	s.logIdleTargets()
	s.wake()
	s.deal()
	switch {
	case changed:
		if s.layoutChanged() {
			s.refresh()
		} else if stale {
			s.refreshChanged()
		}
		s.reportToNewCarriers()
	case stale:
		s.refreshChanged()
	}
}

// wake gives requests to cold targets as their rates allow.
func (s *services) wake() {
	for _, svc := range s.all() {
		svc.pool.Wake()
	}
}

// logSummaries tells the log of the requests of each service now and then, and of what was not told one by one.
func (s *services) logSummaries() {
	now := s.node.clock.Now()
	if more := s.peerBeliefLines.TakeSuppressed(); more > 0 {
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

// reportToNewCarriers tells nodes that have come to carry a service all that this one knows of it, if it carries
// the service too.
func (s *services) reportToNewCarriers() {
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
		s.setSender(svc, r)
		for part := range slices.Chunk(r.GetSeen(), seenPerParcel) {
			one := &tlv1.Report{Node: r.Node, Incarnation: r.Incarnation, Seq: r.Seq, Service: r.Service, Seen: part, Asked: r.Asked, Unserved: r.Unserved, Failed: r.Failed}
			n := gossipAddresses(fresh, func(*tlv1.Member) bool { return true })
			s.node.wire.send(&tlv1.Parcel{Body: &tlv1.Parcel_Report{Report: one}}, n...)
		}
	}
}

// seenPerParcel bounds one datagram of what was seen.
const seenPerParcel = 24

// handleReport takes in another node's report.
func (s *services) handleReport(r *tlv1.Report) {
	if r.GetNode() == string(s.node.self.Node) {
		return
	}
	s.mu.Lock()
	svc := s.byName[r.GetService()]
	s.mu.Unlock()
	if svc == nil || !svc.loaded.Load() {
		return
	}
	from := ident.Process{Node: ident.Node(r.GetNode()), Incarnation: ident.Incarnation(r.GetIncarnation())}
	svc.mu.Lock()
	svc.users[from] = usage{reportedAt: s.node.clock.Now(), requests: int(r.GetAsked())}
	svc.mu.Unlock()
	svc.pool.ApplyReport(from, r)
}

// loadedServices returns the services whose targets this node holds ready.
func (s *services) loadedServices() (names []string) {
	for _, svc := range s.all() {
		if svc.loaded.Load() {
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
			s.setSender(svc, r)
			list = append(list, r)
		}
	}
	return list
}

// recordEvent tells of a change in what is believed of a target. Each node that changes its mind puts it into
// the night's report, by whoever's word: one node's word may move those that hear it over the bound, and
// not that node itself. Only the nodes that carry or use a service hear of its targets.
func (s *services) recordEvent(svc *service, e pool.Event) {
	s.node.metrics.belief(e.Kind)
	if e.By == "" || s.peerBeliefLines.Allow() {
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
