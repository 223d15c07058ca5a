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
	"github.com/tinladder/tinladder/pool/urgency"
	"github.com/tinladder/tinladder/report"
	tlv1 "github.com/tinladder/tinladder/schema/tinladder/v1"
)

const (
	// userRetention is how long after its last report a node receives evidence on a service's targets. At most maxUsers
	// nodes besides the carriers do, the busiest first: occasional requests reach every node of the fleet, and each failure
	// would otherwise be reported to all of them.
	userRetention = 8 * clock.Second
	maxUsers      = 32
)

// A service is this node's state of one service and its targets.
type service struct {
	name  string
	pool  *pool.Pool
	tally tally

	mu sync.Mutex
	// reports is the schedule of load reports to other nodes.
	reports *report.Schedule
	// users are the other nodes that reported requests for the service.
	users map[ident.Process]usage
	// routeStats are the durations of requests, by route.
	routeStats map[string]*routeStats
	// carriers are the nodes that carried the service at the last check.
	carriers map[ident.Process]bool
	// sharers are the nodes that carried the service recently.
	sharers *assign.Sharers
	// holdsShare reports whether this node has a carrier's share of the retry slack.
	holdsShare atomic.Bool
	// budgetLog is used by tick only.
	budgetLog budgetLog
	// idleCheckedAt is the time of the last search for targets without work; used by tick only.
	idleCheckedAt clock.Millis
	// lastRequestAt is the time of the last request for the service, in milliseconds.
	lastRequestAt atomic.Int64
	// loaded reports whether the pool has its targets.
	loaded atomic.Bool
}

// A usage is what a node last reported of its requests for a service.
type usage struct {
	reportedAt clock.Millis
	// requests is the number of them that ended recently.
	requests int
}

// services holds the services of this node and their pools.
type services struct {
	node *Node
	// refreshMu serializes refreshes of the targets.
	refreshMu sync.Mutex
	// lastLayout is the layoutHash of the last refresh; guarded by refreshMu.
	lastLayout uint64

	mu     sync.Mutex
	byName map[string]*service
	// membersVersion and carriersGeneration are those of the last refresh.
	membersVersion, carriersGeneration uint64
	// maySend reports whether this node was allowed to send to targets that are warming up then.
	maySend bool
	// refreshedAt is the time of the last refresh; stale is set when targets have changed since.
	refreshedAt clock.Millis
	stale       bool
	// noTargets is set while no target is known. The first ones are then taken over at once: requests wait for them.
	noTargets  bool
	trialRanks *trialRanks
	// peakNodes is the recent maximum of the number of nodes.
	peakNodes recentMax
	// newlyLimited are the services with a target that named a limit, or another one, since the last refresh.
	newlyLimited map[string]bool
	// peerBeliefLines limits the log lines about changes of belief that other nodes' reports caused.
	peerBeliefLines *logs.Limiter
}

// maxPeerBeliefLines is the maximum of such lines in a second.
const maxPeerBeliefLines = 16

func newServices(n *Node) *services {
	return &services{node: n, byName: map[string]*service{}, newlyLimited: map[string]bool{}, peakNodes: recentMax{window: peakNodesWindow}, trialRanks: newTrialRanks(n.self.Node), peerBeliefLines: logs.NewLimiter(n.clock, maxPeerBeliefLines)}
}

// get returns the service with its targets loaded, creating it if necessary.
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

// load sets the targets of the service's pool.
func (s *services) load(svc *service, targets []pool.Target) {
	svc.pool.SetFloor(int(s.node.records.documents.Load().services[svc.name].GetService().GetFloorSlots()))
	svc.pool.SetTargets(targets)
	svc.loaded.Store(true)
}

// poolRetention is how long after a request a node that does not carry the service keeps its targets loaded, as more callers
// may have been sent here. Occasional requests reach every node of the fleet; reporting every change to all of them is costly.
const poolRetention = 5 * clock.Second

// needsTargets reports whether this node keeps the service's targets loaded: it carries the service or had a recent request
// for it. Most nodes of a hall hold only the records.
func (s *services) needsTargets(svc *service) bool {
	at := clock.Millis(svc.lastRequestAt.Load())
	return at > 0 && s.node.clock.Now()-at < poolRetention || s.node.carriers.carries(svc.name) || svc.pool.CutOff()
}

// add creates a service. The caller holds s.mu.
func (s *services) add(name string) *service {
	n := s.node
	r := n.settings().Retries
	svc := &service{name: name, users: map[ident.Process]usage{}, routeStats: map[string]*routeStats{}, sharers: assign.NewSharers(), reports: report.New()}
	b := pool.NewRetryBudget(n.clock, newRand(), r.Ratio*pool.RatioShare, 0, r.Window.Millis())
	b.SetSlack(s.slackShare(svc, true))
	svc.pool = pool.New(n.tuning, n.clock, newRand(), b, func(w pool.ChangeKind, of ident.Hall) { s.report(svc, w, of) },
		func(e pool.Event) { s.recordEvent(svc, e) })
	s.byName[name] = svc
	return svc
}

