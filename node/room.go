package node

import (
	"context"
	"math"

	"connectrpc.com/connect"
	tlv1 "github.com/tinladder/tinladder/schema/tinladder/v1"
)

// Room tells how this node divides what the targets of services can do, and what workspaces used of their limits here. It is
// restricted to the services and the workspace that the operator manages.
func (s *operatorServer) Room(ctx context.Context, req *connect.Request[tlv1.RoomRequest]) (*connect.Response[tlv1.RoomResponse], error) {
	op, err := s.authenticate(ctx, req.Header())
	if err != nil {
		return nil, err
	}
	n := s.node
	res := &tlv1.RoomResponse{Node: string(n.self.Node)}
	for _, svc := range n.services.all() {
		if svc.loaded.Load() && op.canAccess(serviceWorkspace(svc.name)) {
			res.Services = append(res.Services, serviceRoom(svc))
		}
	}
	for _, u := range n.quotas.table.Usage() {
		if op.canAccess(string(u.Workspace)) {
			res.Limits = append(res.Limits, &tlv1.LimitUse{
				Workspace: string(u.Workspace), PerSecond: u.Rate.PerSecond, Used: u.Used, Refused: u.Refused, Available: u.Available,
			})
		}
	}
	return connect.NewResponse(res), nil
}

// serviceRoom returns how this node divides the room of a service.
func serviceRoom(svc *service) *tlv1.ServiceRoom {
	st, b, level := svc.pool.Stats(), svc.pool.RetryBudget().Stats(), svc.pool.UrgencyLevel()
	r := &tlv1.ServiceRoom{
		Service: svc.name, Waiting: uint32(st.Waiting), InFlight: uint32(st.InFlight),
		Admitted: level.Share, Level: level.Priority, Fraction: level.Fraction,
		Retries: b.Made, Denied: b.Denied, DeniedForOrder: b.DeniedForOrder,
	}
	for _, h := range svc.pool.Holders() {
		holder := &tlv1.RoomHolder{Workspace: string(h.Workspace), InFlight: uint32(h.InFlight), Waiting: uint32(h.Waiting)}
		if !math.IsInf(h.Share, 1) {
			holder.Share = h.Share
		}
		r.Holders = append(r.Holders, holder)
	}
	for _, d := range b.DeniedByRank {
		r.DeniedByRank = append(r.DeniedByRank, &tlv1.DeniedRetries{Priority: d.Priority, Loss: d.Loss.String(), Count: d.Denied})
	}
	for _, t := range svc.pool.Status() {
		if t.Slow {
			r.Slow = append(r.Slow, &tlv1.TargetTime{Target: string(t.Target), Slower: t.Slower})
		}
	}
	return r
}
