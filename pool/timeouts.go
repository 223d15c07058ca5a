package pool

import "github.com/tinladder/tinladder/clock"

// baselineSpan is the time over which the usual share of timeouts is averaged, maxBaselineStep the most time that
// one sample counts for.
const (
	baselineSpan    = 20 * clock.Second
	maxBaselineStep = 250
)

// timeoutBaseline is the usual share of requests that time out: some take longer than their route allows at any
// target, and are no sign of trouble. More than that are: where network paths are broken or targets become slow,
// requests end by their time limit only.
type timeoutBaseline struct {
	share float64
	span  clock.Millis
	at    clock.Millis
}

// excess updates the baseline with the recent requests, and returns how many more of them timed out than usual.
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
