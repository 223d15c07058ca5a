package gateway

import (
	"sync"

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
	// slackShare is the part of the fleet's slack of retries that is dealt out, split over all nodes.
	slackShare = 0.8
	// ratioShare is the part of the fleet's ratio of retries that each node uses.
	ratioShare = 0.8
)

type service struct {
	name string
	pool *pool.Pool

	mu     sync.Mutex
	nearAt clock.Millis
	farAt  clock.Millis
	queued bool
}

// services holds the pools of this node.
type services struct {
	node *Node

	mu     sync.Mutex
	byName map[string]*service
}

func newServices(n *Node) *services {
	return &services{node: n, byName: map[string]*service{}}
}

// get returns the service's pool, making it if there is none.
func (s *services) get(name string) *service {
	s.mu.Lock()
	defer s.mu.Unlock()
	if svc := s.byName[name]; svc != nil {
		return svc
	}
	n := s.node
	r := n.settings().Retries
	svc := &service{name: name}
	b := pool.NewBudget(n.clock, r.Ratio*ratioShare, s.slack(), r.Window.Millis())
	svc.pool = pool.New(pool.DefaultTuning, n.clock, newRand(), b, func(urgent bool) { s.report(svc, urgent) })
	svc.pool.SetTargets(s.targets(name))
	s.byName[name] = svc
	return svc
}

func (s *services) slack() float64 {
	return s.node.settings().Retries.Slack * slackShare / float64(len(s.node.members.Live())+1)
}

func (s *services) targets(name string) []pool.Target {
	var list []pool.Target
	for _, d := range s.node.roster.ofService(name) {
		list = append(list, pool.Target{
			ID: ident.Target(d.GetId()), Address: d.GetAddress(), Slots: int(d.GetSlots()),
			Near: d.GetHall() == s.node.settings().Node.Hall, Leaving: d.GetLeaving(), WarmAt: d.warmAt,
		})
	}
	return list
}

// refresh takes over what the roster and the desired state have now.
func (s *services) refresh() {
	t := s.node.state.table()
	if t == nil {
		return
	}
	for name := range t.Services {
		s.get(name)
	}
	s.mu.Lock()
	list := make([]*service, 0, len(s.byName))
	for _, svc := range s.byName {
		list = append(list, svc)
	}
	s.mu.Unlock()
	for _, svc := range list {
		svc.pool.SetTargets(s.targets(svc.name))
	}
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
	r.Node, r.Incarnation, r.Service = string(n.self.Node), uint64(n.self.Incarnation), svc.name
	members := n.carriers.inHall(svc.name, ident.Hall(n.settings().Node.Hall))
	if far {
		members = n.carriers.all(svc.name)
	}
	var addresses []string
	for _, m := range members {
		if m.GetNode() != string(n.self.Node) {
			addresses = append(addresses, m.GetGossipAddress())
		}
	}
	n.wire.send(&tlv1.Parcel{Body: &tlv1.Parcel_Report{Report: r}}, addresses...)
}

// tick sends what waited to be told.
func (s *services) tick() {
	s.mu.Lock()
	list := make([]*service, 0, len(s.byName))
	for _, svc := range s.byName {
		list = append(list, svc)
	}
	slack := s.slack()
	s.mu.Unlock()
	now := s.node.clock.Now()
	for _, svc := range list {
		svc.pool.Budget().SetSlack(slack)
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

// hear takes in another node's report.
func (s *services) hear(r *tlv1.Report) {
	t := s.node.state.table()
	if t == nil || r.GetNode() == string(s.node.self.Node) {
		return
	}
	if _, found := t.Services[r.GetService()]; !found {
		return
	}
	from := ident.Process{Node: ident.Node(r.GetNode()), Incarnation: ident.Incarnation(r.GetIncarnation())}
	s.get(r.GetService()).pool.Hear(from, r)
}

// reports returns all that this node has seen.
func (s *services) reports() []*tlv1.Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []*tlv1.Report
	for _, svc := range s.byName {
		if r := svc.pool.Report(true); r != nil && len(r.GetSeen()) > 0 {
			r.Node, r.Incarnation, r.Service = string(s.node.self.Node), uint64(s.node.self.Incarnation), svc.name
			list = append(list, r)
		}
	}
	return list
}
