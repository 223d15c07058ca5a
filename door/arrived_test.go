package door_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
)

// dialIdle returns an idle connection to the server that has carried one request.
func dialIdle(t *testing.T, address string) (net.Conn, *bufio.Reader) {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	r := bufio.NewReader(c)
	if _, err := io.WriteString(c, request("/first")); err != nil {
		t.Fatal(err)
	}
	if _, err := answer(c, r); err != nil {
		t.Fatal(err)
	}
	return c, r
}

// A process that was stalled for 250 ms during shutdown reset 118 requests on connections in its accept queue, sent up to
// 460 ms before. The listener drained the queue for a fixed time, which had passed before its first check.
func TestStopAcceptingServesQueuedConnectionsAfterStall(t *testing.T) {
	is := is.New(t)
	d, address := newServer(t, 0)
	var conns []net.Conn
	for i := range 40 {
		c, err := net.Dial("tcp", address)
		is.NoErr(err)
		defer func() { _ = c.Close() }()
		_, err = io.WriteString(c, request(fmt.Sprint("/", i)))
		is.NoErr(err)
		conns = append(conns, c)
	}
	d.StopAccepting()
	time.Sleep(300 * time.Millisecond) // nothing is accepted yet
	served := make(chan error, 1)
	go func() { served <- d.Serve() }()
	for i, c := range conns {
		got, err := answer(c, bufio.NewReader(c))
		is.NoErr(err)
		is.Equal(got, fmt.Sprint("answer to /", i))
	}
	is.True(<-served != nil) // the listener is closed
	is.True(d.AcceptStopped())
}

// Requests that had arrived in the socket but were unread at shutdown were reset, since a read past its deadline does
// not look at available data. A slow process lost more of them.
func TestCloseWhenIdleAnswersArrivedRequests(t *testing.T) {
	is := is.New(t)
	d, address := newServer(t, 0)
	go func() { _ = d.Serve() }()
	var conns []net.Conn
	var readers []*bufio.Reader
	for range 200 {
		c, r := dialIdle(t, address)
		conns, readers = append(conns, c), append(readers, r)
	}
	eventually(t, func() bool { return d.Counts().Idle == len(conns) })
	for i, c := range conns {
		_, err := io.WriteString(c, request(fmt.Sprint("/", i)))
		is.NoErr(err)
	}
	d.CloseWhenIdle()
	lost := 0
	for i, c := range conns {
		got, err := answer(c, readers[i])
		if err != nil || got != fmt.Sprint("answer to /", i) {
			lost++
		}
	}
	is.Equal(lost, 0)
	eventually(t, func() bool { return d.Counts().Open() == 0 })
}

// Part of the next request is read while the current one is handled: both must be answered.
func TestCloseWhenIdleAnswersPipelinedRequest(t *testing.T) {
	for _, early := range []int{1, 12} { // net/http reads one byte in the background, or all that arrived with a request
		is := is.New(t)
		d, address := newServer(t, 50*time.Millisecond)
		go func() { _ = d.Serve() }()
		c, r := dialIdle(t, address)
		if early == 1 {
			_, _ = io.WriteString(c, request("/one"))
			time.Sleep(20 * time.Millisecond)
			_, _ = io.WriteString(c, request("/two")[:early])
		} else {
			_, _ = io.WriteString(c, request("/one")+request("/two")[:early])
		}
		got, err := answer(c, r)
		is.NoErr(err)
		is.Equal(got, "answer to /one")
		time.Sleep(20 * time.Millisecond)
		d.CloseWhenIdle()
		time.Sleep(20 * time.Millisecond)
		_, _ = io.WriteString(c, request("/two")[early:])
		got, err = answer(c, r)
		is.NoErr(err)
		is.Equal(got, "answer to /two")
	}
}
