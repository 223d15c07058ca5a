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

// AskPath is where callers of the fleet's own interface ask which addresses to use.
const AskPath = "/.tinladder/ask"

const (
	// validFor is how long callers may keep an answer.
	validFor = 2 * clock.Second
	// fewAddresses is the least addresses in an answer, so that a caller has somewhere else to go.
	fewAddresses = 2
)

// An Answer struct is what callers of the fleet's own interface are told.
type Answer struct {
	Service string `json:"service"`
	// Addresses are callers' doors, best first.
	Addresses []Address `json:"addresses"`
	// ValidMs is how long the answer may be kept.
	ValidMs int64 `json:"valid_ms"`
	// KeyPrefix begins the keys of run-once requests. Keys are best sent to the first address.
	KeyPrefix string `json:"key_prefix"`
}

// An Address struct is one callers' door.
type Address struct {
	Address string `json:"address"`
	Hall    string `json:"hall"`
}

// valid is how long callers may keep an answer.
func (n *Node) valid() clock.Millis {
	return min(validFor, n.settings().Bounds.Valid.Millis())
}

// ask answers a caller of the fleet's own interface.
func (n *Node) ask(w http.ResponseWriter, r *http.Request) {
	token := r.Header.Get(HeaderToken)
	ws, valid := tokenWorkspace(token)
	book := n.records.documents.Load()
	space := book.workspaces[ws]
	name, named := parseServiceName(r.URL.Query().Get("service"), ws)
	service := ident.Service{Workspace: ws, Name: name}
	switch {
	case n.leaving.started():
		// A key prefix handed out now would soon have no home.
		Problem{Status: http.StatusServiceUnavailable, Outcome: NotRun, Detail: "leaving; ask another node"}.Write(w)
	case !valid || space == nil || !tokenIn(space.doc.GetCallerTokenSha256(), token):
		Problem{Status: http.StatusUnauthorized, Outcome: NotRun, Detail: "token is missing or not valid"}.Write(w)
	case !named || book.services[service.String()] == nil:
		Problem{Status: http.StatusNotFound, Outcome: NotRun, Detail: "no such service"}.Write(w)
	default:
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(n.answerFor(service, ident.Hall(r.URL.Query().Get("hall"))))
	}
}

// answerFor lists this node first, since the key prefix is its own.
func (n *Node) answerFor(s ident.Service, hall ident.Hall) Answer {
	a := Answer{Service: s.String(), ValidMs: int64(n.valid()), KeyPrefix: n.ledger.Prefix()}
	self := n.members.Self()
	list := []*tlv1.Member{self}
	for _, m := range n.nodesFor(desired.Group(s.String()), hall, nil) {
		if m.GetNode() != self.GetNode() {
			list = append(list, m)
		}
	}
	for _, m := range list {
		a.Addresses = append(a.Addresses, Address{Address: m.GetCallerAddress(), Hall: m.GetHall()})
	}
	return a
}

// directoryDoor tells callers on the users' platform which addresses to use.
func (n *Node) directoryDoor() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != n.platform.Speech.ResolvePath || r.Method != http.MethodGet {
			http.NotFound(w, r)
			return
		}
		if n.runsOut() {
			w.WriteHeader(http.StatusServiceUnavailable) // another node knows which ones can serve
			return
		}
		q := n.platform.Speech.ParseQuestion(r)
		var addresses []string
		for _, m := range n.nodesFor(n.groupOf(q.Host), q.Hall, homes(n.records.table.Load(), q.Host)) {
			addresses = append(addresses, m.GetCallerAddress())
		}
		if len(addresses) == 0 {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		n.platform.Speech.WriteAddresses(w, addresses, n.valid())
	})
}

// groupOf returns the services that requests for the host go to. Hosts that lead nowhere have nodes
// too, which say so.
func (n *Node) groupOf(host string) desired.Group {
	if t := n.records.table.Load(); t != nil {
		return t.GroupOfHost(host)
	}
	return ""
}

// nodesFor returns the nodes that carry the group in the caller's hall, and others if there are too few: of its region,
// then of the regions that may serve the requests, if only some may. Nodes of any other region stand in for none.
func (n *Node) nodesFor(group desired.Group, hall ident.Hall, homes []ident.Region) []*tlv1.Member {
	halls := slices.DeleteFunc(n.carriers.halls(), func(h ident.Hall) bool { return h == hall })
	rand.Shuffle(len(halls), func(i, j int) { halls[i], halls[j] = halls[j], halls[i] })
	good, others := n.byDistance(halls, n.settings().RegionOf(hall), homes)
	list := n.carriers.membersIn(group, good, fewAddresses, n.carriers.inHall(group, hall))
	if homes == nil || len(list) == 0 {
		list = n.carriers.membersIn(group, others, fewAddresses, list)
	}
	return list
}
