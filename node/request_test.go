package node_test

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/tinladder/tinladder/platform"
	"github.com/tinladder/tinladder/platform/standin"
)

func TestRequestReachesTargetUnchanged(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 1)
	target := f.target("i-1", "desk")
	f.calm(3)
	f.ready(3, 1)
	r := f.call(f.nodes[0], http.MethodPost, "/get/a%2Fb?x=1&y=%20", "id-1", "the body")
	is.Equal(r.status, http.StatusOK)
	is.Equal(r.body, "answer to id-1")
	is.Equal(r.header.Get(standin.Signature), "id-1")
	is.Equal(r.header.Get("X-Request-Id"), "id-1")
	seen := target.Seen()
	is.Equal(len(seen), 1)
	is.Equal(seen[0].Method, http.MethodPost)
	is.Equal(seen[0].Path, "/get/a%2Fb?x=1&y=%20")
	is.Equal(seen[0].Host, "shop")
	is.Equal(seen[0].Body, "the body")
	is.True(seen[0].Deadline > 0 && seen[0].Deadline <= 1000) // the route's time, not the caller's
}

func TestRouting(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 1)
	n := f.nodes[0]
	r := f.call(n, http.MethodGet, "/get/1", "early", "")
	is.Equal(r.status, http.StatusServiceUnavailable) // no desired state yet
	is.True(r.header.Get("Retry-After") != "")
	is.Equal(f.status(n.readiness, platform.ReadyPath), http.StatusServiceUnavailable)

	desk, clerk := f.target("i-1", "desk"), f.target("i-2", "clerk")
	f.store.Configure(2, []string{"desk", "clerk"}, route("/", standin.Repeatable, "desk"), route("/deep/", standin.Repeatable, "clerk"))
	f.ready(2, 2)
	is.Equal(f.call(n, http.MethodGet, "/deep/x", "1", "").status, http.StatusOK)
	is.Equal(f.call(n, http.MethodGet, "/deeper", "2", "").status, http.StatusOK)
	is.Equal(ran("1", clerk), 1)
	is.Equal(ran("2", desk), 1)
	f.store.Configure(3, []string{"desk"}, route("/other/", standin.Repeatable, "desk"))
	f.ready(3, 2)
	is.Equal(f.call(n, http.MethodGet, "/deep/x", "3", "").status, http.StatusNotFound)
}

// TestRunOnce has the only target misbehave in each way, and checks the caller's response and how often the request ran.
func TestRunOnce(t *testing.T) {
	f := newFleet(t, 1)
	cases := []struct {
		name   string
		faults standin.TargetFaults
		// status is what the caller gets, ran how often the request ran.
		status, ran int
	}{
		{"sound", standin.TargetFaults{}, http.StatusOK, 1},
		{"fails", standin.TargetFaults{Fail: 1}, http.StatusInternalServerError, 1},
		{"sheds", standin.TargetFaults{Shed: 1}, http.StatusServiceUnavailable, 0},
		{"runs it and says 503", standin.TargetFaults{Vague: 1}, http.StatusBadGateway, 1},
		{"runs it and resets", standin.TargetFaults{Lose: 1}, http.StatusBadGateway, 1},
		{"hangs", standin.TargetFaults{Hang: 1}, http.StatusGatewayTimeout, 1},
		{"cuts the answer", standin.TargetFaults{Cut: 1}, http.StatusBadGateway, 1},
		{"answers rubbish", standin.TargetFaults{Garbage: 1}, http.StatusBadGateway, 1},
		{"answers without a length", standin.TargetFaults{Unframed: 1}, http.StatusOK, 1},
		{"answers twice", standin.TargetFaults{Extra: 1}, http.StatusOK, 1},
	}
	for i, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			service := fmt.Sprint("s", i)
			target := f.target(fmt.Sprint("i-", i), service)
			f.store.Configure(uint64(10+i), []string{service}, route("/once/", standin.RunOnce, service))
			f.ready(10+i, i+1)
			target.SetFaults(c.faults)
			r := f.call(f.nodes[0], http.MethodPost, "/once/", "x", "pay")
			is.Equal(r.status, c.status)
			is.Equal(ran("x", target), c.ran)
			if impliesNotRun(r.status) {
				is.Equal(ran("x", target), 0)
			}
			is.True(r.took < 1300*time.Millisecond) // the route's timeout and some margin
		})
	}
}

