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

// passToHome requests are to be decided by their key's home.
const passToHome = "home"

// passPause is what callers are told when nothing better is known.
const passPause = 1 * clock.Second

// serveForPeer serves requests that another node passes on.
func (n *Node) serveForPeer(w http.ResponseWriter, r *http.Request) {
	n.leaving.enter()
	defer n.leaving.exit()
	n.serveOwn(w, r, r.Header.Get(HeaderPassed))
}

// blank is the outcome of a request that this node did nothing with. If the request has a key, it
// may have run elsewhere before.
func blank(r *http.Request) Outcome {
	if r.Header.Get(HeaderKey) != "" {
		return Unknown
	}
	return NotRun
}

// serveOwn serves a caller of the fleet's own interface, by token, service and path.
func (n *Node) serveOwn(w http.ResponseWriter, r *http.Request, passed string) {
	token := r.Header.Get(HeaderToken)
	ws, valid := tokenWorkspace(token)
	space := n.records.documents.Load().workspaces[ws]
	name, named := parseServiceName(r.Header.Get(HeaderService), ws)
	var route *ownRoute
	twice := false
	if space != nil && named {
		route, twice = space.route(r, name)
	}
	if p := n.checkOwn(r); p != nil {
		n.refuse(w, r, *p)
		return
	}
	switch {
	case !valid || space == nil || !tokenIn(space.doc.GetCallerTokenSha256(), token):
		n.refuse(w, r, Problem{Status: http.StatusUnauthorized, Outcome: blank(r), Detail: "token is missing or not valid"})
	case route == nil:
		n.refuse(w, r, Problem{Status: http.StatusNotFound, Outcome: blank(r), Detail: "no such service or route"})
	case twice:
		n.refuse(w, r, Problem{Status: http.StatusBadRequest, Outcome: blank(r), Detail: otherRoute})
	case !n.limiter.enter(ws, space.concurrency()):
		n.refuse(w, r, Problem{
			Status: http.StatusTooManyRequests, Outcome: blank(r), RetryAfter: passPause,
			Detail: "the workspace has its share of this node in use",
		})
	default:
		defer n.limiter.leave(ws)
		n.runOwn(w, r, route, passed)
	}
}

// checkOwn returns a problem with requests that no node would serve.
func (n *Node) checkOwn(r *http.Request) *Problem {
	p := &Problem{Outcome: blank(r)}
	limit := n.settings().Limits.BodyBytes
	switch {
	case n.members.Superseded():
		p.Status, p.Detail, p.RetryAfter = http.StatusServiceUnavailable, "a later process runs in this node's place", passPause
	case strings.Join(r.Header["Upgrade"], "") != "" || r.Method == http.MethodConnect:
		p.Status, p.Detail = http.StatusNotImplemented, "connections cannot be upgraded"
	case several(r.Header) != "":
		p.Status, p.Detail = http.StatusBadRequest, several(r.Header)+" stands there more than once"
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
	n, err := strconv.ParseUint(s, 10, 63) // it takes no sign
	return s == "" || err == nil && n > 0
}

// several returns a header of the fleet's own interface that has several values; nothing if there is none. Whoever reads
// the request besides could go by another one of them.
func several(h http.Header) string {
	for _, name := range ownRequest {
		if len(h[name]) > 1 {
			return name
		}
	}
	return ""
}

func (n *Node) runOwn(w http.ResponseWriter, r *http.Request, route *ownRoute, passed string) {
	r.Body = http.MaxBytesReader(nil, r.Body, n.settings().Limits.BodyBytes)
	x := newExchange(n, w, r, route.Route, ownHeaders)
	x.space = route.service.String()
	if p := x.late(blank(r)); p != nil {
		n.refuse(w, r, *p)
		return
	}
	raw := r.Header.Get(HeaderKey)
	switch {
	case route.Repeatable, raw == "" && route.keyOptional:
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
	n.decideOnce(x, route, key, passed)
}

// decideOnce runs a run-once request if its key has not run, or tells what became of it.
func (n *Node) decideOnce(x *exchange, route *ownRoute, key once.Key, passed string) {
	p := Problem{Status: http.StatusConflict, Outcome: Unknown, RetryAfter: passPause}
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
		p = Problem{Status: http.StatusServiceUnavailable, Outcome: NotRun, Detail: d.Reason, RetryAfter: passPause}
	case once.Unknown:
		p.Detail = d.Reason
	case once.Mismatch:
		p = Problem{Status: http.StatusUnprocessableEntity, Outcome: Unknown, Detail: "the key belongs to another request"}
	}
	n.refuse(x.w, x.r, p)
}

// fingerprint tells requests apart that come under one key. The host is left out, since it is
// another one when a caller goes to another node.
func fingerprint(r *http.Request) uint64 {
	d := xxhash.New()
	for _, s := range []string{r.Method, r.URL.RequestURI(), strconv.FormatInt(r.ContentLength, 10)} {
		_, _ = d.WriteString(s)
		_, _ = d.Write([]byte{0})
	}
	return d.Sum64()
}

// replay sends the answer that was kept.
func (n *Node) replay(x *exchange, a *once.Response) {
	if !a.Complete {
		n.refuse(x.w, x.r, Problem{
			Status: http.StatusConflict, Outcome: Ran,
			Detail: "the request ran, and was answered with status " + strconv.Itoa(a.Status) + "; the answer was too large to keep",
		})
		return
	}
	x.w.Header().Set(HeaderReplay, "true")
	x.answer(&forward.Response{Status: a.Status, Header: a.Header.Clone(), Body: a.Body}, noTicket{})
}

// homeDoor returns the process's door for peers, if the process is known to live.
func (n *Node) homeDoor(p ident.Process) (string, bool) {
	for _, m := range n.members.Live() {
		if member.ProcessOf(m) == p {
			return m.GetPeerAddress(), true
		}
	}
	return "", false
}

// passHome passes a request on to the only process that may run its key, once.
func (n *Node) passHome(x *exchange, home ident.Process, passed string) {
	address, live := n.homeDoor(home)
	if passed != "" || !live {
		n.refuse(x.w, x.r, Problem{
			Status: http.StatusConflict, Outcome: Unknown, RetryAfter: passPause,
			Detail: "the node that the key belongs to cannot be reached, and no other may run it",
		})
		return
	}
	x.pass(address)
}
