package node

import (
	"maps"
	"slices"

	"github.com/tinladder/tinladder/access"
	"github.com/tinladder/tinladder/desired"
	"github.com/tinladder/tinladder/ident"
	tlv1 "github.com/tinladder/tinladder/schema/tinladder/v1"
)

// allowedHalls returns the halls whose targets may get a request, by the regions that its route and its workspace allow; nil
// stands for all halls.
func (n *Node) allowedHalls(route *desired.Route, space *access.Workspace) map[ident.Hall]bool {
	var of []ident.Region
	if space != nil {
		of = space.Regions
	}
	if len(route.Regions) == 0 && len(of) == 0 {
		return nil
	}
	halls := map[ident.Hall]bool{}
	for _, h := range n.knownHalls() {
		r := n.settings().RegionOf(h)
		halls[h] = allows(route.Regions, r) && allows(of, r)
	}
	return halls
}

// allows reports whether the list is empty or contains the region.
func allows(regions []ident.Region, r ident.Region) bool {
	return len(regions) == 0 || slices.Contains(regions, r)
}

// inOtherRegion reports whether the hall is known to be in another region than this node.
func (n *Node) inOtherRegion(h ident.Hall) bool {
	own, known := n.settings().Halls[string(n.hall())]
	region, found := n.settings().Halls[string(h)]
	return known && found && own != region
}

// knownHalls returns this node's hall and those that the settings name.
func (n *Node) knownHalls() []ident.Hall {
	list := []ident.Hall{n.hall()}
	for _, h := range slices.Sorted(maps.Keys(n.settings().Halls)) {
		if ident.Hall(h) != n.hall() {
			list = append(list, ident.Hall(h))
		}
	}
	return list
}

// homeRegions returns the regions that may serve all requests for the host; nil if none of its routes is bound to regions.
func homeRegions(t *desired.Table, host string) (regions []ident.Region) {
	if t == nil {
		return nil
	}
	for _, r := range t.RoutesForHost(host) {
		switch {
		case len(r.Regions) == 0:
		case regions == nil:
			regions = slices.Clone(r.Regions)
		default:
			regions = slices.DeleteFunc(regions, func(x ident.Region) bool { return !slices.Contains(r.Regions, x) })
		}
	}
	return regions
}

// byDistance sorts halls for a caller. It returns those of the caller's region followed by those of the home regions, and
// separately all others. Halls at the same distance keep their order.
func (n *Node) byDistance(halls []ident.Hall, caller ident.Region, homes []ident.Region) (good, others []ident.Hall) {
	var second []ident.Hall
	for _, h := range halls {
		switch r := n.settings().RegionOf(h); {
		case r == caller:
			good = append(good, h)
		case homes != nil && slices.Contains(homes, r):
			second = append(second, h)
		default:
			others = append(others, h)
		}
	}
	return append(good, second...), others
}

// membersIn appends the carriers of the group in each hall to list until it has few members or more.
func (c *carriers) membersIn(group desired.Group, halls []ident.Hall, few int, list []*tlv1.Member) []*tlv1.Member {
	for _, h := range halls {
		if len(list) < few {
			list = append(list[:len(list):len(list)], c.inHall(group, h)...)
		}
	}
	return list
}