// impliesNotRun reports whether the status implies that the request has not run.
func impliesNotRun(status int) bool {
	return status == http.StatusRequestTimeout || status == http.StatusMisdirectedRequest ||
		status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable
}

// TestRunOnceFindsAnotherTargetAfterAPromise has one target shed all requests, and another instance take over the address
// of a second one. Both declare that requests have not run, so that each runs once on the third.
func TestRunOnceFindsAnotherTargetAfterAPromise(t *testing.T) {
	is := is.New(t)
	f := newFleetWith(t, 1, func(int) string { return shortRetryWindow })
	sheds, replaced, good := f.target("i-1", "desk"), f.target("i-2", "desk"), f.target("i-3", "desk")
	f.calm(3)
	f.ready(3, 3)
	time.Sleep(awaitSlack)
	sheds.SetFaults(standin.TargetFaults{Shed: 1})
	replaced.Replace("i-9")
	for i := range 12 {
		id := fmt.Sprint("x", i)
		r := f.call(f.nodes[0], http.MethodPost, "/once/", id, "pay")
		is.Equal(r.status, http.StatusOK)
		is.Equal(ran(id, sheds, replaced, good), 1)
	}
	arrivals := 0
	for _, s := range replaced.Seen() {
		if s.At.Before(time.Now()) {
			arrivals++
		}
	}
	is.True(arrivals <= 1) // no further requests are sent to it
}

func TestRepeatableIsTriedElsewhere(t *testing.T) {
	is := is.New(t)
	f := newFleetWith(t, 1, func(int) string { return shortRetryWindow })
	bad, good := f.target("i-1", "desk"), f.target("i-2", "desk")
	f.calm(3)
	f.ready(3, 2)
	time.Sleep(awaitSlack)
	for _, faults := range []standin.TargetFaults{{Fail: 1}, {Lose: 1}, {Cut: 1}, {Garbage: 1}} {
		bad.SetFaults(faults)
		for i := range 5 {
			r := f.call(f.nodes[0], http.MethodGet, "/get/", fmt.Sprint("x", i), "")
			is.Equal(r.status, http.StatusOK)
			is.Equal(r.body, fmt.Sprint("answer to x", i))
		}
		time.Sleep(50 * time.Millisecond)
	}
	_ = good
}

