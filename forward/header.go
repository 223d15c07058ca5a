package forward

import (
	"net/http"
	"net/textproto"
	"strings"
)

// Headers names the headers that callers and targets speak with.
type Headers struct {
	// RequestID names a request, and its answer.
	RequestID string
	// Deadline is how many milliseconds an answer is still of use.
	Deadline string
	// Instance is the only target that may run the request.
	Instance string
	// Workspace tells targets in whose name a request runs. Callers cannot say so themselves.
	Workspace string
	// Key is where callers show the key of their workspace. It reaches no target.
	Key string
	// NotRun is on answers of targets that did not run the request.
	NotRun string
	// Leaving is on answers of targets that are leaving.
	Leaving string
	// IDOptional says that targets may leave the id out of their answers.
	IDOptional bool
	// FractionalRetryAfter says that callers read fractions of seconds in Retry-After.
	FractionalRetryAfter bool
	// NotRunStatuses says that 408, 421, 429 and 503 tell callers that a request has not run.
	NotRunStatuses bool
	// ParseLoad reads what a target says of its own load in an answer's header; nil if targets say nothing.
	ParseLoad func(h http.Header) (Load, bool)
	// SetForwarded says that targets are told who asked.
	SetForwarded bool
}

// A Load struct is what a target says of itself: how many requests it works on, how many wait there, and
// how many it can work on at a time.
type Load struct {
	Running, Waiting, Slots int
}

// hopByHop headers speak of one connection, and are not passed on (RFC 9110, 7.6.1).
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// DropHopByHop removes the headers that speak of one connection.
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

// DropVariants removes a header in all spellings that a target might read as the name: with another case, or with
// underscores, which CGI-like interfaces do not tell from dashes.
func DropVariants(h http.Header, name string) {
	for spelled := range h {
		if strings.EqualFold(strings.ReplaceAll(spelled, "_", "-"), name) {
			delete(h, spelled)
		}
	}
}
