package node

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"

	"github.com/tinladder/tinladder/clock"
	"github.com/tinladder/tinladder/ident"
)

// An Outcome tells whether a request without a target's response ran.
type Outcome string

// Outcomes that are sent to callers.
const (
	// NotRun requests have not run and never will.
	NotRun Outcome = "not-run"
	// Unknown requests may have run, or may still be running.
	Unknown Outcome = "unknown"
	// Ran requests ran once, and their response is no longer available.
	Ran Outcome = "ran"
)

// A Problem is an error response of the node itself, in the format of RFC 9457.
type Problem struct {
	Status  int     `json:"status"`
	Title   string  `json:"title"`
	Detail  string  `json:"detail,omitempty"`
	Outcome Outcome `json:"outcome"`
	// RetryAfter is how long the caller should wait before a retry; 0 omits it.
	RetryAfter clock.Millis `json:"retry_after_ms,omitempty"`
	// workspace is the workspace of the request, and limit its requests per second, for the log.
	workspace ident.Workspace
	limit     float64
	// byOrder is set if what is left of the limit is for more urgent requests, for the log.
	byOrder bool
	// fingerprint identifies a request that quarantine holds back, for the log.
	fingerprint string
	// fractionalSeconds is set if the caller accepts fractions of a second in Retry-After.
	fractionalSeconds bool
}

// Write sends the problem as the whole response. RFC 9110 allows only whole seconds in Retry-After, and common clients
// reject others; a header of its own has the exact time.
func (p Problem) Write(w http.ResponseWriter) {
	h := w.Header()
	h.Set("Content-Type", "application/problem+json")
	h.Set(HeaderOutcome, string(p.Outcome))
	if p.RetryAfter > 0 {
		h.Set("Retry-After", p.retryAfter())
		h.Set(HeaderRetryAfterMs, strconv.FormatInt(int64(p.RetryAfter), 10))
	}
	p.Title = http.StatusText(p.Status)
	body, _ := json.Marshal(p) // texts and numbers only
	h.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(p.Status)
	_, _ = w.Write(body)
}

// retryAfter returns the value of Retry-After, rounded up to whole seconds unless the caller accepts fractions.
func (p Problem) retryAfter() string {
	seconds := p.RetryAfter.Duration().Seconds()
	if !p.fractionalSeconds {
		seconds = math.Ceil(seconds)
	}
	return strconv.FormatFloat(seconds, 'f', -1, 64)
}
