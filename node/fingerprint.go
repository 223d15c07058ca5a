package node

import (
	"net"
	"net/http"
	"sync"

	"github.com/tinladder/tinladder/quarantine"
)

// lazyFingerprints computes a request's fingerprints on first use, which concurrent attempts may make.
type lazyFingerprints struct {
	once  sync.Once
	value quarantine.Fingerprints
}

// fingerprints returns the request's fingerprints. Its body must have been read.
func (x *exchange) fingerprints() *quarantine.Fingerprints {
	x.fingerprinted.once.Do(func() {
		body, isLong := x.body, x.stream != nil
		if isLong {
			body = x.head
		}
		x.fingerprinted.value = quarantine.FingerprintsOf(&quarantine.Request{
			Caller: callerAddress(x.r), Workspace: x.owner, Method: x.r.Method, Target: x.r.RequestURI, Body: body, IsLong: isLong, Length: x.r.ContentLength,
			Host: x.route.Host, // not the request's: under a node's own host name it differs from node to node
		})
	})
	return &x.fingerprinted.value
}

// callerAddress returns the address of the client that sent the request to the fleet.
func callerAddress(r *http.Request) string {
	if caller := r.Header.Get(HeaderCaller); caller != "" {
		return caller // another node forwarded the request
	}
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return r.RemoteAddr
	}
	return host
}
