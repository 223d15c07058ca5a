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
		{"accepting callers", 0, none, leave.Serve},
		{"just before accepting ends", 2699, none, leave.Serve},
		{"no connections", 2700, none, leave.End},
		{"idle caller, grace left", 2700, idle, leave.StopAccepting},
		{"idle caller, just before the idle limit", 5039, idle, leave.StopAccepting},
		{"idle caller, at the idle limit", 5040, idle, leave.CloseWhenIdle},
		{"only peers connected", 2700, peers, leave.CloseWhenIdle},
		{"request in progress", 5400, idle, leave.RespondPending},
		{"peer request in progress", 5400, peers, leave.RespondPending},
		{"no connections, late", 5400, none, leave.End},
		{"end of the plan", 5520, idle, leave.End},
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
		{"before the share, long", 2800, 12_000, true},
		{"after the share, long", 2900, 3000, false},
		{"after the share, short", 2900, 800, true},
		{"late, just short enough", 4550, 800, true},
		{"late, just too long", 4551, 800, false},
		{"at the end, no limit", 5800, 0, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(plan.Accepts(c.elapsed, c.limit), c.want)
		})
	}
}

// TestAcceptedRequestsEndInTime checks that each request accepted after half of the grace period, or 3 s, ends before the
// node responds to pending requests, for any grace period and limit: with a long one, requests were accepted and cut off
// that callers had sent when they could have known that the node leaves.
func TestAcceptedRequestsEndInTime(t *testing.T) {
	is := is.New(t)
	for _, grace := range []clock.Millis{500, 2000, 4000, 6000, 8000, 10_000, 30_000, 60_000} {
		p := leave.Plan{Grace: grace}
		for elapsed := min(grace/2, 3*clock.Second); elapsed <= grace; elapsed += grace / 200 {
			for limit := clock.Millis(0); limit < grace; limit += grace / 100 {
				if p.Accepts(elapsed, limit) {
					is.True(p.Next(elapsed+limit, leave.Conns{Callers: 1, All: 1}) < leave.RespondPending)
				}
			}
		}
	}
}
