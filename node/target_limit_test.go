package node_test

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/tinladder/tinladder/platform/standin"
)

const (
	// limitContact is how long after a target first named its limit the bound applies.
	limitContact = 3 * time.Second
	limitWindow  = 4 * time.Second
	// limitFloor is within which time a healthy target gets work.
	limitFloor = 2 * time.Second
)

// maxInWindow returns the most requests that came to the target within limitWindow, of those between the two times.
func maxInWindow(t *standin.Target, from, until time.Time) (most int) {
	var window []time.Time
	for _, s := range t.Seen() {
		if s.At.Before(from) || s.At.After(until) {
			continue
		}
		window = append(window, s.At)
		for s.At.Sub(window[0]) >= limitWindow {
			window = window[1:]
		}
		most = max(most, len(window))
	}
	return most
}

// longestGap returns the longest time without a request to the target between the two times.
func longestGap(t *standin.Target, from, until time.Time) (longest time.Duration) {
	last := from
	for _, s := range t.Seen() {
		if s.At.After(from) && s.At.Before(until) {
			longest, last = max(longest, s.At.Sub(last)), s.At
		}
	}
	return max(longest, until.Sub(last))
}

// allowedInWindow returns how many requests a target that names the limit may get in a window.
func allowedInWindow(perSecond float64) int {
	return int(1.5*perSecond*limitWindow.Seconds() + 5)
}

// callAll has each node get so many requests a second until stop is called, which returns the replies.
func (f *fleet) callAll(perSecond int) (stop func() []reply) {
	var (
		mu      sync.Mutex
		replies []reply
		calls   sync.WaitGroup
	)
	end := make(chan struct{})
	for _, n := range f.nodes {
		calls.Go(func() {
			ticker := time.NewTicker(time.Second / time.Duration(perSecond))
			defer ticker.Stop()
			for i := 0; ; i++ {
				select {
				case <-end:
					return
				case <-ticker.C:
				}
				calls.Go(func() {
					r := f.callWithin(n, http.MethodGet, "/get/x", fmt.Sprintf("%s-%d-%d", n.name, i, time.Now().UnixNano()), "", 1000)
					mu.Lock()
					defer mu.Unlock()
					replies = append(replies, r)
				})
			}
		})
	}
	return func() []reply {
		close(end)
		calls.Wait()
		return replies
	}
}

// limitedFleet starts six nodes and targets in all halls, whose requests take 40 ms.
func limitedFleet(t *testing.T) (*fleet, []*standin.Target) {
	t.Helper()
	f := newFleet(t, 6)
	var targets []*standin.Target
	for i := range 6 {
		x, err := standin.NewTarget(f.store, fmt.Sprint("t", i), "desk", fmt.Sprint("h", i%3), 3, 40*time.Millisecond)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(x.Close)
		targets = append(targets, x)
	}
	f.calm(1)
	f.ready(1, len(targets))
	return f, targets
}

// TestLimitOfOneTargetHoldsOverAllNodes guards against a target that names the rate which it takes from all nodes
// together, and gets from each node what it would get without a limit. The other targets take the rest, and the
// target has its usual load again soon after it ceased to name a limit.
func TestLimitOfOneTargetHoldsOverAllNodes(t *testing.T) {
	f, targets := limitedFleet(t)
	limited := targets[0]
	stop := f.callAll(8)
	time.Sleep(time.Second)
	limited.SetRateLimit("1.5")
	time.Sleep(limitContact + 2*limitWindow)
	limited.SetRateLimit("")
	ended := limited.RateLimitedAt()
	time.Sleep(2 * limitWindow)
	after := maxInWindow(limited, ended, time.Now())
	replies := stop()
	most := maxInWindow(limited, ended.Add(-2*limitWindow), ended)
	is := is.New(t)
	t.Logf("%d requests in 4 s, %d allowed; %d in 4 s after the limit ended", most, allowedInWindow(1.5), after)
	is.True(most <= allowedInWindow(1.5))
	is.True(longestGap(limited, ended.Add(-2*limitWindow), ended) <= limitFloor)
	is.True(after > allowedInWindow(1.5))
	for _, r := range replies {
		is.Equal(r.status, http.StatusOK) // the other targets have slots for all
	}
}

