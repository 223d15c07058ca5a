package node

import (
	"net/http"
	"strings"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/tinladder/tinladder/clock"
	"github.com/tinladder/tinladder/desired"
	"github.com/tinladder/tinladder/reading"
	"github.com/tinladder/tinladder/store"
)

// notReadyPause is what callers are told when this node knows no desired state.
const notReadyPause clock.Millis = 500

// minLeavePause is what callers of a node that is about to end are told: another one takes them at once.
const minLeavePause clock.Millis = 100

// otherRoute is what callers are told whose path a target may read as one of another route.
const otherRoute = "the path leads to another route once it is decoded and its dots are resolved"

// ownPaths is where the fleet's own interface is asked.
const ownPaths = "/.tinladder/"

// serve serves a caller, of the users' platform or of the fleet's own interface.
func (n *Node) serve(w http.ResponseWriter, r *http.Request) {
	n.leaving.enter()
	defer n.leaving.exit()
	r.Header.Del(HeaderPassed)
	r.Header.Del(HeaderCaller)
	if no := reading.CheckTarget(r); no != nil {
		if no.Close {
			w.Header().Set("Connection", "close")
		}
		n.refuse(w, r, Problem{Status: no.Status, Outcome: blank(r), Detail: no.Reason})
		return
	}
	r.RequestURI = reading.OriginForm(r)
	switch {
	case r.URL.Path == AskPath && r.Method == http.MethodGet:
		n.ask(w, r)
	case r.Header.Get(HeaderToken) != "", strings.HasPrefix(r.URL.Path, ownPaths):
		n.serveOwn(w, r, "")
	default:
		n.servePlatform(w, r)
	}
}

// servePlatform serves a caller of the users' platform, by host and path.
func (n *Node) servePlatform(w http.ResponseWriter, r *http.Request) {
	asked := n.clock.Now() // no later than what is taken of a limit: what is given back then is never more
	x, problem := n.platformExchange(w, r)
	if problem != nil {
		problem.fractions = n.platform.Speech.Headers.FractionalRetryAfter
		n.refuse(w, r, *problem)
		return
	}
	if x.workspace == nil {
		x.serve(noTicket{})
		return
	}
	x.serve(limitTicket{table: n.quotas.table, workspace: x.workspace.Name, at: asked})
}

// platformExchange returns the exchange for a request that may go to a target, or why it may not.
func (n *Node) platformExchange(w http.ResponseWriter, r *http.Request) (*exchange, *Problem) {
	t := n.records.await(r)
	if t == nil {
		return nil, &Problem{Status: http.StatusServiceUnavailable, RetryAfter: notReadyPause, Detail: n.records.noStateReason()}
	}
	route, problem := routeFor(t, r)
	if problem != nil && problem.Status == http.StatusNotFound && n.mayBeBehind(t) {
		return nil, &Problem{Status: http.StatusServiceUnavailable, RetryAfter: jitter(provePause), Detail: "no route in the desired state known here, and a newer one may be in force"}
	}
	if problem != nil {
		return nil, problem
	}
	space, problem := n.admit(t, route, r)
	if problem != nil {
		return nil, problem
	}
	if problem := bound(t.Limits, r); problem != nil {
		return nil, problem
	}
	x := newExchange(n, w, r, route, n.platform.Speech.Headers)
	x.keyed = t.Access != nil
	x.halls = n.hallsFor(route, space)
	if problem := x.late(NotRun); problem != nil || space == nil {
		return x, problem
	}
	if problem := n.within(space, r); problem != nil {
		problem.workspace, problem.limit = space.Name, space.Rate.PerSecond
		return nil, problem
	}
	x.workspace, x.space = space, string(space.Name)
	return x, nil
}

// lacksNewer says whether there is a newer desired state than this one: another node is known to hold one, or it came as
// the request was looked at.
func (n *Node) lacksNewer(t *desired.Table) bool {
	return n.lag.isBehind(store.State) || n.records.table.Load() != t
}

