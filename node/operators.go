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
	bearerPrefix = "Bearer "
	// defaultHistory is the number of changes returned when the request sets no limit.
	defaultHistory = 50
)

// errNotFound is returned both for a missing document and for one of another workspace
var errNotFound = errors.New("no such workspace or service")

// An operator is the authenticated caller: an operator of one workspace, or an administrator.
type operator struct {
	workspace ident.Workspace
	admin     bool
	// name identifies the author of a change in the audit trail. It never contains the token itself.
	name string
}

// canAccess reports whether the operator may read and change the workspace's services.
func (o operator) canAccess(w string) bool {
	return o.admin || o.workspace == ident.Workspace(w)
}

// operatorsHandler serves the operator API, metrics and health checks.
func (n *Node) operatorsHandler() http.Handler {
	m := mux.NewRouter()
	path, h := tinladderv1connect.NewOperatorServiceHandler(&operatorServer{node: n})
	m.PathPrefix(path).Handler(n.leaving.cancelableHandler(h))
	m.Path("/metrics").HandlerFunc(n.metrics.write)
	m.Path("/healthz").HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok\n")) })
	m.Path("/readyz").HandlerFunc(n.serveReadiness)
	return m
}

// serveReadiness reports whether the node can take callers' requests; if not, the body holds the reason.
func (n *Node) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	if reason := n.notReadyReason(); reason != "" {
		http.Error(w, reason, http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}

// Rate limit on the changes of one workspace through one node.
const (
	changesPerSecond = 1
	changesBurst     = 20
	// maxChangeLimiters bounds the limiters held in memory. Beyond it all are dropped, and each workspace has its full burst again.
	maxChangeLimiters = 10_000
)

// A changeLimiter limits the rate of changes by workspace, so that one workspace cannot use up the capacity of the table.
type changeLimiter struct {
	mu         sync.Mutex
	workspaces map[ident.Workspace]*rate.Limiter
}

func (l *changeLimiter) allow(w ident.Workspace) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.workspaces == nil || len(l.workspaces) >= maxChangeLimiters {
		l.workspaces = map[ident.Workspace]*rate.Limiter{}
	}
	x := l.workspaces[w]
	if x == nil {
		x = rate.NewLimiter(changesPerSecond, changesBurst)
		l.workspaces[w] = x
	}
	return x.Allow()
}

type operatorServer struct {
	node    *Node
	changes changeLimiter
}

