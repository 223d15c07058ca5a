package node_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/matryer/is"
	"github.com/tinladder/tinladder/platform/standin"
	tlv1 "github.com/tinladder/tinladder/schema/tinladder/v1"
	"github.com/tinladder/tinladder/schema/tinladder/v1/tinladderv1connect"
	"github.com/tinladder/tinladder/store"
	"google.golang.org/protobuf/proto"
)

// TestManyCompareAtOnce has 100 nodes compare their records with those of one small node at the same time, as a third of
// 300 nodes do at their start if their settings name it as a seed. It must send all its targets to a few only, whom the
// others can ask then, and members and the desired state to all, so that its work does not grow with the number of requests.
func TestManyCompareAtOnce(t *testing.T) {
	is := is.New(t)
	f := newFleetWith(t, 1, func(int) string { return "\n[capacity]\ncores = 0.16\nlink_mbps = 1000\n" })
	n := f.nodes[0]
	const targets, asking = 3000, 100
	for i := range targets {
		f.store.Put("servers", fmt.Sprint("i-", i), standin.TargetRow("127.0.0.1:9", "desk", "h0", "ready", 3))
	}
	f.calm(3)
	f.eventually("all targets are known", func() bool { return inForce(n, 3) && f.poolTargets(n) == targets })
	var mu sync.Mutex
	given, answered := 0, 0
	begun := time.Now()
	var all sync.WaitGroup
	for range asking {
		all.Go(func() {
			c := tinladderv1connect.NewFleetServiceClient(http.DefaultClient, "http://"+n.peers)
			res, err := c.Sync(t.Context(), connect.NewRequest(&tlv1.SyncRequest{
				Kinds: []*tlv1.KindSum{{Kind: stateInMessages}, {Kind: string(store.Targets)}}, Pulls: true,
			}))
			if err != nil {
				t.Error(err)
				return
			}
			mu.Lock()
			defer mu.Unlock()
			state := false
			for _, r := range res.Msg.GetRecords() {
				if r.GetKind() == string(store.Targets) {
					given += len(r.GetRecords())
				}
				state = state || r.GetKind() == stateInMessages
			}
			if state && len(res.Msg.GetMembers()) > 0 {
				answered++
			}
		})
	}
	all.Wait()
	took := time.Since(begun)
	t.Logf("%d records given in %v", given, took)
	is.Equal(answered, asking)
	is.True(given >= targets)                                      // at least one node got all
	is.True(given <= targets*(2+int(took/(100*time.Millisecond)))) // one per 0.1 s, and two at once
}

// BenchmarkCompare has a node send all its 3,000 targets to a client that holds none. The client only reads the response.
func BenchmarkCompare(b *testing.B) {
	f := newFleetWith(b, 1, func(int) string { return "\n[capacity]\ncores = 1000\n[log]\nlevel = \"warning\"\n" })
	n := f.nodes[0]
	for i := range 3000 {
		f.store.Put("servers", fmt.Sprint("i-", i), standin.TargetRow("127.0.0.1:9", "desk", "h0", "ready", 3))
	}
	f.calm(3)
	f.eventually("all targets are known", func() bool { return f.poolTargets(n) == 3000 })
	c := tinladderv1connect.NewFleetServiceClient(http.DefaultClient, "http://"+n.peers)
	size := 0
	for b.Loop() {
		res, err := c.Sync(b.Context(), connect.NewRequest(&tlv1.SyncRequest{Kinds: []*tlv1.KindSum{{Kind: string(store.Targets)}}, Pulls: true}))
		if err != nil {
			b.Fatal(err)
		}
		size = proto.Size(res.Msg)
	}
	b.ReportMetric(float64(size), "bytes")
}

// TestFirstStateComesAfterItsTargets starts a node while the store is unavailable, so that it gets its records from another
// one. Requests wait for the first state, so the targets of the same response must be in use before it.
func TestFirstStateComesAfterItsTargets(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 3)
	f.target("i-1", "desk")
	f.calm(3)
	f.ready(3, 1)
	f.each(standin.Faults{Away: standin.Reset})
	n := f.nodes[2]
	compared := 0
	for range 5 {
		n.stop()
		<-n.node.Done()
		n.log = &logBuffer{}
		f.start(n)
		f.eventually("it has both", func() bool { return inForce(n, 3) && strings.Contains(n.log.String(), "event=target_record") })
		var state, target int
		from := ""
		for i, line := range strings.Split(n.log.String(), "\n") {
			switch {
			case strings.Contains(line, "event=state_in_force"):
				state = i
				_, from, _ = strings.Cut(line, " from=")
				from, _, _ = strings.Cut(from, " ")
			case strings.Contains(line, "event=target_record"):
				target = i
			}
		}
		if strings.Contains(from, ":") { // from a comparison, which brings both
			compared++
			is.True(target < state)
		}
	}
	is.True(compared > 0)
}
