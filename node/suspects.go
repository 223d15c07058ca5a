package node

import (
	"context"
	"fmt"
	"net/http"
	"strings"

	"github.com/sirupsen/logrus"
	"github.com/tinladder/tinladder/clock"
	"github.com/tinladder/tinladder/ident"
	"github.com/tinladder/tinladder/pool"
	"github.com/tinladder/tinladder/quarantine"
	tlv1 "github.com/tinladder/tinladder/schema/tinladder/v1"
	"github.com/tinladder/tinladder/store"
)

// maxDescriptionBytes is the maximum length of a request's description for operators.
const maxDescriptionBytes = 160

// suspects quarantines requests that crash the targets that run them. Each crash report goes to other nodes by datagram at
// once, which reaches nodes that the store refuses: to those that use the service, and to the request's collectors, which add
// up what different nodes report. Reports of repeated crashes go to all nodes, and to the store, which reaches nodes that have
// no contact with the others or start later.
type suspects struct {
	node  *Node
	list  *quarantine.List
	table store.Table
	// wake is signalled when there is something to write to the store.
	wake chan struct{}
}

func newSuspects(n *Node) *suspects {
	return &suspects{node: n, list: quarantine.New(n.clock), table: n.platform.Suspects, wake: make(chan struct{}, 1)}
}

// check returns the verdict on the request, or a problem if it is held back. When a trial is due, one node of the fleet lets
// the request through.
func (s *suspects) check(ctx context.Context, x *exchange) (quarantine.Verdict, *Problem) {
	v, p := s.decide(x)
	if !v.Held || v.TrialDue && s.claimTrials(ctx, x) {
		return v, nil
	}
	return v, s.problem(p)
}

// decide returns the strictest verdict over the request's fingerprints, and the fingerprint that it comes from.
func (s *suspects) decide(x *exchange) (worst quarantine.Verdict, by quarantine.Fingerprint) {
	if s.list.Empty() {
		return worst, by
	}
	for _, p := range x.fingerprints() {
		if v := s.list.Decide(p); v.StricterThan(worst) {
			worst, by = v, p
		}
	}
	return worst, by
}

// problem returns the response to a request that is held back, with the time of the next trial.
func (s *suspects) problem(p quarantine.Fingerprint) *Problem {
	v := s.list.Decide(p)
	return &Problem{
		Status: http.StatusServiceUnavailable, Outcome: NotRun, RetryAfter: max(v.RetryAfter, defaultRetryAfter), fingerprint: p.String(),
		Detail: fmt.Sprintf("the request is held back: %d targets crashed that ran it", v.Crashes),
	}
}

// A crashCandidate is a request that a target may have crashed under.
type crashCandidate struct {
	prints      quarantine.Fingerprints
	service     *service
	description string
	target      ident.Target
	sentAt      clock.Millis
}

// crashCandidate returns the request, as sent with the lease.
func (x *exchange) crashCandidate(l *pool.Lease) crashCandidate {
	return crashCandidate{prints: *x.fingerprints(), service: x.service, description: describe(x.r), target: l.Target, sentAt: l.Start()}
}

// recordCrash records that the target's process ended while it ran the request.
func (s *suspects) recordCrash(r crashCandidate) {
	var updates []quarantine.Suspect
	for b, p := range r.prints {
		c := quarantine.Suspect{
			Fingerprint: p, Scope: quarantine.Scope(b), Service: r.service.name, Description: r.description,
			Crashes: []quarantine.Crash{{Target: r.target, SentAt: r.sentAt, At: s.node.clock.Now()}},
		}
		change := s.list.AddCrashes(c)
		if change == quarantine.Unchanged {
			continue
		}
		c = s.logChange(change, p, "seen")
		updates = append(updates, c)
		if c.Recurring() || s.hasFewPeers() {
			s.markDirty(p)
		}
	}
	s.broadcast(r.service, updates)
}

// hasFewPeers reports whether this node is in contact with so few others that their sum of crashes may be too low.
func (s *suspects) hasFewPeers() bool {
	return len(s.node.members.Live()) == 0 || !s.node.quotas.hasEnoughPeers.Load()
}

// audience returns the nodes to inform of a request: after one crash, which may be chance, users of the service and the
// collectors of its fingerprints, and all nodes after more.
func (s *suspects) audience(svc *service, prints []quarantine.Fingerprint, wide bool) []*tlv1.Member {
	if wide {
		return s.node.members.Live()
	}
	return s.withCollectors(s.node.services.withUsers(svc, s.node.carriers.all(svc.name)), prints)
}

// broadcast sends what is known of a request, by each of its fingerprints, to other nodes.
func (s *suspects) broadcast(svc *service, updates []quarantine.Suspect) {
	m := &tlv1.Suspects{}
	var prints []quarantine.Fingerprint
	wide := false
	for i, c := range updates {
		wide = wide || c.Recurring()
		if c.Recurring() {
			s.list.MarkAnnounced(c.Fingerprint, len(c.Crashes))
		}
		if i > 0 {
			c.Service, c.Description = "", ""
		}
		prints = append(prints, c.Fingerprint)
		m.Suspects = append(m.Suspects, quarantine.ToWire(c, s.node.clock.Now()))
	}
	s.send(m, s.audience(svc, prints, wide))
}