// TestLimitsOfAllTargetsHold guards against limits that hold for some targets only, and against requests that wait for
// targets which cannot take them: what the limits don't allow is refused at once, with a time to come back.
func TestLimitsOfAllTargetsHold(t *testing.T) {
	f, targets := limitedFleet(t)
	limits := []string{"0.8", "1", "1.2", "1.5", "2", "3"}
	for i, x := range targets {
		x.SetRateLimit(limits[i])
	}
	stop := f.callAll(6)
	time.Sleep(limitContact + 2*limitWindow)
	replies := stop()
	is := is.New(t)
	for i, x := range targets {
		rate, err := strconv.ParseFloat(limits[i], 64)
		is.NoErr(err)
		most, allowed := maxInWindow(x, x.RateLimitedAt().Add(limitContact), time.Now()), allowedInWindow(rate)
		t.Logf("limit %s: %d requests in 4 s, %d allowed", limits[i], most, allowed)
		is.True(most <= allowed)
		is.True(float64(most) >= rate*limitWindow.Seconds()/2) // what the target takes is used
	}
	served, refused := 0, 0
	for _, r := range replies {
		switch {
		case r.status == http.StatusOK:
			served++
		case r.status == http.StatusServiceUnavailable:
			refused++
			wait, err := strconv.ParseFloat(r.header.Get("Retry-After"), 64)
			is.NoErr(err)
			is.True(wait > 0)
			is.True(r.took < 400*time.Millisecond) // the objective of the route
		default:
			is.Equal(r.status, http.StatusOK)
		}
	}
	t.Logf("%d served, %d refused", served, refused)
	is.True(served > 0)
}

// TestLimitIsUsedAsManyOthersChange guards against a node that does not learn that it is the one to send to a target with a
// limit, since so many limits of other targets change that the log has no line left for this one.
func TestLimitIsUsedAsManyOthersChange(t *testing.T) {
	f := newFleet(t, 3)
	var targets []*standin.Target
	for i := range 12 {
		targets = append(targets, f.limitedTarget(fmt.Sprint("t", i), "desk", fmt.Sprint("h", i%3), "50"))
	}
	f.limitedTarget("clerk-1", "clerk", "h0", "1")
	f.store.Configure(1, []string{"desk", "clerk"}, route("/get/", standin.Repeatable, "desk"), route("/clerk/", standin.Repeatable, "clerk"))
	f.ready(1, 1)
	for _, n := range f.nodes {
		f.eventually(n.name+" has the targets", func() bool { return f.poolTargets(n) == len(targets)+1 })
	}
	stop := f.callEachOf(f.nodes[1:], 150)
	defer stop()
	end := make(chan struct{})
	defer close(end)
	go func() {
		for i := 0; ; i++ {
			select {
			case <-end:
				return
			case <-time.After(20 * time.Millisecond):
			}
			for _, x := range targets {
				x.SetRateLimit([]string{"50", "100"}[i%2])
			}
		}
	}()
	time.Sleep(6 * time.Second) // the nodes have settled, and compute no ranks for other reasons
	is := is.New(t)
	is.Equal(f.call(f.nodes[1], http.MethodGet, "/clerk/x", "first", "").status, http.StatusOK)
	served := false
	for end := time.Now().Add(3 * time.Second); !served && time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		served = f.call(f.nodes[0], http.MethodGet, "/clerk/x", fmt.Sprint("own-", time.Now().UnixNano()), "").status == http.StatusOK
	}
	is.True(served)
}

// limitedTarget starts a target that takes 10 ms for a request and names a limit.
func (f *fleet) limitedTarget(id, service, hall, limit string) *standin.Target {
	f.t.Helper()
	x, err := standin.NewTarget(f.store, id, service, hall, 3, 10*time.Millisecond)
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(x.Close)
	x.SetRateLimit(limit)
	return x
}
