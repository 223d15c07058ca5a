package backing

import (
	"context"
	"net/http"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"github.com/tinladder/tinladder/clock"
	tlv1 "github.com/tinladder/tinladder/schema/tinladder/v1"
	"github.com/tinladder/tinladder/schema/tinladder/v1/tinladderv1connect"
)

type server struct {
	memory *Memory
}

// NewHandler returns an HTTP handler that serves m, and the calls that steer it.
func NewHandler(m *Memory) http.Handler {
	s := &server{memory: m}
	mux := http.NewServeMux()
	mux.Handle(tinladderv1connect.NewPlatformServiceHandler(s))
	mux.Handle(tinladderv1connect.NewStandInServiceHandler(s))
	return mux
}

func unavailable(err error) error {
	return connect.NewError(connect.CodeUnavailable, err)
}

func (s *server) Read(ctx context.Context, req *connect.Request[tlv1.ReadRequest]) (*connect.Response[tlv1.ReadResponse], error) {
	rows, err := s.memory.Read(ctx, req.Msg.GetKeys()...)
	if err != nil {
		return nil, unavailable(err)
	}
	return connect.NewResponse(&tlv1.ReadResponse{Rows: rowsTo(rows)}), nil
}

func (s *server) Scan(ctx context.Context, req *connect.Request[tlv1.ScanRequest]) (*connect.Response[tlv1.ScanResponse], error) {
	rows, err := s.memory.Scan(ctx, req.Msg.GetPrefix(), req.Msg.GetAfter(), int(req.Msg.GetLimit()))
	if err != nil {
		return nil, unavailable(err)
	}
	return connect.NewResponse(&tlv1.ScanResponse{Rows: rowsTo(rows)}), nil
}

func (s *server) Commit(ctx context.Context, req *connect.Request[tlv1.CommitRequest]) (*connect.Response[tlv1.CommitResponse], error) {
	var writes []Write
	for _, w := range req.Msg.GetWrites() {
		writes = append(writes, Write{Key: w.GetKey(), Value: w.GetValue(), Expected: w.GetExpected()})
	}
	err := s.memory.Commit(ctx, writes...)
	var conflict *Conflict
	switch {
	case errors.As(err, &conflict):
		return connect.NewResponse(&tlv1.CommitResponse{Conflicts: rowsTo(conflict.Rows)}), nil
	case err != nil:
		return nil, unavailable(err)
	}
	return connect.NewResponse(&tlv1.CommitResponse{Committed: true}), nil
}

func (s *server) PutObject(ctx context.Context, req *connect.Request[tlv1.PutObjectRequest]) (*connect.Response[tlv1.PutObjectResponse], error) {
	err := s.memory.Put(ctx, Object{Name: req.Msg.GetName(), Value: req.Msg.GetValue()})
	if err != nil {
		return nil, unavailable(err)
	}
	return connect.NewResponse(&tlv1.PutObjectResponse{}), nil
}

func (s *server) ListObjects(ctx context.Context, req *connect.Request[tlv1.ListObjectsRequest]) (*connect.Response[tlv1.ListObjectsResponse], error) {
	objects, err := s.memory.List(ctx, req.Msg.GetPrefix(), req.Msg.GetAfter(), int(req.Msg.GetLimit()))
	if err != nil {
		return nil, unavailable(err)
	}
	res := &tlv1.ListObjectsResponse{}
	for _, o := range objects {
		res.Objects = append(res.Objects, &tlv1.PutObjectRequest{Name: o.Name, Value: o.Value})
	}
	return connect.NewResponse(res), nil
}

func (s *server) ListVMs(ctx context.Context, _ *connect.Request[tlv1.ListVMsRequest]) (*connect.Response[tlv1.ListVMsResponse], error) {
	vms, err := s.memory.VMs(ctx)
	if err != nil {
		return nil, unavailable(err)
	}
	res := &tlv1.ListVMsResponse{}
	for _, v := range vms {
		res.Vms = append(res.Vms, &tlv1.VM{Address: v.Address, Hall: string(v.Hall), Leaving: v.Leaving})
	}
	return connect.NewResponse(res), nil
}

func (s *server) SetFaults(_ context.Context, req *connect.Request[tlv1.SetFaultsRequest]) (*connect.Response[tlv1.SetFaultsResponse], error) {
	s.memory.SetFaults(Faults{
		Away:        req.Msg.GetAway(),
		Delay:       clock.Millis(req.Msg.GetDelayMs()),
		LoseAnswers: int(req.Msg.GetLoseAnswers()),
		VMLag:       clock.Millis(req.Msg.GetVmLagMs()),
	})
	u := s.memory.Usage()
	return connect.NewResponse(&tlv1.SetFaultsResponse{Reads: u.Reads, Writes: u.Writes}), nil
}

func (s *server) SetVMs(_ context.Context, req *connect.Request[tlv1.SetVMsRequest]) (*connect.Response[tlv1.SetVMsResponse], error) {
	s.memory.SetVMs(vmsFrom(req.Msg.GetVms()))
	return connect.NewResponse(&tlv1.SetVMsResponse{}), nil
}
