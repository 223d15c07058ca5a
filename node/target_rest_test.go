package node_test

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/tinladder/tinladder/platform/standin"
)

const (
	// restSettles is how long after it asked for a rest a target may still get requests of that node, and restSlack how
	// many it may get in the rest of the time.
	restSettles = 500 * time.Millisecond
	restSlack   = 2
)

// mostWhileResting returns the most requests that one node sent to the target within a time for which the target, as it
// turned a request away, had asked that node for a rest.
func mostWhileResting(f *fleet, x *standin.Target, since time.Time, rest time.Duration) (most int) {
	for _, n := range f.nodes {
		var seen []standin.Seen
		for _, s := range x.Seen() {
			if s.At.After(since) && strings.HasPrefix(s.ID, n.name+"-") {
				seen = append(seen, s)
			}
		}
		for i, asked := range seen {
			count := 0
			for _, later := range seen[i+1:] {
				if d := later.At.Sub(asked.At); !asked.Ran && d > restSettles && d < rest {
					count++
				}
			}
			most = max(most, count)
		}
	}
	return most
}

// TestTargetThatAsksForRestGetsIt guards against requests of a node to a target that has turned one away, and asked that
// node for a time without any. The others serve what comes meanwhile, and the target is used again afterwards.
func TestTargetThatAsksForRestGetsIt(t *testing.T) {
	f := newFleet(t, 3)
	var targets []*standin.Target
	for i := range 2 {
		targets = append(targets, f.target(fmt.Sprint("t", i), "desk"))
	}
	f.calm(1)
	f.ready(1, len(targets))
	resting := targets[0]
	stop := f.callAll(50)
	time.Sleep(time.Second)
	resting.SetRest("3")
	resting.SetFaults(standin.TargetFaults{Shed: 1})
	since := time.Now()
	time.Sleep(8 * time.Second)
	resting.SetFaults(standin.TargetFaults{})
	ended := time.Now()
	time.Sleep(5 * time.Second)
	replies := stop()
	most, after, served := mostWhileResting(f, resting, since, 3*time.Second), 0, servedOf(replies)
	for _, s := range resting.Seen() {
		if s.At.After(ended) && s.Ran {
			after++
		}
	}
	is := is.New(t)
	t.Logf("at most %d requests of a node in a rest of 3 s; %d after the last one; %d of %d served", most, after, served, len(replies))
	is.True(most <= restSlack)
	is.True(after > 0)
	is.True(float64(served) > 0.99*float64(len(replies)))
}

// TestRequestsAreRefusedWhileAllTargetsRest guards against requests that wait, or are sent, while every target has asked
// for a rest: they are refused at once, and told when the first rest is over, not all the same.
func TestRequestsAreRefusedWhileAllTargetsRest(t *testing.T) {
	f := newFleet(t, 1)
	var targets []*standin.Target
	for i := range 2 {
		x := f.target(fmt.Sprint("t", i), "desk")
		x.SetRest([]string{"2.5", "9"}[i])
		x.SetFaults(standin.TargetFaults{Shed: 1})
		targets = append(targets, x)
	}
	f.calm(1)
	f.ready(1, len(targets))
	is := is.New(t)
	arrivals := func() int { return len(targets[0].Seen()) + len(targets[1].Seen()) }
	for i := 0; arrivals() < 2 || i < 2; i++ {
		f.call(f.nodes[0], http.MethodGet, "/get/", fmt.Sprint("first", i), "")
	}
	asked, before := time.Now(), arrivals()
	told := map[string]bool{}
	for i := range 12 {
		r := f.call(f.nodes[0], http.MethodGet, "/get/", fmt.Sprint("x", i), "")
		is.Equal(r.status, http.StatusServiceUnavailable)
		is.True(r.took < 200*time.Millisecond)
		after, err := strconv.ParseFloat(r.header.Get("Retry-After"), 64)
		is.NoErr(err)
		is.True(after >= 2.2-time.Since(asked).Seconds()) // the rest began a moment before
		is.True(after <= 4)
		told[r.header.Get("Retry-After")] = true
	}
	is.Equal(arrivals(), before)
	is.True(len(told) > 3)
	targets[0].SetFaults(standin.TargetFaults{})
	time.Sleep(2600 * time.Millisecond)
	is.Equal(f.call(f.nodes[0], http.MethodGet, "/get/", "later", "").status, http.StatusOK)
}
