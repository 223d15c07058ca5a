package node

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"slices"

	"github.com/tinladder/tinladder/clock"
	"github.com/tinladder/tinladder/desired"
	"github.com/tinladder/tinladder/ident"
	tlv1 "github.com/tinladder/tinladder/schema/tinladder/v1"
)

// DiscoveryPath is where callers of the fleet's own API look up the addresses of nodes.
const DiscoveryPath = "/.tinladder/ask"

const (
	// maxAddressTTL bounds how long callers may cache addresses.
	maxAddressTTL = 2 * clock.Second
	// minAddresses is the number of addresses returned if that many exist, so that a caller can fail over.
	minAddresses = 2
)

// Endpoints is the response to a look-up at DiscoveryPath.
type Endpoints struct {
	Service string `json:"service"`
	// Addresses lists nodes, the preferred one first.
	Addresses []Endpoint `json:"addresses"`
	// ValidMs is how long the response may be cached.
	ValidMs int64 `json:"valid_ms"`
	// KeyPrefix is the prefix for the keys of run-once requests. Keys are best sent to the first address.
	KeyPrefix string `json:"key_prefix"`
}

// An Endpoint is the address of one node's listener for callers.
type Endpoint struct {
	Address string `json:"address"`
	Hall    string `json:"hall"`
}

// addressTTL returns how long callers may cache addresses.
func (n *Node) addressTTL() clock.Millis {
	return min(maxAddressTTL, n.settings().Bounds.Valid.Millis())
}

// serveDiscovery handles a look-up at DiscoveryPath.
func (n *Node) serveDiscovery(w http.ResponseWriter, r *http.Request) {
	token := r.Header.Get(HeaderToken)
	ws, valid := tokenWorkspace(token)
	book := n.records.documents.Load()
	space := book.workspaces[ws]
	name, named := parseServiceName(r.URL.Query().Get("service"), ws)
	service := ident.Service{Workspace: ws, Name: name}
	switch {
	case n.leaving.started():
		// A key prefix issued now would soon have no home node.
		Problem{Status: http.StatusServiceUnavailable, Outcome: NotRun, Detail: "leaving; ask another node"}.Write(w)
	case !valid || space == nil || !tokenIn(space.doc.GetCallerTokenSha256(), token):
		Problem{Status: http.StatusUnauthorized, Outcome: NotRun, Detail: "token is missing or not valid"}.Write(w)
	case !named || book.services[service.String()] == nil:
		Problem{Status: http.StatusNotFound, Outcome: NotRun, Detail: "no such service"}.Write(w)
	default:
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(n.endpointsFor(service, ident.Hall(r.URL.Query().Get("hall"))))
	}
}

// endpointsFor lists this node first, since the key prefix is its own.
func (n *Node) endpointsFor(s ident.Service, hall ident.Hall) Endpoints {
	a := Endpoints{Service: s.String(), ValidMs: int64(n.addressTTL()), KeyPrefix: n.ledger.Prefix()}
	self := n.members.Self()
	list := []*tlv1.Member{self}
	for _, m := range n.nodesFor(desired.Group(s.String()), hall, nil) {
		if m.GetNode() != self.GetNode() {
			list = append(list, m)
		}
	}
	for _, m := range list {
		a.Addresses = append(a.Addresses, Endpoint{Address: m.GetCallerAddress(), Hall: m.GetHall()})
	}
	return a
}

// directoryHandler serves address look-ups in the protocol of the users' platform.
func (n *Node) directoryHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != n.platform.Protocol.ResolvePath || r.Method != http.MethodGet {
			http.NotFound(w, r)
			return
		}
		if n.accessExpiring() {
			w.WriteHeader(http.StatusServiceUnavailable) // the caller is to ask a node that can verify keys
			return
		}
		q := n.platform.Protocol.ParseQuery(r)
		var addresses []string
		for _, m := range n.nodesFor(n.groupOf(q.Host), q.Hall, homeRegions(n.records.table.Load(), q.Host)) {
			addresses = append(addresses, m.GetCallerAddress())
		}
		if len(addresses) == 0 {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		n.platform.Protocol.WriteAddresses(w, addresses, n.addressTTL())
	})
}

// groupOf returns the group of services that requests for the host go to. Hosts without a route have nodes too, which
// respond with the error.
func (n *Node) groupOf(host string) desired.Group {
	if t := n.records.table.Load(); t != nil {
		return t.GroupOfHost(host)
	}
	return ""
}

// nodesFor returns the nodes in the caller's hall that carry the group. If there are fewer than minAddresses, it adds nodes
// of the hall's region, then of the home regions. Nodes of other regions are added only if homes is nil, which allows all
// regions, or if no node was found.
func (n *Node) nodesFor(group desired.Group, hall ident.Hall, homes []ident.Region) []*tlv1.Member {
	halls := slices.DeleteFunc(n.carriers.halls(), func(h ident.Hall) bool { return h == hall })
	rand.Shuffle(len(halls), func(i, j int) { halls[i], halls[j] = halls[j], halls[i] })
	good, others := n.byDistance(halls, n.settings().RegionOf(hall), homes)
	list := n.carriers.membersIn(group, good, minAddresses, n.carriers.inHall(group, hall))
	if homes == nil || len(list) == 0 {
		list = n.carriers.membersIn(group, others, minAddresses, list)
	}
	return list
}
