package node

import (
	"math/rand/v2"
	"net/http"

	"github.com/tinladder/tinladder/access"
	"github.com/tinladder/tinladder/clock"
	"github.com/tinladder/tinladder/desired"
)

const (
	// revokeMargin is how long before the platform's bound keys are no longer accepted. It covers rounding and the time
	// that a request takes from its caller to this node.
	revokeMargin clock.Millis = 100
	// expiringTenths is the part of that bound, in tenths, after which callers are directed to other nodes.
	expiringTenths, tenths = 6, 10
	// unverifiedRetryAfter is the retry delay while keys cannot be verified. A confirmation from the store arrives within
	// it, if the store can be reached.
	unverifiedRetryAfter clock.Millis = 700
	// settledAnswerTime is how long after the store has settled its next answer may take to come.
	settledAnswerTime = settleMargin + 230
	// minLimitRetryAfter and maxLimitRetryAfter bound the retry delay of callers over their limit.
	minLimitRetryAfter clock.Millis = 200
	maxLimitRetryAfter              = 3 * clock.Second
	// orderRetryAfter is the least retry delay of a request whose workspace has quota left for more urgent ones: demand is
	// averaged over as long.
	orderRetryAfter = 1 * clock.Second
	// limitPatience is the part of a route's timeout, as a divisor, that a request may wait for quota.
	limitPatience = 4
)

// authenticate returns the workspace that the request's key belongs to, or the problem with the key. The workspace is nil
// if the request needs no key.
func (n *Node) authenticate(t *desired.Table, route *desired.Route, r *http.Request) (*access.Workspace, *Problem) {
	if t.Access == nil || route.Public {
		return nil, nil
	}
	w, v := t.Access.Decide(r.Header.Values(n.platform.Protocol.Headers.Key), n.freshness(t))
	switch v {
	case access.Allowed:
		return w, nil
	case access.Unverified:
		wait := unverifiedRetryAfter
		if settling := n.duty.settlesIn(); settling > 0 {
			wait = max(wait, settling+settledAnswerTime)
		}
		return nil, &Problem{Status: http.StatusServiceUnavailable, RetryAfter: jitter(wait), Detail: v.String()}
	case access.Unusable:
		return nil, &Problem{Status: http.StatusServiceUnavailable, RetryAfter: notReadyRetryAfter, Detail: v.String()}
	}
	return nil, &Problem{Status: http.StatusUnauthorized, Detail: v.String()}
}

// checkLimit charges one request to the workspace's limit. It returns a problem if the limit does not allow the request.
func (n *Node) checkLimit(w *access.Workspace, route *desired.Route, r *http.Request) *Problem {
	refusal := n.quotas.admit(r, w, route)
	switch {
	case refusal == nil:
		return nil
	case !refusal.reached:
		return &Problem{
			Status: http.StatusServiceUnavailable, RetryAfter: jitter(unverifiedRetryAfter),
			Detail: "this node hears too few others to know what the workspace may ask",
		}
	}
	p := &Problem{
		Status: http.StatusTooManyRequests, RetryAfter: jitter(min(max(refusal.wait, minLimitRetryAfter), maxLimitRetryAfter)),
		Detail: "the workspace has reached its limit", byOrder: refusal.byOrder,
	}
	if refusal.byOrder {
		p.RetryAfter = max(p.RetryAfter, jitter(orderRetryAfter))
	}
	return p
}

// jitter adds a random part of up to a half to a pause, so that callers do not all return at the same time.
func jitter(pause clock.Millis) clock.Millis {
	return pause + rand.N(pause/2+1)
}

// freshness returns how recent this node's knowledge of the keys is, and the bounds on its age.
func (n *Node) freshness(t *desired.Table) access.Freshness {
	b := n.settings().Bounds
	trust := access.Freshness{NegativeMaxAge: b.Apply.Millis(), Stale: n.isOutdated(t)}
	trust.Age, trust.Known = n.duty.proof.Age(n.clock.Now())
	if b.Revoke > 0 {
		trust.MaxAge = b.Revoke.Millis() - revokeMargin
	}
	return trust
}

// proofAge returns how long ago the store was proved to hold no newer keys, for the log; -1 if unknown.
func (n *Node) proofAge() clock.Millis {
	if age, proved := n.duty.proof.Age(n.clock.Now()); proved {
		return age
	}
	return neverConfirmed
}

// accessExpiring reports whether this node will soon have to refuse all keys, so that callers should be directed to other
// nodes now.
func (n *Node) accessExpiring() bool {
	t := n.records.table.Load()
	if t == nil || t.Access == nil {
		return false
	}
	trust := n.freshness(t)
	return trust.MaxAge > 0 && (!trust.Known || trust.Age >= trust.MaxAge*expiringTenths/tenths)
}
