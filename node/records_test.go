package node_test

import (
	"fmt"
	"net/http"
	"os"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/tinladder/tinladder/platform/standin"
)

// inForce reports whether the node has put this version of the desired state into force.
func inForce(n *testNode, version int) bool {
	end := fmt.Sprintf(" version=%d", version)
	for line := range strings.Lines(n.log.String()) {
		if strings.Contains(line, "event=state_in_force ") && strings.HasSuffix(strings.TrimSpace(line), end) {
			return true
		}
	}
	return false
}

// TestStateIsInForceInTime changes the desired state while the store is unavailable or slow, delivers no changes or has
// lost its history for some nodes. Every node must have it in force within the bound of the settings.
func TestStateIsInForceInTime(t *testing.T) {
	cases := []struct {
		name string
		// trouble is called before the change.
		trouble func(f *fleet)
		bound   time.Duration
	}{
		{"none", func(*fleet) {}, 2 * time.Second},
		{"history forgotten", func(f *fleet) { f.store.Forget() }, 2 * time.Second},
		{"slow", func(f *fleet) { f.each(standin.Faults{DelayMs: 200}) }, 2 * time.Second},
		{"busy for half", func(f *fleet) { f.half(standin.Faults{Away: standin.Busy}) }, 2 * time.Second},
		{"reset for half", func(f *fleet) { f.half(standin.Faults{Away: standin.Reset}) }, 2 * time.Second},
		{"many for half", func(f *fleet) { f.half(standin.Faults{Away: standin.Many}) }, 2 * time.Second},
		{"broken for half", func(f *fleet) { f.half(standin.Faults{Away: standin.Broken}) }, 2 * time.Second},
		{"silent for half", func(f *fleet) { f.half(standin.Faults{Away: standin.Silent}) }, 2 * time.Second},
		{"feeds deaf, then cut", func(f *fleet) {
			f.each(standin.Faults{Deaf: true})
			time.AfterFunc(time.Second, func() {
				f.store.Forget()
				f.each(standin.Faults{})
			})
		}, 2 * time.Second},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFleet(t, 6)
			f.target("i-1", "desk")
			f.calm(3)
			f.ready(3, 1)
			time.Sleep(700 * time.Millisecond) // the watchers are settled
			c.trouble(f)
			f.calm(4)
			start := time.Now()
			for _, n := range f.nodes {
				f.eventually(n.name+" has the change", func() bool { return inForce(n, 4) })
			}
			if took := time.Since(start); took > c.bound {
				t.Errorf("took %v", took)
			}
		})
	}
}

func (f *fleet) each(x standin.Faults) {
	for _, n := range f.nodes {
		n.door.SetFaults(x)
	}
}

func (f *fleet) half(x standin.Faults) {
	for _, n := range f.nodes[:len(f.nodes)/2] {
		n.door.SetFaults(x)
	}
}

// TestNodeCutFromOthersAsksTheStore starts a node without reachable seeds.
func TestNodeCutFromOthersAsksTheStore(t *testing.T) {
	f := newFleet(t, 1)
	f.target("i-1", "desk")
	f.calm(3)
	f.ready(3, 1)
	f.calm(4)
	f.eventually("the change is in force", func() bool { return inForce(f.nodes[0], 4) })
}

// TestStateNeverGoesBack writes an older state, one that is not JSON and one of the wrong type. None may come into force.
func TestStateNeverGoesBack(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 3)
	target := f.target("i-1", "desk")
	f.calm(5)
	f.ready(5, 1)
	f.store.Configure(4, []string{"desk"}, route("/old/", standin.Repeatable, "desk"))
	f.eventually("the older one was seen", func() bool {
		return f.logLines("event=records_unused", "kind=state", "newest=4") > 0 || inForce(f.nodes[0], 4)
	})
	f.store.Put("op", "config", []byte(`{"version":"r9","routes":[`))
	f.store.Put("op", "config", []byte(`{"version":"r10","routes":{}}`))
	f.eventually("the bad states were seen", func() bool {
		return slices.ContainsFunc(f.nodes, func(n *testNode) bool { return strings.Count(n.log.String(), "event=record_refused") >= 2 })
	})
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		for _, n := range f.nodes {
			is.Equal(f.call(n, http.MethodGet, "/get/", "x", "").status, http.StatusOK)
			is.Equal(f.call(n, http.MethodGet, "/old/", "y", "").status, http.StatusNotFound)
		}
	}
	is.Equal(ran("y", target), 0)
	f.calm(11)
	f.eventually("a good one is taken again", func() bool { return inForce(f.nodes[0], 11) })
}

// TestTargetsThatLeaveGetNoNewWork has targets leave in several ways while the store is unavailable to half of the nodes,
// and counts the requests that reach them after the bound.
func TestTargetsThatLeaveGetNoNewWork(t *testing.T) {
	cases := []struct {
		name  string
		leave func(target *standin.Target)
	}{
		{"says so in its row", func(target *standin.Target) { target.Register(true) }},
		{"its row goes", func(target *standin.Target) { target.Unregister() }},
		{"its address is another's", func(target *standin.Target) { target.Replace("i-9") }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := newFleetWith(t, 3, func(int) string { return shortRetryWindow })
			leaving, other := f.target("i-1", "desk"), f.target("i-2", "desk")
			f.calm(3)
			f.ready(3, 2)
			time.Sleep(awaitSlack)
			f.half(standin.Faults{Away: standin.Busy})
			c.leave(leaving)
			at := time.Now()
			for i := 0; time.Since(at) < 3*time.Second; i++ {
				r := f.call(f.nodes[i%3], http.MethodGet, "/get/", fmt.Sprint("x", i), "")
				is.Equal(r.status, http.StatusOK)
				time.Sleep(5 * time.Millisecond)
			}
			late := 0
			for _, s := range leaving.Seen() {
				if s.Ran && s.At.Sub(at) > 2*time.Second {
					late++
				}
			}
			is.Equal(late, 0)
			is.True(len(other.Seen()) > 50)
		})
	}
}

