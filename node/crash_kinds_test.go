package node_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/matryer/is"
	"github.com/tinladder/tinladder/platform"
	"github.com/tinladder/tinladder/platform/standin"
	tlv1 "github.com/tinladder/tinladder/schema/tinladder/v1"
	"github.com/tinladder/tinladder/schema/tinladder/v1/tinladderv1connect"
)

// repeat sends the request to the nodes in turn for the duration and returns the last reply.
func (f *fleet) repeat(method, path, body string, every, long time.Duration) (last reply) {
	return f.repeatWith(func(int) string { return path }, method, body, every, long)
}

// repeatWith does the same with a path and query computed per attempt.
func (f *fleet) repeatWith(path func(i int) string, method, body string, every, long time.Duration) (last reply) {
	f.t.Helper()
	return f.insist(func(i int, n *testNode) *http.Request {
		return f.request(n, method, path(i), fmt.Sprint("insists-", i), body, 3000)
	}, every, long)
}

// insist sends a request to each node in turn for the duration and returns the last reply.
func (f *fleet) insist(next func(i int, n *testNode) *http.Request, every, long time.Duration) (last reply) {
	end := time.Now().Add(long)
	for i := 0; time.Now().Before(end); i++ {
		last = f.do(next(i, f.nodes[i%len(f.nodes)]))
		time.Sleep(every)
	}
	return last
}

// callsFromAnywhere gives each new connection of the fleet's client another source address.
func callsFromAnywhere(f *fleet) {
	var count atomic.Int32
	f.http.Transport = &http.Transport{DisableKeepAlives: true, DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		d := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 1, byte(1+count.Add(1)%200))}}
		return d.DialContext(ctx, network, address)
	}}
}

// logLines counts the log lines of all nodes that contain all of the words.
func (f *fleet) logLines(words ...string) (count int) {
	for _, n := range f.nodes {
		for line := range strings.Lines(n.log.String()) {
			all := true
			for _, w := range words {
				all = all && strings.Contains(line, w)
			}
			if all {
				count++
			}
		}
	}
	return count
}

// TestRequestsOfAllKindsThatCrashTargets repeats a request that crashes targets, for each kind of request and each state of nodes.
func TestRequestsOfAllKindsThatCrashTargets(t *testing.T) {
	for _, c := range []struct {
		name         string
		method, path string
		body         string
		fleet        fleet
		// queries gives the request another query each time, framings sends its body in chunks every other time.
		queries, framings bool
		// before runs once all are ready.
		before func(f *fleet)
	}{
		{name: "many callers", method: http.MethodGet, path: crashPath, before: callsFromAnywhere},
		{name: "many queries", method: http.MethodGet, path: crashPath, queries: true},
		{name: "run once", method: http.MethodPost, path: "/once/crash", body: "order 17"},
		{name: "large", method: http.MethodPost, path: "/get/crash", body: strings.Repeat("0123456789", 20_000)},
		{name: "in chunks and with a length", method: http.MethodPost, path: "/once/crash", body: "order 17", framings: true},
		{name: "large, in chunks and with a length", method: http.MethodPost, path: "/get/crash", body: strings.Repeat("0123456789", 20_000), framings: true},
		{name: "nodes that hear nobody", method: http.MethodGet, path: crashPath, fleet: fleet{lonely: true}},
		{name: "nodes without the store", method: http.MethodGet, path: crashPath, before: func(f *fleet) {
			for _, n := range f.nodes {
				n.door.SetFaults(standin.Faults{Away: standin.Reset})
			}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			f := startFleet(t, 3, &fleet{lonely: c.fleet.lonely, via: func(s string) string { return s }})
			f.calm(1)
			b := newTargetsCrashingOn(f, 9, c.path)
			f.ready(1, 9)
			if c.before != nil {
				c.before(f)
			}
			last := f.insist(func(i int, n *testNode) *http.Request {
				path := c.path
				if c.queries {
					path = fmt.Sprint(c.path, "?page=", i)
				}
				req := f.request(n, c.method, path, fmt.Sprint("insists-", i), c.body, 3000)
				if c.framings && i%2 == 1 {
					req.ContentLength = -1
				}
				return req
			}, 150*time.Millisecond, 6*time.Second)
			t.Logf("%d sends, %d crashes, %d late", len(b.sent(c.path)), len(b.crashes), b.late(c.path))
			is.True(b.late(c.path) <= maxLateSends)
			is.True(len(b.sent(c.path)) >= 3)
			if c.framings { // held back after three, with one under way at another node, and the first trial
				is.True(len(b.sent(c.path)) <= 5)
			}
			is.Equal(last.status, http.StatusServiceUnavailable) // refused at once, with a Retry-After header
			is.True(last.header.Get("Retry-After") != "")
			is.True(last.took < 300*time.Millisecond)
		})
	}
}

