package forward

import (
	"net/http"
	"net/textproto"
	"strings"
)

// Headers holds the names of the headers that callers and targets use, and options of their protocol.
type Headers struct {
	// RequestID identifies a request and its response.
	RequestID string
	// Deadline is the remaining time, in milliseconds, after which a response is of no use.
	Deadline string
	// Instance names the only target that may run the request.
	Instance string
	// Workspace tells targets the workspace on whose behalf a request runs. Callers cannot set it.
	Workspace string
	// Key carries the API key of the caller's workspace. It is not forwarded to targets.
	Key string
	// NotRun is set on responses of targets that did not run the request.
	NotRun string
	// Leaving is set on responses of targets that are shutting down; 0 says that the target is not.
	Leaving string
	// RateLimit is set on responses of targets that limit the rate of requests from all nodes together.
	RateLimit string
	// IDOptional allows responses without a request id.
	IDOptional bool
	// FractionalRetryAfter says that callers accept fractions of a second in Retry-After.
	FractionalRetryAfter bool
	// NotRunStatuses says that the statuses 408, 421, 429 and 503 mean to callers that a request was not run.
	NotRunStatuses bool
	// ParseLoad reads a target's load from a response's header. It is nil if targets report none.
	ParseLoad func(h http.Header) (Load, bool)
	// SetForwarded says that requests to targets carry Forwarded headers.
	SetForwarded bool
}

// SaysLeaving reports whether a response's header says that the target is shutting down.
func (n Headers) SaysLeaving(h http.Header) bool {
	if n.Leaving == "" {
		return false
	}
	word := strings.TrimSpace(h.Get(n.Leaving))
	return word != "" && word != "0"
}

// Load is the load that a target reports: the requests that it is running, those queued, and the
// number that it can run at a time.
type Load struct {
	Running, Waiting, Slots int
}

// hopByHop headers concern a single connection and are not forwarded (RFC 9110, 7.6.1).
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// DropHopByHop removes the headers that concern a single connection, including those listed in Connection.
func DropHopByHop(h http.Header) {
	for _, list := range h["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			h.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopByHop {
		h.Del(name)
	}
}

// DropVariants removes a header in all spellings that a target might read as the name: with other letter
// case, or with underscores, which CGI-like interfaces do not distinguish from dashes.
func DropVariants(h http.Header, name string) {
	for spelled := range h {
		if strings.EqualFold(strings.ReplaceAll(spelled, "_", "-"), name) {
			delete(h, spelled)
		}
	}
}
