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

// visit returns a connection to the door that has had an answer, and rests.
func visit(t *testing.T, address string) (net.Conn, *bufio.Reader) {
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

// A node whose process stood still for a quarter of a second around its end reset 118 requests of one stop: their
// connections waited to be accepted, sent up to 460 ms before. The listener went by the time since it was told to close,
// and that was over when the process ran again, before it had looked even once.
func TestStopAcceptingServesQueuedConnectionsAfterStall(t *testing.T) {
	is := is.New(t)
	d, address := open(t, 0)
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
	time.Sleep(300 * time.Millisecond) // nobody accepts
	served := make(chan error, 1)
	go func() { served <- d.Serve() }()
	for i, c := range conns {
		got, err := answer(c, bufio.NewReader(c))
		is.NoErr(err)
		is.Equal(got, fmt.Sprint("answer to /", i))
	}
	is.True(<-served != nil) // nobody else comes in
	is.True(d.AcceptStopped())
}

// Requests that had come to the machine of a node, and that it had not read yet as it hung up, were reset: a read whose
// deadline is over does not look at what is there. The slower the node, the more of them.
func TestCloseWhenIdleAnswersArrivedRequests(t *testing.T) {
	is := is.New(t)
	d, address := open(t, 0)
	go func() { _ = d.Serve() }()
	var conns []net.Conn
	var readers []*bufio.Reader
	for range 200 {
		c, r := visit(t, address)
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

// A request may come while the one before it is at work, in part. It has been read, if not by its handler.
func TestCloseWhenIdleAnswersPipelinedRequest(t *testing.T) {
	for _, early := range []int{1, 12} { // the library reads one byte beside a handler, or all that came with a request
		is := is.New(t)
		d, address := open(t, 50*time.Millisecond)
		go func() { _ = d.Serve() }()
		c, r := visit(t, address)
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