// statsFor returns the durations of the route's requests. At maxRouteStats routes it discards all of them, since routes come and go.
func (s *service) statsFor(route string, c clock.Clock) *routeStats {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.routeStats[route]
	if p == nil {
		if len(s.routeStats) >= maxRouteStats {
			clear(s.routeStats)
		}
		p = newRouteStats(c)
		s.routeStats[route] = p
	}
	return p
}

// maxRouteStats is the maximum number of routes per service with recorded durations, at 4 KB each.
const maxRouteStats = 64

// all returns the services, sorted by name.
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
	registered, named := s.node.records.targets(), s.node.records.documents.Load().targets()
	if len(named) == 0 {
		return registered
	}
	return slices.Concat(registered, named)
}

// poolTargets returns the known targets by service in the form that pools take. It is restricted to the services in only,
// unless that is nil.
func (s *services) poolTargets(known []target, only map[string]bool) map[string][]pool.Target {
	byService := map[string][]pool.Target{}
	halls := s.node.carriers.halls()
	carried := map[string]bool{}
	for _, name := range s.serviceNames() {
		carried[name] = s.node.carriers.carries(name)
	}
	s.trialRanks.update(s.node.carriers)
	limited := s.limitedTargets(only)
	place := s.node.newPlacement()
	for _, t := range known {
		if only != nil && !only[t.service] {
			continue
		}
		near := t.hall == s.node.hall()
		trialRank := -1
		if carried[t.service] && (near || !slices.Contains(halls, t.hall)) {
			trialRank = s.trialRanks.rank(t, near)
		}
		until, rate := place.warmupLimit(t, trialRank)
		senderRank, senders := -1, 0
		if limited[t.id] {
			senderRank, senders = s.trialRanks.senderRank(t)
		}
		byService[t.service] = append(byService[t.service], pool.Target{
			ID: t.id, Address: t.address, Slots: t.slots, Leaving: t.leaving, WarmAt: max(t.warmupUntil, until), Life: t.generation,
			Hall: t.hall, SameHall: near, OtherRegion: s.node.inOtherRegion(t.hall), Assigned: trialRank >= 0, TrialRank: max(trialRank, 0),
			Evacuated: place.evacuations[t.hall].inForce, WarmupUntil: until, WarmupRate: rate,
			SenderRank: senderRank, SenderCount: senders,
		})
	}
	return byService
}

// minRefreshInterval is the minimum time between two refreshes caused by changed targets. While a fleet starts, thousands of
// records arrive, eight per datagram, and the cost of a refresh grows with the number of targets.
const minRefreshInterval clock.Millis = 100

// targetsChanged refreshes the changed targets now, or at the next tick if the last refresh was too recent.
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

// refresh updates the targets of all services.
func (s *services) refresh() {
	s.refreshMu.Lock()
	defer s.refreshMu.Unlock()
	s.node.records.takeChangedServices()
	s.refreshServices(nil)
}

// refreshChanged updates the services whose targets have changed, or all services if the layout has changed.
func (s *services) refreshChanged() {
	s.refreshMu.Lock()
	defer s.refreshMu.Unlock()
	changed := s.node.records.takeChangedServices()
	s.mu.Lock()
	maps.Copy(changed, s.newlyLimited)
	clear(s.newlyLimited)
	s.mu.Unlock()
	s.refreshServices(changed)
}

// refreshServices updates the targets of the given services; nil stands for all. The caller holds s.refreshMu, so that the
// later of two refreshes prevails.
func (s *services) refreshServices(touched map[string]bool) {
	s.mu.Lock()
	s.refreshedAt, s.stale = s.node.clock.Now(), false
	s.mu.Unlock()
	slots, count := s.node.records.targetSlots()
	for _, t := range s.node.records.documents.Load().targets() {
		slots[t.service] += t.slots
		count++
	}
	s.mu.Lock()
	s.noTargets = count == 0
	s.mu.Unlock()
	s.node.carriers.setSlots(slots)
	if laid := s.layoutHash(); laid != s.lastLayout { // the assignment of targets depends on it
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

// count returns the number of usable targets that this node knows, loaded into a pool or not.
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
		return registered + len(s.node.records.documents.Load().targets())
	}
	for _, t := range s.knownTargets() {
		if !held[t.service] {
			targets++
		}
	}
	return targets
}

