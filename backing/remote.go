package backing

import (
	"context"
	"net/http"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"github.com/tinladder/tinladder/ident"
	tlv1 "github.com/tinladder/tinladder/schema/tinladder/v1"
	"github.com/tinladder/tinladder/schema/tinladder/v1/tinladderv1connect"
)

type remote struct {
	client tinladderv1connect.PlatformServiceClient
}

// NewRemote returns the platform that answers at the base URL.
func NewRemote(client *http.Client, baseURL string) Platform {
	return &remote{client: tinladderv1connect.NewPlatformServiceClient(client, baseURL)}
}

// away marks any failure to answer, whatever its cause, as ErrAway.
func away(err error) error {
	if err == nil {
		return nil
	}
	return errors.Mark(err, ErrAway)
}

func (p *remote) Read(ctx context.Context, keys ...string) (rows []Row, err error) {
	defer func() { err = errors.Wrap(away(err), "read table") }()
	res, err := p.client.Read(ctx, connect.NewRequest(&tlv1.ReadRequest{Keys: keys}))
	if err != nil {
		return nil, err
	}
	if len(res.Msg.GetRows()) != len(keys) {
		return nil, errors.Newf("asked for %d rows, got %d", len(keys), len(res.Msg.GetRows()))
	}
	return rowsFrom(res.Msg.GetRows()), nil
}

func (p *remote) Scan(ctx context.Context, prefix, after string, limit int) (rows []Row, err error) {
	defer func() { err = errors.Wrap(away(err), "scan table") }()
	req := &tlv1.ScanRequest{Prefix: prefix, After: after, Limit: uint32(limit)}
	res, err := p.client.Scan(ctx, connect.NewRequest(req))
	if err != nil {
		return nil, err
	}
	return rowsFrom(res.Msg.GetRows()), nil
}

func (p *remote) Commit(ctx context.Context, writes ...Write) error {
	req := &tlv1.CommitRequest{}
	for _, w := range writes {
		req.Writes = append(req.Writes, &tlv1.Write{Key: w.Key, Value: w.Value, Expected: w.Expected})
	}
	res, err := p.client.Commit(ctx, connect.NewRequest(req))
	if err != nil {
		return errors.Wrap(away(err), "commit to table")
	}
	if !res.Msg.GetCommitted() {
		return &Conflict{Rows: rowsFrom(res.Msg.GetConflicts())}
	}
	return nil
}

func (p *remote) Put(ctx context.Context, o Object) (err error) {
	defer func() { err = errors.Wrap(away(err), "put object") }()
	_, err = p.client.PutObject(ctx, connect.NewRequest(&tlv1.PutObjectRequest{Name: o.Name, Value: o.Value}))
	return err
}

func (p *remote) List(ctx context.Context, prefix, after string, limit int) (objects []Object, err error) {
	defer func() { err = errors.Wrap(away(err), "list objects") }()
	req := &tlv1.ListObjectsRequest{Prefix: prefix, After: after, Limit: uint32(limit)}
	res, err := p.client.ListObjects(ctx, connect.NewRequest(req))
	if err != nil {
		return nil, err
	}
	for _, o := range res.Msg.GetObjects() {
		objects = append(objects, Object{Name: o.GetName(), Value: o.GetValue()})
	}
	return objects, nil
}

func (p *remote) VMs(ctx context.Context) (vms []VM, err error) {
	defer func() { err = errors.Wrap(away(err), "list VMs") }()
	res, err := p.client.ListVMs(ctx, connect.NewRequest(&tlv1.ListVMsRequest{}))
	if err != nil {
		return nil, err
	}
	return vmsFrom(res.Msg.GetVms()), nil
}

func rowsFrom(in []*tlv1.Row) []Row {
	rows := make([]Row, len(in))
	for i, r := range in {
		rows[i] = Row{Key: r.GetKey(), Value: r.GetValue(), Version: r.GetVersion()}
	}
	return rows
}

func rowsTo(in []Row) []*tlv1.Row {
	rows := make([]*tlv1.Row, len(in))
	for i, r := range in {
		rows[i] = &tlv1.Row{Key: r.Key, Value: r.Value, Version: r.Version}
	}
	return rows
}

func vmsFrom(in []*tlv1.VM) []VM {
	vms := make([]VM, len(in))
	for i, v := range in {
		vms[i] = VM{Address: v.GetAddress(), Hall: ident.Hall(v.GetHall()), Leaving: v.GetLeaving()}
	}
	return vms
}
