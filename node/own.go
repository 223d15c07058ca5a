package node

import (
	"net/http"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/tinladder/tinladder/clock"
	"github.com/tinladder/tinladder/forward"
	"github.com/tinladder/tinladder/ident"
	"github.com/tinladder/tinladder/member"
	"github.com/tinladder/tinladder/once"
)

// passRetryAfter is the default retry delay of the fleet's own API.
const passRetryAfter = 1 * clock.Second

// rejectedOutcome returns the outcome of a request that this node rejects before it does anything with it. A request
// with a key may have run on another node before.
func rejectedOutcome(r *http.Request) Outcome {
	if r.Header.Get(HeaderKey) != "" {
		return Unknown
	}
	return NotRun
}

// serveOwn handles a request of the fleet's own API, routed by token, service and path.
func (n *Node) serveOwn(w http.ResponseWriter, r *http.Request, passed string) {
	token := r.Header.Get(HeaderToken)
	ws, valid := tokenWorkspace(token)
	space := n.records.documents.Load().workspaces[ws]
	name, named := parseServiceName(r.Header.Get(HeaderService), ws)
	var route *ownRoute
	ambiguous := false
	if space != nil && named {
		route, ambiguous = space.route(r, name)
	}
	if p := n.checkOwn(r); p != nil {
		n.refuse(w, r, *p)
		return
	}
	switch {
	case !valid || space == nil || !tokenIn(space.doc.GetCallerTokenSha256(), token):
		n.refuse(w, r, Problem{Status: http.StatusUnauthorized, Outcome: rejectedOutcome(r), Detail: "token is missing or not valid"})
	case route == nil:
		n.refuse(w, r, Problem{Status: http.StatusNotFound, Outcome: rejectedOutcome(r), Detail: "no such service or route"})
	case ambiguous:
		n.refuse(w, r, Problem{Status: http.StatusBadRequest, Outcome: rejectedOutcome(r), Detail: ambiguousRoute})
	case !n.limiter.acquire(ws, space.concurrency()):
		n.refuse(w, r, Problem{
			Status: http.StatusTooManyRequests, Outcome: rejectedOutcome(r), RetryAfter: passRetryAfter,
			Detail: "the workspace has its share of this node in use",
		})
	default:
		defer n.limiter.release(ws)
		n.runOwn(w, r, route, passed)
	}
}

// checkOwn returns a problem if no node would serve the request, or if this node was superseded.
func (n *Node) checkOwn(r *http.Request) *Problem {
	p := &Problem{Outcome: rejectedOutcome(r)}
	limit := n.settings().Limits.BodyBytes
	switch {
	case n.members.Superseded():
		p.Status, p.Detail, p.RetryAfter = http.StatusServiceUnavailable, "a later process runs in this node's place", passRetryAfter
	case strings.Join(r.Header["Upgrade"], "") != "" || r.Method == http.MethodConnect:
		p.Status, p.Detail = http.StatusNotImplemented, "connections cannot be upgraded"
	case repeatedHeader(r.Header) != "":
		p.Status, p.Detail = http.StatusBadRequest, repeatedHeader(r.Header)+" stands there more than once"
	case r.ContentLength > limit:
		p.Status, p.Detail = http.StatusRequestEntityTooLarge, "body is larger than this node allows"
	case !deadlineValid(r.Header.Get(HeaderDeadline)):
		p.Status, p.Detail = http.StatusBadRequest, HeaderDeadline+" must be a positive number"
	default:
		return nil
	}
	return p
}

func deadlineValid(s string) bool {
	n, err := strconv.ParseUint(s, 10, 63) // unlike ParseInt it accepts no sign
	return s == "" || err == nil && n > 0
}

// repeatedHeader returns the name of a header of the fleet's own API that has several values, or "". Another reader of
// the request could use a different one of them.
func repeatedHeader(h http.Header) string {
	for _, name := range ownRequestHeaders {
		if len(h[name]) > 1 {
			return name
		}
	}
	return ""
}

