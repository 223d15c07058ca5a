package node

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"strings"
	"sync"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"github.com/gorilla/mux"
	"github.com/sirupsen/logrus"
	"github.com/tinladder/tinladder/clock"
	"github.com/tinladder/tinladder/config"
	"github.com/tinladder/tinladder/ident"
	tlv1 "github.com/tinladder/tinladder/schema/tinladder/v1"
	"github.com/tinladder/tinladder/schema/tinladder/v1/tinladderv1connect"
	"github.com/tinladder/tinladder/store"
	"golang.org/x/time/rate"
	"google.golang.org/protobuf/proto"
)

const (
	bearer = "Bearer "
	// defaultHistory is how many changes are shown when no number is asked for.
	defaultHistory = 50
)

// errAbsent is told of what is absent, and of what is another workspace's.
var errAbsent = errors.New("no such workspace or service")

// An operator is who makes a call: one workspace's, or an administrator.
type operator struct {
	workspace ident.Workspace
	admin     bool
	// name is who the audit trail says made a change: never the token itself.
	name string
}

// may says whether the operator may see and change the workspace's services.
func (o operator) may(w string) bool {
	return o.admin || o.workspace == ident.Workspace(w)
}

// operatorsDoor serves operators, and whoever watches the node.
func (n *Node) operatorsDoor() http.Handler {
	m := mux.NewRouter()
	path, h := tinladderv1connect.NewOperatorServiceHandler(&operatorServer{node: n})
	m.PathPrefix(path).Handler(n.leaving.within(h))
	m.Path("/metrics").HandlerFunc(n.metrics.write)
	m.Path("/healthz").HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok\n")) })
	m.Path("/readyz").HandlerFunc(n.ready)
	return m
}

// ready says whether callers may be sent here.
func (n *Node) ready(w http.ResponseWriter, _ *http.Request) {
	if reason := n.unready(); reason != "" {
		http.Error(w, reason, http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}

// Bounds on the changes of one workspace through one node.
const (
	changesPerSecond = 1
	changesAtOnce    = 20
	// maxChangers bounds the workspaces kept count of; forgetting them gives each a new start.
	maxChangers = 10_000
)

// A changeLimiter keeps one workspace's changes from taking the table from the others.
type changeLimiter struct {
	mu         sync.Mutex
	workspaces map[ident.Workspace]*rate.Limiter
}

func (l *changeLimiter) allow(w ident.Workspace) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.workspaces == nil || len(l.workspaces) >= maxChangers {
		l.workspaces = map[ident.Workspace]*rate.Limiter{}
	}
	x := l.workspaces[w]
	if x == nil {
		x = rate.NewLimiter(changesPerSecond, changesAtOnce)
		l.workspaces[w] = x
	}
	return x.Allow()
}

type operatorServer struct {
	node    *Node
	changes changeLimiter
}

// operator returns who makes the call.
func (s *operatorServer) operator(ctx context.Context, h http.Header) (operator, error) {
	token, found := strings.CutPrefix(h.Get("Authorization"), bearer)
	if !found {
		return operator{}, connect.NewError(connect.CodeUnauthenticated, errors.New("token is missing"))
	}
	sum := sha256.Sum256([]byte(token))
	admin, _ := hex.DecodeString(s.node.settings().Operators.AdminTokenSHA256) // checked with the settings
	if subtle.ConstantTimeCompare(sum[:], admin) == 1 {
		return operator{admin: true, name: "admin"}, nil
	}
	w, valid := tokenWorkspace(token)
	if !valid {
		return operator{}, connect.NewError(connect.CodeUnauthenticated, errors.New("token is not valid"))
	}
	doc, err := s.document(ctx, ident.WorkspaceKey(w))
	if err != nil {
		return operator{}, err
	}
	if !tokenIn(doc.GetWorkspace().GetTokenSha256(), token) {
		return operator{}, connect.NewError(connect.CodeUnauthenticated, errors.New("token is not valid"))
	}
	name := string(w) + "#" + hex.EncodeToString(sum[:4])
	return operator{workspace: w, name: name}, nil
}

// document reads a document from the store, or what nodes hold while the store is away.
func (s *operatorServer) document(ctx context.Context, k ident.Key) (*tlv1.Document, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout.Duration())
	defer cancel()
	d, err := s.node.configs.Document(ctx, k)
	if err == nil {
		return d, nil
	}
	if held := s.node.held(k); held != nil {
		return held, nil
	}
	return nil, connect.NewError(connect.CodeUnavailable, err)
}

