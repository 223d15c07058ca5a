package node

import (
	"net"
	"net/http"
	"sync"

	"github.com/tinladder/tinladder/quarantine"
)

// A printOnce is a request's print, made when it is first asked for: attempts that run beside each other may ask.
type printOnce struct {
	once  sync.Once
	print quarantine.Print
}

// printed returns the request's print. Its body must have been read.
func (x *exchange) printed() quarantine.Print {
	x.print.once.Do(func() {
		body := x.body
		if x.stream != nil {
			body = x.head
		}
		x.print.print = quarantine.PrintOf(&quarantine.Request{
			Caller: callerOf(x.r), Workspace: x.space, Method: x.r.Method, Target: x.r.RequestURI, Body: body, Length: x.r.ContentLength,
			Host: x.route.Host, // not as it was sent: where the host is a node's own, the next node has another one
		})
	})
	return x.print.print
}

// callerOf returns the address of whoever sent the request to the fleet.
func callerOf(r *http.Request) string {
	if caller := r.Header.Get(HeaderCaller); caller != "" {
		return caller // another node passed it on
	}
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return r.RemoteAddr
	}
	return host
}
