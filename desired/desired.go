// Package desired holds the desired state of a fleet: which requests are routed to which services, and
// what callers may send. Each version is complete in itself; a node uses the newest one that it has seen.
package desired

import (
	"cmp"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/tinladder/tinladder/access"
	"github.com/tinladder/tinladder/clock"
	"github.com/tinladder/tinladder/ident"
	"github.com/tinladder/tinladder/limit"
	tlv1 "github.com/tinladder/tinladder/schema/tinladder/v1"
)

// A Version orders desired states.
type Version uint64

// A Backend is a service that gets a share of a route's requests, by weight.
type Backend struct {
	Service string
	Weight  uint32
}

// A Route routes the requests for a host and path prefix to services.
type Route struct {
	Name   string
	Host   string
	Prefix string
	// Public routes require no key.
	Public bool
	// Repeatable requests may run more than once.
	Repeatable bool
	// Timeout is the longest time that a request may take.
	Timeout clock.Millis
	// Objective is the latency objective: the response time to stay within.
	Objective clock.Millis
	// Priority decides who goes first under overload; 0 is the highest.
	Priority uint32
	// MaxAttempts is how many targets may run one request.
	MaxAttempts int
	// Regions lists the regions that may serve the requests; empty means all.
	Regions []ident.Region
	// Backends is empty if the route is not valid. Fault then says why, and its requests are not served.
	Backends    []Backend
	Fault       string
	totalWeight uint32
}

// PickService returns the service for one request, a weighted random choice. The function draw returns a
// random number below n. The route must be valid.
func (r *Route) PickService(draw func(n uint32) uint32) string {
	if len(r.Backends) == 1 {
		return r.Backends[0].Service
	}
	n := draw(r.totalWeight)
	for _, p := range r.Backends {
		if n < p.Weight {
			return p.Service
		}
		n -= p.Weight
	}
	return r.Backends[0].Service
}

// Limits bounds what callers may send, and how long they may take. 0 means no limit.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout clock.Millis
	IdleTimeout   clock.Millis
}

// A Service holds the settings of a service that apply to all its targets.
type Service struct {
	Name        string
	Connections int
	// WarmupPeriod is how long a target warms up after its start, and WarmupPerSecond how many requests a second it can
	// take meanwhile, from all nodes together; 0 means no limit.
	WarmupPeriod    clock.Millis
	WarmupPerSecond float64
}

// A Table is a version of the desired state, indexed for lookups. It is immutable.
type Table struct {
	Version  Version
	Limits   Limits
	Services map[string]Service
	// Access looks up the Workspace of a caller; nil if no request needs a key.
	Access *access.Directory
	byHost map[string][]*Route
	routes []*Route
	faults []error
	state  *tlv1.DesiredState
	groups *groups
}

// Compile checks a state and builds its table. A route that is not valid affects no other: it serves no
// requests, or is left out if it has no host or path prefix. Faults lists it.
func Compile(s *tlv1.DesiredState) (t *Table, err error) {
	defer func() { err = errors.Wrapf(err, "desired state %d", s.GetVersion()) }()
	if s.GetVersion() == 0 {
		return nil, errors.New("no version")
	}
	l := s.GetLimits()
	t = &Table{
		Version:  Version(s.GetVersion()),
		Services: map[string]Service{},
		byHost:   map[string][]*Route{},
		state:    s,
		Limits: Limits{
			HeaderBytes:   int(l.GetHeaderBytes()),
			BodyBytes:     l.GetBodyBytes(),
			HeaderTimeout: clock.Millis(l.GetHeaderMs()),
			IdleTimeout:   clock.Millis(l.GetIdleMs()),
		},
	}
	for _, svc := range s.GetServices() {
		t.Services[svc.GetName()] = Service{
			Name: svc.GetName(), Connections: int(svc.GetConnections()),
			WarmupPeriod: clock.Millis(svc.GetColdMs()), WarmupPerSecond: svc.GetColdPerSecond(),
		}
	}
	for _, r := range s.GetRoutes() {
		t.addRoute(r)
	}
	if s.GetKeyed() {
		t.addWorkspaces(s.GetWorkspaces())
	}
	t.sortRoutes()
	t.groups = newGroups(t)
	return t, nil
}

