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

// A Part struct is a share of a route's requests.
type Part struct {
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
	// Aim is the time within which an answer is worth the most.
	Aim clock.Millis
	// Rank says who waits when there is too much work; 0 goes first.
	Rank uint32
	// Attempts is the most targets that may run one request.
	Attempts int
	// Regions are the only ones that may serve the route's requests; empty stands for all.
	Regions []ident.Region
	// Parts are empty where the route cannot be used, as Fault says: its requests lead nowhere.
	Parts  []Part
	Fault  string
	weight uint32
}

// Service draws the service for one request, by weight. Draw returns a random number below n. The
// route must have no fault.
func (r *Route) Service(draw func(n uint32) uint32) string {
	if len(r.Parts) == 1 {
		return r.Parts[0].Service
	}
	n := draw(r.weight)
	for _, p := range r.Parts {
		if n < p.Weight {
			return p.Service
		}
		n -= p.Weight
	}
	return r.Parts[0].Service
}

// Limits bounds what callers may send, and how long they may take. 0 means no bound.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
	HeaderTime  clock.Millis
	IdleTime    clock.Millis
}

// A Service struct is what is set for all targets of a service.
type Service struct {
	Name        string
	Connections int
	// Cold is how long a target is cold after its start, and ColdPerSecond how many requests a second it withstands
	// meanwhile, from all nodes together; 0 if there is no such bound.
	Cold          clock.Millis
	ColdPerSecond float64
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
			HeaderBytes: int(l.GetHeaderBytes()),
			BodyBytes:   l.GetBodyBytes(),
			HeaderTime:  clock.Millis(l.GetHeaderMs()),
			IdleTime:    clock.Millis(l.GetIdleMs()),
		},
	}
	for _, svc := range s.GetServices() {
		t.Services[svc.GetName()] = Service{
			Name: svc.GetName(), Connections: int(svc.GetConnections()),
			Cold: clock.Millis(svc.GetColdMs()), ColdPerSecond: svc.GetColdPerSecond(),
		}
	}
	for _, r := range s.GetRoutes() {
		t.add(r)
	}
	if s.GetKeyed() {
		t.admit(s.GetWorkspaces())
	}
	t.sort()
	t.groups = newGroups(t)
	return t, nil
}

// admit takes in who may ask. A workspace that cannot be used costs no more than itself, and opens nothing.
func (t *Table) admit(list []*tlv1.DesiredWorkspace) {
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

func (t *Table) add(d *tlv1.DesiredRoute) {
	r := &Route{
		Name:       d.GetName(),
		Host:       strings.ToLower(d.GetHost()),
		Prefix:     d.GetPrefix(),
		Public:     d.GetPublic(),
		Repeatable: d.GetRepeatable(),
		Timeout:    clock.Millis(d.GetTimeoutMs()),
		Aim:        clock.Millis(d.GetAimMs()),
		Rank:       d.GetRank(),
		Attempts:   max(int(d.GetAttempts()), 1),
		Regions:    regions(d.GetRegions()),
	}
	err := t.lead(r, d)
	if err != nil {
		r.Parts, r.Fault = nil, err.Error()
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

// lead sets where the route leads, and says why it cannot be used.
func (t *Table) lead(r *Route, d *tlv1.DesiredRoute) error {
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
		r.Parts = append(r.Parts, Part{Service: p.GetService(), Weight: p.GetWeight()})
		r.weight += p.GetWeight()
	}
	if len(r.Parts) == 0 {
		return errors.New("leads to no service")
	}
	return nil
}

// Faults names the routes and workspaces that cannot be used, and why.
func (t *Table) Faults() []error {
	return t.faults
}

// sort puts the longest prefixes first.
func (t *Table) sort() {
	for _, list := range t.byHost {
		slices.SortStableFunc(list, func(a, b *Route) int {
			return cmp.Compare(len(b.Prefix), len(a.Prefix))
		})
	}
}

// Find returns the route of the host with the longest prefix that the path begins with, or nil.
func (t *Table) Find(host, path string) *Route {
	for _, r := range t.byHost[HostOf(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// OfHost returns the routes of the host.
func (t *Table) OfHost(host string) []*Route {
	return t.byHost[HostOf(host)]
}

// Routes returns all routes. The caller must not change them.
func (t *Table) Routes() []*Route {
	return t.routes
}

// State returns what the table was made from. The caller must not change it.
func (t *Table) State() *tlv1.DesiredState {
	return t.state
}

// HostOf drops a port and the case of the host's name.
func HostOf(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}
