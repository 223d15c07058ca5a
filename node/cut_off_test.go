package node_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"github.com/tinladder/tinladder/platform/standin"
)

// A targetCut is the network path from one node to all targets, which can be cut.
type targetCut struct {
	mu sync.Mutex
	// how is the way in which connections are cut; empty if they are not.
	how   string
	conns map[*cutConn]bool
}

// Ways to cut: new connections fail in all of them, and those that are open hang, are reset, or work on.
const (
	cutHang  = "hang"
	cutReset = "reset"
	cutNew   = "new connections only"
)

// set cuts the path, or restores it if how is empty.
func (c *targetCut) set(how string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.how = how
	for conn := range c.conns {
		switch how {
		case cutHang:
			conn.hangs = true
		case cutReset:
			_ = conn.Close()
		}
	}
}

// dial opens a connection to a target.
func (c *targetCut) dial(ctx context.Context, network, address string) (net.Conn, error) {
	c.mu.Lock()
	how := c.how
	c.mu.Unlock()
	switch how {
	case "":
	case cutHang:
		<-ctx.Done()
		return nil, ctx.Err()
	default:
		return nil, errors.New("connection refused")
	}
	nc, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	conn := &cutConn{Conn: nc, cut: c}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.conns[conn] = true
	return conn, nil
}

// A cutConn is a connection on such a path. What is sent on one that hangs is lost, without an error.
type cutConn struct {
	net.Conn
	cut   *targetCut
	hangs bool
}