// layoutHash returns a hash of the carriers of each service, their halls, and whether this node may send to targets that are
// warming up. While it is the same, unchanged targets keep their assignment.
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
	if s.node.throttleView().MaySend() {
		_, _ = x.WriteString("\x02")
	}
	return x.Sum64()
}

// layoutChanged reports whether the layout differs from that of the last refresh.
func (s *services) layoutChanged() bool {
	s.refreshMu.Lock()
	defer s.refreshMu.Unlock()
	return s.layoutHash() != s.lastLayout
}

// serviceNames returns the services that the desired state and the documents name.
func (s *services) serviceNames() []string {
	names := slices.Collect(maps.Keys(s.node.records.documents.Load().services))
	if t := s.node.records.table.Load(); t != nil {
		names = slices.AppendSeq(names, maps.Keys(t.Services))
	}
	return names
}

// report sends this node's view of the service to the other nodes that are due to hear of a change.
func (s *services) report(svc *service, kind pool.ChangeKind, hall ident.Hall) {
	svc.mu.Lock()
	to, later := svc.reports.Change(kind, s.node.clock.Now())
	svc.mu.Unlock()
	s.sendOrDelay(svc, to, later, hall)
}

// sendOrDelay sends a report, or has one sent later; neither if the wait is 0.
func (s *services) sendOrDelay(svc *service, to report.Audience, later clock.Millis, hall ident.Hall) {
	switch {
	case to != report.Nobody:
		s.send(svc, to, hall)
	case later > 0:
		time.AfterFunc(later.Duration(), func() { s.reportDelayed(svc) })
	}
}

// reportDelayed sends a delayed report of load to this hall.
func (s *services) reportDelayed(svc *service) {
	svc.mu.Lock()
	to, later := svc.reports.Delayed(s.node.clock.Now())
	svc.mu.Unlock()
	s.sendOrDelay(svc, to, later, s.node.hall())
}

func (s *services) send(svc *service, to report.Audience, hall ident.Hall) {
	n := s.node
	var r *tlv1.Report
	var members []*tlv1.Member
	switch to {
	case report.SameHall:
		r, members = svc.pool.ReportNearby(n.hall()), n.carriers.inOwnHall(svc.name)
	case report.TargetHall:
		r = svc.pool.ReportNearby(hall)
		members = slices.Concat(n.carriers.inOwnHall(svc.name), n.carriers.inHall(n.carriers.groupOf(svc.name), hall))
	case report.AllCarriers:
		r, members = svc.pool.Report(false), n.carriers.all(svc.name)
	case report.AllUsers:
		r, members = svc.pool.Report(false), s.withUsers(svc, n.carriers.all(svc.name))
	}
	if r == nil {
		return
	}
	s.setSender(svc, r)
	addresses := gossipAddresses(members, func(m *tlv1.Member) bool { return m.GetNode() != string(n.self.Node) })
	n.wire.send(&tlv1.Parcel{Body: &tlv1.Parcel_Report{Report: r}}, addresses...)
}

// withUsers returns the carriers and the busiest of the other nodes that used the service recently.
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

// reportLoads sends the load to all carriers periodically, so that they learn of long-running requests.
func (s *services) reportLoads() {
	now := s.node.clock.Now()
	for _, svc := range s.all() {
		svc.mu.Lock()
		due := svc.reports.Periodic(now)
		svc.mu.Unlock()
		if due {
			s.send(svc, report.AllCarriers, s.node.hall())
		}
	}
}

// tick follows changes of members and carriers, and sends periodic reports.
func (s *services) tick() {
	s.mu.Lock()
	v, g := s.node.members.Version(), s.node.carriers.currentGeneration()
	view := s.node.throttleView()
	sends := view.MaySend()
	changed, stale := v != s.membersVersion || g != s.carriersGeneration || sends != s.maySend, s.stale
	s.membersVersion, s.carriersGeneration, s.maySend = v, g, sends
	s.mu.Unlock()
	for _, svc := range s.all() {
		svc.pool.SetLimitShare(view.Share())
	}
	s.reportLoads()
	s.logSummaries()
	s.logRetryBudgets()
	s.logIdleTargets()
	s.wake()
	s.distributeSlack()
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

// wake admits waiting requests to targets that are warming up, as their rates allow.
func (s *services) wake() {
	for _, svc := range s.all() {
		svc.pool.Wake()
	}
}

// logSummaries logs request totals per service periodically, and the number of suppressed belief lines.
func (s *services) logSummaries() {
	now := s.node.clock.Now()
	if more := s.peerBeliefLines.TakeSuppressed(); more > 0 {
		s.node.log.WithFields(logrus.Fields{"event": "target_beliefs", "count": more, "by": "peers"}).Info()
	}
	for _, svc := range s.all() {
		if f := svc.tally.summary(now); f != nil {
			st := svc.pool.Stats()
			f["service"], f["waiting"], f["targets"], f["usable"] = svc.name, st.Waiting, st.Targets, st.Usable
			s.node.log.WithFields(f).Info()
		}
	}
}

// reportToNewCarriers sends all that this node has seen of a service to nodes that have begun to carry it, if this node
// carries it too.
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
			one := &tlv1.Report{Node: r.Node, Incarnation: r.Incarnation, Seq: r.Seq, Service: r.Service, Seen: part, Asked: r.Asked, Unserved: r.Unserved, Failed: r.Failed, CutOff: r.CutOff, Lack: r.Lack, Heaviest: r.Heaviest, Others: r.Others}
			n := gossipAddresses(fresh, func(*tlv1.Member) bool { return true })
			s.node.wire.send(&tlv1.Parcel{Body: &tlv1.Parcel_Report{Report: one}}, n...)
		}
	}
}

