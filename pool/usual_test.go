package pool_test

import (
	"testing"

	"github.com/matryer/is"
	"github.com/tinladder/tinladder/clock"
	"github.com/tinladder/tinladder/ident"
	"github.com/tinladder/tinladder/pool"
	tlv1 "github.com/tinladder/tinladder/schema/tinladder/v1"
)

// Ways from some nodes to some targets were cut, and what they had there ran out of time: of 443 requests of a service 55
// were not served, 13 of them by their time limit and 14 of them trials. Only the other 28 counted as trouble, so that
// nearly all targets were given work from 1.4 s later on than a tenth was not served. By then two seconds were over in
// which six of eleven sound targets had none (`event=targets_idle` first at 14.55 s, a tenth not served from 13.1 s on).

// TestTimeLimitsBeyondTheUsualAreTrouble has 2 of 100 requests fail and some run out of time. Where these are as many as
// ever that is no trouble; where they are more, it is.
func TestTimeLimitsBeyondTheUsualAreTrouble(t *testing.T) {
	for _, c := range []struct {
		name               string
		before, late, fail uint32
		deep               bool
	}{
		{name: "as many as ever", before: 50, late: 50, fail: 10},
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
