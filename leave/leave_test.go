package leave_test

import (
	"testing"

	"github.com/matryer/is"
	"github.com/tinladder/tinladder/clock"
	"github.com/tinladder/tinladder/leave"
)

var plan = leave.Plan{Grace: 6000}

func TestNext(t *testing.T) {
	none, peers, idle := leave.Conns{}, leave.Conns{All: 2}, leave.Conns{Callers: 1, All: 3}
	for _, c := range []struct {
		name    string
		elapsed clock.Millis
		open    leave.Conns
		want    leave.Step
	}{
		{"callers may come", 0, none, leave.Serve},
		{"until others know", 2699, none, leave.Serve},
		{"nobody is there", 2700, none, leave.End},
		{"a caller rests, with grace left", 2700, idle, leave.StopAccepting},
		{"it still rests", 5039, idle, leave.StopAccepting},
		{"it may not any more", 5040, idle, leave.CloseWhenIdle},
		{"only other nodes rest", 2700, peers, leave.CloseWhenIdle},
		{"something is at work", 5400, idle, leave.RespondPending},
		{"something of another node is", 5400, peers, leave.RespondPending},
		{"nothing is, late", 5400, none, leave.End},
		{"it is time", 5520, idle, leave.End},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(plan.Next(c.elapsed, c.open), c.want)
		})
	}
}

func TestAccepts(t *testing.T) {
	for _, c := range []struct {
		name           string
		elapsed, limit clock.Millis
		want           bool
	}{
		{"early, long", 100, 12_000, true},
		{"before half, long", 2800, 12_000, true},
		{"after it, long", 2900, 3000, false},
		{"after it, short", 2900, 800, true},
		{"late, just in time", 4550, 800, true},
		{"late, just not", 4551, 800, false},
		{"at the end, without a bound", 5800, 0, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(plan.Accepts(c.elapsed, c.limit), c.want)
		})
	}
}

// TestAcceptedRequestsEndInTime: whatever is taken after half of the grace period is over before what is still at work is
// answered, for any grace period and limit.
func TestAcceptedRequestsEndInTime(t *testing.T) {
	is := is.New(t)
	for _, grace := range []clock.Millis{500, 2000, 4000, 6000, 30_000} {
		p := leave.Plan{Grace: grace}
		for elapsed := grace / 2; elapsed <= grace; elapsed += grace / 200 {
			for limit := clock.Millis(0); limit < grace; limit += grace / 100 {
				if p.Accepts(elapsed, limit) {
					is.True(p.Next(elapsed+limit, leave.Conns{Callers: 1, All: 1}) < leave.RespondPending)
				}
			}
		}
	}
}
