package node

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"github.com/tinladder/tinladder/assign"
	"github.com/tinladder/tinladder/clock"
	"github.com/tinladder/tinladder/forward"
	"github.com/tinladder/tinladder/ident"
	"github.com/tinladder/tinladder/pool"
	"github.com/tinladder/tinladder/quarantine"
	"github.com/tinladder/tinladder/replica"
	tlv1 "github.com/tinladder/tinladder/schema/tinladder/v1"
	"github.com/tinladder/tinladder/store"
	"google.golang.org/protobuf/proto"
)

const (
	// claimTimeout bounds how long a request that is held back waits for the store's word that it may be tried.
	claimTimeout clock.Millis = 400
	// rowTries is how often a row is written again that another node wrote meanwhile.
	rowTries = 4
	// rowPause is the longest pause between writes of rows, which other nodes may write too, and awayPause how much longer
	// it is while the store does not answer.
	rowPause  clock.Millis = 300
	awayPause              = 1 * clock.Second
	// whatBytes bounds what operators are told of a request.
	whatBytes = 160
	// trialDuty names the duty to try a request while the store is away, for each request.
	trialDuty = "trial/"
)

// suspects holds back requests that crash the targets that run them. What one node sees goes to all at once by datagram,
// which reaches nodes that the store turns away; crashes that may be followed by more go to the store too, which reaches
// nodes that are cut off from the others, or start later.
type suspects struct {
	node  *Node
	list  *quarantine.List
	table store.Table
	// wake is sent to when there is something to write.
	wake chan struct{}
}

func newSuspects(n *Node) *suspects {
	return &suspects{node: n, list: quarantine.New(n.clock), table: n.platform.Suspects, wake: make(chan struct{}, 1)}
}

// judge says how the request is to be treated, or returns the problem with it. A request that is held back is let through
// when a trial is due, by one node of the fleet.
func (s *suspects) judge(ctx context.Context, x *exchange) (quarantine.Verdict, *Problem) {
	v, p := s.decide(x)
	if !v.Held || v.Due && s.claimAll(ctx, x) {
		return v, nil
	}
	return v, s.problem(p)
}

// decide says how the request is to be treated: by the print with the most against it, which it returns.
func (s *suspects) decide(x *exchange) (worst quarantine.Verdict, by quarantine.Print) {
	if s.list.Empty() {
		return worst, by
	}
	for _, p := range x.printed() {
		if v := s.list.Decide(p); v.Worse(worst) {
			worst, by = v, p
		}
	}
	return worst, by
}

// problem says to the caller that the request is held back, and until when.
func (s *suspects) problem(p quarantine.Print) *Problem {
	v := s.list.Decide(p)
	return &Problem{
		Status: http.StatusServiceUnavailable, Outcome: NotRun, RetryAfter: max(v.RetryAfter, retryPause), print: p.String(),
		Detail: fmt.Sprintf("the request is held back: %d targets crashed that ran it", v.Crashes),
	}
}

// crashed takes in that the target's process ended while it ran the request, which was sent to it at the time.
func (s *suspects) crashed(x *exchange, target ident.Target, from clock.Millis) {
	var news []quarantine.Case
	for b, p := range x.printed() {
		c := quarantine.Case{
			Print: p, Breadth: quarantine.Breadth(b), Service: x.service.name, What: whatOf(x.r),
			Crashes: []quarantine.Crash{{Target: target, From: from, At: s.node.clock.Now()}},
		}
		change := s.list.Crashed(c)
		if change == quarantine.Nothing {
			continue
		}
		c = s.tell(change, p, "seen")
		news = append(news, c)
		if len(c.Crashes) >= quarantine.Alone || len(s.node.members.Live()) == 0 {
			s.want(p)
		}
	}
	s.spread(x.service, news)
}

// audience returns the nodes that hear of a request: of one crash, which may be chance, those that use the service; of
// more, all.
func (s *suspects) audience(svc *service, wide bool) []*tlv1.Member {
	if wide {
		return s.node.members.Live()
	}
	return s.node.services.withUsers(svc, s.node.carriers.all(svc.name))
}

// spread tells other nodes what is known of a request by each of its prints.
func (s *suspects) spread(svc *service, news []quarantine.Case) {
	m := &tlv1.Suspects{}
	wide := false
	for i, c := range news {
		wide = wide || len(c.Crashes) >= quarantine.Alone
		if i > 0 {
			c.Service, c.What = "", ""
		}
		m.Suspects = append(m.Suspects, quarantine.ToWire(c, s.node.clock.Now()))
	}
	s.send(m, s.audience(svc, wide))
}

// whatOf names a request for operators, without its query: that may hold what is nobody's to read.
func whatOf(r *http.Request) string {
	what := r.Method + " " + r.Host + r.URL.EscapedPath()
	return what[:min(len(what), whatBytes)]
}

