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

// notReadyRetryAfter is the retry delay while this node has no usable desired state.
const notReadyRetryAfter clock.Millis = 500

// leavingRetryAfter is the retry delay while this node shuts down. It is short since other nodes accept requests at once.
const leavingRetryAfter clock.Millis = 100

// ambiguousRoute is the error detail for a path that a target may interpret as belonging to another route.
const ambiguousRoute = "the path leads to another route once it is decoded and its dots are resolved"

// ownPathPrefix is the path prefix of the fleet's own API.
const ownPathPrefix = "/.tinladder/"

// serve handles a request on the callers' listener, of the users' platform or of the fleet's own API.
func (n *Node) serve(w http.ResponseWriter, r *http.Request) {
	n.leaving.enter()
	defer n.leaving.exit()
	r.Header.Del(HeaderPassed)
	r.Header.Del(HeaderCaller)
	if !n.checkForm(w, r) {
		return
	}
	switch {
	case r.URL.Path == DiscoveryPath && r.Method == http.MethodGet:
		n.serveDiscovery(w, r)
	case r.Header.Get(HeaderToken) != "", strings.HasPrefix(r.URL.Path, ownPathPrefix):
		n.serveOwn(w, r, "")
	default:
		n.servePlatform(w, r, "")
	}
}

// checkForm refuses a request that targets could read in another way, brings others into origin form, and reports whether the
// request may go on.
func (n *Node) checkForm(w http.ResponseWriter, r *http.Request) bool {
	if rejection := reading.CheckTarget(r); rejection != nil {
		if rejection.Close {
			w.Header().Set("Connection", "close")
		}
		n.refuse(w, r, Problem{Status: rejection.Status, Outcome: rejectedOutcome(r), Detail: rejection.Reason})
		return false
	}
	r.RequestURI = reading.OriginForm(r)
	return true
}

// servePlatform handles a request of the users' platform, routed by host and path. It is not passed to another node if one
// passed it here.
func (n *Node) servePlatform(w http.ResponseWriter, r *http.Request, passed string) {
	arrived := n.clock.Now() // before the request is charged to a limit, so that a refund never exceeds the charge
	x, problem := n.platformExchange(w, r, arrived)
	if problem != nil {
		problem.fractionalSeconds = n.platform.Protocol.Headers.FractionalRetryAfter
		n.refuse(w, r, *problem)
		return
	}
	x.mayPass = passed == ""
	if x.workspace == nil {
		x.serve(noTicket{})
		return
	}
	x.serve(limitTicket{table: n.quotas.table, workspace: x.workspace.Name, at: arrived})
}

// platformExchange returns the exchange for a request that is admitted, or the problem with it.
func (n *Node) platformExchange(w http.ResponseWriter, r *http.Request, arrived clock.Millis) (*exchange, *Problem) {
	t := n.records.await(r)
	if t == nil {
		return nil, &Problem{Status: http.StatusServiceUnavailable, RetryAfter: notReadyRetryAfter, Detail: n.records.noStateReason()}
	}
	route, problem := routeFor(t, r)
	if problem != nil && problem.Status == http.StatusNotFound && n.mayBeOutdated(t) {
		return nil, &Problem{Status: http.StatusServiceUnavailable, RetryAfter: jitter(unverifiedRetryAfter), Detail: "no route in the desired state known here, and a newer one may be in force"}
	}
	if problem != nil {
		return nil, problem
	}
	workspace, problem := n.authenticate(t, route, r)
	if problem != nil {
		return nil, problem
	}
	if problem := checkSizes(t.Limits, r); problem != nil {
		return nil, problem
	}
	x := newExchange(n, w, r, route, n.platform.Protocol.Headers, arrived)
	x.bodyLimit = t.Limits.BodyBytes
	x.stripKey = t.Access != nil
	x.allowedHalls = n.allowedHalls(route, workspace)
	if problem := x.checkLeaving(NotRun); problem != nil || workspace == nil {
		return x, problem
	}
	if problem := n.checkLimit(workspace, route, r); problem != nil {
		problem.workspace, problem.limit = workspace.Name, workspace.Rate.PerSecond
		return nil, problem
	}
	x.workspace, x.owner = workspace, string(workspace.Name)
	return x, nil
}