// authenticate returns the operator that the bearer token in h belongs to.
func (s *operatorServer) authenticate(ctx context.Context, h http.Header) (operator, error) {
	token, found := strings.CutPrefix(h.Get("Authorization"), bearerPrefix)
	if !found {
		return operator{}, connect.NewError(connect.CodeUnauthenticated, errors.New("token is missing"))
	}
	sum := sha256.Sum256([]byte(token))
	admin, _ := hex.DecodeString(s.node.settings().Operators.AdminTokenSHA256) // validated with the settings
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

// document reads a document from the store, or returns this node's own copy if the read fails.
func (s *operatorServer) document(ctx context.Context, k ident.Key) (*tlv1.Document, error) {
	ctx, cancel := context.WithTimeout(ctx, documentReadTimeout.Duration())
	defer cancel()
	d, err := s.node.configs.Document(ctx, k)
	held := s.node.heldDocument(k)
	switch {
	case err == nil && held.GetVersion() <= d.GetVersion():
		return d, nil
	case held != nil: // a store that came back from a copy may lack it
		return held, nil
	}
	return nil, connect.NewError(connect.CodeUnavailable, err)
}

// documentReadTimeout bounds the read of one document from the store.
const documentReadTimeout = 1 * clock.Second

// heldDocument returns this node's copy of the document, or nil.
func (n *Node) heldDocument(k ident.Key) *tlv1.Document {
	r, found := n.records.sets[store.Documents].Get(string(k))
	d := &tlv1.Document{}
	if !found || proto.Unmarshal(r.Value, d) != nil {
		return nil
	}
	d.Key = string(k)
	return d
}

// Apply validates and writes a change, or with dry_run only checks it.
func (s *operatorServer) Apply(ctx context.Context, req *connect.Request[tlv1.ApplyRequest]) (*connect.Response[tlv1.ApplyResponse], error) {
	op, err := s.authenticate(ctx, req.Header())
	if err != nil {
		return nil, err
	}
	doc := req.Msg.GetDocument()
	if err := authorizeChange(op, doc); err != nil {
		return nil, err
	}
	if err := config.Check(doc); err != nil {
		return nil, rpcError(err)
	}
	if err := s.authorizeConcurrency(ctx, op, doc); err != nil {
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
	s.node.duty.readNow(store.Documents)
	return connect.NewResponse(&tlv1.ApplyResponse{Change: c}), nil
}

// authorizeChange checks that the document belongs to the operator's own workspace. Administrators create workspaces;
// the operators of a workspace may change its tokens.
func authorizeChange(op operator, d *tlv1.Document) error {
	w := d.GetService().GetWorkspace()
	if d.GetWorkspace() != nil {
		w = d.GetWorkspace().GetName()
	}
	if !op.canAccess(w) {
		return connect.NewError(connect.CodeNotFound, errNotFound)
	}
	return nil
}

// authorizeConcurrency lets only administrators change a workspace's concurrency, so that operators cannot raise their own share.
func (s *operatorServer) authorizeConcurrency(ctx context.Context, op operator, d *tlv1.Document) error {
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

// dryRun returns the version that a change would replace, or a StaleError.
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

// rpcError maps an error to the Connect code that operators' tools rely on.
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

// Resolve returns the outcome of a change.
func (s *operatorServer) Resolve(ctx context.Context, req *connect.Request[tlv1.ResolveRequest]) (*connect.Response[tlv1.ResolveResponse], error) {
	op, err := s.authenticate(ctx, req.Header())
	if err != nil {
		return nil, err
	}
	c, err := s.node.writer.Resolve(ctx, req.Msg.GetChangeId())
	if err != nil && !errors.Is(err, config.ErrVoided) {
		return nil, rpcError(err)
	}
	if !c.GetVoided() && authorizeChange(op, c.GetDocument()) != nil {
		return nil, connect.NewError(connect.CodeNotFound, errNotFound)
	}
	return connect.NewResponse(&tlv1.ResolveResponse{Change: c}), nil
}

// A documentRef is a request message that names a document: of a hall, of a service or, with neither set, of the workspace.
type documentRef interface {
	GetHall() string
	GetWorkspace() string
	GetService() string
}

func documentKey(m documentRef) ident.Key {
	switch {
	case m.GetHall() != "":
		return ident.HallKey(ident.Hall(m.GetHall()))
	case m.GetService() == "":
		return ident.WorkspaceKey(ident.Workspace(m.GetWorkspace()))
	}
	return ident.Service{Workspace: ident.Workspace(m.GetWorkspace()), Name: m.GetService()}.Key()
}

// authorizeDocument returns an error unless the caller may read the document. Halls belong to no workspace.
func (s *operatorServer) authorizeDocument(ctx context.Context, h http.Header, m documentRef) error {
	if m.GetHall() != "" {
		return s.authorizeWorkspace(ctx, h, "")
	}
	return s.authorizeWorkspace(ctx, h, m.GetWorkspace())
}

// authorizeWorkspace returns an error unless the caller may read the workspace.
func (s *operatorServer) authorizeWorkspace(ctx context.Context, h http.Header, workspace string) error {
	op, err := s.authenticate(ctx, h)
	if err != nil {
		return err
	}
	if !op.canAccess(workspace) {
		return connect.NewError(connect.CodeNotFound, errNotFound)
	}
	return nil
}

// Get returns a document. Deleted services are not found.
func (s *operatorServer) Get(ctx context.Context, req *connect.Request[tlv1.GetRequest]) (*connect.Response[tlv1.GetResponse], error) {
	if err := s.authorizeDocument(ctx, req.Header(), req.Msg); err != nil {
		return nil, err
	}
	d, err := s.document(ctx, documentKey(req.Msg))
	if err != nil {
		return nil, err
	}
	if d.GetVersion() == 0 || d.GetService().GetDeleted() {
		return nil, connect.NewError(connect.CodeNotFound, errNotFound)
	}
	return connect.NewResponse(&tlv1.GetResponse{Document: d}), nil
}

// List returns the documents of a workspace's services, without deleted ones.
func (s *operatorServer) List(ctx context.Context, req *connect.Request[tlv1.ListRequest]) (*connect.Response[tlv1.ListResponse], error) {
	if err := s.authorizeWorkspace(ctx, req.Header(), req.Msg.GetWorkspace()); err != nil {
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

// History returns the audit trail: the last changes of a document.
func (s *operatorServer) History(ctx context.Context, req *connect.Request[tlv1.HistoryRequest]) (*connect.Response[tlv1.HistoryResponse], error) {
	if err := s.authorizeDocument(ctx, req.Header(), req.Msg); err != nil {
		return nil, err
	}
	limit := int(req.Msg.GetLimit())
	if limit == 0 {
		limit = defaultHistory
	}
	changes, err := s.node.configs.History(ctx, documentKey(req.Msg), limit)
	if err != nil {
		return nil, rpcError(err)
	}
	return connect.NewResponse(&tlv1.HistoryResponse{Changes: changes}), nil
}

// Report returns the events of actions that nodes took on their own.
func (s *operatorServer) Report(ctx context.Context, req *connect.Request[tlv1.ReportRequest]) (*connect.Response[tlv1.ReportResponse], error) {
	op, err := s.authenticate(ctx, req.Header())
	if err != nil {
		return nil, err
	}
	w := ident.Workspace(req.Msg.GetWorkspace())
	if !op.canAccess(string(w)) {
		return nil, connect.NewError(connect.CodeNotFound, errNotFound)
	}
	events, err := s.node.events.since(ctx, w, clock.Millis(req.Msg.GetSinceMs()))
	return connect.NewResponse(&tlv1.ReportResponse{Events: events, Unsaved: err != nil}), nil
}

// InForce returns the version of a document that each live node uses.
func (s *operatorServer) InForce(ctx context.Context, req *connect.Request[tlv1.InForceRequest]) (*connect.Response[tlv1.InForceResponse], error) {
	if err := s.authorizeDocument(ctx, req.Header(), req.Msg); err != nil {
		return nil, err
	}
	k := documentKey(req.Msg)
	res := &tlv1.InForceResponse{}
	res.Nodes = append(res.Nodes, &tlv1.InForce{Node: string(s.node.self.Node), Version: s.node.heldDocument(k).GetVersion(), Reached: true})
	for _, m := range s.node.members.Live() {
		res.Nodes = append(res.Nodes, s.node.peers.inForceAt(ctx, m, k))
	}
	return connect.NewResponse(res), nil
}

// Status returns the state of the node. Operators who are not administrators see only the services of their own workspace.
func (s *operatorServer) Status(ctx context.Context, req *connect.Request[tlv1.StatusRequest]) (*connect.Response[tlv1.StatusResponse], error) {
	op, err := s.authenticate(ctx, req.Header())
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
		if err != nil && !op.admin || err == nil && !op.canAccess(string(svc.Workspace)) {
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

// Leave makes the node leave the fleet. Only administrators may call it.
func (s *operatorServer) Leave(ctx context.Context, req *connect.Request[tlv1.LeaveRequest]) (*connect.Response[tlv1.LeaveResponse], error) {
	op, err := s.authenticate(ctx, req.Header())
	if err != nil {
		return nil, err
	}
	if !op.admin {
		return nil, connect.NewError(connect.CodePermissionDenied, errors.New("administrators only"))
	}
	s.node.leaving.request()
	return connect.NewResponse(&tlv1.LeaveResponse{}), nil
}
