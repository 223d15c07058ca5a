package node_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/tinladder/tinladder/delta"
	"github.com/tinladder/tinladder/platform"
	"github.com/tinladder/tinladder/platform/standin"
	tlv1 "github.com/tinladder/tinladder/schema/tinladder/v1"
	"google.golang.org/protobuf/proto"
)

// TestAFleetThatStartsReadsItsTargetsOnce starts 24 nodes at the same time with 3,000 targets in the store; one node in eight
// has ten times the capacity of the others. When watchers sent each record to each node, and nodes with different sets sent
// each other all their records repeatedly, the bytes read by each node grew with nodes times targets. Each node may read the
// records once, and twice as much again for members and for concurrent changes.
func TestAFleetThatStartsReadsItsTargetsOnce(t *testing.T) {
	const nodes, targets = 24, 3000
	f := &fleet{via: func(s string) string { return s }, extraSettings: func(i int) string {
		cores := 0.16
		if i < 3 {
			cores = 1.6
		}
		return fmt.Sprintf("\n[capacity]\ncores = %g\nlink_mbps = 1000\n[log]\nlevel = \"info\"\n", cores)
	}}
	f = startFleet(t, 0, f)
	draw := rand.New(rand.NewPCG(1, 2))
	packed := f.register(draw, targets)
	f.calm(3)
	f.add(nodes)
	for _, n := range f.nodes {
		f.eventually(n.name+" knows all targets", func() bool { return inForce(n, 3) && f.poolTargets(n) == targets })
	}
	read := f.recordBytes()
	t.Logf("%.0f bytes a node, all records are %d", read/nodes, packed)
	if most := float64(3 * packed); read/nodes > most {
		t.Errorf("each node read %.0f bytes for its records, at most %.0f allowed", read/nodes, most)
	}
}

// TestAFleetReadsWhatIsNewOnce adds 600 targets at once, five times, to 24 nodes that hold 3,000. It guards against reading
// all targets again for each change: a node may read the new ones once, and twice as much again for what accompanies them.
func TestAFleetReadsWhatIsNewOnce(t *testing.T) {
	const nodes, targets, more, times = 24, 3000, 600, 5
	f := &fleet{via: func(s string) string { return s }, extraSettings: func(int) string {
		return "\n[capacity]\ncores = 1.6\nlink_mbps = 1000\n[log]\nlevel = \"info\"\n"
	}}
	f = startFleet(t, 0, f)
	draw := rand.New(rand.NewPCG(3, 4))
	f.register(draw, targets)
	f.calm(3)
	f.add(nodes)
	known := func(count int) {
		for _, n := range f.nodes {
			f.eventually(fmt.Sprint(n.name, " knows ", count), func() bool { return f.poolTargets(n) == count })
		}
	}
	known(targets)
	time.Sleep(2 * time.Second) // comparisons after the start are over
	was, packed := f.recordBytes(), 0
	for i := range times {
		packed += f.register(draw, more)
		known(targets + (i+1)*more)
	}
	read := f.recordBytes() - was
	t.Logf("%.0f bytes a node, what is new is %d", read/nodes, packed)
	if most := float64(3 * packed); read/nodes > most {
		t.Errorf("each node read %.0f bytes for what is new, at most %.0f allowed", read/nodes, most)
	}
}

// register writes the rows of new targets in one transaction, and returns the compressed size of their records.
func (f *fleet) register(draw *rand.Rand, targets int) (packed int) {
	f.t.Helper()
	records := &tlv1.Records{}
	var rows []platform.Row
	for i := range targets {
		id, hall := fmt.Sprintf("i-%010x", draw.Uint64()>>24), fmt.Sprint("h", i%3)
		address := fmt.Sprintf("127.%d.%d.%d:%d", draw.IntN(256), draw.IntN(256), draw.IntN(256), 1024+i)
		row := standin.TargetRow(address, "desk", hall, "ready", 3)
		rows = append(rows, platform.Row{Table: "servers", Key: id, Value: row})
		decoded, err := platform.DecodeTarget(id, row, f.clock.Now())
		if err != nil {
			f.t.Fatal(err)
		}
		value, _ := proto.Marshal(decoded)
		records.Records = append(records.Records, &tlv1.Record{Key: id, Version: uint64(i), Value: value})
	}
	f.store.Commit(platform.Tx{Put: rows})
	raw, _ := proto.Marshal(records)
	small, err := delta.Pack(nil, raw)
	if err != nil {
		f.t.Fatal(err)
	}
	return len(small)
}

// recordBytes returns how many bytes of records and comparisons all nodes have received.
func (f *fleet) recordBytes() float64 {
	return f.sum("tinladder_sync_read_bytes_total") + f.sumPrefix(`tinladder_peer_bytes_total{kind="records"`)
}