// mayBeBehind says whether a newer desired state than this one may have to be in force here: there is one, or word that
// the store held none is older than the platform allows. That word's age is told, and grows younger while it waits in the
// buffers of a node that is busy, so the store's own clock bounds it too, where that shows: by the wait of a watcher's
// question more, since an answer may show the reading of when the question came. Without this a node refuses with 404
// what a state allows that it should have had seconds before.
func (n *Node) mayBeBehind(t *desired.Table) bool {
	if n.lacksNewer(t) {
		return true
	}
	bound := n.settings().Bounds.Apply.Millis()
	age, proved := n.duty.proof.Age(n.clock.Now())
	return n.duty.age(store.State) > bound || proved && age > bound+watchWait
}

// routeFor returns the route of the request, if it can be used and no reader of the path would find another one.
func routeFor(t *desired.Table, r *http.Request) (*desired.Route, *Problem) {
	path := r.URL.EscapedPath()
	route := t.Find(r.Host, path)
	if route == nil {
		return nil, &Problem{Status: http.StatusNotFound, Detail: "no route"}
	}
	if p := reading.NormalizePath(r.RequestURI); p != path && t.Find(r.Host, p) != route {
		return nil, &Problem{Status: http.StatusBadRequest, Detail: otherRoute}
	}
	if route.Fault != "" {
		return nil, &Problem{Status: http.StatusServiceUnavailable, RetryAfter: notReadyPause, Detail: "the route cannot be used: " + route.Fault}
	}
	return route, nil
}

// bound holds the request to the desired state's limits on sizes.
func bound(l desired.Limits, r *http.Request) *Problem {
	if l.HeaderBytes > 0 && headerBytes(r) > l.HeaderBytes {
		return &Problem{Status: http.StatusRequestHeaderFieldsTooLarge, Detail: "the header is too large"}
	}
	if l.BodyBytes <= 0 {
		return nil
	}
	if r.ContentLength > l.BodyBytes {
		return &Problem{Status: http.StatusRequestEntityTooLarge, Detail: "the body is too large"}
	}
	r.Body = http.MaxBytesReader(nil, r.Body, l.BodyBytes)
	return nil
}

// headerBytes is the size of a request's line and header as it was sent.
func headerBytes(r *http.Request) int {
	n := len(r.Method) + len(r.RequestURI) + len(r.Proto) + len("  \r\n")
	n += len("Host: \r\n") + len(r.Host)
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(": \r\n") + len(v)
		}
	}
	return n
}

// refuse answers a request that leads nowhere.
func (n *Node) refuse(w http.ResponseWriter, r *http.Request, p Problem) {
	if p.Outcome == "" {
		p.Outcome = NotRun
	}
	id := r.Header.Get(HeaderRequestID)
	if id != "" {
		w.Header().Set(HeaderRequestID, id)
	}
	if r.ContentLength != 0 {
		// The library reads a short body to its end before it sends an answer, and would wait for one that never comes, or
		// beyond the node's end.
		rest := callerGrace
		if n.leaving.ends() {
			rest = 0
		}
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(rest.Duration()))
	}
	p.Write(w)
	n.metrics.refused(p.Status)
	f := logrus.Fields{
		"event": "request_refused", "request": id, "host": r.Host, "path": r.URL.Path,
		"status": p.Status, "workspace": p.workspace, "limit": p.limit, "proof_ms": n.proofAge(), "reason": p.Detail, "retry_after_ms": p.RetryAfter, "version": n.stateVersion(),
	}
	if p.fingerprint != "" {
		f["print"] = p.fingerprint
	}
	n.log.WithFields(f).Warn()
}

func (n *Node) stateVersion() uint64 {
	if t := n.records.table.Load(); t != nil {
		return uint64(t.Version)
	}
	return 0
}

// readinessDoor tells the platform whether callers may be sent here.
func (n *Node) readinessDoor() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != n.platform.Speech.ReadyPath {
			http.NotFound(w, r)
			return
		}
		if reason := n.unready(); reason != "" {
			http.Error(w, reason, http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	})
}

// unready says why callers may not be sent here, or nothing.
func (n *Node) unready() string {
	switch {
	case n.leaving.started():
		return "leaving"
	case n.members.Superseded():
		return "a later process runs in this node's place"
	case n.runsOut():
		return "no word of the store on the keys that hold"
	case n.records.table.Load() == nil && n.settings().Node.Operators == "":
		return n.records.noStateReason()
	}
	return ""
}
