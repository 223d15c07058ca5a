package node_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/tinladder/tinladder/platform/standin"
)

// TestStatusAloneDoesNotSayNotRun guards against requests that run on more targets than their route allows, and callers who are
// told that nothing ran, since targets fail with a status that asks to come back later.
func TestStatusAloneDoesNotSayNotRun(t *testing.T) {
	const requests, attempts = 20, 2
	for _, status := range []int{http.StatusServiceUnavailable, http.StatusTooManyRequests} {
		for _, kind := range []string{standin.Repeatable, standin.RunOnce} {
			t.Run(fmt.Sprint(kind, " ", status), func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				f := newFleetWith(t, 1, func(int) string { return shortRetryWindow + "slack = 1000\n" })
				var targets []*standin.Target
				for i := range 6 {
					target := f.target(fmt.Sprint("i-", i), "desk")
					target.SetFaults(standin.TargetFaults{Vague: 1, VagueStatus: status})
					targets = append(targets, target)
				}
				r := route("/desk/", kind, "desk")
				r.Attempts = attempts
				f.store.Configure(1, []string{"desk"}, r)
				f.ready(1, len(targets))
				time.Sleep(awaitSlack)
				most := 0
				for i := range requests {
					id := fmt.Sprint("vague-", i)
					got := f.call(f.nodes[0], http.MethodPost, "/desk/", id, "body")
					runs := ran(id, targets...)
					most = max(most, runs)
					is.True(!impliesNotRun(got.status) || runs == 0)
				}
				switch kind {
				case standin.Repeatable:
					is.Equal(most, attempts)
				case standin.RunOnce:
					is.Equal(most, 1)
				}
			})
		}
	}
}
