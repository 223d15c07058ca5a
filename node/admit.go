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
	// awayShare is the part of that time after which callers are led elsewhere, in tenths.
	awayShare, tenths = 6, 10
	// provePause is what callers are told while no key can be taken: word of the store comes by then, if it can.
	provePause clock.Millis = 700
	// limitPauseLeast and limitPauseMost bound when callers over their limit are told to come back.
	limitPauseLeast clock.Millis = 200
	limitPauseMost               = 3 * clock.Second
)

// admit says in whose name the request runs, or returns the problem with it. A request that needs no key runs in
// nobody's.
func (n *Node) admit(t *desired.Table, route *desired.Route, r *http.Request) (*access.Workspace, *Problem) {
	if t.Access == nil || route.Public {
		return nil, nil
	}
	w, v := t.Access.Decide(r.Header.Values(n.platform.Protocol.Headers.Key), n.trust(t))
	switch v {
	case access.Allowed:
		return w, nil
	case access.Unverified:
		return nil, &Problem{Status: http.StatusServiceUnavailable, RetryAfter: jitter(provePause), Detail: v.String()}
	case access.Unusable:
		return nil, &Problem{Status: http.StatusServiceUnavailable, RetryAfter: notReadyPause, Detail: v.String()}
	}
	return nil, &Problem{Status: http.StatusUnauthorized, Detail: v.String()}
}

// within says whether the workspace may make one more request, or returns the problem with it.
func (n *Node) within(w *access.Workspace, r *http.Request) *Problem {
	admitted, wait, reached := n.quotas.admit(r.Context(), w)
	switch {
	case admitted:
		return nil
	case !reached:
		return &Problem{
			Status: http.StatusServiceUnavailable, RetryAfter: jitter(provePause),
			Detail: "this node hears too few others to know what the workspace may ask",
		}
	}
	return &Problem{
		Status: http.StatusTooManyRequests, RetryAfter: jitter(min(max(wait, limitPauseLeast), limitPauseMost)),
		Detail: "the workspace has reached its limit",
	}
}

// jitter adds up to half to a pause, by chance, so that callers do not come back at once.
func jitter(pause clock.Millis) clock.Millis {
	return pause + rand.N(pause/2+1)
}

// trust is how far this node may go by the keys of a desired state.
func (n *Node) trust(t *desired.Table) access.Freshness {
	b := n.settings().Bounds
	trust := access.Freshness{NegativeMaxAge: b.Apply.Millis(), Stale: n.lacksNewer(t)}
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
	return neverConfirmed
}

// runsOut says whether keys will soon no longer be taken here, so that callers are better led elsewhere now.
func (n *Node) runsOut() bool {
	t := n.records.table.Load()
	if t == nil || t.Access == nil {
		return false
	}
	trust := n.trust(t)
	return trust.MaxAge > 0 && (!trust.Known || trust.Age >= trust.MaxAge*awayShare/tenths)
}
