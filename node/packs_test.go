package node_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/tinladder/tinladder/delta"
	"github.com/tinladder/tinladder/platform"
	"github.com/tinladder/tinladder/platform/standin"
	tlv1 "github.com/tinladder/tinladder/schema/tinladder/v1"
	"google.golang.org/protobuf/proto"
)

// TestAFleetThatStartsReadsItsTargetsOnce starts 24 nodes before 3,000 targets at the same time, one in eight of which carries
// as much as ten others. Watchers sent each record to each node, and nodes that held different ones gave each other all they
// had, again and again: what each node read grew with nodes times targets. Each may read them once, and as much again twice for
// members and for what changed meanwhile.
func TestAFleetThatStartsReadsItsTargetsOnce(t *testing.T) {
	const nodes, targets = 24, 3000
	f := &fleet{via: func(s string) string { return s }, more: func(i int) string {
		cores := 0.16
		if i < 3 {
			cores = 1.6
		}
		return fmt.Sprintf("\n[capacity]\ncores = %g\nlink_mbps = 1000\n[log]\nlevel = \"info\"\n", cores)
	}}
	f = startFleet(t, 0, f)
	draw := rand.New(rand.NewPCG(1, 2))
	records := &tlv1.Records{}
	for i := range targets {
		id, hall := fmt.Sprintf("i-%010x", draw.Uint64()>>24), fmt.Sprint("h", i%3)
		row := standin.TargetRow(fmt.Sprintf("127.%d.%d.%d:%d", draw.IntN(256), draw.IntN(256), draw.IntN(256), 1024+i), "desk", hall, "ready", 3)
		version := f.store.Put("servers", id, row)
		decoded, err := platform.DecodeTarget(id, row, f.clock.Now())
		if err != nil {
			t.Fatal(err)
		}
		value, _ := proto.Marshal(decoded)
		records.Records = append(records.Records, &tlv1.Record{Key: id, Version: version, Value: value})
	}
	raw, _ := proto.Marshal(records)
	packed, err := delta.Pack(nil, raw)
	if err != nil {
		t.Fatal(err)
	}
	f.calm(3)
	f.add(nodes)
	for _, n := range f.nodes {
		f.eventually(n.name+" knows all targets", func() bool { return inForce(n, 3) && f.taken(n) == targets })
	}
	read := f.sum("tinladder_sync_read_bytes_total") + f.sumPrefix(`tinladder_peer_bytes_total{kind="records"`)
	t.Logf("%.0f bytes a node, all records are %d", read/nodes, len(packed))
	if most := float64(3 * len(packed)); read/nodes > most {
		t.Errorf("each node read %.0f bytes for its records, at most %.0f allowed", read/nodes, most)
	}
}
