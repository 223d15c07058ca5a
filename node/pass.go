package node

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"

	"github.com/cockroachdb/errors"
	"github.com/tinladder/tinladder/forward"
	"github.com/tinladder/tinladder/ident"
	"github.com/tinladder/tinladder/member"
	"github.com/tinladder/tinladder/pool"
	tlv1 "github.com/tinladder/tinladder/schema/tinladder/v1"
)

// Values of HeaderPassed, on requests that another node forwards.
const (
	// passToHome forwards a request to the home node of its key.
	passToHome = "home"
	// passToTargets forwards a request that its node reaches no target for to a node that does. It is forwarded once.
	passToTargets = "targets"
)

const (
	// maxPassed bounds the requests that this node has at other nodes, since it reaches no target for them.
	maxPassed = 256
	// maxPassAttempts bounds the nodes that such a request is sent to, if connections to them fail.
	maxPassAttempts = 2
)

// serveForPeer handles requests that another node forwards.
func (n *Node) serveForPeer(w http.ResponseWriter, r *http.Request) {
	n.leaving.enter()
	defer n.leaving.exit()
	passed := r.Header.Get(HeaderPassed)
	switch {
	case passed != passToTargets || r.Header.Get(HeaderToken) != "":
		n.serveOwn(w, r, passed)
	case n.checkForm(w, r):
		n.servePlatform(w, r, passed)
	}
}

// passToNode forwards the request unchanged to its key's home, in a single attempt, and sends back the response.
func (x *exchange) passToNode(address string) {
	if err := x.readBody(); err != nil {
		x.rejectBody(err, Unknown)
		return
	}
	defer x.dropBody()
	x.sendToHome(address)
	x.stopBody()
}

func (x *exchange) sendToHome(address string) {
	ctx, cancel := x.context()
	defer cancel()
	a, err := x.node.nodes.Send(ctx, address, x.request(x.passedHeader(passToHome)))
	if err != nil {
		p := Problem{Status: http.StatusBadGateway, Outcome: Unknown, RetryAfter: passRetryAfter, Detail: "the key's home did not answer"}
		x.respondProblem(p, causeNoAnswer, err)
		return
	}
	x.keepOutcome(a)
	x.respond(a, noTicket{})
}

// passedHeader returns the request's header for another node.
func (x *exchange) passedHeader(passed string) http.Header {
	h := x.r.Header.Clone()
	forward.DropHopByHop(h)
	for _, name := range ownRequestHeaders {
		// Restore it even if the caller's Connection header names it: without its key the request would run again.
		if v, found := x.r.Header[name]; found {
			h[name] = v
		}
	}
	h.Set(HeaderPassed, passed)
	h.Set(HeaderCaller, callerAddress(x.r))
	h.Set(HeaderPeerKey, x.node.keys.peerKey())
	h.Set(x.headers.RequestID, x.id)
	return h
}

// keepOutcome keeps what the other node's response says beyond a target's response: of the request, for the caller, and of
// the target, for this node.
func (x *exchange) keepOutcome(a *forward.Response) {
	x.w.Header()[HeaderOutcome] = a.Header[HeaderOutcome]
	x.w.Header()[HeaderReplay] = a.Header[HeaderReplay]
	if id := a.Header.Get(HeaderLeavingTarget); id != "" {
		x.service.pool.RecordLeaving(ident.Target(id))
	}
}

// passToReaching forwards a request that no target ran to a node that reaches targets, if the error is that this one does
// not, and sends back the response. It reports whether it did; if not, no other node has the request.
func (x *exchange) passToReaching(err error, t ticket) bool {
	// Nobody else may use the service just now, so that only other services show that the node is cut off.
	cutOff := errors.Is(err, pool.ErrCutOff) || errors.Is(err, pool.ErrNoTarget) && x.node.reach.isCutOff()
	if !cutOff || !x.mayPass || x.ran > 0 || x.callerLeft() || !x.node.reach.enter() {
		return false
	}
	defer x.node.reach.exit()
	ctx, cancel := x.context()
	defer cancel()
	var tried []string
	for range maxPassAttempts {
		m := x.node.reach.reachingNode(x.service, tried)
		if m == nil {
			return false
		}
		tried = append(tried, m.GetNode())
		a, err := x.sendToReaching(ctx, m)
		x.node.metrics.passed(err)
		switch {
		case err == nil:
			x.respondPassed(a, m, t)
		case !errors.Is(err, forward.ErrSent):
			continue
		case x.callerLeft() && x.route.Repeatable:
			x.abort(t)
		default:
			x.respondUnknown(err, t)
		}
		return true
	}
	return false
}

func (x *exchange) sendToReaching(ctx context.Context, m *tlv1.Member) (*forward.Response, error) {
	h := x.passedHeader(passToTargets)
	h.Set(x.headers.Deadline, strconv.FormatInt(int64(max(x.deadline-x.node.clock.Now()-deadlineMargin, 1)), 10))
	r := x.request(h)
	if !x.route.Repeatable {
		r.MaxIdle = maxIdleOnce
	}
	return x.node.nodes.Send(ctx, m.GetPeerAddress(), r)
}

// respondPassed sends the other node's response to the caller. That node has counted the request.
func (x *exchange) respondPassed(a *forward.Response, by *tlv1.Member, t ticket) {
	x.passedTo = by.GetNode()
	x.service.pool.RetryBudget().RemoveRequest()
	x.keepOutcome(a)
	if x.headers.NotRunStatuses && notRunStatuses[a.Status] && a.Header.Get(HeaderOutcome) != string(NotRun) {
		discard(a)
		x.respondUnknown(errors.Newf("status %d of another node without a word on whether the request ran", a.Status), t)
		return
	}
	t.Void()
	x.writeResponse(a, noTicket{})
}

// reachingNode returns a node to pass a request for the service to: one that carries it, of this hall if there are any. It
// returns nil if none is known that reaches targets.
func (r *reach) reachingNode(svc *service, tried []string) *tlv1.Member {
	cutOff := svc.pool.CutOffPeers()
	usable := func(m *tlv1.Member) bool {
		return processOf(m) != r.node.self && !m.GetCutOff() && m.GetTakesPassed() && isReady(m) && !cutOff[member.ProcessOf(m)] && !slices.Contains(tried, m.GetNode())
	}
	var near, far []*tlv1.Member
	for _, m := range r.node.carriers.all(svc.name) {
		switch {
		case !usable(m):
		case hallOf(m) == r.node.hall():
			near = append(near, m)
		default:
			far = append(far, m)
		}
	}
	if len(near) == 0 && len(far) == 0 {
		far = slices.DeleteFunc(slices.Clone(r.node.members.Live()), func(m *tlv1.Member) bool { return !usable(m) })
	}
	for _, list := range [][]*tlv1.Member{near, far} {
		if len(list) > 0 {
			return list[rand.IntN(len(list))]
		}
	}
	return nil
}
