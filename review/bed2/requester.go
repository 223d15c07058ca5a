package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// A call is one requester attempt.
type call struct {
	node, method, path string
	body               []byte
	limit              time.Duration
	// leaveAfter is when the requester closes its connection; 0 if it waits.
	leaveAfter time.Duration
	// key is the requester's; empty if the route asks for none.
	key string
}

// An outcome is how a call ended.
type outcome struct {
	id     string
	sent   time.Time
	ended  time.Time
	status int
	signed bool
	header http.Header
	err    error
}

func (o outcome) String() string {
	if o.err != nil {
		return fmt.Sprintf("%s: no answer after %d ms: %v", o.id, o.ended.Sub(o.sent).Milliseconds(), o.err)
	}
	return fmt.Sprintf("%s: status %d signed=%v after %d ms, outcome %q, retry-after %q", o.id, o.status, o.signed, o.ended.Sub(o.sent).Milliseconds(), o.header.Get("Tinladder-Outcome"), o.header.Get("Retry-After"))
}

var lastID atomic.Int64

// do sends a call on a new connection, waits for its answer up to its limit, and notes both.
func (b *bed) do(c call) (o outcome) {
	o.id = fmt.Sprintf("%016x", lastID.Add(1)+0x5a00000000000000)
	o.sent = time.Now()
	defer func() {
		o.ended = time.Now()
		b.note("%s %s at %s, limit %v: %v", c.method, c.path, b.nameOf(c.node), c.limit, o)
	}()
	nc, err := net.DialTimeout("tcp", c.node, time.Second)
	if err != nil {
		o.err = err
		return o
	}
	defer func() { _ = nc.Close() }()
	wait := c.limit
	if c.leaveAfter > 0 {
		wait = c.leaveAfter
	}
	_ = nc.SetDeadline(time.Now().Add(wait))
	header := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n", c.method, c.path, host, o.id, c.limit.Milliseconds())
	if c.key != "" {
		header += "Authorization: Bearer " + c.key + "\r\n"
	}
	if c.method != http.MethodGet {
		header += fmt.Sprintf("Content-Length: %d\r\n", len(c.body))
	}
	o.sent = time.Now()
	if _, err := io.WriteString(nc, header+"\r\n"+string(c.body)); err != nil {
		o.err = err
		return o
	}
	res, err := http.ReadResponse(bufio.NewReader(nc), nil)
	if err != nil {
		o.err = err
		return o
	}
	defer func() { _ = res.Body.Close() }()
	if _, err := io.ReadAll(res.Body); err != nil {
		o.err = err
		return o
	}
	o.status, o.signed, o.header = res.StatusCode, res.Header.Get(signature) != "", res.Header
	return o
}
