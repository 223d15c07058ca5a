package stall_test

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"github.com/tinladder/tinladder/stall"
)

// call reads an answer whose pieces come after the pauses, as a client would, and returns what it got.
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
	if int64(len(raw)) != g.Read() {
		return -1, err
	}
	return len(raw), err
}

func TestCallsEndBySilence(t *testing.T) {
	const short, long = 10 * time.Millisecond, 400 * time.Millisecond
	limits := stall.Limits{First: 200 * time.Millisecond, Next: 100 * time.Millisecond, Most: 2 * time.Second}
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
		{"at once", []time.Duration{short, short}, nil, 2},
		{"longer than any pause may be, in pieces", endless[:50], nil, 50},
		{"never begins", []time.Duration{long}, stall.ErrSilent, 0},
		{"stops midway", []time.Duration{short, short, long}, stall.ErrSilent, 2},
		{"does not end", endless, stall.ErrEndless, 20},
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
