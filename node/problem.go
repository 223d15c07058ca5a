package node

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"

	"github.com/tinladder/tinladder/clock"
	"github.com/tinladder/tinladder/ident"
)

// An Outcome says of a request without a target's answer whether it ran.
type Outcome string

// Outcomes that callers are told.
const (
	// NotRun requests have not run and never will.
	NotRun Outcome = "not-run"
	// Unknown requests may have run, or may still be running.
	Unknown Outcome = "unknown"
	// Ran requests ran once, and their answer is no longer there.
	Ran Outcome = "ran"
)

// A Problem struct is an answer that a node makes itself, as RFC 9457 has it.
type Problem struct {
	Status  int     `json:"status"`
	Title   string  `json:"title"`
	Detail  string  `json:"detail,omitempty"`
	Outcome Outcome `json:"outcome"`
	// RetryAfter is when it is worth coming back; 0 says nothing of it.
	RetryAfter clock.Millis `json:"retry_after_ms,omitempty"`
	// workspace is in whose name the request came, and limit what it may ask by the second, for the log.
	workspace ident.Workspace
	limit     float64
	// fingerprint names a request that is held back, for the log.
	fingerprint string
	// fractionalSeconds says that the caller reads fractionalSeconds of seconds.
	fractionalSeconds bool
}

// Write sends the problem as the whole answer. RFC 9110 has whole seconds in Retry-After, and common clients
// reject others; the exact time is told beside it.
func (p Problem) Write(w http.ResponseWriter) {
	h := w.Header()
	h.Set("Content-Type", "application/problem+json")
	h.Set(HeaderOutcome, string(p.Outcome))
	if p.RetryAfter > 0 {
		h.Set("Retry-After", p.retryAfter())
		h.Set(HeaderRetryAfterMs, strconv.FormatInt(int64(p.RetryAfter), 10))
	}
	p.Title = http.StatusText(p.Status)
	w.WriteHeader(p.Status)
	_ = json.NewEncoder(w).Encode(p)
}

// retryAfter is the time to come back in seconds, whole ones if the caller reads no others.
func (p Problem) retryAfter() string {
	seconds := p.RetryAfter.Duration().Seconds()
	if !p.fractionalSeconds {
		seconds = math.Ceil(seconds)
	}
	return strconv.FormatFloat(seconds, 'f', -1, 64)
}
