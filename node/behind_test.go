package node_test

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/tinladder/tinladder/platform/standin"
	tlv1 "github.com/tinladder/tinladder/schema/tinladder/v1"
	"google.golang.org/protobuf/proto"
)

// send sends the node a datagram as another node would.
func (f *fleet) send(n *testNode, p *tlv1.Parcel) {
	f.t.Helper()
	raw, err := proto.Marshal(p)
	if err != nil {
		f.t.Fatal(err)
	}
	c, err := net.Dial("udp", n.peers)
	if err != nil {
		f.t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	if _, err := c.Write(raw); err != nil {
		f.t.Fatal(err)
	}
}

// stateInMessages is the name of the desired state among kinds in messages between nodes.
const stateInMessages = "state/own"

// confirmOfState is a confirmation from another node that it holds this version of the state. Its address is unreachable.
func confirmOfState(version uint64) *tlv1.Parcel {
	return &tlv1.Parcel{Body: &tlv1.Parcel_Confirm{Confirm: &tlv1.Confirm{
		Node: "n9", Incarnation: 1, Hall: "h0", PeerAddress: "127.0.0.1:9",
		Kinds: []*tlv1.KindSum{{Kind: stateInMessages, Sum: 1, Newest: version}},
	}}}
}

// TestNodeThatLacksAStateRefusesNoRoute announces a newer desired state to a node that cannot fetch it. The node must
// answer an unknown route with 503, not 404, since the newer state may define it.
func TestNodeThatLacksAStateRefusesNoRoute(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 1)
	f.target("i-1", "desk")
	f.calm(3)
	f.ready(3, 1)
	n := f.nodes[0]
	is.Equal(f.call(n, http.MethodGet, "/none/", "1", "").status, http.StatusNotFound) // it knows of nothing newer
	f.send(n, confirmOfState(1_000_000))
	f.eventually("it says that it does not know", func() bool {
		r := f.call(n, http.MethodGet, "/none/", "2", "")
		return r.status == http.StatusServiceUnavailable && r.header.Get("Retry-After") != ""
	})
	is.Equal(f.call(n, http.MethodGet, "/get/", "3", "").status, http.StatusOK) // known routes are served
}

// TestNodeWithoutWordOfTheStoreRefusesNoRoute adds a route while the store is unavailable to the only node. Once the bound
// for the route to be in force has passed, the node must not answer it with 404; with the store back it may answer 404 again.
func TestNodeWithoutWordOfTheStoreRefusesNoRoute(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 1)
	f.target("i-1", "desk")
	f.calm(3)
	f.ready(3, 1)
	n := f.nodes[0]
	f.each(standin.Faults{Away: standin.Reset})
	time.Sleep(100 * time.Millisecond) // pending long polls end
	f.store.Configure(4, []string{"desk"}, route("/get/", standin.Repeatable, "desk"), route("/new/", standin.Repeatable, "desk"))
	came := time.Now()
	for time.Since(came) < 3500*time.Millisecond {
		at := time.Since(came)
		r := f.call(n, http.MethodGet, "/new/", "1", "")
		if at > 2*time.Second+50*time.Millisecond && r.status == http.StatusNotFound {
			t.Fatalf("refused with 404 %v after the route came", at)
		}
		is.Equal(f.call(n, http.MethodGet, "/get/", "2", "").status, http.StatusOK)
		time.Sleep(50 * time.Millisecond)
	}
	f.each(standin.Faults{})
	f.eventually("the route is there", func() bool { return f.call(n, http.MethodGet, "/new/", "3", "").status == http.StatusOK })
	f.eventually("it knows again what is not there", func() bool {
		return f.call(n, http.MethodGet, "/none/", "4", "").status == http.StatusNotFound
	})
}

// TestNodesInTouchRefuseWhatIsNotThere requests a route that no state defines from a fleet in contact with the store: each
// node must always answer 404.
func TestNodesInTouchRefuseWhatIsNotThere(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 6)
	f.target("i-1", "desk")
	f.calm(3)
	f.ready(3, 1)
	for begun := time.Now(); time.Since(begun) < 5*time.Second; time.Sleep(20 * time.Millisecond) {
		for _, n := range f.nodes {
			is.Equal(f.call(n, http.MethodGet, "/none/", "1", "").status, http.StatusNotFound)
		}
	}
}
