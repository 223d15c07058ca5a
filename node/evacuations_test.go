package node_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/tinladder/tinladder/platform/standin"
)

// evacuationTimeout is the time within which a hall's targets must stop getting requests after the evacuation.
const evacuationTimeout = 3 * time.Second

// newTwoHallFleet starts a fleet with targets in two halls.
func newTwoHallFleet(t *testing.T) (f *fleet, inHall map[string][]*standin.Target) {
	f = newFleet(t, 6)
	f.calm(1)
	inHall = map[string][]*standin.Target{}
	for i := range 6 {
		hall := fmt.Sprint("h", i%2)
		target, err := standin.NewTarget(f.store, fmt.Sprint("t", i), "desk", hall, 3, 5*time.Millisecond)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(target.Close)
		inHall[hall] = append(inHall[hall], target)
	}
	f.ready(1, 6)
	return f, inHall
}

// arrivals counts the requests that reached the targets.
func arrivals(targets []*standin.Target) (count int) {
	for _, t := range targets {
		count += len(t.Seen())
	}
	return count
}

// sendFor sends requests to all nodes for the duration and returns how many were not served.
func (f *fleet) sendFor(what string, long time.Duration) (unserved int) {
	for i, end := 0, time.Now().Add(long); time.Now().Before(end); i++ {
		if f.call(f.nodes[i%len(f.nodes)], http.MethodGet, "/get/a", fmt.Sprint(what, i), "").status != http.StatusOK {
			unserved++
		}
		time.Sleep(2 * time.Millisecond)
	}
	return unserved
}

// TestEvacuatedHallGetsNothing evacuates a hall under load. The row was not read, so that its targets went on getting requests.
// Nodes that the store refuses, and one that starts later, must respect it too. After the restore the hall gets work again.
func TestEvacuatedHallGetsNothing(t *testing.T) {
	f, inHall := newTwoHallFleet(t)
	f.sendFor("before", 300*time.Millisecond)
	if arrivals(inHall["h0"]) == 0 {
		t.Fatal("the hall got no work before")
	}
	f.nodes[4].door.SetFaults(standin.Faults{Away: standin.Busy})
	f.nodes[5].door.SetFaults(standin.Faults{Away: standin.Silent})
	f.store.Evacuate("h0")
	f.sendFor("soon", evacuationTimeout)
	was := arrivals(inHall["h0"])
	late := f.nodes[3]
	late.stop()
	<-late.node.Done()
	f.start(late)
	f.ready(1, 6)
	if n := f.sendFor("after", 2*time.Second); n > 0 {
		t.Errorf("%d requests were not served by the other hall", n)
	}
	if more := arrivals(inHall["h0"]) - was; more > 0 {
		t.Errorf("the hall got %d requests after it was evacuated", more)
	}
	f.store.Restore("h0")
	f.eventually("the hall gets work again", func() bool {
		f.sendFor("back", 50*time.Millisecond)
		return arrivals(inHall["h0"]) > was
	})
	for _, n := range f.nodes {
		if !strings.Contains(n.log.String(), "event=hall_evacuated") {
			t.Errorf("%s does not tell of it", n.name)
		}
	}
}

// TestEvacuationOutlastsAllNodes restarts all nodes while a hall is evacuated: they must know of it before they serve.
func TestEvacuationOutlastsAllNodes(t *testing.T) {
	f, inHall := newTwoHallFleet(t)
	f.store.Evacuate("h0")
	for _, n := range f.nodes {
		n.node.Close()
		n.stop()
		<-n.node.Done()
	}
	was := arrivals(inHall["h0"])
	for _, n := range f.nodes {
		f.start(n)
	}
	f.sendFor("again", 2*time.Second)
	if more := arrivals(inHall["h0"]) - was; more > 0 {
		t.Errorf("the hall got %d requests", more)
	}
}
