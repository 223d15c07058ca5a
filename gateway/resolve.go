package gateway

import (
	"math/rand/v2"
	"net/http"

	"github.com/tinladder/tinladder/clock"
	tlv1 "github.com/tinladder/tinladder/schema/tinladder/v1"
)

const (
	// validFor is how long callers may keep an answer of the directory. Some keep it three times as
	// long.
	validFor = 2 * clock.Second
	// fewAddresses is the least addresses in an answer, so that a caller has somewhere else to go.
	fewAddresses = 2
)

// directoryDoor tells callers which addresses to use.
func (n *Node) directoryDoor() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != n.speak.ResolvePath || r.Method != http.MethodGet {
			http.NotFound(w, r)
			return
		}
		q := n.speak.ParseQuestion(r)
		list := n.addressesFor(q)
		if len(list) == 0 {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		n.speak.WriteAddresses(w, list, min(validFor, n.settings().Bounds.Valid.Millis()))
	})
}

// addressesFor returns the nodes that carry the host's services in the caller's hall, or elsewhere
// if there are too few.
func (n *Node) addressesFor(q Question) []string {
	service := ""
	if t := n.state.table(); t != nil {
		if routes := t.OfHost(q.Host); len(routes) > 0 {
			service = routes[0].Parts[0].Service
		}
	}
	list := n.carriers.inHall(service, q.Hall)
	halls := n.carriers.halls()
	rand.Shuffle(len(halls), func(i, j int) { halls[i], halls[j] = halls[j], halls[i] })
	for _, h := range halls {
		if h != q.Hall && len(list) < fewAddresses {
			list = append(list[:len(list):len(list)], n.carriers.inHall(service, h)...)
		}
	}
	return callerAddresses(list)
}

func callerAddresses(list []*tlv1.Member) []string {
	addresses := make([]string, 0, len(list))
	for _, m := range list {
		addresses = append(addresses, m.GetCallerAddress())
	}
	return addresses
}