// isOutdated reports whether there is a newer desired state than t: another node is known to hold one, or this node
// loaded one since the request began.
func (n *Node) isOutdated(t *desired.Table) bool {
	return n.lag.isBehind(store.State) || n.records.table.Load() != t
}

// mayBeOutdated reports whether a newer desired state than t may already have to be in force here: there is one, or the
// last confirmation that the store holds none is older than the platform allows. Without this check a node would refuse
// with 404 requests that a state allows which it should have had seconds before.
//
// The age of a confirmation is a relative value that is understated while the message waits in the buffers of a busy
// node. The store's own clock therefore bounds it too, where available; that bound is longer by one long poll, since a
// response may carry the clock reading of when its poll arrived.
func (n *Node) mayBeOutdated(t *desired.Table) bool {
	if n.isOutdated(t) {
		return true
	}
	bound := n.settings().Bounds.Apply.Millis()
	age, proved := n.duty.proof.Age(n.clock.Now())
	return n.duty.age(store.State) > bound || proved && age > bound+longPoll
}

// routeFor returns the route of the request. It refuses routes that cannot be used, and paths that lead to another route
// once they are normalized.
func routeFor(t *desired.Table, r *http.Request) (*desired.Route, *Problem) {
	path := r.URL.EscapedPath()
	route := t.Find(r.Host, path)
	if route == nil {
		return nil, &Problem{Status: http.StatusNotFound, Detail: "no route"}
	}
	if p := reading.NormalizePath(r.RequestURI); p != path && t.Find(r.Host, p) != route {
		return nil, &Problem{Status: http.StatusBadRequest, Detail: ambiguousRoute}
	}
	if route.Fault != "" {
		return nil, &Problem{Status: http.StatusServiceUnavailable, RetryAfter: notReadyRetryAfter, Detail: "the route cannot be used: " + route.Fault}
	}
	return route, nil
}

// checkSizes enforces the desired state's limits on the sizes of header and body.
func checkSizes(l desired.Limits, r *http.Request) *Problem {
	if l.HeaderBytes > 0 && headerBytes(r) > l.HeaderBytes {
		return &Problem{Status: http.StatusRequestHeaderFieldsTooLarge, Detail: "the header is too large"}
	}
	if l.BodyBytes > 0 && r.ContentLength > l.BodyBytes {
		return &Problem{Status: http.StatusRequestEntityTooLarge, Detail: "the body is too large"}
	}
	return nil
}

// headerBytes returns the size of the request line and header as sent.
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

// refuse responds to a request that is not sent to any target, and logs why.
func (n *Node) refuse(w http.ResponseWriter, r *http.Request, p Problem) {
	if p.Outcome == "" {
		p.Outcome = NotRun
	}
	id := r.Header.Get(HeaderRequestID)
	if id != "" {
		w.Header().Set(HeaderRequestID, id)
	}
	if r.ContentLength != 0 {
		// net/http reads a short body to its end before it sends a response. Without a deadline it would wait for a body
		// that never comes, or beyond the node's shutdown.
		rest := callerGrace
		if n.leaving.pendingCanceled() {
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
	if p.byOrder {
		f["order"] = "priority"
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

// readinessHandler serves the platform's readiness check.
func (n *Node) readinessHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != n.platform.Protocol.ReadyPath {
			http.NotFound(w, r)
			return
		}
		if reason := n.notReadyReason(); reason != "" {
			http.Error(w, reason, http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	})
}

// notReadyReason returns why callers must not be sent to this node, or "" if they may.
func (n *Node) notReadyReason() string {
	switch {
	case n.leaving.started():
		return "leaving"
	case n.members.Superseded():
		return "a later process runs in this node's place"
	case n.accessExpiring():
		return "no word of the store on the keys that hold"
	case n.records.table.Load() == nil && n.settings().Node.Operators == "":
		return n.records.noStateReason()
	}
	return ""
}
