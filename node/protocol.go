package node

import (
	"net/http"

	"github.com/tinladder/tinladder/clock"
	"github.com/tinladder/tinladder/forward"
	"github.com/tinladder/tinladder/ident"
)

// A Protocol struct is the platform's protocol with callers, targets and checks: the names of headers and paths, and
// the formats of messages.
type Protocol struct {
	Headers     forward.Headers
	ReadyPath   string
	ResolvePath string
	// ParseQuery parses a caller's lookup, and WriteAddresses writes the response.
	ParseQuery     func(r *http.Request) ResolveQuery
	WriteAddresses func(w http.ResponseWriter, addresses []string, valid clock.Millis)
}

// A ResolveQuery struct is a caller's lookup in the directory: the addresses for a host.
type ResolveQuery struct {
	Host   string
	Region string
	Hall   ident.Hall
}

// Headers of the fleet's own protocol with callers and targets.
const (
	// HeaderOutcome is on every response that a node generates itself, and on no other.
	HeaderOutcome = "Tinladder-Outcome"
	// HeaderRetryAfterMs is Retry-After in milliseconds.
	HeaderRetryAfterMs = "Tinladder-Retry-After-Ms"
	// HeaderKey names a run-once request.
	HeaderKey = "Tinladder-Key"
	// HeaderToken shows which workspace a caller belongs to.
	HeaderToken = "Tinladder-Token"
	// HeaderService names the service that a request is for.
	HeaderService = "Tinladder-Service"
	// HeaderDeadline is the time in milliseconds after which a response is of no use.
	HeaderDeadline = "Tinladder-Deadline-Ms"
	// HeaderReplay is on responses that were stored when the request ran.
	HeaderReplay = "Tinladder-Replay"
	// HeaderLeaving is on responses of targets that are leaving. It is not forwarded.
	HeaderLeaving = "Tinladder-Leaving"
	// HeaderRateLimit is on responses of targets that limit their requests: the requests a second, as a decimal number, that
	// they take from all nodes together. It is not forwarded.
	HeaderRateLimit = "Tinladder-Rate-Limit"
	// HeaderLeavingTarget is on responses to other nodes' requests, and names the target that responded and said that it is
	// leaving.
	HeaderLeavingTarget = "Tinladder-Leaving-Target"
	// HeaderNotRun is on responses of targets that did not run the request.
	HeaderNotRun = "Tinladder-Not-Run"
	// HeaderPassed is on requests between nodes only.
	HeaderPassed = "Tinladder-Passed"
	// HeaderCaller is, on requests between nodes, the caller's address.
	HeaderCaller = "Tinladder-Caller"
	// HeaderPeerKey authenticates a request as a node's.
	HeaderPeerKey = "Tinladder-Peer-Key"
	// HeaderRequestID identifies a request in logs.
	HeaderRequestID = "X-Request-Id"
)

// ownHeaders are the headers of the fleet's own protocol.
var ownHeaders = forward.Headers{
	RequestID: HeaderRequestID, Deadline: HeaderDeadline, NotRun: HeaderNotRun, Leaving: HeaderLeaving, RateLimit: HeaderRateLimit,
	IDOptional: true, SetForwarded: true,
}

// ownRequestHeaders are the headers of the fleet's own protocol that describe a request.
var ownRequestHeaders = []string{HeaderToken, HeaderService, HeaderKey, HeaderDeadline}

// nodeOnlyHeaders are headers that only nodes set or read.
var nodeOnlyHeaders = []string{
	HeaderToken, HeaderPassed, HeaderCaller, HeaderPeerKey, HeaderService, HeaderDeadline, HeaderKey,
	"Forwarded", "X-Forwarded-For", "X-Forwarded-Host", "X-Forwarded-Proto",
}
