package stall_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"github.com/tinladder/tinladder/stall"
)

// call reads a response whose bytes are sent after the given pauses, and returns how many arrived.
func call(l stall.Limits, pauses ...time.Duration) (got int, err error) {
	ctx, g := stall.Watch(context.Background(), l)
	defer g.Close()
	from, to := io.Pipe()
	context.AfterFunc(ctx, func() { _ = to.CloseWithError(context.Cause(ctx)) })
	go func() {
		for _, p := range pauses {
			time.Sleep(p)
			_, _ = to.Write([]byte("x"))
		}
		_ = to.Close()
	}()
	raw, err := io.ReadAll(g.Body(from))
	if int64(len(raw)) != g.BytesRead() {
		return -1, err
	}
	return len(raw), err
}

func TestStalledCallsEnd(t *testing.T) {
	const short, long = 10 * time.Millisecond, 400 * time.Millisecond
	limits := stall.Limits{FirstByte: 200 * time.Millisecond, Idle: 100 * time.Millisecond, Total: 2 * time.Second}
	endless := make([]time.Duration, 1000)
	for i := range endless {
		endless[i] = short
	}
	cases := []struct {
		name   string
		pauses []time.Duration
		want   error
		least  int
	}{
		{"without a stall", []time.Duration{short, short}, nil, 2},
		{"longer than the idle limit, steadily", endless[:50], nil, 50},
		{"never begins", []time.Duration{long}, stall.ErrStalled, 0},
		{"stops midway", []time.Duration{short, short, long}, stall.ErrStalled, 2},
		{"exceeds the total limit", endless, stall.ErrTooLong, 20},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			got, err := call(limits, c.pauses...)
			is.True(errors.Is(err, c.want) && (err == nil) == (c.want == nil))
			is.True(got >= c.least)
		})
	}
}

// TestLongChunkIsNotAStall reads a response that is one chunk, sent piece by piece at a steady rate. The library
// reads on within a chunk until the reader's buffer is full, and io.ReadAll grows that buffer, so an unlimited
// read would exceed the idle limit.
func TestLongChunkIsNotAStall(t *testing.T) {
	is := is.New(t)
	const piece, pieces, pause = 8 << 10, 96, 10 * time.Millisecond
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n", piece*pieces)
		for range pieces {
			time.Sleep(pause)
			_, _ = c.Write(make([]byte, piece))
		}
		_, _ = io.WriteString(c, "\r\n0\r\n\r\n")
	}))
	defer s.Close()
	ctx, g := stall.Watch(context.Background(), stall.Limits{FirstByte: time.Second, Idle: 100 * time.Millisecond, Total: 20 * time.Second})
	defer g.Close()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, s.URL, nil)
	is.NoErr(err)
	res, err := http.DefaultClient.Do(req)
	is.NoErr(err)
	defer func() { _ = res.Body.Close() }()
	raw, err := io.ReadAll(g.Body(res.Body))
	is.NoErr(err)
	is.Equal(len(raw), piece*pieces)
}
