package main

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"os"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"github.com/tinladder/tinladder/ident"
	tlv1 "github.com/tinladder/tinladder/schema/tinladder/v1"
	"github.com/tinladder/tinladder/schema/tinladder/v1/tinladderv1connect"
	"google.golang.org/protobuf/proto"
)

const (
	changeIDBytes = 12
	secretBytes   = 24
	// changeRaces is how often a change is tried again when another change was faster.
	changeRaces = 5
)

// control carries out commands.
type control struct {
	client tinladderv1connect.OperatorServiceClient
	token  string
	out    *output
}

func (c *control) run(args arguments) error {
	ctx := context.Background()
	switch {
	case args.Apply != nil:
		return c.apply(ctx, args.Apply)
	case args.Get != nil:
		return c.get(ctx, args.Get)
	case args.List != nil:
		return c.list(ctx, args.List)
	case args.Delete != nil:
		return c.delete(ctx, args.Delete)
	case args.History != nil:
		return c.history(ctx, args.History)
	case args.Drain != nil:
		return c.drain(ctx, args.Drain)
	case args.Evacuate != nil:
		return c.evacuate(ctx, args.Evacuate.Hall, true)
	case args.Restore != nil:
		return c.evacuate(ctx, args.Restore.Hall, false)
	case args.InForce != nil:
		return c.inForce(ctx, args.InForce)
	case args.Status != nil:
		return c.status(ctx)
	case args.Explain != nil:
		return explain(c.out, args.Explain)
	case args.Report != nil && args.Report.ofLogs():
		return reportFromLogs(c.out, args.Report)
	case args.Report != nil:
		return c.report(ctx, args.Report)
	case args.Spaces != nil:
		return workspaces(ctx, c.out, args.Spaces)
	case args.Held != nil:
		return c.quarantine(ctx)
	case args.Room != nil:
		return c.room(ctx)
	case args.Lift != nil:
		return c.lift(ctx, args.Lift)
	case args.Resolve != nil:
		return c.resolve(ctx, args.Resolve)
	case args.Leave != nil:
		_, err := c.client.Leave(ctx, request(c, &tlv1.LeaveRequest{}))
		return err
	case args.NewTok != nil:
		return c.newToken(args.NewTok)
	}
	return errors.New("no command")
}

func request[T any](c *control, msg *T) *connect.Request[T] {
	req := connect.NewRequest(msg)
	req.Header().Set("Authorization", "Bearer "+c.token)
	return req
}

func randomHex(n int) string {
	b := make([]byte, n)
	_, _ = rand.Read(b) // never fails
	return hex.EncodeToString(b)
}

// hallPrefix begins the names of halls on the command line. No workspace's name has a colon.
const hallPrefix = "hall:"

func split(name string) (workspace, service, hall string) {
	if hall, found := strings.CutPrefix(name, hallPrefix); found {
		return "", "", hall
	}
	workspace, service, _ = strings.Cut(name, "/")
	return workspace, service, ""
}

func (c *control) apply(ctx context.Context, cmd *applyCmd) (err error) {
	defer func() { err = errors.Wrapf(err, "apply %s", cmd.File) }()
	text, err := os.ReadFile(cmd.File)
	if err != nil {
		return err
	}
	docs, err := documentsIn(string(text))
	if err != nil {
		return err
	}
	for _, d := range docs {
		if err := c.applyOne(ctx, d, cmd.DryRun); err != nil {
			return errors.Wrap(err, nameOf(d))
		}
	}
	return nil
}

// applyOne makes the change, if there is one, against the version that it was compared with.
func (c *control) applyOne(ctx context.Context, d *tlv1.Document, dryRun bool) error {
	current, err := c.current(ctx, d)
	if err != nil {
		return err
	}
	d.Version = current.GetVersion()
	if proto.Equal(d, current) {
		c.out.line("%s: version %d, no change", nameOf(d), d.GetVersion())
		return nil
	}
	c.out.diff(current, d)
	return c.send(ctx, d, dryRun)
}

func (c *control) send(ctx context.Context, d *tlv1.Document, dryRun bool) error {
	id := randomHex(changeIDBytes)
	res, err := c.client.Apply(ctx, request(c, &tlv1.ApplyRequest{Document: d, ChangeId: id, DryRun: dryRun}))
	if err != nil {
		return errors.Wrapf(err, "change %s", id)
	}
	if dryRun {
		c.out.line("%s: would replace version %d", nameOf(d), res.Msg.GetChange().GetReplaced())
		return nil
	}
	c.out.line("%s: version %d replaces %d", nameOf(d), res.Msg.GetChange().GetSeq(), res.Msg.GetChange().GetReplaced())
	return nil
}

// current returns the document in force, or one with version 0.
func (c *control) current(ctx context.Context, d *tlv1.Document) (*tlv1.Document, error) {
	w, s := d.GetWorkspace().GetName(), ""
	if d.GetService() != nil {
		w, s = d.GetService().GetWorkspace(), d.GetService().GetName()
	}
	res, err := c.client.Get(ctx, request(c, &tlv1.GetRequest{Workspace: w, Service: s, Hall: d.GetHall().GetName()}))
	if connect.CodeOf(err) == connect.CodeNotFound {
		return &tlv1.Document{Key: d.GetKey()}, nil
	}
	if err != nil {
		return nil, err
	}
	return res.Msg.GetDocument(), nil
}

