package pool_test

import (
	"testing"

	"github.com/matryer/is"
	"github.com/tinladder/tinladder/ident"
	"github.com/tinladder/tinladder/pool"
)

// TestTargetsOfTheRegionGoFirst has a hall's targets full: what goes elsewhere goes to the other hall of the region while
// that has slots. All other halls cost the same before, and most of what left a hall left its region.
func TestTargetsOfTheRegionGoFirst(t *testing.T) {
	is := is.New(t)
	n := newSingleNode(t, 0, 0)
	var list []pool.Target
	for _, d := range []struct {
		id           string
		near, abroad bool
	}{{"near", true, false}, {"region", false, false}, {"abroad1", false, true}, {"abroad2", false, true}} {
		list = append(list, pool.Target{ID: ident.Target(d.id), Address: d.id, Slots: 1, SameHall: d.near, Assigned: d.near, OtherRegion: d.abroad})
	}
	n.SetTargets(list)
	is.Equal(n.mustAcquire(t, n.request(false)).Target, ident.Target("near"))
	for range 30 {
		l := n.mustAcquire(t, n.request(false))
		is.Equal(l.Target, ident.Target("region"))
		l.Done(pool.Abandoned, false)
	}
}