// TestAnswersStayWithTheirRequests sends concurrent requests through targets whose responses are duplicated, late,
// truncated or garbage. No caller may get another's response, or a truncated one as complete.
func TestAnswersStayWithTheirRequests(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 1)
	targets := []*standin.Target{f.target("i-1", "desk"), f.target("i-2", "desk"), f.target("i-3", "desk")}
	f.calm(3)
	f.ready(3, 3)
	for _, target := range targets {
		target.SetFaults(standin.TargetFaults{Extra: 0.1, Late: 0.1, Cut: 0.05, Garbage: 0.05, Unframed: 0.05, Fail: 0.05, Lose: 0.05})
	}
	var mu sync.Mutex
	served, crossed := 0, []string{}
	var wg sync.WaitGroup
	for w := range 8 {
		wg.Go(func() {
			for i := range 60 {
				id := fmt.Sprintf("w%d-%d", w, i)
				path, method := "/get/", http.MethodGet
				if i%2 == 0 {
					path, method = "/once/", http.MethodPost
				}
				r := f.call(f.nodes[0], method, path, id, "")
				mu.Lock()
				if r.status == http.StatusOK && !r.broken {
					served++
					if r.body != "answer to "+id || r.header.Get(standin.Signature) != id {
						crossed = append(crossed, id+" got "+r.body)
					}
				}
				if impliesNotRun(r.status) && ran(id, targets...) > 0 {
					crossed = append(crossed, id+" ran and was told that it had not")
				}
				if method == http.MethodPost && ran(id, targets...) > 1 {
					crossed = append(crossed, id+" ran twice")
				}
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	is.Equal(crossed, []string{})
	is.True(served > 240)
}

// TestBudgetHoldsOverTheFleet has all targets of a service fail under load on all nodes. Retries stay within the fleet's
// budget, and make use of it.
func TestBudgetHoldsOverTheFleet(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 4)
	targets := []*standin.Target{f.target("i-1", "desk"), f.target("i-2", "desk"), f.target("i-3", "desk"), f.target("i-4", "desk")}
	f.calm(3)
	f.ready(3, 4)
	for _, target := range targets {
		target.SetFaults(standin.TargetFaults{Fail: 0.8, Shed: 0.1})
	}
	const requests = 600
	var wg sync.WaitGroup
	for w := range 4 {
		wg.Go(func() {
			for i := range requests / 4 {
				f.call(f.nodes[w], http.MethodGet, "/get/", fmt.Sprintf("w%d-%d", w, i), "")
			}
		})
	}
	wg.Wait()
	arrivals := 0
	for _, target := range targets {
		arrivals += len(target.Seen())
	}
	more := arrivals - requests
	t.Logf("%d further arrivals of %d requests", more, requests)
	is.True(more <= requests/5+60) // the settings' ratio and slack
	is.True(more > requests/10)    // the budget is used
}

// TestSilentTargetIsHedged has one of two targets stop responding. Repeatable requests are served by the other one well
// before the route's timeout, and the connections to the silent one are closed. Run-once requests are never sent twice.
func TestSilentTargetIsHedged(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 1)
	targets := []*standin.Target{f.target("i-1", "desk"), f.target("i-2", "desk")}
	f.calm(3)
	f.ready(3, 2)
	for i := range 30 {
		is.Equal(f.call(f.nodes[0], http.MethodGet, "/get/", fmt.Sprint("warm", i), "").status, http.StatusOK)
	}
	targets[0].SetFaults(standin.TargetFaults{Hang: 1})
	i := 0
	f.eventually("a request went to the silent target", func() bool { // an idle target is tried after 1.5 s
		i++
		id := fmt.Sprint("get", i)
		r := f.call(f.nodes[0], http.MethodGet, "/get/", id, "")
		is.Equal(r.status, http.StatusOK)
		is.Equal(r.body, "answer to "+id)
		is.True(r.took < 600*time.Millisecond) // the route would hold it for a second
		is.True(ran(id, targets...) <= 2)
		return ran(id, targets[0]) == 1
	})
	f.eventually("the silent target's connections have ended", func() bool { return targets[0].Open() == 0 })
	for i := range 10 {
		id := fmt.Sprint("once", i)
		f.call(f.nodes[0], http.MethodPost, "/once/", id, "pay")
		is.True(ran(id, targets...) <= 1)
	}
}

// TestHedgesKeepToTheBudget has all targets stop responding under load, so that each request would be hedged. Hedges stay
// within the fleet's budget, and no request goes to more targets than its route allows.
func TestHedgesKeepToTheBudget(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 2)
	var targets []*standin.Target
	for i := range 6 {
		targets = append(targets, f.target(fmt.Sprint("i-", i), "desk"))
	}
	f.calm(3)
	f.ready(3, len(targets))
	for i := range 60 { // until latencies are known
		f.call(f.nodes[i%2], http.MethodGet, "/get/", fmt.Sprint("warm", i), "")
	}
	for _, target := range targets {
		target.SetFaults(standin.TargetFaults{Hang: 1})
	}
	const workers, requests = 6, 240
	var wg sync.WaitGroup
	for w := range workers {
		wg.Go(func() {
			for i := range requests / workers {
				f.callWithin(f.nodes[w%2], http.MethodGet, "/get/", fmt.Sprintf("w%d-%d", w, i), "", 80)
			}
		})
	}
	wg.Wait()
	more, arrived := 0, map[string]bool{} // requests that are refused in the queue never arrive
	for _, target := range targets {
		for _, s := range target.Seen() {
			if strings.HasPrefix(s.ID, "w") && !strings.HasPrefix(s.ID, "warm") {
				if arrived[s.ID] {
					more++
				}
				arrived[s.ID] = true
			}
		}
	}
	t.Logf("%d further arrivals of %d requests", more, requests)
	is.True(more <= (requests+60)/5+60) // the settings' ratio and slack
	is.True(more > 0)
	for w := range workers {
		for i := range requests / workers {
			is.True(ran(fmt.Sprintf("w%d-%d", w, i), targets...) <= 2)
		}
	}
}

