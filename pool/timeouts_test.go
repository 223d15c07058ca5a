package pool_test

import (
	"testing"

	"github.com/matryer/is"
	"github.com/tinladder/tinladder/clock"
	"github.com/tinladder/tinladder/ident"
	"github.com/tinladder/tinladder/pool"
	tlv1 "github.com/tinladder/tinladder/schema/tinladder/v1"
)

// Timeouts on broken network paths count as trouble as far as there are more of them than usual. If only other
// failures counted, deep trouble would show late: of 443 requests 55 were not served, 13 by their time limit and 14
// of them trials, the other 28 were too few, and deep trouble showed 1.4 s after a tenth was not served. By then
// six of eleven healthy targets had no work for two seconds.

// TestTimeoutsAboveTheBaselineAreTrouble has 2 of 100 requests fail and some time out. If as many time out as
// before, that is no trouble; if more do, it is.
func TestTimeoutsAboveTheBaselineAreTrouble(t *testing.T) {
	for _, c := range []struct {
		name               string
		before, late, fail uint32
		deep               bool
	}{
		{name: "as many as before", before: 50, late: 50, fail: 10},
		{name: "some more", before: 10, late: 25, fail: 10},
		{name: "many more", before: 10, late: 55, fail: 10, deep: true},
		{name: "many, and failures", before: 0, late: 20, fail: 35, deep: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			n := newSingleNode(t, 10, 3)
			peer := ident.Process{Node: "n2", Incarnation: 1}
			play := func(late uint32, span clock.Millis) (deep int) {
				for from := n.clock.Now(); n.clock.Now()-from < span; n.clock.Advance(50) {
					n.ApplyReport(peer, &tlv1.Report{Asked: 500, Unserved: late + c.fail, Failed: c.fail})
					l := n.mustAcquire(t, n.request(false))
					l.Done(pool.Good, false)
					if _, is := n.IdleTargets(); is {
						deep++
					}
				}
				return deep
			}
			is.Equal(play(c.before, 20*clock.Second), 0)
			is.Equal(play(c.late, clock.Second) > 10, c.deep)
		})
	}
}
