package pool_test

import (
	"context"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"github.com/tinladder/tinladder/clock"
	"github.com/tinladder/tinladder/ident"
	"github.com/tinladder/tinladder/pool"
	"github.com/tinladder/tinladder/pool/fair"
	tlv1 "github.com/tinladder/tinladder/schema/tinladder/v1"
	"google.golang.org/protobuf/proto"
)

// newFairNode returns a node with fair shares, and ten slots at two targets.
func newFairNode() *node {
	n := &node{clock: clock.NewManual(1000), name: ident.Process{Node: "n1", Incarnation: 1}, silent: true}
	tuning := pool.DefaultTuning
	tuning.FairShares, tuning.Hold = true, 1000 // nothing is given to targets' own queues
	b := pool.NewRetryBudget(n.clock, rand.New(rand.NewPCG(3, 4)), 0.2, 100, 10*clock.Second)
	n.Pool = pool.New(tuning, n.clock, rand.New(rand.NewPCG(1, 2)), b, n.onChange, n.onEvent)
	n.SetTargets(targets(2, 5))
	return n
}

// of returns a request of the workspace.
func (n *node) of(w ident.Workspace) *pool.Request {
	a := n.request(false)
	a.Workspace, a.Work = w, 200
	return a
}

// fill has the workspace take free slots, and wait for as many more as it may.
func (n *node) fill(t *testing.T, w ident.Workspace, slots, waiting int) (leases []*pool.Lease, refused chan error) {
	t.Helper()
	for range slots {
		leases = append(leases, n.mustAcquire(t, n.of(w)))
	}
	refused = make(chan error, waiting)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	for range waiting {
		before := n.Stats().Waiting
		go func() {
			l, err := n.Acquire(ctx, n.of(w))
			if err != nil {
				refused <- err
				return
			}
			l.Done(pool.Good, false)
		}()
		for n.Stats().Waiting == before && len(refused) == 0 {
			time.Sleep(100 * time.Microsecond)
		}
	}
	return leases, refused
}

// TestLightWorkspaceIsNotRefusedForAHeavyQueue has one workspace fill a service until it is refused: another one is not, and
// has the next slot.
func TestLightWorkspaceIsNotRefusedForAHeavyQueue(t *testing.T) {
	is := is.New(t)
	n := newFairNode()
	leases, refused := n.fill(t, "heavy", 10, 150)
	var busy *pool.BusyError
	is.True(errors.As(<-refused, &busy)) // no target could serve it in time
	got := make(chan *pool.Lease, 1)
	go func() {
		l, err := n.Acquire(context.Background(), n.of("light"))
		is.NoErr(err)
		got <- l
	}()
	for !slices.ContainsFunc(n.Holders(), func(h fair.Holder) bool { return h.Workspace == "light" && h.Waiting == 1 }) {
		time.Sleep(100 * time.Microsecond)
	}
	n.clock.Advance(30)
	_, err := n.Acquire(context.Background(), n.of("heavy"))
	is.True(errors.As(err, &busy))
	is.True(n.Stats().ShareRefused > 0)
	leases[0].Done(pool.Good, false)
	(<-got).Done(pool.Good, false)
}

// TestWaitersBeyondAShareAreRefusedOnceThatIsKnown has another node claim half of the room while the queue of a workspace is
// as long as all of it can serve: who comes too late by now hears it now.
func TestWaitersBeyondAShareAreRefusedOnceThatIsKnown(t *testing.T) {
	is := is.New(t)
	n := newFairNode()
	_, refused := n.fill(t, "heavy", 10, 80)
	is.Equal(len(refused), 0)
	n.clock.Advance(30)
	other := []*tlv1.Claim{{Workspace: "other", Waiting: 10}}
	n.ApplyReport(ident.Process{Node: "n2"}, &tlv1.Report{Seq: 1, Heaviest: other})
	err := <-refused
	var busy *pool.BusyError
	is.True(errors.As(err, &busy))
	is.True(n.Stats().Waiting > 20) // those in front can be served
}

