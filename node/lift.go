package node

import (
	"context"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"github.com/tinladder/tinladder/quarantine"
	tlv1 "github.com/tinladder/tinladder/schema/tinladder/v1"
)

// errNotHeld is returned for requests that are not held back, and for those of another workspace's services.
var errNotHeld = errors.New("nothing is held against such a request")

// Quarantine lists the requests that crashed targets of the services that the operator manages.
func (s *operatorServer) Quarantine(ctx context.Context, req *connect.Request[tlv1.QuarantineRequest]) (*connect.Response[tlv1.QuarantineResponse], error) {
	op, err := s.authenticate(ctx, req.Header())
	if err != nil {
		return nil, err
	}
	res := &tlv1.QuarantineResponse{}
	now := s.node.clock.Now()
	for _, c := range s.node.suspects.list.All() {
		if !op.canAccess(serviceWorkspace(c.Service)) {
			continue
		}
		_, since, _ := s.node.suspects.list.Get(c.Fingerprint)
		q := &tlv1.Quarantined{
			Print: c.Fingerprint.String(), Service: c.Service, What: c.Description, Held: c.Held(), Trials: uint32(c.Trials), KnownBy: c.Scope.String(),
			AgeMs: int64(now - since), TrialMs: int64(s.node.suspects.list.Decide(c.Fingerprint).RetryAfter),
		}
		for _, x := range c.Crashes {
			q.Targets = append(q.Targets, string(x.Target))
		}
		res.Requests = append(res.Requests, q)
	}
	return connect.NewResponse(res), nil
}

// Lift releases a request under all of its fingerprints. What could not be stored is written once the store is available.
func (s *operatorServer) Lift(ctx context.Context, req *connect.Request[tlv1.LiftRequest]) (*connect.Response[tlv1.LiftResponse], error) {
	op, err := s.authenticate(ctx, req.Header())
	if err != nil {
		return nil, err
	}
	p, err := quarantine.ParseFingerprint(req.Msg.GetPrint())
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	n := s.node
	c, _, found := n.suspects.list.Get(p)
	if !found || !op.canAccess(serviceWorkspace(c.Service)) {
		return nil, connect.NewError(connect.CodeNotFound, errNotHeld)
	}
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout.Duration())
	defer cancel()
	stored := true
	for _, like := range n.suspects.list.All() {
		if like.Description == c.Description && like.Service == c.Service { // the request's other fingerprints
			n.suspects.clearOnAllNodes(like.Fingerprint, op.name)
			err := n.suspects.saveRow(ctx, like.Fingerprint, 0)
			stored = stored && err == nil
		}
	}
	return connect.NewResponse(&tlv1.LiftResponse{Stored: stored}), nil
}
