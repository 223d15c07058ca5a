package proof_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/tinladder/tinladder/access"
	"github.com/tinladder/tinladder/clock"
	"github.com/tinladder/tinladder/delta"
	"github.com/tinladder/tinladder/desired"
	"github.com/tinladder/tinladder/ident"
	"github.com/tinladder/tinladder/limit"
	tlv1 "github.com/tinladder/tinladder/schema/tinladder/v1"
	"google.golang.org/protobuf/proto"
)

// keysEach is how many keys each measured workspace has.
const keysEach = 4

// TestMeasureWorkspaces prints what a node holds and pays for workspaces and keys by their number, and for limits by
// how many nodes share them, for docs/CAPACITY.md.
func TestMeasureWorkspaces(t *testing.T) {
	if !*measure {
		t.Skip("a measurement; run with -measure")
	}
	for _, n := range []int{1_000, 10_000, 100_000} {
		measureKeys(t, n)
		measureAccounts(t, n)
		measureLoans(t, n, 6)
	}
	for _, nodes := range []int{24, 96} {
		measureLoans(t, 1_000, nodes)
	}
}

func keyOf(workspace, key int) string {
	return fmt.Sprintf("uakn2ftimaj3nr%06d%d", workspace, key)
}

func nameOf(workspace int) ident.Workspace {
	return ident.Workspace(fmt.Sprintf("space%06d", workspace))
}

// keyedState returns a state with so many workspaces.
func keyedState(n int) *tlv1.DesiredState {
	d := &tlv1.DesiredState{Version: 1, Keyed: true}
	for i := range n {
		w := &tlv1.DesiredWorkspace{Name: string(nameOf(i)), Rank: 1, PerSecond: 5, Burst: 5}
		for k := range keysEach {
			digest := access.DigestOf(keyOf(i, k))
			w.Keys = append(w.Keys, digest[:])
		}
		d.Workspaces = append(d.Workspaces, w)
	}
	return d
}

// measureKeys compiles a state with so many workspaces, and shows known and unknown keys.
func measureKeys(t *testing.T, n int) {
	before := heap()
	d := keyedState(n)
	decoded := heap() - before
	start := time.Now()
	table, err := desired.Compile(d)
	if err != nil {
		t.Fatal(err)
	}
	took := time.Since(start)
	compiled := heap() - before - decoded
	old, err := proto.Marshal(d)
	if err != nil {
		t.Fatal(err)
	}
	d.Workspaces[n/2].Keys = d.Workspaces[n/2].Keys[1:]
	changed, err := proto.Marshal(d)
	if err != nil {
		t.Fatal(err)
	}
	packed, err := delta.Pack(old, changed)
	if err != nil {
		t.Fatal(err)
	}
	trust := access.Freshness{Known: true, Age: 100, MaxAge: 4900, NegativeMaxAge: 2500}
	check := func(key func(i int) string, want access.Verdict) time.Duration {
		const checks = 200_000
		shown := make([][]string, 1<<14)
		for i := range shown {
			shown[i] = []string{"Bearer " + key(rand.IntN(n))}
		}
		start := time.Now()
		for i := range checks {
			if _, v := table.Access.Decide(shown[i%len(shown)], trust); v != want {
				t.Fatal(v)
			}
		}
		return time.Since(start) / checks
	}
	known := check(func(i int) string { return keyOf(i, i%keysEach) }, access.Allowed)
	unknown := check(func(i int) string { return "nobody" + keyOf(i, 0) }, access.UnknownKey)
	t.Logf("%d workspaces, %d keys each: decoded %d B each, compiled %d B each in %v, on the wire %d B each, one changed %d B; a known key %v, an unknown one %v",
		n, keysEach, decoded/uint64(n), compiled/uint64(n), took.Round(time.Millisecond), len(old)/n, len(packed), known, unknown)
}

// loneTable is the table of a node that is the whole fleet.
func loneTable(c *clock.Manual) (t *limit.Table, pass func(clock.Millis)) {
	t = limit.New(c, limit.Bounds{Window: 5 * clock.Second, Overshoot: 0.1, Slack: 20})
	pass = func(span clock.Millis) {
		for ; span > 0; span -= 100 {
			t.Tick(limit.View{IsSharer: true, SharerCount: 1, Live: 1, PeakLive: 1})
			c.Advance(100)
		}
	}
	pass(10 * clock.Second)
	return t, pass
}

