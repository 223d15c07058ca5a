package node

import (
	"math/rand/v2"
	"net/http"

	"github.com/tinladder/tinladder/access"
	"github.com/tinladder/tinladder/clock"
	"github.com/tinladder/tinladder/desired"
)

const (
	// revokeMargin is how much sooner than the platform's bound keys are no longer taken: for rounding, and for what
	// a request takes from its caller to here.
	revokeMargin clock.Millis = 100
	// expiringTenths is the part of that time after which callers are led elsewhere, in tenths.
	expiringTenths, tenths = 6, 10
	// unverifiedRetryAfter is what callers are told while no key can be taken: word of the store comes by then, if it can.
	unverifiedRetryAfter clock.Millis = 700
	// minLimitRetryAfter and maxLimitRetryAfter bound when callers over their limit are told to come back.
	minLimitRetryAfter clock.Millis = 200
	maxLimitRetryAfter              = 3 * clock.Second
)

// authenticate says in whose name the request runs, or returns the problem with it. A request that needs no key runs in
// nobody's.
func (n *Node) authenticate(t *desired.Table, route *desired.Route, r *http.Request) (*access.Workspace, *Problem) {
	if t.Access == nil || route.Public {
		return nil, nil
	}
	w, v := t.Access.Decide(r.Header.Values(n.platform.Speech.Headers.Key), n.freshness(t))
	switch v {
	case access.Allowed:
		return w, nil
	case access.Unverified:
		return nil, &Problem{Status: http.StatusServiceUnavailable, RetryAfter: jitter(unverifiedRetryAfter), Detail: v.String()}
	case access.Unusable:
		return nil, &Problem{Status: http.StatusServiceUnavailable, RetryAfter: notReadyRetryAfter, Detail: v.String()}
	}
	return nil, &Problem{Status: http.StatusUnauthorized, Detail: v.String()}
}

// checkLimit says whether the workspace may make one more request, or returns the problem with it.
func (n *Node) checkLimit(w *access.Workspace, r *http.Request) *Problem {
	admitted, wait, reached := n.quotas.admit(r.Context(), w)
	switch {
	case admitted:
		return nil
	case !reached:
		return &Problem{
			Status: http.StatusServiceUnavailable, RetryAfter: jitter(unverifiedRetryAfter),
			Detail: "this node hears too few others to know what the workspace may ask",
		}
	}
	return &Problem{
		Status: http.StatusTooManyRequests, RetryAfter: jitter(min(max(wait, minLimitRetryAfter), maxLimitRetryAfter)),
		Detail: "the workspace has reached its limit",
	}
}

// jitter adds up to half to a pause, by chance, so that callers do not come back at once.
func jitter(pause clock.Millis) clock.Millis {
	return pause + rand.N(pause/2+1)
}

// freshness is how far this node may go by the keys of a desired state.
func (n *Node) freshness(t *desired.Table) access.Freshness {
	b := n.settings().Bounds
	trust := access.Freshness{NegativeMaxAge: b.Apply.Millis(), Stale: n.isOutdated(t)}
	trust.Age, trust.Known = n.duty.proof.Age(n.clock.Now())
	if b.Revoke > 0 {
		trust.MaxAge = b.Revoke.Millis() - revokeMargin
	}
	return trust
}

// proofAge is how long ago the store is proved to have held no newer keys, for the log; -1 if that is not known.
func (n *Node) proofAge() clock.Millis {
	if age, proved := n.duty.proof.Age(n.clock.Now()); proved {
		return age
	}
	return never
}

// accessExpiring says whether keys will soon no longer be taken here, so that callers are better led elsewhere now.
func (n *Node) accessExpiring() bool {
	t := n.records.table.Load()
	if t == nil || t.Access == nil {
		return false
	}
	trust := n.freshness(t)
	return trust.MaxAge > 0 && (!trust.Known || trust.Age >= trust.MaxAge*expiringTenths/tenths)
}
