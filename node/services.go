package node

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"sync"

	"github.com/sirupsen/logrus"
	"github.com/tinladder/tinladder/clock"
	"github.com/tinladder/tinladder/ident"
	"github.com/tinladder/tinladder/pool"
	tlv1 "github.com/tinladder/tinladder/schema/tinladder/v1"
)

const (
	// nearEvery is the least time between two reports to the service's nodes in this hall, and
	// farEvery to those in others. Failures are told at once.
	nearEvery clock.Millis = 20
	farEvery  clock.Millis = 500
	// ratioShare is the part of the fleet's ratio of retries that each node uses, of its own requests.
	ratioShare = 0.93
	// carrierSlack is the part of the fleet's slack of retries that is dealt to the nodes that carry
	// a service, and otherSlack the part dealt to all others. What is left is for nodes that hold
	// different views of who carries it.
	carrierSlack = 0.45
	otherSlack   = 0.2
)

// A service is what this node knows of one service's targets.
type service struct {
	name string
	pool *pool.Pool

	mu     sync.Mutex
	nearAt clock.Millis
	farAt  clock.Millis
	queued bool
	// carriers are the nodes that carried the service when last looked at.
	carriers map[ident.Process]bool
}

// services holds the pools of this node.
type services struct {
	node *Node

	mu     sync.Mutex
	byName map[string]*service
	// members is the version of the members that the targets were last looked at with.
	members uint64
}

func newServices(n *Node) *services {
	return &services{node: n, byName: map[string]*service{}}
}

// get returns the service, making it if there is none.
func (s *services) get(name string) *service {
	s.mu.Lock()
	svc := s.byName[name]
	if svc == nil {
		svc = s.add(name)
	}
	s.mu.Unlock()
	return svc
}

// add makes a service with the targets that are known. The caller holds the lock.
func (s *services) add(name string) *service {
	n := s.node
	r := n.settings().Retries
	svc := &service{name: name}
	b := pool.NewBudget(n.clock, r.Ratio*ratioShare, s.slack(name), r.Window.Millis())
	svc.pool = pool.New(pool.DefaultTuning, n.clock, newRand(), b, func(urgent bool) { s.report(svc, urgent) },
		func(e pool.Event) { s.note(svc, e) })
	s.byName[name] = svc
	svc.pool.SetTargets(s.targets()[name])
	return svc
}

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

// slack is this node's part of the fleet's slack of retries for the service.
func (s *services) slack(service string) float64 {
	n := s.node
	all := float64(len(n.members.Live()) + 1)
	part := otherSlack / all
	carriers := n.carriers.all(service)
	if slices.ContainsFunc(carriers, func(m *tlv1.Member) bool { return processOf(m) == n.self }) {
		part = carrierSlack / float64(max(len(carriers), leastCarriers))
	}
	return n.settings().Retries.Slack * part
}

// leastCarriers is how many nodes the carriers' slack is dealt to at least: a node that sees few
// others may be cut off, and be one of many such.
const leastCarriers = 6

// targets returns the targets of all services, as pools take them.
func (s *services) targets() map[string][]pool.Target {
	byService := map[string][]pool.Target{}
	halls := s.node.carriers.halls()
	for _, t := range append(s.node.records.targets(), s.node.records.book.Load().targets()...) {
		byService[t.service] = append(byService[t.service], pool.Target{
			ID: t.id, Address: t.address, Slots: t.slots, Leaving: t.leaving, WarmAt: t.warmAt,
			Near: t.hall == s.node.hall(), Ours: t.hall == s.node.hall() || !slices.Contains(halls, t.hall),
		})
	}
	return byService
}

// refresh takes over the targets that are known now.
func (s *services) refresh() {
	targets := s.targets()
	s.mu.Lock()
	for _, name := range s.named() {
		if s.byName[name] == nil {
			s.add(name)
		}
	}
	s.mu.Unlock()
	for _, svc := range s.all() {
		svc.pool.SetTargets(targets[svc.name])
	}
}