// seenPerParcel is the maximum number of observations per datagram.
const seenPerParcel = 24

// handleReport applies another node's report.
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

// loadedServices returns the services whose targets this node keeps loaded.
func (s *services) loadedServices() (names []string) {
	for _, svc := range s.all() {
		if svc.loaded.Load() {
			names = append(names, svc.name)
		}
	}
	return names
}

// reports returns this node's observations, restricted to the services that the requesting node needs if it names them.
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

// recordEvent acts on a change in what is known of a target, and records it in the metrics, the log and the event report.
// Every node whose belief changes records it, whoever reported the evidence: one report may move the nodes that receive it
// over the threshold, but not its sender. Only nodes that carry or use a service receive reports of its targets.
func (s *services) recordEvent(svc *service, e pool.Event) {
	switch e.Kind {
	case pool.TargetLimited:
		s.assignSenders(svc)
	case pool.TargetsCutOff:
		s.node.reach.closeIdle(svc)
	}
	if e.Kind == pool.LevelChanged {
		s.logLevel(svc, e.Level)
		return
	}
	s.node.metrics.belief(e.Kind)
	ofSpeed := e.Kind == pool.TargetSlow || e.Kind == pool.TargetUsual // by the samples of all nodes
	if e.By == "" && !ofSpeed || s.peerBeliefLines.Allow() {
		f := logrus.Fields{"event": e.Kind, "service": svc.name, "target": e.Target, "by": e.By}
		switch e.Kind {
		case pool.TargetLimited:
			f["per_second"] = e.PerSecond
		case pool.TargetRests:
			f["rest_ms"] = e.Rest
		case pool.TargetSlow, pool.TargetUsual:
			f["slower"] = fmt.Sprintf("%.2f", e.Slower)
		case pool.WorkspaceHeld, pool.WorkspaceReleased:
			delete(f, "target")
			f["workspace"], f["in_flight"], f["waiting"] = e.Workspace.Workspace, e.Workspace.InFlight, e.Workspace.Waiting
			f["share"] = fmt.Sprintf("%.1f", e.Workspace.Share)
		case pool.TargetUnlimited, pool.TargetsCutOff, pool.TargetsReached:
		default:
			f["failing"] = fmt.Sprintf("%.2f", e.Failing)
		}
		s.node.log.WithFields(f).Info()
	}
	kind, told := eventKinds[e.Kind]
	name, err := ident.ParseService(svc.name)
	if !told || err != nil {
		return
	}
	s.node.events.add(&tlv1.Event{Kind: kind, Workspace: string(name.Workspace), Service: name.Name, Target: string(e.Target)})
}

// logLevel logs which requests a service admits.
func (s *services) logLevel(svc *service, l urgency.State) {
	f := logrus.Fields{
		"event": pool.LevelChanged, "service": svc.name, "lacks_room": l.On, "share": fmt.Sprintf("%.2f", l.Share),
		"wait": fmt.Sprintf("%.2f", l.Wait), "peers_wait": fmt.Sprintf("%.2f", l.PeersWait), "peers_age_ms": l.PeersAge,
	}
	if l.On {
		f["level"], f["fraction"], f["rest"] = l.Priority, fmt.Sprintf("%.2f", l.Fraction), fmt.Sprintf("%.2f", l.Rest)
	}
	s.node.log.WithFields(f).Info()
}

// eventKinds maps pool events to those in the operators' report.
var eventKinds = map[pool.EventKind]tlv1.EventKind{
	pool.TargetAvoided:  tlv1.EventKind_EVENT_KIND_EJECTED,
	pool.TargetReturned: tlv1.EventKind_EVENT_KIND_READMITTED,
}