// addWorkspaces adds the Workspaces whose callers have access. One that is not valid affects no other, and its keys grant
// no access.
func (t *Table) addWorkspaces(list []*tlv1.DesiredWorkspace) {
	t.Access = access.NewDirectory()
	for _, w := range list {
		var keys []access.Digest
		for _, b := range w.GetKeys() {
			if len(b) == access.DigestBytes {
				keys = append(keys, access.Digest(b))
			}
		}
		err := t.Access.Add(access.Workspace{
			Name: ident.Workspace(w.GetName()), Priority: w.GetRank(), Fault: w.GetFault(),
			Rate: limit.Rate{PerSecond: w.GetPerSecond(), Burst: w.GetBurst()}, Regions: regions(w.GetRegions()),
		}, keys)
		if err != nil {
			t.faults = append(t.faults, err)
		}
	}
}

func (t *Table) addRoute(d *tlv1.DesiredRoute) {
	r := &Route{
		Name:        d.GetName(),
		Host:        strings.ToLower(d.GetHost()),
		Prefix:      d.GetPrefix(),
		Public:      d.GetPublic(),
		Repeatable:  d.GetRepeatable(),
		Timeout:     clock.Millis(d.GetTimeoutMs()),
		Objective:   clock.Millis(d.GetAimMs()),
		Priority:    d.GetRank(),
		MaxAttempts: max(int(d.GetAttempts()), 1),
		Regions:     regions(d.GetRegions()),
	}
	err := t.setBackends(r, d)
	if err != nil {
		r.Backends, r.Fault = nil, err.Error()
		t.faults = append(t.faults, errors.Wrapf(err, "route %q", r.Name))
	}
	if r.Host == "" || !strings.HasPrefix(r.Prefix, "/") {
		return
	}
	if !strings.HasSuffix(r.Prefix, "/") {
		r.Prefix += "/"
	}
	t.routes = append(t.routes, r)
	t.byHost[r.Host] = append(t.byHost[r.Host], r)
}

func regions(names []string) (list []ident.Region) {
	for _, name := range names {
		list = append(list, ident.Region(name))
	}
	return list
}

// setBackends sets the backends of the route, or returns why it is not valid.
func (t *Table) setBackends(r *Route, d *tlv1.DesiredRoute) error {
	if r.Host == "" || !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		return errors.Newf("host %q and prefix %q do not name a place", r.Host, r.Prefix)
	}
	for _, p := range d.GetParts() {
		if p.GetWeight() == 0 {
			continue
		}
		if _, found := t.Services[p.GetService()]; !found {
			return errors.Newf("no service %q", p.GetService())
		}
		r.Backends = append(r.Backends, Backend{Service: p.GetService(), Weight: p.GetWeight()})
		r.totalWeight += p.GetWeight()
	}
	if len(r.Backends) == 0 {
		return errors.New("leads to no service")
	}
	return nil
}

// Faults returns an error for each route and Workspace that is not valid.
func (t *Table) Faults() []error {
	return t.faults
}

// sortRoutes sorts the routes of each host by descending length of the prefix, for Find.
func (t *Table) sortRoutes() {
	for _, list := range t.byHost {
		slices.SortStableFunc(list, func(a, b *Route) int {
			return cmp.Compare(len(b.Prefix), len(a.Prefix))
		})
	}
}

// Find returns the route of the host with the longest prefix of the path, or nil.
func (t *Table) Find(host, path string) *Route {
	for _, r := range t.byHost[NormalizeHost(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// RoutesForHost returns the routes of the host.
func (t *Table) RoutesForHost(host string) []*Route {
	return t.byHost[NormalizeHost(host)]
}

// Routes returns all routes. The caller must not change them.
func (t *Table) Routes() []*Route {
	return t.routes
}

// State returns the state that the table was built from. The caller must not change it.
func (t *Table) State() *tlv1.DesiredState {
	return t.state
}

// NormalizeHost returns the host in lower case and without a port.
func NormalizeHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}
