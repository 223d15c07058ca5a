package node

import (
	"net/http"

	"github.com/tinladder/tinladder/clock"
	"github.com/tinladder/tinladder/forward"
	"github.com/tinladder/tinladder/ident"
)

// A Protocol struct is how the platform's callers, targets and checks speak: the names of their
// headers and paths, and the form of their messages.
type Protocol struct {
	Headers     forward.Headers
	ReadyPath   string
	ResolvePath string
	// ParseQuery reads a caller's question, and WriteAddresses answers it.
	ParseQuery     func(r *http.Request) ResolveQuery
	WriteAddresses func(w http.ResponseWriter, addresses []string, valid clock.Millis)
}

// A ResolveQuery struct is what a caller asks of the directory: where to go for a host.
type ResolveQuery struct {
	Host   string
	Region string
	Hall   ident.Hall
}

// Headers of the fleet's own interface, towards callers and targets.
const (
	// HeaderOutcome is on every answer that a node makes itself, and on no other.
	HeaderOutcome = "Tinladder-Outcome"
	// HeaderRetryAfterMs is Retry-After in milliseconds.
	HeaderRetryAfterMs = "Tinladder-Retry-After-Ms"
	// HeaderKey names a run-once request.
	HeaderKey = "Tinladder-Key"
	// HeaderToken shows which workspace a caller belongs to.
	HeaderToken = "Tinladder-Token"
	// HeaderService names the service that a request is for.
	HeaderService = "Tinladder-Service"
	// HeaderDeadline is how many milliseconds an answer is still of use.
	HeaderDeadline = "Tinladder-Deadline-Ms"
	// HeaderReplay is on answers that were kept from the one time that a request ran.
	HeaderReplay = "Tinladder-Replay"
	// HeaderLeaving is on answers of targets that are leaving. It is not passed on.
	HeaderLeaving = "Tinladder-Leaving"
	// HeaderNotRun is on answers of targets that did not run the request.
	HeaderNotRun = "Tinladder-Not-Run"
	// HeaderPassed is on requests between nodes only.
	HeaderPassed = "Tinladder-Passed"
	// HeaderCaller says on requests between nodes whom the first of them has it from.
	HeaderCaller = "Tinladder-Caller"
	// HeaderPeerKey proves that a request comes from a node.
	HeaderPeerKey = "Tinladder-Peer-Key"
	// HeaderRequestID names a request in logs.
	HeaderRequestID = "X-Request-Id"
)

// ownHeaders are those of the fleet's own interface.
var ownHeaders = forward.Headers{
	RequestID: HeaderRequestID, Deadline: HeaderDeadline, NotRun: HeaderNotRun, Leaving: HeaderLeaving,
	IDOptional: true, SetForwarded: true,
}

// ownRequest are the headers of the fleet's own interface that say what a request is.
var ownRequest = []string{HeaderToken, HeaderService, HeaderKey, HeaderDeadline}

// nodeOnlyHeaders are headers that only nodes set, or read.
var nodeOnlyHeaders = []string{
	HeaderToken, HeaderPassed, HeaderCaller, HeaderPeerKey, HeaderService, HeaderDeadline, HeaderKey,
	"Forwarded", "X-Forwarded-For", "X-Forwarded-Host", "X-Forwarded-Proto",
}