// named returns the services that the desired state and the documents name.
func (s *services) named() []string {
	names := slices.Collect(maps.Keys(s.node.records.book.Load().services))
	if t := s.node.records.table.Load(); t != nil {
		names = slices.AppendSeq(names, maps.Keys(t.Services))
	}
	return names
}

// report tells the service's other nodes what this one has seen: those of this hall soon, the
// others now and then, and all at once if it is urgent.
func (s *services) report(svc *service, urgent bool) {
	now := s.node.clock.Now()
	svc.mu.Lock()
	if !urgent && now-svc.nearAt < nearEvery {
		svc.queued = true
		svc.mu.Unlock()
		return
	}
	far := urgent || now-svc.farAt >= farEvery
	svc.nearAt, svc.queued = now, false
	if far {
		svc.farAt = now
	}
	svc.mu.Unlock()
	s.send(svc, far)
}

func (s *services) send(svc *service, far bool) {
	n := s.node
	r := svc.pool.Report(false)
	if r == nil {
		return
	}
	s.sign(svc, r)
	members := n.carriers.inHall(svc.name, n.hall())
	if far {
		members = n.carriers.all(svc.name)
	}
	addresses := gossipAddresses(members, func(m *tlv1.Member) bool { return m.GetNode() != string(n.self.Node) })
	n.wire.send(&tlv1.Parcel{Body: &tlv1.Parcel_Report{Report: r}}, addresses...)
}

func (s *services) sign(svc *service, r *tlv1.Report) {
	r.Node, r.Incarnation, r.Service = string(s.node.self.Node), uint64(s.node.self.Incarnation), svc.name
}

// tick sends what waited to be told, and follows the members.
func (s *services) tick() {
	s.mu.Lock()
	v := s.node.members.Version()
	changed := v != s.members
	s.members = v
	s.mu.Unlock()
	if changed {
		s.refresh() // a hall may have come or gone
		s.welcome()
	}
	now := s.node.clock.Now()
	for _, svc := range s.all() {
		svc.pool.Budget().SetSlack(s.slack(svc.name))
		svc.mu.Lock()
		queued := svc.queued
		svc.queued = false
		far := now-svc.farAt >= farEvery
		if far && queued {
			svc.farAt = now
		}
		svc.mu.Unlock()
		if queued {
			s.send(svc, far)
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
			one := &tlv1.Report{Node: r.Node, Incarnation: r.Incarnation, Seq: r.Seq, Service: r.Service, Seen: part, Asked: r.Asked, Unserved: r.Unserved}
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
	if svc == nil {
		return
	}
	from := ident.Process{Node: ident.Node(r.GetNode()), Incarnation: ident.Incarnation(r.GetIncarnation())}
	svc.pool.Hear(from, r)
}

// reports returns all that this node has seen.
func (s *services) reports() []*tlv1.Report {
	var list []*tlv1.Report
	for _, svc := range s.all() {
		if r := svc.pool.Report(true); r != nil && len(r.GetSeen()) > 0 {
			s.sign(svc, r)
			list = append(list, r)
		}
	}
	return list
}

// note tells of a change in what is believed of a target.
func (s *services) note(svc *service, e pool.Event) {
	s.node.metrics.belief(e.Kind)
	s.node.log.WithFields(logrus.Fields{
		"event": e.Kind, "service": svc.name, "target": e.Target, "failing": fmt.Sprintf("%.2f", e.Failing), "by": e.By,
	}).Info()
	kind, told := eventKinds[e.Kind]
	name, err := ident.ParseService(svc.name)
	if !told || err != nil || e.By != "" {
		return
	}
	s.node.events.add(&tlv1.Event{Kind: kind, Workspace: string(name.Workspace), Service: name.Name, Target: string(e.Target)})
}

// eventKinds are the events that operators find in their report.
var eventKinds = map[pool.EventKind]tlv1.EventKind{
	pool.TargetAvoided:  tlv1.EventKind_EVENT_KIND_EJECTED,
	pool.TargetReturned: tlv1.EventKind_EVENT_KIND_READMITTED,
}
