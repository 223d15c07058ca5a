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

// A documentIndex holds the documents written through the operators' interface by workspace and service. It is immutable.
type documentIndex struct {
	workspaces map[ident.Workspace]*workspace
	services   map[string]*tlv1.Document
	// evacuated are the halls whose targets get no requests.
	evacuated map[ident.Hall]bool
}

// A workspace holds the document and the routes of one customer.
type workspace struct {
	doc    *tlv1.Workspace
	routes []*ownRoute
}

// An ownRoute is a route defined by a service's document, as opposed to one of the platform's desired state.
type ownRoute struct {
	*desired.Route
	service     ident.Service
	methods     []string
	keyOptional bool
}

// newDocumentIndex indexes the documents. Invalid ones were refused when they were written, and are skipped here.
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

// objectiveDivisor derives the latency objective of an own route: its deadline divided by this.
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

// moreSpecific sorts routes with a host before those without, longer prefixes before shorter ones, and routes with
// methods before those for all. Ties are broken by name, so that all nodes choose alike.
func moreSpecific(a, b *ownRoute) int {
	return cmp.Or(
		cmp.Compare(len(b.Host), len(a.Host)),
		cmp.Compare(len(b.Prefix), len(a.Prefix)),
		cmp.Compare(min(len(b.methods), 1), min(len(a.methods), 1)),
		cmp.Compare(a.Name, b.Name),
	)
}

// route returns the workspace's route for the request, restricted to the named service if service is not empty. It
// reports ambiguous if a target that normalizes the path differently may take it for another route's.
func (w *workspace) route(r *http.Request, service string) (found *ownRoute, ambiguous bool) {
	path := r.URL.EscapedPath()
	found = w.find(r, path, service)
	resolved := reading.NormalizePath(r.RequestURI)
	return found, resolved != path && w.find(r, resolved, service) != found
}

// find returns the first route that matches the request at the path, of the named service if service is not empty.
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

// concurrency returns how many requests of the workspace one node runs at the same time.
func (w *workspace) concurrency() int {
	if n := w.doc.GetConcurrency(); n > 0 {
		return int(n)
	}
	return config.DefaultConcurrency
}

// requestedNodes returns how many nodes the service's document asks for, or 0 if it has none.
func (b *documentIndex) requestedNodes(service string) int {
	if d := b.services[service]; d != nil {
		return config.Nodes(d.GetService())
	}
	return 0
}

// targets returns the targets that are listed in documents of services.
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

// tokenWorkspace returns the workspace named in a token. The token itself is still to be verified.
func tokenWorkspace(token string) (ident.Workspace, bool) {
	name, _, found := strings.Cut(token, ".")
	return ident.Workspace(name), found && ident.CheckName(name) == nil
}

// tokenIn reports whether the token's hash is among the hashes. It compares with all of them in constant time.
func tokenIn(hashes [][]byte, token string) bool {
	sum := sha256.Sum256([]byte(token))
	found := 0
	for _, h := range hashes {
		found |= subtle.ConstantTimeCompare(h, sum[:])
	}
	return found == 1
}

// parseServiceName returns the service that the request names as NAME or WORKSPACE/NAME, and whether that is a valid name
// within the workspace.
func parseServiceName(s string, w ident.Workspace) (string, bool) {
	if s == "" {
		return "", true
	}
	if ws, name, found := strings.Cut(s, "/"); found {
		return name, ident.Workspace(ws) == w && ident.CheckName(name) == nil
	}
	return s, ident.CheckName(s) == nil
}
