package door_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/tinladder/tinladder/door"
	"github.com/tinladder/tinladder/emulate"
)

// TestShutdownAnswersAllKindsOfRequests has requests of each kind begun at a door as it shuts and hangs up, many of each.
func TestShutdownAnswersAllKindsOfRequests(t *testing.T) {
	is := is.New(t)
	address := emulate.Addresses(1)[0]
	s := &http.Server{ReadHeaderTimeout: 5 * time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n, err := io.Copy(io.Discard, r.Body)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		time.Sleep(30 * time.Millisecond)
		_, _ = fmt.Fprintf(w, "%d %s", n, strings.Repeat("x", 100_000))
	})}
	d, err := door.Listen("callers", address, s, func() time.Duration { return time.Minute })
	is.NoErr(err)
	t.Cleanup(d.Close)
	go func() { _ = d.Serve() }()
	large := strings.Repeat("b", 300_000)
	kinds := []struct{ name, before, after string }{
		{"one go", "", "GET / HTTP/1.1\r\nHost: x\r\n\r\n"},
		{"half a header", "GET / HT", "TP/1.1\r\nHost: x\r\n\r\n"},
		{"one byte", "G", "ET / HTTP/1.1\r\nHost: x\r\n\r\n"},
		{"half a body", "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 300000\r\n\r\n" + large[:150_000], large[150_000:]},
		{"chunks", "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n", "0\r\n\r\n"},
		{"expect", "POST / HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\n", "body"},
		{"1.0", "GET / HTTP/1.0\r\n", "\r\n"},
		{"1.0 kept", "GET / HTTP/1.0\r\nConnection: keep-alive\r\n", "\r\n"},
		{"head", "HEAD / HTTP/1.1\r\n", "Host: x\r\n\r\n"},
		{"whole", "GET / HTTP/1.1\r\nHost: x\r\n\r\n", ""},
	}
	const each = 30
	var wg, begun sync.WaitGroup
	ends := make(chan bool)
	var mu sync.Mutex
	lost := map[string]int{}
	for _, k := range kinds {
		for i := range each {
			begun.Add(1)
			wg.Go(func() {
				c, err := net.Dial("tcp", address)
				if err != nil {
					t.Error(err)
					begun.Done()
					return
				}
				defer func() { _ = c.Close() }()
				r := bufio.NewReader(c)
				if i%2 == 0 { // on a connection that is used again
					_, _ = io.WriteString(c, request("/first"))
					if _, err := answer(c, r); err != nil {
						t.Error(err)
					}
				}
				_, _ = io.WriteString(c, k.before)
				time.Sleep(10 * time.Millisecond)
				begun.Done()
				if k.before == "" {
					_, _ = io.WriteString(c, k.after)
				} else {
					<-ends
					_, _ = io.WriteString(c, k.after)
				}
				_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
				method := http.MethodGet
				if k.name == "head" {
					method = http.MethodHead
				}
				res, err := http.ReadResponse(r, &http.Request{Method: method})
				for err == nil && res.StatusCode == http.StatusContinue {
					res, err = http.ReadResponse(r, &http.Request{Method: method})
				}
				if err == nil {
					_, err = io.Copy(io.Discard, res.Body)
				}
				if err != nil {
					mu.Lock()
					lost[k.name+": "+err.Error()]++
					mu.Unlock()
				}
			})
		}
	}
	begun.Wait()
	time.Sleep(5 * time.Millisecond)
	d.DisableKeepAlives()
	d.StopAccepting()
	d.CloseWhenIdle()
	close(ends)
	wg.Wait()
	is.Equal(lost, map[string]int{})
	eventually(t, func() bool { return d.Counts().Open() == 0 && d.AcceptStopped() })
}