// readTimeout bounds an operator's read of the store.
const readTimeout = 1 * clock.Second

// held returns the document that this node holds, or nil.
func (n *Node) held(k ident.Key) *tlv1.Document {
	r, found := n.records.sets[store.Documents].Get(string(k))
	d := &tlv1.Document{}
	if !found || proto.Unmarshal(r.Value, d) != nil {
		return nil
	}
	d.Key = string(k)
	return d
}

// Apply makes a change.
func (s *operatorServer) Apply(ctx context.Context, req *connect.Request[tlv1.ApplyRequest]) (*connect.Response[tlv1.ApplyResponse], error) {
	op, err := s.operator(ctx, req.Header())
	if err != nil {
		return nil, err
	}
	doc := req.Msg.GetDocument()
	if err := mayChange(op, doc); err != nil {
		return nil, err
	}
	if err := config.Check(doc); err != nil {
		return nil, rpcError(err)
	}
	if err := s.mayShare(ctx, op, doc); err != nil {
		return nil, err
	}
	if req.Msg.GetDryRun() {
		return s.dryRun(ctx, doc)
	}
	if !op.admin && !s.changes.allow(op.workspace) {
		return nil, connect.NewError(connect.CodeResourceExhausted, errors.New("too many changes; try again in a second"))
	}
	c, err := s.node.writer.Apply(ctx, config.Request{ID: req.Msg.GetChangeId(), Author: op.name, Document: doc})
	if err != nil {
		return nil, rpcError(err)
	}
	s.node.log.WithFields(logrus.Fields{"event": "config_changed", "key": doc.GetKey(), "version": c.GetSeq(), "who": op.name}).Info()
	s.node.duty.look(store.Documents)
	return connect.NewResponse(&tlv1.ApplyResponse{Change: c}), nil
}

// mayChange checks that the document is of the operator's own workspace. Workspaces themselves
// are made by administrators; their own operators may change tokens.
func mayChange(op operator, d *tlv1.Document) error {
	w := d.GetService().GetWorkspace()
	if d.GetWorkspace() != nil {
		w = d.GetWorkspace().GetName()
	}
	if !op.may(w) {
		return connect.NewError(connect.CodeNotFound, errAbsent)
	}
	return nil
}

// mayShare keeps operators from giving their own workspace a larger share of the nodes.
func (s *operatorServer) mayShare(ctx context.Context, op operator, d *tlv1.Document) error {
	if op.admin || d.GetWorkspace() == nil {
		return nil
	}
	current, err := s.document(ctx, ident.Key(d.GetKey()))
	if err != nil {
		return err
	}
	if current.GetWorkspace().GetConcurrency() != d.GetWorkspace().GetConcurrency() {
		return connect.NewError(connect.CodePermissionDenied, errors.New("concurrency: administrators only"))
	}
	return nil
}

// dryRun says what a change would replace.
func (s *operatorServer) dryRun(ctx context.Context, d *tlv1.Document) (*connect.Response[tlv1.ApplyResponse], error) {
	current, err := s.document(ctx, ident.Key(d.GetKey()))
	if err != nil {
		return nil, err
	}
	if current.GetVersion() != d.GetVersion() {
		return nil, rpcError(&config.StaleError{
			Key: ident.Key(d.GetKey()), Expected: ident.Version(d.GetVersion()), Current: ident.Version(current.GetVersion()),
		})
	}
	return connect.NewResponse(&tlv1.ApplyResponse{Change: &tlv1.Change{Document: d, Replaced: current.GetVersion()}}), nil
}

