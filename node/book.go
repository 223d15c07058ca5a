package node

import (
	"cmp"
	"crypto/sha256"
	"crypto/subtle"
	"fmt"
	"net/http"
	"slices"
	"strings"

	"github.com/tinladder/tinladder/clock"
	"github.com/tinladder/tinladder/config"
	"github.com/tinladder/tinladder/desired"
	"github.com/tinladder/tinladder/ident"
	"github.com/tinladder/tinladder/reading"
	"github.com/tinladder/tinladder/replica"
	tlv1 "github.com/tinladder/tinladder/schema/tinladder/v1"
	"google.golang.org/protobuf/proto"
)

// A documentIndex is the fleet's own documents, ready for use: workspaces, their services and routes. It is
// never changed.
type documentIndex struct {
	workspaces map[ident.Workspace]*workspace
	services   map[string]*tlv1.Document
	// evacuated are the halls whose targets are to get nothing.
	evacuated map[ident.Hall]bool
}

// A workspace is one customer's tokens and routes.
type workspace struct {
	doc    *tlv1.Workspace
	routes []*ownRoute
}

// An ownRoute is a route of the fleet's own documents.
type ownRoute struct {
	*desired.Route
	service     ident.Service
	methods     []string
	keyOptional bool
}

// newDocumentIndex returns the documents' book. Documents that make no sense were refused when they were
// written, and are left out here.
func newDocumentIndex(list []replica.Record) *documentIndex {
	b := &documentIndex{workspaces: map[ident.Workspace]*workspace{}, services: map[string]*tlv1.Document{}, evacuated: map[ident.Hall]bool{}}
	for _, x := range list {
		d := &tlv1.Document{}
		if proto.Unmarshal(x.Value, d) != nil {
			continue
		}
		d.Key = x.Key
		if config.Check(d) == nil {
			b.add(d)
		}
	}
	for _, w := range b.workspaces {
		slices.SortFunc(w.routes, moreSpecific)
	}
	return b
}

func (b *documentIndex) workspace(name ident.Workspace) *workspace {
	w := b.workspaces[name]
	if w == nil {
		w = &workspace{}
		b.workspaces[name] = w
	}
	return w
}

func (b *documentIndex) add(d *tlv1.Document) {
	if w := d.GetWorkspace(); w != nil {
		b.workspace(ident.Workspace(w.GetName())).doc = w
		return
	}
	if h := d.GetHall(); h != nil {
		b.evacuated[ident.Hall(h.GetName())] = h.GetEvacuated()
		return
	}
	s := d.GetService()
	if s.GetDeleted() {
		return
	}
	name := ident.Service{Workspace: ident.Workspace(s.GetWorkspace()), Name: s.GetName()}
	b.services[name.String()] = d
	w := b.workspace(name.Workspace)
	for i, r := range s.GetRoutes() {
		w.routes = append(w.routes, newOwnRoute(name, i, r))
	}
}

// objectiveDivisor is the part of an own route's deadline within which answers are wanted, one in so many.
const objectiveDivisor = 4

func newOwnRoute(s ident.Service, i int, r *tlv1.Route) *ownRoute {
	deadline := clock.Millis(r.GetDeadlineMs())
	if deadline == 0 {
		deadline = config.DefaultDeadlineMs
	}
	return &ownRoute{
		service: s, methods: r.GetMethods(), keyOptional: r.GetKeyOptional(),
		Route: &desired.Route{
			Name: fmt.Sprintf("%s#%d", s, i), Host: strings.ToLower(r.GetHost()), Prefix: r.GetPathPrefix(),
			Repeatable: r.GetRepeat() == tlv1.Repeat_REPEAT_ALLOWED, Timeout: deadline, Objective: deadline / objectiveDivisor,
			MaxAttempts: int(r.GetRetries()) + 1, Backends: []desired.Backend{{Service: s.String(), Weight: 1}},
		},
	}
}

// moreSpecific puts routes with a host before those without, longer prefixes before shorter ones,
// and routes with methods before those for all. The rest goes by name, so that all nodes choose
// alike.
func moreSpecific(a, b *ownRoute) int {
	return cmp.Or(
		cmp.Compare(len(b.Host), len(a.Host)),
		cmp.Compare(len(b.Prefix), len(a.Prefix)),
		cmp.Compare(min(len(b.methods), 1), min(len(a.methods), 1)),
		cmp.Compare(a.Name, b.Name),
	)
}

// route returns the workspace's route for the request, of the named service if there is a name. Twice says that a target
// may read the path as another route's.
func (w *workspace) route(r *http.Request, service string) (found *ownRoute, ambiguous bool) {
	path := r.URL.EscapedPath()
	found = w.find(r, path, service)
	resolved := reading.NormalizePath(r.RequestURI)
	return found, resolved != path && w.find(r, resolved, service) != found
}

// find returns the workspace's route for the request at the path, of the named service if there is a name.
func (w *workspace) find(r *http.Request, path, service string) *ownRoute {
	for _, o := range w.routes {
		switch {
		case service != "" && o.service.Name != service:
		case o.Host != "" && o.Host != desired.NormalizeHost(r.Host):
		case !strings.HasPrefix(path, o.Prefix):
		case len(o.methods) > 0 && !slices.Contains(o.methods, r.Method):
		default:
			return o
		}
	}
	return nil
}

// concurrency is the workspace's share of one node's requests.
func (w *workspace) concurrency() int {
	if n := w.doc.GetConcurrency(); n > 0 {
		return int(n)
	}
	return config.DefaultConcurrency
}

// requestedNodes is how many requestedNodes the service's document asks for; 0 if it has none.
func (b *documentIndex) requestedNodes(service string) int {
	if d := b.services[service]; d != nil {
		return config.Nodes(d.GetService())
	}
	return 0
}

// targets returns the targets of all own services.
func (b *documentIndex) targets() []target {
	var list []target
	for name, d := range b.services {
		for _, t := range d.GetService().GetTargets() {
			list = append(list, target{
				id: ident.Target(t.GetId()), service: name, address: t.GetAddress(), hall: ident.Hall(t.GetHall()),
				slots: int(t.GetSlots()), leaving: t.GetLeaving(),
			})
		}
	}
	return list
}

// tokenWorkspace returns the workspace that a token claims. Its hash is still to be checked.
func tokenWorkspace(token string) (ident.Workspace, bool) {
	name, _, found := strings.Cut(token, ".")
	return ident.Workspace(name), found && ident.CheckName(name) == nil
}

// tokenIn says whether the token's hash is among those, in a time that does not tell which.
func tokenIn(hashes [][]byte, token string) bool {
	sum := sha256.Sum256([]byte(token))
	found := 0
	for _, h := range hashes {
		found |= subtle.ConstantTimeCompare(h, sum[:])
	}
	return found == 1
}

// parseServiceName returns the name of the service that the request names, within the workspace.
func parseServiceName(s string, w ident.Workspace) (string, bool) {
	if s == "" {
		return "", true
	}
	if ws, name, found := strings.Cut(s, "/"); found {
		return name, ident.Workspace(ws) == w && ident.CheckName(name) == nil
	}
	return s, ident.CheckName(s) == nil
}