// TestLeavingWaitsForHedgedRequests stops a node while its requests wait at a silent target. Each gets a response, and no
// connection is cut.
func TestLeavingWaitsForHedgedRequests(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 1)
	targets := []*standin.Target{f.target("i-1", "desk"), f.target("i-2", "desk")}
	f.calm(3)
	f.ready(3, 2)
	targets[0].SetFaults(standin.TargetFaults{Hang: 1})
	var wg sync.WaitGroup
	var mu sync.Mutex
	broken := 0
	for i := range 12 {
		wg.Go(func() {
			r := f.call(f.nodes[0], http.MethodGet, "/get/", fmt.Sprint("x", i), "")
			mu.Lock()
			defer mu.Unlock()
			if r.broken {
				broken++
			}
		})
	}
	f.eventually("the targets have requests", func() bool { return len(targets[0].Seen()) > 0 })
	f.nodes[0].stop()
	wg.Wait()
	is.Equal(broken, 0)
}

// TestDeadlineIsPassedOn sends requests with a short deadline, which the target gets and the node enforces.
func TestDeadlineIsPassedOn(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 1)
	target := f.target("i-1", "desk")
	f.calm(3)
	f.ready(3, 1)
	r := f.callWithin(f.nodes[0], http.MethodGet, "/get/", "short", "", 300)
	is.Equal(r.status, http.StatusOK)
	is.True(target.Seen()[0].Deadline <= 300)
	target.SetFaults(standin.TargetFaults{Hang: 1})
	r = f.callWithin(f.nodes[0], http.MethodGet, "/get/", "late", "", 300)
	is.Equal(r.status, http.StatusGatewayTimeout)
	is.True(r.took < 450*time.Millisecond)
}

// TestCallerThatLeavesEndsItsRequest closes a caller's connection while a target works on its repeatable request, which
// ends well before the route's timeout.
func TestCallerThatLeavesEndsItsRequest(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 1)
	target := f.target("i-1", "desk")
	f.calm(3)
	f.ready(3, 1)
	target.SetFaults(standin.TargetFaults{Hang: 1})
	c, err := net.Dial("tcp", f.nodes[0].callers)
	is.NoErr(err)
	_, err = fmt.Fprint(c, rawGet("gone"))
	is.NoErr(err)
	f.eventually("the target has it", func() bool { return ran("gone", target) == 1 })
	is.NoErr(c.Close())
	left := time.Now()
	f.eventually("the request has ended", func() bool {
		return strings.Contains(f.nodes[0].log.String(), "the caller left") && strings.Contains(f.nodes[0].log.String(), "request=gone")
	})
	is.True(time.Since(left) < 400*time.Millisecond) // the route would hold it for a second
}

// TestCallerThatLeavesEndsBothAttempts closes a caller's connection while a hedged request waits at two silent targets.
// Both attempts end, and no target gets the request later.
func TestCallerThatLeavesEndsBothAttempts(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 1)
	targets := []*standin.Target{f.target("i-1", "desk"), f.target("i-2", "desk"), f.target("i-3", "desk")}
	f.calm(3)
	f.ready(3, 3)
	for i := range 30 {
		f.call(f.nodes[0], http.MethodGet, "/get/", fmt.Sprint("warm", i), "")
	}
	for _, target := range targets {
		target.SetFaults(standin.TargetFaults{Hang: 1})
	}
	c, err := net.Dial("tcp", f.nodes[0].callers)
	is.NoErr(err)
	_, err = fmt.Fprint(c, rawGet("gone"))
	is.NoErr(err)
	f.eventually("two targets have it", func() bool { return ran("gone", targets...) == 2 })
	is.NoErr(c.Close())
	left := time.Now()
	f.eventually("the targets' connections have ended", func() bool {
		open := 0
		for _, target := range targets {
			open += target.Working()
		}
		return open == 0
	})
	is.True(time.Since(left) < 400*time.Millisecond) // the route would hold it for a second
	time.Sleep(300 * time.Millisecond)
	is.Equal(ran("gone", targets...), 2)
}

