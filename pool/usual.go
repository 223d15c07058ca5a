package pool

import "github.com/tinladder/tinladder/clock"

// baselineSpan is over how long the usual share of requests that run out of time is averaged, and maxBaselineStep the most time
// that one look at them counts for.
const (
	baselineSpan    = 20 * clock.Second
	maxBaselineStep = 250
)

// A timeoutBaseline struct is the share of requests that run out of time as a rule: some take longer than their route allows,
// wherever they go, and are no sign of trouble. More than that are: where ways are cut or targets turn slow, requests
// end by their time limit only.
type timeoutBaseline struct {
	share float64
	span  clock.Millis
	at    clock.Millis
}

// excess takes in the requests of late, and returns how many more ran out of time than usual.
func (u *timeoutBaseline) excess(s tally, now clock.Millis) float64 {
	asked, late := float64(s.asked), float64(s.unserved-s.failed)
	if asked == 0 {
		return 0
	}
	step := min(now-u.at, maxBaselineStep)
	u.at = now
	u.span = min(u.span+step, baselineSpan)
	u.share += (late/asked - u.share) * float64(step) / float64(max(u.span, 1))
	return max(late-u.share*asked, 0)
}
