package node_test

import (
	"bufio"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	tlv1 "github.com/tinladder/tinladder/schema/tinladder/v1"
)

// A fragileTarget is a target of the fleet's own interface that documents name. A request for crashPath makes it drop all connections
// and close its listener a moment later. It listens again at the same address and with the same id after some time.
type fragileTarget struct {
	address string

	mu      sync.Mutex
	door    net.Listener
	conns   map[net.Conn]bool
	crashes []time.Time
	arrived []time.Time
}

func newFragileTarget(t *testing.T) *fragileTarget {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	g := &fragileTarget{address: l.Addr().String(), door: l, conns: map[net.Conn]bool{}}
	go g.accept(l)
	t.Cleanup(func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		_ = g.door.Close()
		for c := range g.conns {
			_ = c.Close()
		}
	})
	return g
}

func (g *fragileTarget) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		g.mu.Lock()
		g.conns[c] = true
		g.mu.Unlock()
		go g.serve(c)
	}
}

func (g *fragileTarget) serve(c net.Conn) {
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			_ = c.Close()
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		if strings.HasPrefix(req.URL.Path, crashPath) {
			g.mu.Lock()
			g.arrived = append(g.arrived, time.Now())
			g.mu.Unlock()
			time.Sleep(80 * time.Millisecond)
			g.crash()
			return
		}
		time.Sleep(20 * time.Millisecond)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	}
}

func (g *fragileTarget) crash() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.crashes = append(g.crashes, time.Now())
	for c := range g.conns {
		_ = c.Close()
		delete(g.conns, c)
	}
	door := g.door
	time.AfterFunc(2*time.Millisecond, func() { _ = door.Close() })
	time.AfterFunc(3*time.Second, func() {
		l, err := net.Listen("tcp", g.address)
		if err != nil {
			return
		}
		g.mu.Lock()
		g.door = l
		g.mu.Unlock()
		go g.accept(l)
	})
}

// newFragileFleet starts three nodes and a service of the fleet's own interface with 12 such targets.
func newFragileFleet(t *testing.T) (*fleet, []*fragileTarget) {
	hash := func(s string) []byte {
		sum := sha256.Sum256([]byte(s))
		return sum[:]
	}
	f := startFleet(t, 3, &fleet{operated: true, via: func(s string) string { return s }, extraSettings: func(int) string {
		return shortRetryWindow + fmt.Sprintf("[operators]\nadmin_token_sha256 = %q\n", hex.EncodeToString(hash(adminToken)))
	}})
	f.apply(&tlv1.Document{Key: "ws/tuul", Body: &tlv1.Document_Workspace{Workspace: &tlv1.Workspace{
		Name: "tuul", TokenSha256: [][]byte{hash("tuul.operator")}, CallerTokenSha256: [][]byte{hash(ownToken)},
	}}})
	service := &tlv1.Service{
		Workspace: "tuul", Name: "desk", Profile: tlv1.Profile_PROFILE_QUICK,
		Routes: []*tlv1.Route{{PathPrefix: "/get/", Repeat: tlv1.Repeat_REPEAT_ALLOWED, Retries: 2, DeadlineMs: 2000}},
	}
	var targets []*fragileTarget
	for i := range 12 {
		g := newFragileTarget(t)
		targets = append(targets, g)
		service.Targets = append(service.Targets, &tlv1.Target{Id: fmt.Sprint("t", i), Address: g.address, Slots: 4, Hall: fmt.Sprint("h", i%3)})
	}
	f.apply(&tlv1.Document{Key: "svc/tuul/desk", Body: &tlv1.Document_Service{Service: service}})
	for _, n := range f.nodes {
		f.eventually(n.name+" serves", func() bool { return f.askOwn(n, "/get/warm") == http.StatusOK })
	}
	time.Sleep(awaitSlack)
	return f, targets
}

// askOwn requests a path of the fleet's own interface from the node, under the node's own host name.
func (f *fleet) askOwn(n *testNode, path string) int {
	req, err := http.NewRequest(http.MethodGet, "http://"+n.callers+path, nil)
	if err != nil {
		f.t.Fatal(err)
	}
	req.Header.Set("Tinladder-Token", ownToken)
	res, err := f.http.Do(req)
	if err != nil {
		return 0
	}
	defer func() { _ = res.Body.Close() }()
	_, _ = io.Copy(io.Discard, res.Body)
	return res.StatusCode
}

// sendOthers sends 40 requests per second for the duration, half of them for one path, and counts the responses by status.
func (f *fleet) sendOthers(long time.Duration) (statuses map[int]int) {
	statuses = map[int]int{}
	var mu sync.Mutex
	var wg sync.WaitGroup
	end := time.Now().Add(long)
	for i := 0; time.Now().Before(end); i++ {
		wg.Go(func() {
			path := "/get/same"
			if i%2 > 0 {
				path = fmt.Sprint("/get/", i)
			}
			status := f.askOwn(f.nodes[i%3], path)
			mu.Lock()
			defer mu.Unlock()
			statuses[status]++
		})
		time.Sleep(25 * time.Millisecond)
	}
	wg.Wait()
	return statuses
}

// TestOwnInterfaceHoldsBackWhatCrashesTargets repeats a request that crashes targets which keep their id across restarts, under
// a different host at each node. It crashed 60 targets in 20 s, and other requests lost two thirds of their capacity.
func TestOwnInterfaceHoldsBackWhatCrashesTargets(t *testing.T) {
	is := is.New(t)
	f, targets := newFragileFleet(t)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for i := range 32 {
			f.askOwn(f.nodes[i%3], crashPath)
			time.Sleep(250 * time.Millisecond)
		}
	}()
	statuses := f.sendOthers(9 * time.Second)
	<-done
	var crashes, arrived []time.Time
	for _, g := range targets {
		g.mu.Lock()
		crashes, arrived = append(crashes, g.crashes...), append(arrived, g.arrived...)
		g.mu.Unlock()
	}
	t.Logf("%d arrivals, %d crashes; others: %v", len(arrived), len(crashes), statuses)
	is.True(len(crashes) >= 3)
	third := sortedTimes(crashes)[2]
	late := 0
	for _, at := range arrived {
		if at.Sub(third) > containmentTime {
			late++
		}
	}
	is.True(late <= maxLateSends)
	is.Equal(statuses[http.StatusOK], sum(statuses)) // other requests are served
}

// TestOwnInterfaceBlamesNobodyForCrashes has the same targets crash independently of requests, one every 0.7 s.
func TestOwnInterfaceBlamesNobodyForCrashes(t *testing.T) {
	is := is.New(t)
	f, targets := newFragileFleet(t)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for i := range 10 {
			targets[i].crash()
			time.Sleep(700 * time.Millisecond)
		}
	}()
	statuses := f.sendOthers(8 * time.Second)
	<-done
	t.Logf("others: %v", statuses)
	is.Equal(statuses[http.StatusOK], sum(statuses))
	is.Equal(f.logLines("event=request_held"), 0)
}

func sum(counts map[int]int) (all int) {
	for _, n := range counts {
		all += n
	}
	return all
}