// TestCallerThatLeavesTheQueue closes the connection of a run-once request that waits for a slot. It must not be sent
// when a slot becomes free.
func TestCallerThatLeavesTheQueue(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 1)
	target := f.target("i-1", "desk")
	f.calm(3)
	f.ready(3, 1)
	target.SetFaults(standin.TargetFaults{Hang: 1})
	var wg sync.WaitGroup
	const full = 4 // its slots and its own queue
	for i := range full {
		wg.Go(func() { f.callWithin(f.nodes[0], http.MethodPost, "/once/", fmt.Sprint("held", i), "pay", 700) })
	}
	f.eventually("the target is full", func() bool { return len(target.Seen()) == full })
	c, err := net.Dial("tcp", f.nodes[0].callers)
	is.NoErr(err)
	h := platform.Headers()
	_, err = fmt.Fprintf(c, "POST /once/ HTTP/1.1\r\nHost: shop\r\nContent-Length: 3\r\n%s: queued\r\n%s: 3000\r\n\r\npay", h.RequestID, h.Deadline)
	is.NoErr(err)
	time.Sleep(100 * time.Millisecond)
	is.Equal(len(target.Seen()), full)
	is.NoErr(c.Close())
	wg.Wait()
	time.Sleep(300 * time.Millisecond)
	is.Equal(len(target.Seen()), full)
}

func TestLimitsOfTheDesiredState(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 1)
	target := f.target("i-1", "desk")
	f.calm(3)
	f.ready(3, 1)
	r := f.call(f.nodes[0], http.MethodPost, "/get/", "big", strings.Repeat("x", 1<<20+1))
	is.Equal(r.status, http.StatusRequestEntityTooLarge)
	is.Equal(ran("big", target), 0)
	r = f.call(f.nodes[0], http.MethodPost, "/get/", "allowed", strings.Repeat("x", 1<<20))
	is.Equal(r.status, http.StatusOK)
	is.Equal(len(target.Seen()[0].Body), 1<<20)
}

// TestHeaderLimitOfTheDesiredState sends headers just below and above the bound of 16 KB.
func TestHeaderLimitOfTheDesiredState(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 1)
	target := f.target("i-1", "desk")
	f.calm(3)
	f.ready(3, 1)
	for _, c := range []struct{ bytes, status, ran int }{{16_000, http.StatusOK, 1}, {17_000, http.StatusRequestHeaderFieldsTooLarge, 0}} {
		id := fmt.Sprint("h", c.bytes)
		req, err := http.NewRequest(http.MethodGet, "http://"+f.nodes[0].callers+"/get/", nil)
		is.NoErr(err)
		req.Host = "shop"
		req.Header.Set("X-Request-Id", id)
		req.Header.Set("X-Pad", strings.Repeat("x", c.bytes))
		res, err := f.http.Do(req)
		is.NoErr(err)
		_ = res.Body.Close()
		is.Equal(res.StatusCode, c.status)
		is.Equal(ran(id, target), c.ran)
	}
}

// TestIdleTimeFollowsTheState changes the desired state's idle timeout while a caller's connection is open. The new value
// applies to that connection.
func TestIdleTimeFollowsTheState(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 1)
	f.target("i-1", "desk")
	idle := func(version int, time string) {
		row := strings.Replace(string(standin.StateRow(uint64(version), []string{"desk"}, route("/get/", standin.Repeatable, "desk"))), `"15000ms"`, `"`+time+`"`, 1)
		f.store.Put("op", "config", []byte(row))
		f.ready(version, 1)
	}
	idle(3, "60s")
	c, err := net.Dial("tcp", f.nodes[0].callers)
	is.NoErr(err)
	defer func() { _ = c.Close() }()
	idle(4, "200ms")
	buf := make([]byte, 4096)
	for range 2 {
		_, err = fmt.Fprint(c, rawGet("x"))
		is.NoErr(err)
		_, err = c.Read(buf)
		is.NoErr(err)
		time.Sleep(100 * time.Millisecond)
	}
	_ = c.SetReadDeadline(time.Now().Add(2 * time.Second))
	start := time.Now()
	_, err = c.Read(buf)
	is.True(err != nil)
	is.True(time.Since(start) < time.Second) // the node closed it
}
