package desired

import (
	"maps"
	"slices"
)

// A Group identifies services that are connected by shared hosts. Callers are assigned to nodes by host, so the
// nodes of a host need all services of its group.
type Group string

// groups is a union-find over the names of hosts and services that routes connect.
type groups struct {
	parent   map[string]string
	services map[Group][]string
}

// Prefixes keep the names of hosts and of services apart.
const (
	hostPrefix    = "h:"
	servicePrefix = "s:"
)

func newGroups(t *Table) *groups {
	g := &groups{parent: map[string]string{}, services: map[Group][]string{}}
	for _, r := range t.routes {
		for _, p := range r.Backends {
			g.union(hostPrefix+r.Host, servicePrefix+p.Service)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(t.Services)) {
		id := Group(g.find(servicePrefix + name))
		g.services[id] = append(g.services[id], name)
	}
	return g
}

func (g *groups) find(name string) string {
	for {
		p, found := g.parent[name]
		if !found || p == name {
			return name
		}
		name = p
	}
}

// union merges two groups. The smaller name becomes the root, so that all nodes give a group the same name.
func (g *groups) union(a, b string) {
	a, b = g.find(a), g.find(b)
	if a > b {
		a, b = b, a
	}
	g.parent[b] = a
}

// GroupOfHost returns the group of the services behind the host.
func (t *Table) GroupOfHost(host string) Group {
	return Group(t.groups.find(hostPrefix + NormalizeHost(host)))
}

// GroupOfService returns the group of the service.
func (t *Table) GroupOfService(name string) Group {
	return Group(t.groups.find(servicePrefix + name))
}

// Groups returns the groups that have services, sorted by name.
func (t *Table) Groups() []Group {
	return slices.Sorted(maps.Keys(t.groups.services))
}

// ServicesOf returns the services of the group, sorted by name.
func (t *Table) ServicesOf(g Group) []string {
	return t.groups.services[g]
}