// TestRequestsThatCrashTargetsAfterTheirCallersLeft guards against a request that crashes targets and is sent on for as long as it
// comes, since its caller leaves, or its time runs out, before each crash.
func TestRequestsThatCrashTargetsAfterTheirCallersLeft(t *testing.T) {
	for _, c := range []struct {
		name, path string
		// leaves is when the caller leaves, and deadline for how long it would wait, in milliseconds.
		leaves   time.Duration
		deadline int
	}{
		{"caller leaves", crashPath, 40 * time.Millisecond, 3000},
		{"deadline", crashPath, time.Second, 80},
		{"deadline of a request that runs once", "/once/crash", time.Second, 80},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			f := newFleet(t, 3)
			f.calm(1)
			b := newTargetsCrashingOn(f, 9, c.path)
			for _, target := range b.list {
				target.SetFaults(standin.TargetFaults{Slow: 30}) // 150 ms
			}
			f.ready(1, len(b.list))
			f.insist(func(i int, n *testNode) *http.Request {
				ctx, cancel := context.WithTimeout(context.Background(), c.leaves)
				t.Cleanup(cancel)
				return f.request(n, http.MethodPost, c.path, fmt.Sprint("leaves-", i), "order 17", c.deadline).WithContext(ctx)
			}, 500*time.Millisecond, 9*time.Second)
			t.Logf("%d sends, %d crashes, %d late", len(b.sent(c.path)), len(b.crashes), b.late(c.path))
			is.True(len(b.crashes) >= 3)
			is.True(b.late(c.path) <= maxLateSends)
		})
	}
}

// TestNodeThatStartsLaterHoldsBackToo starts a node after the others hold a request back.
func TestNodeThatStartsLaterHoldsBackToo(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 3)
	late := f.nodes[2]
	late.stop()
	<-late.node.Done()
	f.nodes = f.nodes[:2]
	f.calm(1)
	b := newCrashingTargets(f, 6)
	f.ready(1, 6)
	f.repeat(http.MethodGet, crashPath, "", 100*time.Millisecond, 1500*time.Millisecond)
	sent := len(b.sent(crashPath))
	f.nodes = append(f.nodes, late)
	f.start(late)
	f.eventually("the new node is ready", func() bool { return f.status(late.readiness, platform.ReadyPath) == http.StatusOK })
	for i := range 3 {
		is.Equal(f.call(late, http.MethodGet, crashPath, fmt.Sprint("late-", i), "").status, http.StatusServiceUnavailable)
	}
	is.True(len(b.sent(crashPath)) <= sent+1) // a trial, at the most
}

// TestNodeThatWasCutOffHoldsBackToo separates a node from the others and from the store while they learn of a request that
// crashes targets. The node must hold it back from 3 s after the connection is restored.
func TestNodeThatWasCutOffHoldsBackToo(t *testing.T) {
	const (
		linkBytes = 2_000_000
		contact   = 3 * time.Second
	)
	is := is.New(t)
	f := newFleetOnLinks(t, 3, linkBytes)
	f.calm(1)
	b := newCrashingTargets(f, 6)
	f.ready(1, 6)
	all, cut := f.nodes, f.nodes[2]
	f.nodes = all[:2]
	cut.relay.SetCut(true)
	cut.door.SetFaults(standin.Faults{Away: standin.Reset})
	f.repeat(http.MethodGet, crashPath, "", 100*time.Millisecond, 1500*time.Millisecond)
	f.eventually("the others hold it back", func() bool { return f.logLines("event=request_held") >= 2 })
	sent := len(b.sent(crashPath))
	cut.door.SetFaults(standin.Faults{})
	cut.relay.SetCut(false)
	f.nodes = all
	time.Sleep(contact)
	held := 0
	for i := range 3 {
		if f.call(cut, http.MethodGet, crashPath, fmt.Sprint("cut-", i), "").status == http.StatusServiceUnavailable {
			held++
		}
	}
	again := len(b.sent(crashPath)) - sent
	is.True(again <= 1) // a trial, at the most
	is.True(held >= 3-again)
}

// TestRequestThatIsCuredIsServedAgain has targets that no longer crash under the request after their restart.
func TestRequestThatIsCuredIsServedAgain(t *testing.T) {
	f := newFleet(t, 3)
	f.calm(1)
	b := newCrashingTargets(f, 6)
	f.ready(1, 6)
	f.eventually("it is held back", func() bool {
		f.repeat(http.MethodGet, crashPath, "", 50*time.Millisecond, 50*time.Millisecond)
		return f.logLines("event=request_held") >= 3
	})
	for _, target := range b.list {
		target.CrashOn("")
	}
	f.eventually("it is served again by each node", func() bool {
		for i, n := range f.nodes {
			if f.call(n, http.MethodGet, crashPath, fmt.Sprint("cured-", i), "").status != http.StatusOK {
				return false
			}
		}
		return true
	})
	f.eventually("all know", func() bool { return f.logLines("event=request_lifted") >= 3 })
}