// Write implements net.Conn.
func (c *cutConn) Write(b []byte) (int, error) {
	c.cut.mu.Lock()
	hangs := c.hangs
	c.cut.mu.Unlock()
	if hangs {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// cuttableFleet starts six nodes and targets in three halls.
func cuttableFleet(t *testing.T) (*fleet, []*targetCut) {
	t.Helper()
	return cuttableFleetOf(t, 6)
}

// cuttableFleetOf starts nodes, and six targets in three halls.
func cuttableFleetOf(t *testing.T, nodes int) (*fleet, []*targetCut) {
	t.Helper()
	var cuts []*targetCut
	f := startFleet(t, nodes, &fleet{
		via: func(store string) string { return store },
		dialTarget: func(int) func(ctx context.Context, network, address string) (net.Conn, error) {
			c := &targetCut{conns: map[*cutConn]bool{}}
			cuts = append(cuts, c)
			return c.dial
		},
	})
	for i := range 6 {
		f.targets = append(f.targets, f.targetInHall(fmt.Sprint("t", i), "desk", fmt.Sprint("h", i%3)))
	}
	f.calm(1)
	f.ready(1, 6)
	return f, cuts
}

// targetInHall starts a target that takes 40 ms for a request.
func (f *fleet) targetInHall(id, service, hall string) *standin.Target {
	f.t.Helper()
	x, err := standin.NewTarget(f.store, id, service, hall, 3, 40*time.Millisecond)
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(x.Close)
	return x
}

// callEach has each node get run-once and repeatable requests in turn until stop is called, which returns the replies.
func (f *fleet) callEach(perSecond int) (stop func() map[*testNode][]reply) {
	return f.callEachOf(f.nodes, perSecond)
}

// callEachOf does the same with some of the nodes.
func (f *fleet) callEachOf(nodes []*testNode, perSecond int) (stop func() map[*testNode][]reply) {
	var (
		mu      sync.Mutex
		replies = map[*testNode][]reply{}
		calls   sync.WaitGroup
	)
	end := make(chan struct{})
	for _, n := range nodes {
		calls.Go(func() {
			ticker := time.NewTicker(time.Second / time.Duration(perSecond))
			defer ticker.Stop()
			for i := 0; ; i++ {
				select {
				case <-end:
					return
				case <-ticker.C:
				}
				calls.Go(func() {
					path := []string{"/get/x", "/once/x"}[i%2]
					r := f.callWithin(n, http.MethodPost, path, fmt.Sprintf("%s-%d-%d", n.name, i, time.Now().UnixNano()), "body", 1000)
					mu.Lock()
					defer mu.Unlock()
					replies[n] = append(replies[n], r)
				})
			}
		})
	}
	return func() map[*testNode][]reply {
		close(end)
		calls.Wait()
		return replies
	}
}

// servedOf counts the requests that were served.
func servedOf(replies []reply) (served int) {
	for _, r := range replies {
		if r.status == http.StatusOK {
			served++
		}
	}
	return served
}

const (
	// cutContact is how long after nodes were cut off their callers must be served as well as others.
	cutContact = 3 * time.Second
	cutFor     = 4 * time.Second
)

// TestCallersOfNodesCutFromAllTargetsAreServed guards against nodes that are cut from all targets, of all kinds of cuts,
// and refuse what comes to them though other nodes reach the targets. Callers hold on to the addresses of these nodes.
func TestCallersOfNodesCutFromAllTargetsAreServed(t *testing.T) {
	for _, how := range []string{cutHang, cutReset, cutNew} {
		t.Run(how, func(t *testing.T) {
			t.Parallel()
			f, cuts := cuttableFleet(t)
			warm := f.callEach(10)
			time.Sleep(time.Second)
			isCut := map[*testNode]bool{}
			for i, n := range f.nodes {
				if n.hall != "h2" { // all nodes of two halls
					cuts[i].set(how)
					isCut[n] = true
				}
			}
			time.Sleep(cutContact)
			warm()
			stop := f.callEach(10)
			time.Sleep(cutFor)
			replies := stop()
			var cutServed, cutAll, otherServed, otherAll int
			for n, list := range replies {
				if isCut[n] {
					cutServed, cutAll = cutServed+servedOf(list), cutAll+len(list)
				} else {
					otherServed, otherAll = otherServed+servedOf(list), otherAll+len(list)
				}
			}
			t.Logf("nodes that are cut served %d of %d, the others %d of %d", cutServed, cutAll, otherServed, otherAll)
			is := is.New(t)
			is.True(cutAll > 100 && otherAll > 50)
			is.True(float64(cutServed)/float64(cutAll) >= 2.0/3*float64(otherServed)/float64(otherAll))
			is.True(float64(otherServed) >= 0.9*float64(otherAll)) // what cut nodes hand on or report does not harm the others
		})
	}
}

// TestFewCallersOfNodesCutFromAllTargetsAreServed guards against nodes that get a request now and then, which carry nothing
// and hear little of what the others reach, and refuse it.
func TestFewCallersOfNodesCutFromAllTargetsAreServed(t *testing.T) {
	f, cuts := cuttableFleetOf(t, 18)
	named := map[string]bool{} // where callers go
	for _, hall := range []string{"h0", "h1", "h2"} {
		for _, address := range f.resolve(f.nodes[0], hall) {
			named[address] = true
		}
	}
	var busy, quiet []*testNode
	for _, n := range f.nodes {
		switch {
		case named[n.callers]:
			busy = append(busy, n)
		case n.hall != "h2":
			quiet = append(quiet, n)
		}
	}
	stop := f.callEachOf(busy, 10)
	defer stop()
	time.Sleep(time.Second)
	for i, n := range f.nodes {
		if n.hall != "h2" {
			cuts[i].set(cutHang)
		}
	}
	time.Sleep(cutContact)
	var (
		mu          sync.Mutex
		served, all int
		calls       sync.WaitGroup
	)
	for _, n := range quiet {
		calls.Go(func() {
			for i := range 2 {
				r := f.callWithin(n, http.MethodPost, []string{"/once/x", "/get/x"}[i], fmt.Sprintf("few-%s-%d", n.name, i), "body", 1000)
				mu.Lock()
				all++
				if r.status == http.StatusOK {
					served++
				}
				mu.Unlock()
				time.Sleep(time.Second)
			}
		})
	}
	calls.Wait()
	t.Logf("%d of %d served", served, all)
	is := is.New(t)
	is.True(all > 0)
	is.True(3*served >= 2*all)
}

// TestCallersAreSentToNodesThatReachTargets guards against look-ups that lead callers to nodes which are cut from all
// targets, and against nodes that never get callers again once they are not.
func TestCallersAreSentToNodesThatReachTargets(t *testing.T) {
	f, cuts := cuttableFleet(t)
	stop := f.callEach(10)
	defer stop()
	time.Sleep(time.Second)
	cut := f.nodes[:2]
	for i := range cut {
		cuts[i].set(cutHang)
	}
	named := func() (count int) {
		for _, asked := range f.nodes {
			for _, address := range f.resolve(asked, "h0") {
				for _, n := range cut {
					if address == n.callers {
						count++
					}
				}
			}
		}
		return count
	}
	is := is.New(t)
	is.True(named() > 0)
	time.Sleep(cutContact)
	is.Equal(named(), 0)
	for i := range cut {
		cuts[i].set("")
	}
	f.eventually("callers are sent to the nodes again", func() bool { return named() > 0 })
}

// TestNodeStaysCutOffAsItGetsOtherRequests guards against a node that says that it reaches targets again as it gets a
// request for another service, which it has not tried yet: callers then come back to it.
func TestNodeStaysCutOffAsItGetsOtherRequests(t *testing.T) {
	f, cuts := cuttableFleet(t)
	f.targetInHall("clerk-1", "clerk", "h2")
	f.store.Configure(2, []string{"desk", "clerk"}, route("/get/", standin.Repeatable, "desk"), route("/once/", standin.RunOnce, "desk"), route("/clerk/", standin.Repeatable, "clerk"))
	f.ready(2, 7)
	stop := f.callEach(10)
	defer stop()
	time.Sleep(time.Second)
	cut := f.nodes[0]
	cuts[0].set(cutHang)
	named := func() bool { return slices.Contains(f.resolve(f.nodes[2], "h0"), cut.callers) }
	f.eventually("callers are sent elsewhere", func() bool { return !named() })
	is := is.New(t)
	for i := range 20 {
		go f.callWithin(cut, http.MethodGet, "/clerk/x", fmt.Sprint("other-", i), "", 1000)
		time.Sleep(100 * time.Millisecond)
		is.True(!named())
	}
}

// TestNodesAllCutFromAllTargetsRefuseAtOnce guards against requests that are handed from node to node, or wait until
// their deadline, while no node reaches a target.
func TestNodesAllCutFromAllTargetsRefuseAtOnce(t *testing.T) {
	f, cuts := cuttableFleet(t)
	warm := f.callEach(10)
	time.Sleep(time.Second)
	for _, c := range cuts {
		c.set(cutHang)
	}
	time.Sleep(cutContact)
	warm()
	stop := f.callEach(10)
	time.Sleep(cutFor)
	is := is.New(t)
	quick, all := 0, 0
	for _, list := range stop() {
		for _, r := range list {
			all++
			if r.status == http.StatusServiceUnavailable && r.took < 400*time.Millisecond {
				quick++
				wait, err := strconv.ParseFloat(r.header.Get("Retry-After"), 64)
				is.NoErr(err)
				is.True(wait > 0)
			}
		}
	}
	t.Logf("%d of %d refused within the objective", quick, all)
	is.True(float64(quick) >= 0.9*float64(all))
}

// TestRequestPassedToANodeThatEndsMayHaveRun guards against a run-once request that is reported as not run, or sent to
// another node, after the node that it was passed to has ended: its target may have run it.
func TestRequestPassedToANodeThatEndsMayHaveRun(t *testing.T) {
	f, cuts := cuttableFleet(t)
	slow, err := standin.NewTarget(f.store, "slow", "clerk", "h2", 3, 800*time.Millisecond)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(slow.Close)
	f.store.Configure(2, []string{"desk", "clerk"}, route("/get/", standin.Repeatable, "desk"), route("/once/", standin.RunOnce, "desk"), route("/slow/", standin.RunOnce, "clerk"))
	f.ready(2, 7)
	stop := f.callEach(10)
	time.Sleep(time.Second)
	for i, n := range f.nodes {
		if n.hall != "h2" {
			cuts[i].set(cutReset)
		}
	}
	f.eventually("the node knows that it is cut off", func() bool { return strings.Contains(f.nodes[0].log.String(), "event=node_reach") })
	stop()
	keep := make(chan reply, 1)
	f.eventually("a request reaches the slow target by another node", func() bool {
		go func() {
			keep <- f.call(f.nodes[0], http.MethodPost, "/slow/x", fmt.Sprint("slow-", time.Now().UnixNano()), "body")
		}()
		for end := time.Now().Add(400 * time.Millisecond); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
			if len(slow.Seen()) > 0 {
				return true
			}
		}
		<-keep
		return false
	})
	for _, n := range f.nodes {
		if n.hall == "h2" {
			n.node.Close()
		}
	}
	r := <-keep
	is := is.New(t)
	is.Equal(r.status, http.StatusBadGateway)
	is.Equal(len(slow.Seen()), 1)
}
