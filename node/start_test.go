package node_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

var measureStart = flag.Bool("start", false, "measure what fleets of several sizes send each other as they start")

// TestMeasureStart starts fleets of several sizes while their targets register, ten for each node, and logs how many bytes a
// node sends in the first 5 s, by kind of message.
func TestMeasureStart(t *testing.T) {
	if !*measureStart {
		t.Skip("a measurement; run with -start")
	}
	for _, nodes := range []int{30, 60, 120} {
		t.Run(fmt.Sprint(nodes), func(t *testing.T) {
			f := &fleet{via: func(s string) string { return s }, extraSettings: func(i int) string {
				cores := 0.16
				if i < nodes/20 {
					cores = 1.6
				}
				return fmt.Sprintf("\n[capacity]\ncores = %g\nlink_mbps = 1000\n[log]\nlevel = \"warning\"\n", cores)
			}}
			f = startFleet(t, 0, f)
			f.calm(3)
			f.add(nodes)
			draw := rand.New(rand.NewPCG(1, 1))
			for begun := time.Now(); time.Since(begun) < 5*time.Second; time.Sleep(50 * time.Millisecond) {
				if time.Since(begun) < 4*time.Second {
					f.register(draw, nodes*10/80)
				}
			}
			for _, kind := range []string{"gossip", "confirm", "records", "report", "sync", "pull"} {
				near := f.sumPrefix(fmt.Sprintf(`tinladder_peer_bytes_total{kind=%q,far="false"`, kind))
				far := f.sumPrefix(fmt.Sprintf(`tinladder_peer_bytes_total{kind=%q,far="true"`, kind))
				t.Logf("%-8s %8.0f bytes a node within the hall, %8.0f to others", kind, near/float64(nodes), far/float64(nodes))
			}
			t.Logf("%.0f comparisons, %.0f calls of the store, %.0f datagrams heard a node", f.sum("tinladder_syncs_total")/float64(nodes),
				f.sum("tinladder_store_calls_total")/float64(nodes), f.sum("tinladder_datagram_received_total")/float64(nodes))
		})
	}
}
