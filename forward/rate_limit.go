package forward

import (
	"net/http"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

// ErrBadRateLimit marks rate limits that are not decimal numbers.
var ErrBadRateLimit = errors.New("rate limit is not a decimal number")

// RateLimit is what a response says of the rate at which its target takes requests from all nodes together.
type RateLimit struct {
	// Named says that the target limits its requests.
	Named bool
	// PerSecond is in requests a second; 0 if the target takes none.
	PerSecond float64
}

// maxRateLimitText bounds the length of a number, against ones that cost time to parse.
const maxRateLimitText = 32

// ParseRateLimit reads the target's rate limit from a response's header: the lowest one, if there are several. The error
// is ErrBadRateLimit if one is malformed.
func (n Headers) ParseRateLimit(h http.Header) (RateLimit, error) {
	var l RateLimit
	if n.RateLimit == "" {
		return l, nil
	}
	for _, line := range h.Values(n.RateLimit) {
		for text := range strings.SplitSeq(line, ",") {
			rate, err := parseRate(strings.TrimSpace(text))
			if err != nil {
				return RateLimit{}, err
			}
			if !l.Named || rate < l.PerSecond {
				l = RateLimit{Named: true, PerSecond: rate}
			}
		}
	}
	return l, nil
}

// parseRate accepts digits with an optional fraction. ParseFloat alone also takes signs, exponents, "inf" and "nan".
func parseRate(text string) (float64, error) {
	if text == "" || len(text) > maxRateLimitText || strings.Trim(text, "0123456789.") != "" {
		return 0, errors.Wrapf(ErrBadRateLimit, "%.32q", text)
	}
	rate, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return 0, errors.Wrapf(ErrBadRateLimit, "%.32q", text)
	}
	return rate, nil
}
