package proof_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"github.com/tinladder/tinladder/assign"
	"github.com/tinladder/tinladder/clock"
	"github.com/tinladder/tinladder/desired"
	"github.com/tinladder/tinladder/ident"
	"github.com/tinladder/tinladder/member"
	"github.com/tinladder/tinladder/pool"
	"github.com/tinladder/tinladder/replica"
	tlv1 "github.com/tinladder/tinladder/schema/tinladder/v1"
	"google.golang.org/protobuf/proto"
)

// heap returns the bytes in use.
func heap() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// TestMeasureCapacity prints what the parts of a node cost by their size, for docs/CAPACITY.md.
func TestMeasureCapacity(t *testing.T) {
	if !*measure {
		t.Skip("a measurement; run with -measure")
	}
	for _, n := range []int{44, 150, 400, 800} {
		measureMembers(t, n)
	}
	for _, n := range []int{16, 64, 256} {
		measurePool(t, n)
	}
	for _, n := range []int{1_000, 10_000, 40_000} {
		measureTargets(t, n)
		measureRoutes(t, n)
	}
	for _, n := range []int{44, 400, 4_400} {
		measureRank(t, n)
	}
}

// measureMembers runs n tables in virtual time for half a minute once all know each other.
func measureMembers(t *testing.T, n int) {
	c := clock.NewManual(1_000_000)
	tables := map[string]*member.Table{}
	var order []string
	before := heap()
	for i := range n {
		name := fmt.Sprintf("front-some-hall-%d", i)
		address := fmt.Sprintf("10.%d.%d.%d:8382", i%3, i/250, i%250)
		self := &tlv1.Member{Node: name, Incarnation: 1_764_680_400_123, Hall: fmt.Sprint("hall-", i%3), GossipAddress: address, PeerAddress: address, CallerAddress: address, Weight: 64}
		m := member.New(self, member.Timing{ProbeInterval: 400, RelayAfter: 150, SuspectAfter: 400, GoneAfter: 1500, IsolatedAfter: 2500}, c, rand.New(rand.NewPCG(uint64(i), 1)))
		tables[address] = m
		order = append(order, address)
	}
	all := make([]*tlv1.Member, 0, n)
	for _, a := range order {
		all = append(all, tables[a].Self())
	}
	for _, a := range order {
		tables[a].Merge(all)
	}
	memory := float64(heap()-before) / float64(n)
	var bytes int
	run := func(seconds int) time.Duration {
		start := time.Now()
		for range seconds * 10 {
			c.Advance(100)
			for _, a := range order {
				queue := tables[a].Tick()
				for len(queue) > 0 {
					s := queue[0]
					queue = queue[1:]
					bytes += proto.Size(s.Gossip)
					if to := tables[s.Address]; to != nil {
						queue = append(queue, to.Receive(s.Gossip)...)
					}
				}
			}
		}
		return time.Since(start)
	}
	run(60) // let the news of the start die down
	bytes = 0
	const seconds = 30
	took := run(seconds)
	t.Logf("members n=%d: %.0f B/s sent, %.1f us/s, %.1f KB a node", n, float64(bytes)/seconds/float64(n), float64(took.Microseconds())/seconds/float64(n), memory/1024)
}

// measurePool chooses a target for requests that take no time.
func measurePool(t *testing.T, n int) {
	c := clock.NewManual(1_000_000)
	before := heap()
	b := pool.NewRetryBudget(c, rand.New(rand.NewPCG(3, 4)), 0.2, 10, 10*clock.Second)
	p := pool.New(pool.DefaultTuning, c, rand.New(rand.NewPCG(1, 1)), b, func(pool.ChangeKind, ident.Hall) {}, func(pool.Event) {})
	var targets []pool.Target
	for i := range n {
		targets = append(targets, pool.Target{ID: ident.Target(fmt.Sprint("i-7f3a91c2", i)), Address: "10.1.0.18:8080", Slots: 3, SameHall: i%3 == 0, Assigned: i%3 == 0})
	}
	p.SetTargets(targets)
	memory := heap() - before
	const rounds = 20_000
	start := time.Now()
	for range rounds {
		now := c.Now()
		l, err := p.Acquire(context.Background(), &pool.Request{Repeatable: true, Began: now, Objective: 800, Deadline: now + 3000})
		if err != nil {
			t.Fatal(err)
		}
		c.Advance(1)
		l.Done(pool.Good, false)
	}
	t.Logf("pool targets=%d: %.1f us a request, %.0f B a target", n, float64(time.Since(start).Microseconds())/rounds, float64(memory)/float64(n))
	runtime.KeepAlive(p)
}

// measureTargets holds so many targets' records.
func measureTargets(t *testing.T, n int) {
	before := heap()
	s := replica.New(clock.NewManual(1))
	var list []replica.Record
	for i := range n {
		v, err := proto.Marshal(&tlv1.RegisteredTarget{Service: "huvo11a", Address: "10.128.0.9:8080", Hall: "bayanzurkh-hall", Slots: 3})
		if err != nil {
			t.Fatal(err)
		}
		list = append(list, replica.Record{Key: fmt.Sprint("i-7f3a91c2", i), Version: uint64(i + 1), Value: v})
	}
	s.Put(list)
	list = nil
	memory := heap() - before
	start := time.Now()
	live := s.Live()
	t.Logf("target records n=%d: %.0f B a record, %.2f ms to list them", n, float64(memory)/float64(n), float64(time.Since(start).Microseconds())/1000)
	runtime.KeepAlive(live)
}

// measureRoutes compiles a desired state with so many routes.
func measureRoutes(t *testing.T, n int) {
	d := &tlv1.DesiredState{Version: 1}
	for i := range max(n/20, 1) {
		d.Services = append(d.Services, &tlv1.DesiredService{Name: fmt.Sprint("svc", i)})
	}
	for i := range n {
		d.Routes = append(d.Routes, &tlv1.DesiredRoute{
			Name: fmt.Sprint("r-", i), Host: fmt.Sprintf("h%d.example", i/5), Prefix: fmt.Sprintf("/p%d/", i%5), TimeoutMs: 1000,
			Parts: []*tlv1.Part{{Service: fmt.Sprint("svc", i%max(n/20, 1)), Weight: 1}},
		})
	}
	before := heap()
	start := time.Now()
	table, err := desired.Compile(d)
	if err != nil {
		t.Fatal(err)
	}
	took := time.Since(start)
	memory := heap() - before
	start = time.Now()
	const finds = 100_000
	for i := range finds {
		table.Find(fmt.Sprintf("h%d.example", i%max(n/5, 1)), "/p3/x")
	}
	t.Logf("routes n=%d: %.1f ms to compile, %.0f B a route, %.2f us to find one; %.0f B a route on the wire", n, float64(took.Microseconds())/1000, float64(memory)/float64(n),
		float64(time.Since(start).Microseconds())/finds, float64(proto.Size(d))/float64(n))
	runtime.KeepAlive(d)
}

// measureRank ranks the nodes of one hall.
func measureRank(t *testing.T, n int) {
	var list []assign.Candidate
	for i := range n {
		list = append(list, assign.Candidate{Node: ident.Node(fmt.Sprint("front-some-hall-", i)), Weight: 100})
	}
	const rounds = 200
	start := time.Now()
	for i := range rounds {
		assign.Rank(fmt.Sprint(i), list)
	}
	t.Logf("rank n=%d: %.1f us", n, float64(time.Since(start).Microseconds())/rounds)
}
