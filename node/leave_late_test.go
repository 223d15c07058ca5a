package node_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/tinladder/tinladder/platform/standin"
)

// TestLeavingTakesNothingThatItCouldCut stops a node, sends it a request that still completes within the grace period of
// 2 s, and then another on a keep-alive connection that could not. The second one must be refused at once and must not run:
// if it were accepted, it would be cut off when the node exits.
func TestLeavingTakesNothingThatItCouldCut(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 2)
	slow, err := standin.NewTarget(f.store, "i-1", "desk", "h0", 4, 900*time.Millisecond)
	is.NoErr(err)
	defer slow.Close()
	f.calm(3)
	f.ready(3, 1)
	n := f.nodes[1]
	kept, err := net.Dial("tcp", n.callers)
	is.NoErr(err)
	defer func() { _ = kept.Close() }()
	reader := bufio.NewReader(kept)
	ask := func(id string) *http.Response {
		_, err := io.WriteString(kept, rawGet(id))
		is.NoErr(err)
		res, err := http.ReadResponse(reader, nil)
		is.NoErr(err)
		_, _ = io.Copy(io.Discard, res.Body)
		_ = res.Body.Close()
		return res
	}
	is.Equal(ask("before").StatusCode, http.StatusOK)
	stopped := time.Now()
	n.stop()
	time.Sleep(850 * time.Millisecond) // the grace period is 2 s
	busy := make(chan int, 1)
	other, err := net.Dial("tcp", n.callers)
	is.NoErr(err)
	defer func() { _ = other.Close() }()
	go func() {
		_, _ = io.WriteString(other, rawGet("in time"))
		res, err := http.ReadResponse(bufio.NewReader(other), nil)
		if err != nil {
			busy <- 0
			return
		}
		busy <- res.StatusCode
	}()
	time.Sleep(time.Until(stopped.Add(1200 * time.Millisecond)))
	from := time.Now()
	res := ask("late")
	is.Equal(res.StatusCode, http.StatusServiceUnavailable)
	is.True(res.Header.Get("Retry-After") != "")
	is.True(time.Since(from) < 300*time.Millisecond)
	is.Equal(ran("late", slow), 0)
	is.Equal(<-busy, http.StatusOK) // a request accepted in time completes
}
