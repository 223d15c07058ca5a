package node_test

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/tinladder/tinladder/platform/standin"
)

const (
	// crashPath is the path under which targets crash.
	crashPath = "/get/crash"
	// containmentTime is the time the fleet has to hold such a request back after three targets have crashed. maxLateSends is how
	// often it may be sent after that.
	containmentTime = 3 * time.Second
	maxLateSends    = 3
	// restartDelay is how long a crashed target takes to restart.
	restartDelay = 700 * time.Millisecond
)

// crashingTargets are targets that crash under a path and restart, each time with a new id.
type crashingTargets struct {
	f    *fleet
	list []*standin.Target
	done chan struct{}
	wg   sync.WaitGroup

	mu      sync.Mutex
	crashes []time.Time
	starts  int
}

func newCrashingTargets(f *fleet, count int) *crashingTargets {
	return newTargetsCrashingOn(f, count, crashPath)
}

// newTargetsCrashingOn starts targets that crash under the given path.
func newTargetsCrashingOn(f *fleet, count int, path string) *crashingTargets {
	b := &crashingTargets{f: f, done: make(chan struct{})}
	for i := range count {
		t := f.target(fmt.Sprint("t", i), "desk")
		t.CrashOn(path)
		b.list = append(b.list, t)
	}
	b.wg.Add(1)
	go b.restart()
	f.t.Cleanup(func() {
		close(b.done)
		b.wg.Wait()
	})
	return b
}

// restart records crashes and restarts targets restartDelay later.
func (b *crashingTargets) restart() {
	defer b.wg.Done()
	seen := map[*standin.Target]time.Time{}
	for {
		select {
		case <-b.done:
			return
		case <-time.After(10 * time.Millisecond):
		}
		for _, t := range b.list {
			at := t.CrashedAt()
			if at.IsZero() {
				continue
			}
			if !seen[t].Equal(at) {
				seen[t] = at
				b.mu.Lock()
				b.crashes = append(b.crashes, at)
				b.mu.Unlock()
			}
			if time.Since(at) > restartDelay {
				b.mu.Lock()
				b.starts++
				id := fmt.Sprint("again", b.starts)
				b.mu.Unlock()
				if err := t.Restart(id); err != nil {
					b.f.t.Error(err)
				}
			}
		}
	}
}

// sent returns the times at which targets got requests for the path.
func (b *crashingTargets) sent(path string) []time.Time {
	var list []time.Time
	for _, t := range b.list {
		for _, s := range t.Seen() {
			if sent, _, _ := strings.Cut(s.Path, "?"); sent == path {
				list = append(list, s.At)
			}
		}
	}
	slices.SortFunc(list, time.Time.Compare)
	return list
}

// late counts the requests for the path that reached targets later than containmentTime after the third crash.
func (b *crashingTargets) late(path string) (count int) {
	b.mu.Lock()
	crashes := sortedTimes(b.crashes)
	b.mu.Unlock()
	if len(crashes) < 3 {
		return 0
	}
	for _, at := range b.sent(path) {
		if at.Sub(crashes[2]) > containmentTime {
			count++
		}
	}
	return count
}

// TestRequestThatCrashesTargetsStopsBeingSent repeats a request that crashes each target that runs it, at all nodes. Nodes kept
// no record of the crashes (their attempts ended with outcome=silent, "unexpected EOF"), forwarded it each time, and retried it
// at a second target. All eight targets of a service crashed within 3 s, and 15 sends too many came in one series. Other
// requests must be served meanwhile.
func TestRequestThatCrashesTargetsStopsBeingSent(t *testing.T) {
	f := newFleet(t, 3)
	f.calm(1)
	b := newCrashingTargets(f, 12)
	f.ready(1, 12)
	end := time.Now().Add(8 * time.Second)
	var wg sync.WaitGroup
	wg.Go(func() {
		for i := 0; time.Now().Before(end); i++ {
			f.call(f.nodes[i%3], http.MethodGet, crashPath, fmt.Sprint("crash-", i), "")
			time.Sleep(250 * time.Millisecond)
		}
	})
	served, asked := 0, 0
	for ; time.Now().Before(end); time.Sleep(25 * time.Millisecond) {
		path := "/get/same"
		if asked%2 > 0 {
			path = fmt.Sprint("/get/", asked)
		}
		if f.call(f.nodes[asked%3], http.MethodGet, path, fmt.Sprint("other-", asked), "").status == http.StatusOK {
			served++
		}
		asked++
	}
	wg.Wait()
	if late := b.late(crashPath); late > maxLateSends {
		t.Errorf("it was sent %d times more than %v after the third crash; %d sends, %d crashes in all", late, containmentTime, len(b.sent(crashPath)), len(b.crashes))
	}
	if lost := asked - served; lost*100 > asked {
		t.Errorf("%d of %d other requests were not served", lost, asked)
	}
}

func sortedTimes(list []time.Time) []time.Time {
	return slices.SortedFunc(slices.Values(list), time.Time.Compare)
}