func (n *Node) runOwn(w http.ResponseWriter, r *http.Request, route *ownRoute, passed string) {
	x := newExchange(n, w, r, route.Route, ownHeaders, n.clock.Now())
	x.bodyLimit = n.settings().Limits.BodyBytes
	x.owner = route.service.String()
	if p := x.checkLeaving(rejectedOutcome(r)); p != nil {
		n.refuse(w, r, *p)
		return
	}
	raw := r.Header.Get(HeaderKey)
	switch {
	case route.Repeatable, raw == "" && route.keyOptional:
		x.mayPass = passed == ""
		x.serve(noTicket{})
		return
	case raw == "":
		n.refuse(w, r, Problem{Status: http.StatusBadRequest, Detail: "run-once requests need a " + HeaderKey})
		return
	}
	key, err := once.ParseKey(raw)
	if err != nil {
		n.refuse(w, r, Problem{Status: http.StatusBadRequest, Detail: err.Error()})
		return
	}
	n.serveOnce(x, route, key, passed)
}

// serveOnce runs a run-once request if its key has not run yet, or responds with what is known of the earlier run.
func (n *Node) serveOnce(x *exchange, route *ownRoute, key once.Key, passed string) {
	p := Problem{Status: http.StatusConflict, Outcome: Unknown, RetryAfter: passRetryAfter}
	switch d := n.ledger.Begin(route.service.Workspace, key, fingerprint(x.r)).(type) {
	case once.Run:
		x.serve(d.Ticket)
		return
	case once.Replay:
		n.replay(x, d.Response)
		return
	case once.Forward:
		n.passHome(x, d.Home, passed)
		return
	case once.NotRun:
		p = Problem{Status: http.StatusServiceUnavailable, Outcome: NotRun, Detail: d.Reason, RetryAfter: passRetryAfter}
	case once.Unknown:
		p.Detail = d.Reason
	case once.Mismatch:
		p = Problem{Status: http.StatusUnprocessableEntity, Outcome: Unknown, Detail: "the key belongs to another request"}
	}
	n.refuse(x.w, x.r, p)
}

// fingerprint distinguishes different requests under the same key. It leaves out the host, which changes when a caller
// tries another node.
func fingerprint(r *http.Request) uint64 {
	d := xxhash.New()
	for _, s := range []string{r.Method, r.URL.RequestURI(), strconv.FormatInt(r.ContentLength, 10)} {
		_, _ = d.WriteString(s)
		_, _ = d.Write([]byte{0})
	}
	return d.Sum64()
}

// replay sends the stored response of an earlier run.
func (n *Node) replay(x *exchange, a *once.Response) {
	if !a.Complete {
		n.refuse(x.w, x.r, Problem{
			Status: http.StatusConflict, Outcome: Ran,
			Detail: "the request ran, and was answered with status " + strconv.Itoa(a.Status) + "; the answer was too large to keep",
		})
		return
	}
	x.w.Header().Set(HeaderReplay, "true")
	x.respond(&forward.Response{Status: a.Status, Header: a.Header.Clone(), Body: a.Body}, noTicket{})
}

// homeAddress returns the process's address for peers, if the process is known to be alive.
func (n *Node) homeAddress(p ident.Process) (string, bool) {
	for _, m := range n.members.Live() {
		if member.ProcessOf(m) == p {
			return m.GetPeerAddress(), true
		}
	}
	return "", false
}

// passHome forwards a request to the only process that may run its key, unless it was forwarded already.
func (n *Node) passHome(x *exchange, home ident.Process, passed string) {
	address, live := n.homeAddress(home)
	if passed != "" || !live {
		n.refuse(x.w, x.r, Problem{
			Status: http.StatusConflict, Outcome: Unknown, RetryAfter: passRetryAfter,
			Detail: "the node that the key belongs to cannot be reached, and no other may run it",
		})
		return
	}
	x.passToNode(address)
}