// measureAccounts has so many workspaces ask once, and then all the time.
func measureAccounts(t *testing.T, n int) {
	c := clock.NewManual(1_000_000)
	table, pass := loneTable(c)
	names := make([]ident.Workspace, n)
	for i := range names {
		names[i] = nameOf(i)
	}
	r := limit.Rate{PerSecond: 5, Burst: 5}
	before := heap()
	for _, w := range names {
		table.Take(w, r)
	}
	once := heap() - before
	for range 30 {
		pass(200)
		for _, w := range names {
			table.Take(w, r)
		}
	}
	busy := heap() - before
	const takes = 300_000
	start := time.Now()
	for i := range takes {
		table.Take(names[i%n], r)
	}
	took := time.Since(start) / takes
	t.Logf("%d workspaces asked of late: %d B each if asked once, %d B if asked all the time; a request %v", n, once/uint64(n), busy/uint64(n), took)
}

// measureLoans has so many nodes share the limits of so many workspaces, which make 100 requests a second at each node
// and use 0.63 of their rates, and counts what nodes tell each other.
func measureLoans(t *testing.T, n, nodes int) {
	const perNode, span = 100, 20
	c := clock.NewManual(1_000_000)
	tables := make([]*limit.Table, nodes)
	for i := range tables {
		tables[i] = limit.New(c, limit.Bounds{Window: 5 * clock.Second, Overshoot: 0.1, Slack: 20})
	}
	tick := func() {
		for _, table := range tables {
			table.Tick(limit.View{IsSharer: true, SharerCount: nodes, Live: nodes, PeakLive: nodes})
		}
		c.Advance(100)
	}
	for range 100 {
		tick()
	}
	rate := float64(perNode*nodes) / 0.63 / float64(n)
	r := limit.Rate{PerSecond: rate, Burst: rate}
	random := rand.New(rand.NewPCG(1, 2))
	bytes, asked, refused := 0, 0, 0
	for range span * 10 {
		tick()
		for range perNode * nodes / 10 {
			at, w := random.IntN(nodes), nameOf(random.IntN(n))
			admitted, q := tables[at].Take(w, r)
			asked++
			if q != nil {
				bytes += lendAll(tables, at, q, r)
			}
			if !admitted {
				if admitted, _ = tables[at].Retry(w, r); !admitted {
					refused++
				}
			}
		}
	}
	t.Logf("%d workspaces, %d nodes that share limits, %d requests a second each: %d B a second told by each, refused %.4f",
		n, nodes, perNode, bytes/span/nodes, float64(refused)/float64(asked))
}

// lendAll asks twelve other nodes at the most, as nodes do in three halls of as many, and returns the bytes.
func lendAll(tables []*limit.Table, at int, q *limit.LoanRequest, r limit.Rate) (bytes int) {
	const most = 12
	for i := 1; i <= min(len(tables)-1, most); i++ {
		from := (at + i*max((len(tables)-1)/most, 1)) % len(tables)
		if from == at {
			continue
		}
		bytes += proto.Size(&tlv1.Parcel{Body: &tlv1.Parcel_Borrow{Borrow: &tlv1.Borrow{
			Node: "front-some-hall-22", Address: "10.1.64.129:8382", Workspace: string(q.Workspace), Amount: q.Amount, Seq: q.Seq,
		}}})
		lent := tables[from].Lend(q.Workspace, r, q.Amount)
		if lent == 0 {
			continue
		}
		bytes += proto.Size(&tlv1.Parcel{Body: &tlv1.Parcel_Lend{Lend: &tlv1.Lend{
			Node: "front-some-hall-23", Workspace: string(q.Workspace), Amount: lent, Seq: q.Seq,
		}}})
		tables[at].AddLoan(q.Workspace, ident.Node(fmt.Sprint(from)), lent, q.Seq)
	}
	return bytes
}