func (c *control) fetch(ctx context.Context, name string) (*tlv1.Document, error) {
	w, s, h := split(name)
	res, err := c.client.Get(ctx, request(c, &tlv1.GetRequest{Workspace: w, Service: s, Hall: h}))
	if err != nil {
		return nil, errors.Wrap(err, name)
	}
	return res.Msg.GetDocument(), nil
}

func (c *control) get(ctx context.Context, cmd *nameCmd) error {
	d, err := c.fetch(ctx, cmd.Name)
	if err != nil {
		return err
	}
	return c.out.document(d)
}

func (c *control) list(ctx context.Context, cmd *nameCmd) error {
	res, err := c.client.List(ctx, request(c, &tlv1.ListRequest{Workspace: cmd.Name}))
	if err != nil {
		return err
	}
	return c.out.services(res.Msg)
}

func (c *control) delete(ctx context.Context, cmd *nameCmd) error {
	d, err := c.fetch(ctx, cmd.Name)
	if err != nil {
		return err
	}
	if d.GetService() == nil {
		return errors.New("only services can be deleted")
	}
	d.Body = &tlv1.Document_Service{Service: &tlv1.Service{
		Workspace: d.GetService().GetWorkspace(), Name: d.GetService().GetName(), Deleted: true,
	}}
	return c.send(ctx, d, false)
}

func (c *control) history(ctx context.Context, cmd *historyCmd) error {
	w, s, h := split(cmd.Name)
	res, err := c.client.History(ctx, request(c, &tlv1.HistoryRequest{Workspace: w, Service: s, Hall: h, Limit: cmd.Limit}))
	if err != nil {
		return err
	}
	return c.out.history(res.Msg)
}

// drain marks a target, on whatever version is in force.
func (c *control) drain(ctx context.Context, cmd *drainCmd) error {
	var err error
	for range changeRaces {
		var d *tlv1.Document
		if d, err = c.fetch(ctx, cmd.Service); err != nil {
			return err
		}
		if err = mark(d, cmd); err != nil {
			return err
		}
		if err = c.send(ctx, d, false); connect.CodeOf(errors.UnwrapAll(err)) != connect.CodeAborted {
			return err
		}
	}
	return err
}

func mark(d *tlv1.Document, cmd *drainCmd) error {
	for _, t := range d.GetService().GetTargets() {
		if t.GetId() == cmd.Target {
			t.Leaving = !cmd.Undo
			return nil
		}
	}
	return errors.Newf("%s has no target %q", cmd.Service, cmd.Target)
}

// evacuate has the hall's targets get nothing, or work again, on whatever version is in force.
func (c *control) evacuate(ctx context.Context, hall string, evacuated bool) (err error) {
	for range changeRaces {
		d := &tlv1.Document{
			Key: string(ident.HallKey(ident.Hall(hall))), Body: &tlv1.Document_Hall{Hall: &tlv1.Hall{Name: hall, Evacuated: evacuated}},
		}
		if err = c.applyOne(ctx, d, false); connect.CodeOf(errors.UnwrapAll(err)) != connect.CodeAborted {
			return err
		}
	}
	return err
}

func (c *control) inForce(ctx context.Context, cmd *nameCmd) error {
	w, s, h := split(cmd.Name)
	res, err := c.client.InForce(ctx, request(c, &tlv1.InForceRequest{Workspace: w, Service: s, Hall: h}))
	if err != nil {
		return err
	}
	return c.out.inForce(res.Msg)
}

func (c *control) status(ctx context.Context) error {
	res, err := c.client.Status(ctx, request(c, &tlv1.StatusRequest{}))
	if err != nil {
		return err
	}
	return c.out.status(res.Msg)
}

func (c *control) report(ctx context.Context, cmd *reportCmd) error {
	since := time.Now().Add(-cmd.Since).UnixMilli()
	res, err := c.client.Report(ctx, request(c, &tlv1.ReportRequest{Workspace: cmd.Workspace, SinceMs: since}))
	if err != nil {
		return err
	}
	return c.out.report(res.Msg)
}

func (c *control) resolve(ctx context.Context, cmd *resolveCmd) error {
	res, err := c.client.Resolve(ctx, request(c, &tlv1.ResolveRequest{ChangeId: cmd.Change}))
	if err != nil {
		return err
	}
	if res.Msg.GetChange().GetVoided() {
		c.out.line("change %s was not made, and never will be", cmd.Change)
		return nil
	}
	c.out.line("change %s was made: version %d", cmd.Change, res.Msg.GetChange().GetSeq())
	return nil
}

func (c *control) newToken(cmd *tokenCmd) error {
	token := cmd.Workspace + "." + randomHex(secretBytes)
	sum := sha256.Sum256([]byte(token))
	c.out.line("token  %s", token)
	c.out.line("sha256 %s", fmt.Sprintf("%x", sum))
	return nil
}