// describe names a request for operators, without its query, which may be confidential.
func describe(r *http.Request) string {
	what := r.Method + " " + r.Host + r.URL.EscapedPath()
	return what[:min(len(what), maxDescriptionBytes)]
}

// recordSuccess clears the crash reports of a request that a target answered well.
func (s *suspects) recordSuccess(x *exchange) {
	if s.list.Empty() {
		return
	}
	m := &tlv1.Suspects{}
	var prints []quarantine.Fingerprint
	wide := false
	for _, p := range x.fingerprints() {
		if was, found := s.clearReports(p, "answer"); found {
			m.Suspects = append(m.Suspects, &tlv1.Suspect{Print: p[:], Cleared: true})
			prints = append(prints, p)
			wide = wide || was.Recurring()
		}
	}
	if len(prints) > 0 {
		s.send(m, s.audience(x.service, prints, wide))
	}
}

// clearReports removes the crash reports of the request from this node and schedules their removal from the store. It reports
// whether there were any.
func (s *suspects) clearReports(p quarantine.Fingerprint, by string) (was quarantine.Suspect, found bool) {
	if was, found = s.list.Clear(p); found {
		s.logCleared(was, by)
		s.markDirty(p)
	}
	return was, found
}

// clearOnAllNodes does the same and informs the other nodes.
func (s *suspects) clearOnAllNodes(p quarantine.Fingerprint, by string) {
	if _, found := s.clearReports(p, by); found {
		s.send(&tlv1.Suspects{Suspects: []*tlv1.Suspect{{Print: p[:], Cleared: true}}}, s.node.members.Live())
	}
}

// markDirty schedules a write of the request's reports to the store.
func (s *suspects) markDirty(p quarantine.Fingerprint) {
	if !s.list.MarkDirty(p) {
		return
	}
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

func (s *suspects) send(m *tlv1.Suspects, members []*tlv1.Member) {
	if len(m.GetSuspects()) == 0 {
		return
	}
	n := s.node
	to := gossipAddresses(members, func(m *tlv1.Member) bool { return m.GetNode() != string(n.self.Node) })
	n.wire.send(&tlv1.Parcel{Body: &tlv1.Parcel_Suspects{Suspects: m}}, to...)
}

// handleSuspects applies the crash reports of another node.
func (s *suspects) handleSuspects(m *tlv1.Suspects) {
	for _, one := range m.GetSuspects() {
		c, ok := quarantine.FromWire(one, s.node.clock.Now())
		if !ok {
			continue
		}
		if one.GetCleared() {
			if was, found := s.list.Clear(c.Fingerprint); found {
				s.logCleared(was, "peer")
			}
			continue
		}
		first := m.GetSuspects()[0]
		c.Service, c.Description = first.GetService(), first.GetWhat()
		change := s.list.AddCrashes(c)
		if c.Recurring() { // its sender told all nodes
			s.list.MarkAnnounced(c.Fingerprint, len(c.Crashes))
		}
		if change == quarantine.Unchanged {
			continue
		}
		if sum := s.logChange(change, c.Fingerprint, "peer"); sum.Recurring() {
			s.announceSum(c.Fingerprint)
		}
	}
}

// tick removes expired crash reports.
func (s *suspects) tick() {
	s.list.Expire()
}

// logChange records a change in the metrics, the log and the event report, and returns the suspect.
func (s *suspects) logChange(change quarantine.Change, p quarantine.Fingerprint, by string) quarantine.Suspect {
	c, _, _ := s.list.Get(p)
	s.node.metrics.crashed(change)
	s.node.log.WithFields(logrus.Fields{
		"event": "request_" + change.String(), "print": p, "known_by": c.Scope, "service": c.Service, "what": c.Description, "crashes": len(c.Crashes),
		"targets": targetsOf(c), "trials": c.Trials, "by": by,
	}).Warn()
	if change == quarantine.Quarantined && by == "seen" {
		s.node.events.add(&tlv1.Event{Kind: tlv1.EventKind_EVENT_KIND_REQUEST_HELD, Workspace: serviceWorkspace(c.Service), Service: serviceNameOf(c.Service), Reason: c.Description + " crashed " + targetsOf(c)})
	}
	return c
}

func (s *suspects) logCleared(was quarantine.Suspect, by string) {
	s.node.log.WithFields(logrus.Fields{
		"event": "request_lifted", "print": was.Fingerprint, "known_by": was.Scope, "service": was.Service, "what": was.Description, "crashes": len(was.Crashes),
		"held": was.Held(), "trials": was.Trials, "by": by,
	}).Warn()
}

func targetsOf(c quarantine.Suspect) string {
	names := make([]string, len(c.Crashes))
	for i, x := range c.Crashes {
		names[i] = string(x.Target)
	}
	return strings.Join(names, ",")
}

// serviceWorkspace returns the workspace of a service of the fleet's own interface; services of the platform have none.
func serviceWorkspace(service string) string {
	name, err := ident.ParseService(service)
	if err != nil {
		return ""
	}
	return string(name.Workspace)
}

func serviceNameOf(service string) string {
	name, err := ident.ParseService(service)
	if err != nil {
		return service
	}
	return name.Name
}
