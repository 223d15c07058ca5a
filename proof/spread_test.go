package proof_test

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/tinladder/tinladder/platform/standin"
	tlv1 "github.com/tinladder/tinladder/schema/tinladder/v1"
)

var measure = flag.Bool("measure", false, "run the measurements as well")

// TestMeasureSpread prints how long changes take to be in force on all of 44 nodes that take
// callers, and what the table is asked. It is no check: it is run by hand.
func TestMeasureSpread(t *testing.T) {
	if !*measure {
		t.Skip("a measurement; run with -measure")
	}
	f := newFleet(t, 44, 3, true)
	before := f.usage()
	time.Sleep(10 * time.Second)
	idle := f.usage()
	t.Logf("idle: %.1f reads/s, %.2f writes/s", float64(calls(idle)-calls(before))/10, float64(idle.Writes-before.Writes)/10)
	for _, loss := range []float64{0, 0.1, 0.3} {
		for _, n := range f.nodes {
			n.relay.SetLoss(loss)
		}
		f.measureChanges("loss", loss, 40)
	}
	for _, n := range f.nodes {
		n.relay.SetLoss(0)
		n.relay.SetCut(int(n.name[1]-'0')%3 == 0)
	}
	f.measureChanges("one hall cut one way", 1, 40)
}

func (f *fleet) usage() standin.Usage {
	return f.storeFaults(standin.Faults{})
}

func calls(u standin.Usage) int {
	return u.Reads + u.Feeds
}

func (f *fleet) measureChanges(name string, level float64, changes int) {
	before, start := f.usage(), time.Now()
	var took []time.Duration
	for i := range changes {
		d := f.desk()
		d.GetService().Queue = uint32(100 + i)
		began := time.Now()
		op := f.operator(f.nodes[1])
		got, err := op.Get(context.Background(), as(adminToken, &tlv1.GetRequest{Workspace: "tuul", Service: "desk"}))
		if err != nil {
			f.t.Fatal(err)
		}
		d.Version = got.Msg.GetDocument().GetVersion()
		version := f.applyAt(f.nodes[1], d)
		f.eventually("in force", func() bool { return f.allUse(version) })
		took = append(took, time.Since(began))
		time.Sleep(100 * time.Millisecond)
	}
	slices.Sort(took)
	after, seconds := f.usage(), time.Since(start).Seconds()
	f.t.Logf("%s %.1f: p50 %v p99 %v worst %v; %.1f reads/s %.1f writes/s", name, level,
		took[len(took)/2], took[len(took)*99/100], took[len(took)-1],
		float64(calls(after)-calls(before))/seconds, float64(after.Writes-before.Writes)/seconds)
}

func (f *fleet) applyAt(n *nodeProc, d *tlv1.Document) uint64 {
	res, err := f.operator(n).Apply(context.Background(), as(adminToken, &tlv1.ApplyRequest{Document: d, ChangeId: time.Now().Format("c150405.000000000")}))
	if err != nil {
		f.t.Fatal(err)
	}
	return res.Msg.GetChange().GetSeq()
}

// allUse says whether every node that takes callers and serves the service uses that version.
func (f *fleet) allUse(version uint64) bool {
	results := make(chan bool, len(f.nodes))
	for _, n := range f.nodes {
		go func() { results <- f.uses(n, version) }()
	}
	all := true
	for range f.nodes {
		all = <-results && all
	}
	return all
}

func (f *fleet) uses(n *nodeProc, version uint64) bool {
	res, err := f.operator(n).Status(context.Background(), as(adminToken, &tlv1.StatusRequest{}))
	if err != nil {
		return false
	}
	for _, s := range res.Msg.GetServices() {
		if s.GetVersion() < version {
			return !f.ready(n)
		}
	}
	return true
}

func (f *fleet) ready(n *nodeProc) bool {
	res, err := f.control.Get("http://" + n.operators + "/readyz")
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// TestMeasureIdle prints what a node process spends while nothing changes, at several sizes.
func TestMeasureIdle(t *testing.T) {
	if !*measure {
		t.Skip("a measurement; run with -measure")
	}
	for _, nodes := range []int{6, 15, 30, 60} {
		t.Run(fmt.Sprint(nodes), func(t *testing.T) {
			f := newFleet(t, nodes, 3, false)
			time.Sleep(15 * time.Second) // the news of the beginning dies down
			const span = 20 * time.Second
			bytes, cpu := f.sum("tinladder_peer_bytes_total"), f.sum("process_cpu_seconds_total")
			reads := calls(f.usage())
			time.Sleep(span)
			n := float64(nodes) * span.Seconds()
			t.Logf("%d nodes: each sends %.0f B/s, uses %.2f ms/s of processor and %.1f MB; the table has %.1f reads/s", nodes,
				(f.sum("tinladder_peer_bytes_total")-bytes)/n, (f.sum("process_cpu_seconds_total")-cpu)/n*1000,
				f.sum("process_resident_memory_bytes")/float64(nodes)/(1<<20), float64(calls(f.usage())-reads)/span.Seconds())
		})
	}
}

// sum adds a metric up over all nodes.
func (f *fleet) sum(metric string) float64 {
	total := 0.0
	for _, n := range f.nodes {
		res, err := f.control.Get("http://" + n.operators + "/metrics")
		if err != nil {
			f.t.Fatal(err)
		}
		text, _ := io.ReadAll(res.Body)
		_ = res.Body.Close()
		for line := range strings.Lines(string(text)) {
			name, value, _ := strings.Cut(strings.TrimSpace(line), " ")
			if name, _, _ = strings.Cut(name, "{"); name == metric {
				v, _ := strconv.ParseFloat(value, 64)
				total += v
			}
		}
	}
	return total
}