// good takes in that a target has answered the request well.
func (s *suspects) good(x *exchange) {
	if s.list.Empty() {
		return
	}
	m := &tlv1.Suspects{}
	wide := false
	for _, p := range x.printed() {
		if was, found := s.lift(p, "answer"); found {
			m.Suspects = append(m.Suspects, &tlv1.Suspect{Print: p[:], Cleared: true})
			wide = wide || len(was.Crashes) >= quarantine.Alone
		}
	}
	s.send(m, s.audience(x.service, wide))
}

// lift takes back what is held against the request here, and has the store do so. It says whether there was anything.
func (s *suspects) lift(p quarantine.Print, by string) (was quarantine.Case, found bool) {
	if was, found = s.list.Clear(p); found {
		s.tellLifted(was, by)
		s.want(p)
	}
	return was, found
}

// clear does the same, and tells the other nodes.
func (s *suspects) clear(p quarantine.Print, by string) {
	if _, found := s.lift(p, by); found {
		s.send(&tlv1.Suspects{Suspects: []*tlv1.Suspect{{Print: p[:], Cleared: true}}}, s.node.members.Live())
	}
}

// want has the store told of the request.
func (s *suspects) want(p quarantine.Print) {
	if !s.list.Want(p) {
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

// hear takes in another node's word.
func (s *suspects) hear(m *tlv1.Suspects) {
	for _, one := range m.GetSuspects() {
		c, ok := quarantine.FromWire(one, s.node.clock.Now())
		if !ok {
			continue
		}
		if one.GetCleared() {
			if was, found := s.list.Clear(c.Print); found {
				s.tellLifted(was, "peer")
			}
			continue
		}
		first := m.GetSuspects()[0]
		c.Service, c.What = first.GetService(), first.GetWhat()
		if change := s.list.Crashed(c); change != quarantine.Nothing {
			s.tell(change, c.Print, "peer")
		}
	}
}

// take takes in rows of the store.
func (s *suspects) take(news []replica.Record, from string) {
	for _, x := range news {
		row := &tlv1.Suspects{}
		if err := proto.Unmarshal(x.Value, row); err != nil {
			s.node.log.WithFields(logrus.Fields{"event": "record_unreadable", "key": x.Key, "version": x.Version, "from": from, "error": err}).Warn()
			continue
		}
		for p, change := range s.list.Take(x.Key, row) {
			if change == quarantine.Nothing {
				continue
			}
			s.tell(change, p, from)
			if change == quarantine.Held {
				s.want(p) // by what was seen here besides: the store has to know all of it
			}
		}
	}
}

// claimAll says whether the request may be tried here and now, by each of its prints that is held back.
func (s *suspects) claimAll(ctx context.Context, x *exchange) bool {
	for _, p := range x.printed() {
		if v := s.list.Decide(p); v.Held && !s.claim(ctx, p, v.Trials+1) {
			return false
		}
	}
	return true
}

// claim says whether a request of the print may be tried here and now. Of all nodes one may, which the store decides; while that is
// away, the one that is first for it among those that this node hears.
func (s *suspects) claim(ctx context.Context, p quarantine.Print, trials int) bool {
	if !s.list.Tried(p, trials) {
		return false
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), claimTimeout.Duration())
	defer cancel()
	err := s.save(ctx, p, trials)
	granted := err == nil || errors.Is(err, store.ErrAway) && s.first(p)
	s.node.metrics.trial(granted)
	s.node.log.WithFields(logrus.Fields{"event": "request_trial", "print": p, "trials": trials, "granted": granted, "error": err}).Warn()
	return granted
}

// first says whether this node is first for trials of the request, of those that it hears.
func (s *suspects) first(p quarantine.Print) bool {
	n := s.node
	list := []assign.Candidate{{Node: n.self.Node, Weight: evenWeight}}
	for _, m := range n.members.Live() {
		list = append(list, assign.Candidate{Node: ident.Node(m.GetNode()), Weight: evenWeight})
	}
	return assign.First(trialDuty+p.String(), list) == n.self.Node
}

// errTaken says that another node has let the request through.
var errTaken = errors.New("another node tries the request")

// save writes what is known here of the request to its row. It fails with errTaken if it is for a trial, trials being its
// number, that the row names already.
func (s *suspects) save(ctx context.Context, p quarantine.Print, trials int) (err error) {
	defer func() { err = errors.Wrapf(err, "save what is held against request %s", p) }()
	key := quarantine.RowOf(p)
	held, _ := s.node.records.sets[store.Suspects].Get(key)
	row := store.Row{Key: key, Value: held.Value, Version: held.Version}
	for range rowTries {
		was := &tlv1.Suspects{}
		if err := proto.Unmarshal(row.Value, was); err != nil {
			return err
		}
		if trials > 0 && quarantine.TrialsIn(was, p) >= trials {
			return errTaken
		}
		value, err := proto.Marshal(s.list.Row(p, was))
		if err != nil {
			return err
		}
		err = s.table.Commit(ctx, store.Write{Key: key, Value: value, Expected: row.Version})
		var conflict *store.Conflict
		if errors.As(err, &conflict) && len(conflict.Rows) > 0 {
			row = conflict.Rows[0]
			continue
		}
		if err == nil {
			s.list.Wrote(p)
			s.node.duty.look(store.Suspects)
		}
		return err
	}
	return errors.Wrap(store.ErrAway, "the row is too busy")
}

// write has the store know what this node is to tell it, until the context ends.
func (s *suspects) write(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.wake:
		}
		for list := s.list.Wanting(); len(list) > 0; list = s.list.Wanting() {
			wait := rand.N(rowPause)
			if !s.writeAll(ctx, list) {
				wait += awayPause
			}
			if !pause(ctx, wait) {
				return
			}
		}
	}
}