// rpcError gives an error the code that operators' tools go by.
func rpcError(err error) error {
	var stale *config.StaleError
	switch {
	case errors.Is(err, config.ErrInvalid):
		return connect.NewError(connect.CodeInvalidArgument, err)
	case errors.As(err, &stale):
		return connect.NewError(connect.CodeAborted, err)
	case errors.Is(err, config.ErrVoided):
		return connect.NewError(connect.CodeFailedPrecondition, err)
	case errors.Is(err, config.ErrOutcomeUnknown):
		return connect.NewError(connect.CodeUnknown, err)
	case errors.Is(err, store.ErrUnavailable):
		return connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewError(connect.CodeInternal, err)
}

// Resolve says what became of a change.
func (s *operatorServer) Resolve(ctx context.Context, req *connect.Request[tlv1.ResolveRequest]) (*connect.Response[tlv1.ResolveResponse], error) {
	op, err := s.operator(ctx, req.Header())
	if err != nil {
		return nil, err
	}
	c, err := s.node.writer.Resolve(ctx, req.Msg.GetChangeId())
	if err != nil && !errors.Is(err, config.ErrVoided) {
		return nil, rpcError(err)
	}
	if !c.GetVoided() && mayChange(op, c.GetDocument()) != nil {
		return nil, connect.NewError(connect.CodeNotFound, errAbsent)
	}
	return connect.NewResponse(&tlv1.ResolveResponse{Change: c}), nil
}

// A named message names a document: a hall's, a service's or, without either, the workspace's.
type named interface {
	GetHall() string
	GetWorkspace() string
	GetService() string
}

func keyOf(m named) ident.Key {
	switch {
	case m.GetHall() != "":
		return ident.HallKey(ident.Hall(m.GetHall()))
	case m.GetService() == "":
		return ident.WorkspaceKey(ident.Workspace(m.GetWorkspace()))
	}
	return ident.Service{Workspace: ident.Workspace(m.GetWorkspace()), Name: m.GetService()}.Key()
}

// authorizeNamed returns an error unless the caller may see the document. Halls are nobody's own.
func (s *operatorServer) authorizeNamed(ctx context.Context, h http.Header, m named) error {
	if m.GetHall() != "" {
		return s.authorize(ctx, h, "")
	}
	return s.authorize(ctx, h, m.GetWorkspace())
}

// authorize returns an error unless the caller may see the workspace.
func (s *operatorServer) authorize(ctx context.Context, h http.Header, workspace string) error {
	op, err := s.operator(ctx, h)
	if err != nil {
		return err
	}
	if !op.may(workspace) {
		return connect.NewError(connect.CodeNotFound, errAbsent)
	}
	return nil
}

// Get returns a document.
func (s *operatorServer) Get(ctx context.Context, req *connect.Request[tlv1.GetRequest]) (*connect.Response[tlv1.GetResponse], error) {
	if err := s.authorizeNamed(ctx, req.Header(), req.Msg); err != nil {
		return nil, err
	}
	d, err := s.document(ctx, keyOf(req.Msg))
	if err != nil {
		return nil, err
	}
	if d.GetVersion() == 0 || d.GetService().GetDeleted() {
		return nil, connect.NewError(connect.CodeNotFound, errAbsent)
	}
	return connect.NewResponse(&tlv1.GetResponse{Document: d}), nil
}

// List returns the documents of a workspace's services.
func (s *operatorServer) List(ctx context.Context, req *connect.Request[tlv1.ListRequest]) (*connect.Response[tlv1.ListResponse], error) {
	if err := s.authorize(ctx, req.Header(), req.Msg.GetWorkspace()); err != nil {
		return nil, err
	}
	docs, err := s.node.configs.Services(ctx, ident.Workspace(req.Msg.GetWorkspace()))
	if err != nil {
		return nil, rpcError(err)
	}
	res := &tlv1.ListResponse{}
	for _, d := range docs {
		if !d.GetService().GetDeleted() {
			res.Documents = append(res.Documents, d)
		}
	}
	return connect.NewResponse(res), nil
}

// History returns the last changes of a document: the audit trail.
func (s *operatorServer) History(ctx context.Context, req *connect.Request[tlv1.HistoryRequest]) (*connect.Response[tlv1.HistoryResponse], error) {
	if err := s.authorizeNamed(ctx, req.Header(), req.Msg); err != nil {
		return nil, err
	}
	limit := int(req.Msg.GetLimit())
	if limit == 0 {
		limit = defaultHistory
	}
	changes, err := s.node.configs.History(ctx, keyOf(req.Msg), limit)
	if err != nil {
		return nil, rpcError(err)
	}
	return connect.NewResponse(&tlv1.HistoryResponse{Changes: changes}), nil
}

// Report returns what nodes did by themselves.
func (s *operatorServer) Report(ctx context.Context, req *connect.Request[tlv1.ReportRequest]) (*connect.Response[tlv1.ReportResponse], error) {
	op, err := s.operator(ctx, req.Header())
	if err != nil {
		return nil, err
	}
	w := ident.Workspace(req.Msg.GetWorkspace())
	if !op.may(string(w)) {
		return nil, connect.NewError(connect.CodeNotFound, errAbsent)
	}
	events, err := s.node.events.since(ctx, w, clock.Millis(req.Msg.GetSinceMs()))
	return connect.NewResponse(&tlv1.ReportResponse{Events: events, Unsaved: err != nil}), nil
}

// InForce says which version each live node uses.
func (s *operatorServer) InForce(ctx context.Context, req *connect.Request[tlv1.InForceRequest]) (*connect.Response[tlv1.InForceResponse], error) {
	if err := s.authorizeNamed(ctx, req.Header(), req.Msg); err != nil {
		return nil, err
	}
	k := keyOf(req.Msg)
	res := &tlv1.InForceResponse{}
	res.Nodes = append(res.Nodes, &tlv1.InForce{Node: string(s.node.self.Node), Version: s.node.held(k).GetVersion(), Reached: true})
	for _, m := range s.node.members.Live() {
		res.Nodes = append(res.Nodes, s.node.peers.inForceAt(ctx, m, k))
	}
	return connect.NewResponse(res), nil
}

// Status tells administrators of the whole node, and others of their own services on it.
func (s *operatorServer) Status(ctx context.Context, req *connect.Request[tlv1.StatusRequest]) (*connect.Response[tlv1.StatusResponse], error) {
	op, err := s.operator(ctx, req.Header())
	if err != nil {
		return nil, err
	}
	n := s.node
	res := &tlv1.StatusResponse{Node: string(n.self.Node), Hall: string(n.hall()), State: "serving"}
	if n.leaving.started() {
		res.State = "leaving"
	}
	for _, m := range n.members.All()[1:] {
		state := strings.ToLower(strings.TrimPrefix(m.GetState().String(), "NODE_STATE_"))
		if m.GetLeaving() && state == "alive" {
			state = "leaving"
		}
		res.Peers = append(res.Peers, &tlv1.PeerStatus{Node: m.GetNode(), Hall: m.GetHall(), State: state})
	}
	book := n.records.documents.Load()
	for _, sv := range n.services.all() {
		svc, err := ident.ParseService(sv.name)
		if err != nil && !op.admin || err == nil && !op.may(string(svc.Workspace)) {
			continue
		}
		res.Services = append(res.Services, &tlv1.ServiceStatus{Service: sv.name, Version: book.services[sv.name].GetVersion()})
		for _, t := range sv.pool.Status() {
			res.Targets = append(res.Targets, &tlv1.TargetStatus{
				Service: sv.name, Target: string(t.Target), State: t.Condition.String(), InFlight: uint32(t.InFlight),
			})
		}
	}
	return connect.NewResponse(res), nil
}

// Leave makes the node leave the fleet.
func (s *operatorServer) Leave(ctx context.Context, req *connect.Request[tlv1.LeaveRequest]) (*connect.Response[tlv1.LeaveResponse], error) {
	op, err := s.operator(ctx, req.Header())
	if err != nil {
		return nil, err
	}
	if !op.admin {
		return nil, connect.NewError(connect.CodePermissionDenied, errors.New("administrators only"))
	}
	s.node.leaving.ask()
	return connect.NewResponse(&tlv1.LeaveResponse{}), nil
}
