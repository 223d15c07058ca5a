// Package desired holds the desired state of a fleet: which requests lead to which services, and
// what callers may send. A state is whole; a node uses the newest version that it has seen.
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

// A Backend struct is a share of a route's requests.
type Backend struct {
	Service string
	Weight  uint32
}

// A Route struct leads the requests of a host below a path prefix to services.
type Route struct {
	Name   string
	Host   string
	Prefix string
	// Public routes ask for no key.
	Public bool
	// Repeatable requests may run more than once.
	Repeatable bool
	// Timeout is the longest that a request is held.
	Timeout clock.Millis
	// Objective is the time within which an answer is worth the most.
	Objective clock.Millis
	// Priority says who waits when there is too much work; 0 goes first.
	Priority uint32
	// MaxAttempts is the most targets that may run one request.
	MaxAttempts int
	// Regions are the only ones that may serve the route's requests; empty stands for all.
	Regions []ident.Region
	// Backends are empty where the route cannot be used, as Fault says: its requests lead nowhere.
	Backends    []Backend
	Fault       string
	totalWeight uint32
}

// PickService draws the service for one request, by weight. Draw returns a random number below n. The
// route must have no fault.
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

// Limits bounds what callers may send, and how long they may take. 0 means no bound.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout clock.Millis
	IdleTimeout   clock.Millis
}

// A Service struct is what is set for all targets of a service.
type Service struct {
	Name        string
	Connections int
	// WarmupPeriod is how long a target is cold after its start, and WarmupPerSecond how many requests a second it withstands
	// meanwhile, from all nodes together; 0 if there is no such bound.
	WarmupPeriod    clock.Millis
	WarmupPerSecond float64
}

// A Table struct is one desired state, ready for use. It is never changed.
type Table struct {
	Version  Version
	Limits   Limits
	Services map[string]Service
	// Access finds the workspaces of callers; nil if no request needs a key.
	Access *access.Directory
	byHost map[string][]*Route
	routes []*Route
	faults []error
	state  *tlv1.DesiredState
	groups *groups
}

// Compile checks a state and returns it ready for use. A route that cannot be used costs no more than
// itself: it leads nowhere, or is left out if nobody can say which requests are its own. Faults names it.
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

// addWorkspaces takes in who may ask. A workspace that cannot be used costs no more than itself, and opens nothing.
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
			Name: ident.Workspace(w.GetName()), Rank: w.GetRank(), Fault: w.GetFault(),
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

// setBackends sets where the route leads, and says why it cannot be used.
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

// Faults names the routes and workspaces that cannot be used, and why.
func (t *Table) Faults() []error {
	return t.faults
}

// sortRoutes puts the longest prefixes first.
func (t *Table) sortRoutes() {
	for _, list := range t.byHost {
		slices.SortStableFunc(list, func(a, b *Route) int {
			return cmp.Compare(len(b.Prefix), len(a.Prefix))
		})
	}
}

// Find returns the route of the host with the longest prefix that the path begins with, or nil.
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

// State returns what the table was made from. The caller must not change it.
func (t *Table) State() *tlv1.DesiredState {
	return t.state
}

// NormalizeHost drops a port and the case of the host's name.
func NormalizeHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}