// TestOperatorLiftsARequest lists a held request and lifts it as an administrator. Without a token nothing is listed.
func TestOperatorLiftsARequest(t *testing.T) {
	is := is.New(t)
	sum := sha256.Sum256([]byte(adminToken))
	f := startFleet(t, 2, &fleet{operated: true, via: func(s string) string { return s }, extraSettings: func(int) string {
		return fmt.Sprintf("[operators]\nadmin_token_sha256 = %q\n", hex.EncodeToString(sum[:]))
	}})
	f.calm(1)
	b := newCrashingTargets(f, 6)
	f.ready(1, 6)
	f.repeat(http.MethodGet, crashPath+"?secret=1", "", 100*time.Millisecond, time.Second)
	c := tinladderv1connect.NewOperatorServiceClient(f.http, "http://"+f.nodes[0].operators)
	_, err := c.Quarantine(context.Background(), connect.NewRequest(&tlv1.QuarantineRequest{}))
	is.Equal(connect.CodeOf(err), connect.CodeUnauthenticated)
	list := connect.NewRequest(&tlv1.QuarantineRequest{})
	list.Header().Set("Authorization", "Bearer "+adminToken)
	res, err := c.Quarantine(context.Background(), list)
	is.NoErr(err)
	is.Equal(len(res.Msg.GetRequests()), 3) // by its caller, by itself and by its path
	q := res.Msg.GetRequests()[0]
	is.True(q.GetHeld())
	is.Equal(q.GetWhat(), "GET shop"+crashPath) // and no query
	for _, target := range b.list {
		target.CrashOn("")
	}
	lift := connect.NewRequest(&tlv1.LiftRequest{Print: q.GetPrint()})
	lift.Header().Set("Authorization", "Bearer "+adminToken)
	lifted, err := c.Lift(context.Background(), lift)
	is.NoErr(err)
	is.True(lifted.Msg.GetStored())
	f.eventually("all nodes send it", func() bool {
		for i, n := range f.nodes {
			if f.call(n, http.MethodGet, crashPath+"?secret=1", fmt.Sprint("lifted-", i), "").status != http.StatusOK {
				return false
			}
		}
		return true
	})
}

// TestOthersAreNotBlamed has targets crash independently of requests, with concurrent repeated requests in flight, others lose
// connections, and one leave with requests in flight. No request may be held back.
func TestOthersAreNotBlamed(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 3)
	f.calm(1)
	b := newCrashingTargets(f, 9)
	f.ready(1, 9)
	for i, target := range b.list {
		target.Takes = 30 * time.Millisecond
		if i < 3 {
			target.SetFaults(standin.TargetFaults{Lose: 0.3})
		}
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		for i := range 16 {
			b.list[3+i%6].Crash()
			time.Sleep(300 * time.Millisecond)
		}
	}()
	results := make(chan int, 8)
	for i := range 8 {
		go func() {
			count := 0
			for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
				if r := f.call(f.nodes[i%3], http.MethodGet, "/get/same", fmt.Sprint("same-", i, "-", count), ""); r.status == http.StatusOK {
					count++
				}
			}
			results <- count
		}()
	}
	served := 0
	for range 8 {
		served += <-results
	}
	<-done
	t.Logf("%d served; %d crashes seen under it, %d lost connections with an open door",
		served, f.logLines("event=request_suspected", "by=seen"), f.logLines("outcome=silent", "door=open"))
	is.True(served > 0)
	is.Equal(f.logLines("event=request_held"), 0)
	is.Equal(f.logLines("held back"), 0)
	is.True(f.logLines("outcome=silent", "door=open") > 0) // the case occurred
}

// TestLostConnectionsAreNoCrashes has a target that drops the connection of each request and keeps running. No request may be
// suspected, although none gets a response.
func TestLostConnectionsAreNoCrashes(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 2)
	f.calm(1)
	f.target("t0", "desk").SetFaults(standin.TargetFaults{Lose: 1})
	f.ready(1, 1)
	for i := range 8 {
		is.Equal(f.call(f.nodes[i%2], http.MethodPost, "/once/same", fmt.Sprint("lost-", i), "order").status, http.StatusBadGateway)
	}
	is.True(f.logLines("outcome=silent", "door=open") > 0)
	is.Equal(f.logLines("event=request_suspected"), 0)
}