// TestLapsedTargetsComeBack removes the rows of all targets and writes one of them again.
func TestLapsedTargetsComeBack(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 3)
	a, b := f.target("i-1", "desk"), f.target("i-2", "desk")
	f.calm(3)
	f.ready(3, 2)
	a.Unregister()
	b.Unregister()
	f.eventually("they are gone", func() bool {
		return f.call(f.nodes[1], http.MethodGet, "/get/", "x", "").status == http.StatusServiceUnavailable
	})
	a.Register(false)
	start := time.Now()
	f.eventually("one is back", func() bool { return f.call(f.nodes[1], http.MethodGet, "/get/", "y", "").status == http.StatusOK })
	is.True(time.Since(start) < 2*time.Second)
}

// TestStoreAwayAtTheStart restarts a node while the store is unavailable. It must get its records from other nodes.
func TestStoreAwayAtTheStart(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 3)
	f.target("i-1", "desk")
	f.calm(3)
	f.ready(3, 1)
	f.each(standin.Faults{Away: standin.Reset})
	n := f.nodes[2]
	n.stop()
	<-n.node.Done()
	n.log = &logBuffer{}
	f.start(n)
	f.eventually("it learns from the others", func() bool { return inForce(n, 3) })
	is.Equal(f.call(n, http.MethodGet, "/get/", "x", "").status, http.StatusOK)
}

// TestStoreIsAskedLittle limits the store calls of a fleet without changes.
func TestStoreIsAskedLittle(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 9)
	f.target("i-1", "desk")
	f.calm(3)
	f.ready(3, 1)
	time.Sleep(time.Second)
	calls := func() (n int) {
		for _, x := range f.nodes {
			u := x.door.Usage()
			n += u.Reads + u.Feeds
		}
		return n
	}
	before := calls()
	time.Sleep(5 * time.Second)
	asked := calls() - before
	t.Logf("%d calls in 5 s", asked)
	is.True(asked <= 28) // three watchers, two kinds, each once in 1.3 s, and some margin
}

// TestSettingsAreReadAgain changes the settings file, with and without a signal.
func TestSettingsAreReadAgain(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 1)
	n := f.nodes[0]
	text := f.settingsOf(n, "")
	is.NoErr(os.WriteFile(n.path, []byte(text+"\n[log]\nlevel = \"debug\"\n"), 0o600))
	f.eventually("the change is seen without a signal", func() bool { return strings.Contains(n.log.String(), "event=settings_reloaded") })
	is.NoErr(os.WriteFile(n.path, []byte("[node"), 0o600))
	is.NoErr(syscall.Kill(os.Getpid(), syscall.SIGHUP))
	f.eventually("bad settings are refused", func() bool { return strings.Contains(n.log.String(), "event=settings_refused") })
	f.calm(3)
	f.eventually("the node goes on", func() bool { return inForce(n, 3) })
}

// TestOneUnknownWordCostsItself writes a state with an unknown type of route, a route that cannot be parsed and one to an
// unknown service, beside a valid route. Only those routes may be affected.
func TestOneUnknownWordCostsItself(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 2)
	desk := f.target("i-1", "desk")
	odd, unreadable := route("/odd/", "sometimes", "desk"), route("/unreadable/", standin.Repeatable, "desk")
	unreadable.Timeout = "soon"
	f.store.Configure(3, []string{"desk"}, route("/", standin.Large, "desk"), odd, unreadable, route("/lost/", standin.Repeatable, "nobody"))
	f.ready(3, 1)
	n := f.nodes[0]
	is.Equal(f.call(n, http.MethodGet, "/x", "1", "").status, http.StatusOK)
	is.Equal(f.call(n, http.MethodGet, "/odd/x", "2", "").status, http.StatusOK)
	for _, path := range []string{"/unreadable/x", "/lost/x"} {
		r := f.call(n, http.MethodGet, path, "3", "")
		is.Equal(r.status, http.StatusServiceUnavailable)
		is.True(r.header.Get("Retry-After") != "")
	}
	is.Equal(ran("3", desk), 0)
	f.eventually("the flaws are in a log", func() bool {
		text := f.nodes[0].log.String() + f.nodes[1].log.String()
		return strings.Contains(text, `event=record_refused`) && strings.Contains(text, `part="route 1 "`) || strings.Contains(text, "sometimes")
	})
	desk.SetFaults(standin.TargetFaults{Lose: 1})
	is.Equal(f.call(n, http.MethodGet, "/odd/x", "4", "").status, http.StatusBadGateway)
	is.Equal(ran("4", desk), 1) // treated as run-once
}

// TestStateThatCannotBeUsedIsNamed writes a state that cannot be parsed. Callers and logs must name the reason, and the
// next valid state must come into force.
func TestStateThatCannotBeUsedIsNamed(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 1)
	n := f.nodes[0]
	f.target("i-1", "desk")
	f.store.Put("op", "config", []byte(`{"version":"twelve"}`))
	f.eventually("the refusal is in the log", func() bool { return strings.Contains(n.log.String(), "event=record_refused") })
	r := f.call(n, http.MethodGet, "/x", "1", "")
	is.Equal(r.status, http.StatusServiceUnavailable)
	is.True(strings.Contains(r.body, "cannot be used"))
	is.True(strings.Contains(r.body, "twelve"))
	is.True(r.took < 500*time.Millisecond)
	f.calm(13)
	f.ready(13, 1)
	is.Equal(f.call(n, http.MethodGet, "/get/x", "2", "").status, http.StatusOK)
}
