package forward

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/tinladder/tinladder/clock"
)

// ErrBadRetryAfter marks values of Retry-After that are neither a number of seconds nor a date.
var ErrBadRetryAfter = errors.New("Retry-After is neither seconds nor a date")

// maxRest bounds the time that a target may ask for.
const maxRest = 1 * time.Hour

// ParseRest reads for how long a target wants no requests of this node, from the header of a response that turns a request
// away: the longest time, if there are several; 0 if it names none. Fractions of seconds are accepted. A date counts from
// the response's own date, since the clocks may differ. The error is ErrBadRetryAfter if a value is malformed.
func ParseRest(h http.Header) (longest clock.Millis, err error) {
	for _, text := range h.Values("Retry-After") {
		rest, err := parseRest(strings.TrimSpace(text), h.Get("Date"))
		if err != nil {
			return 0, err
		}
		longest = max(longest, rest)
	}
	return longest, nil
}

func parseRest(text, date string) (clock.Millis, error) {
	if end, err := http.ParseTime(text); err == nil {
		from, err := http.ParseTime(date)
		if err != nil {
			return 0, errors.Wrapf(ErrBadRetryAfter, "%.32q without the response's date", text)
		}
		return clock.FromDuration(min(max(end.Sub(from), 0), maxRest)), nil
	}
	seconds, err := strconv.ParseFloat(text, 64)
	if err != nil || strings.Trim(text, "0123456789.") != "" {
		return 0, errors.Wrapf(ErrBadRetryAfter, "%.32q", text)
	}
	return clock.Millis(min(seconds, maxRest.Seconds()) * float64(clock.Second)), nil
}