// writeAll writes the rows of the requests, and says whether the store took them all.
func (s *suspects) writeAll(ctx context.Context, list []quarantine.Print) bool {
	for _, p := range list {
		one, cancel := context.WithTimeout(ctx, lookTimeout.Duration())
		err := s.save(one, p, 0)
		cancel()
		if err != nil {
			s.node.log.WithFields(logrus.Fields{"event": "suspect_not_stored", "print": p, "error": err}).Warn()
			return false
		}
	}
	return true
}

// tick forgets what has grown old.
func (s *suspects) tick() {
	s.list.Forget()
}

// tell tells the log and the night's report what changed, and returns what is known.
func (s *suspects) tell(change quarantine.Change, p quarantine.Print, by string) quarantine.Case {
	c, _, _ := s.list.Known(p)
	s.node.metrics.crashed(change)
	s.node.log.WithFields(logrus.Fields{
		"event": "request_" + change.String(), "print": p, "known_by": c.Breadth, "service": c.Service, "what": c.What, "crashes": len(c.Crashes),
		"targets": targetsOf(c), "trials": c.Trials, "by": by,
	}).Warn()
	if change == quarantine.Held && by == "seen" {
		s.node.events.add(&tlv1.Event{Kind: tlv1.EventKind_EVENT_KIND_REQUEST_HELD, Workspace: workspaceIn(c.Service), Service: nameIn(c.Service), Reason: c.What + " crashed " + targetsOf(c)})
	}
	return c
}

func (s *suspects) tellLifted(was quarantine.Case, by string) {
	s.node.log.WithFields(logrus.Fields{
		"event": "request_lifted", "print": was.Print, "known_by": was.Breadth, "service": was.Service, "what": was.What, "crashes": len(was.Crashes),
		"held": was.Held(), "trials": was.Trials, "by": by,
	}).Warn()
}

func targetsOf(c quarantine.Case) string {
	names := make([]string, len(c.Crashes))
	for i, x := range c.Crashes {
		names[i] = string(x.Target)
	}
	return strings.Join(names, ",")
}

// workspaceIn and nameIn are the parts of an own service's name; a service of the platform has no workspace.
func workspaceIn(service string) string {
	name, err := ident.ParseService(service)
	if err != nil {
		return ""
	}
	return string(name.Workspace)
}

func nameIn(service string) string {
	name, err := ident.ParseService(service)
	if err != nil {
		return service
	}
	return name.Name
}

// lost looks whether a target's process has ended on which an attempt lost its connection, and tells the quarantine if
// so. A cut link, a hang or a connection that the target closed leaves its door open or out of sight: no request is to
// blame for these. A target that is leaving may end with requests at work.
func (x *exchange) lost(ctx context.Context, l *pool.Lease) forward.Door {
	door := x.node.conns.Look(ctx, l.Address)
	if door == forward.Shut && !l.Leaving() {
		x.node.suspects.crashed(x, l.Target, l.From())
	}
	return door
}

// sole says whether the request may go to one target only.
func (x *exchange) sole() bool {
	v, _ := x.node.suspects.decide(x)
	return v.Sole()
}

// heldMeanwhile refuses a request that is held back since it began, while it waited or by an attempt of its own. One that
// was let through for a trial goes on, and one that was lost with targets that may have ended of something else.
func (x *exchange) heldMeanwhile(l *pool.Lease, t ticket) bool {
	v, p := x.node.suspects.decide(x)
	if x.verdict.Held || !v.Held || x.ran > 0 && !v.Sole() {
		return false
	}
	l.Done(pool.Abandoned, false)
	if x.ran > 0 {
		x.noAnswer(errHeldBack, t)
		return true
	}
	x.refuseHeld(x.node.suspects.problem(p), t)
	return true
}

// errHeldBack says that a request is held back that a target may have run.
var errHeldBack = errors.New("the request is held back, since targets crashed that ran it")

// heldBack refuses the request if it is held back, and says whether it did.
func (x *exchange) heldBack(t ticket) bool {
	v, p := x.node.suspects.judge(x.r.Context(), x)
	x.verdict = v
	if p == nil {
		return false
	}
	x.refuseHeld(p, t)
	return true
}

func (x *exchange) refuseHeld(p *Problem, t ticket) {
	t.Void()
	x.node.metrics.heldBack()
	x.w.Header().Set(x.headers.RequestID, x.id)
	p.fractions = x.headers.Fractions
	x.node.leaving.sendAway(x.w)
	x.node.refuse(x.w, x.r, *p)
}