// TestHeldWorkspaceIsReported has a workspace be held to its share, and then not any more.
func TestHeldWorkspaceIsReported(t *testing.T) {
	is := is.New(t)
	n := newFairNode()
	n.fill(t, "heavy", 10, 20)
	told := func(seq uint64, c ...*tlv1.Claim) {
		n.clock.Advance(30)
		n.ApplyReport(ident.Process{Node: "n2"}, &tlv1.Report{Seq: seq, Heaviest: c})
	}
	for i := range uint64(30) {
		told(i, &tlv1.Claim{Workspace: "other", Waiting: 4})
	}
	is.Equal(len(n.events), 1)
	e := n.events[0]
	is.Equal(e.Kind, pool.WorkspaceHeld)
	is.Equal(e.Workspace.Workspace, ident.Workspace("heavy"))
	is.Equal(e.Workspace.InFlight, 10)
	is.Equal(n.Stats().HeldWorkspaces, 1)
	for i := range uint64(50) {
		told(30 + i)
	}
	is.Equal(len(n.events), 2)
	is.Equal(n.events[1].Kind, pool.WorkspaceReleased)
	is.Equal(n.Stats().HeldWorkspaces, 0)
}

// TestCalmReportsNameNoWorkspace has requests in flight and none that waits: reports are as without fair shares. Once one
// waits they name four workspaces at most, until it does no longer.
func TestCalmReportsNameNoWorkspace(t *testing.T) {
	is := is.New(t)
	n := newFairNode()
	for _, w := range []ident.Workspace{"a", "b", "c", "d", "e", "f"} {
		n.fill(t, w, 1, 0)
	}
	r := n.Report(true)
	is.True(r.GetHeaviest() == nil && r.GetOthers() == nil)
	calm := proto.Size(r)
	leases, _ := n.fill(t, "a", 4, 1)
	r = n.Report(true)
	is.Equal(len(r.GetHeaviest()), 4)
	is.Equal(r.GetOthers().GetWorkspaces(), uint32(2))
	is.True(proto.Size(r) <= calm+120)
	leases[0].Done(pool.Good, false)
	for n.Stats().Waiting > 0 {
		time.Sleep(100 * time.Microsecond)
	}
	is.True(n.Report(true).GetHeaviest() == nil)
}

// TestNodeWithWaitersOnlyTellsThem has a node with nothing in flight, and a request that waits since others have all slots:
// without a report of it no other node would leave a slot.
func TestNodeWithWaitersOnlyTellsThem(t *testing.T) {
	is := is.New(t)
	n := newFairNode()
	full := []*tlv1.Seen{{Target: "a", InFlight: 5, OkMs: 1, FailedMs: -1}, {Target: "b", InFlight: 5, OkMs: 1, FailedMs: -1}}
	n.ApplyReport(ident.Process{Node: "n2"}, &tlv1.Report{Seq: 1, Seen: full})
	n.Report(false)
	is.Equal(n.Report(false), nil)
	n.fill(t, "a", 0, 1)
	is.Equal(n.Report(false).GetHeaviest()[0].GetWaiting(), uint32(1))
	for told := false; !told; time.Sleep(100 * time.Microsecond) { // the daemon is to report
		n.mu.Lock()
		told = len(n.changes) > 0
		n.mu.Unlock()
	}
}

// TestOldReportsLeaveSharesAlone has a node of before the change report: nothing is known of its workspaces, and a request
// finds its slot.
func TestOldReportsLeaveSharesAlone(t *testing.T) {
	is := is.New(t)
	n := newFairNode()
	n.ApplyReport(ident.Process{Node: "n2"}, &tlv1.Report{Seen: []*tlv1.Seen{{Target: "a", InFlight: 5, OkMs: 1, FailedMs: -1}}})
	is.Equal(len(n.Holders()), 0)
	is.True(n.TryAcquire(n.of("a")) != nil)
}
