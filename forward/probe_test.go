package forward_test

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/tinladder/tinladder/clock"
	"github.com/tinladder/tinladder/forward"
)

// A process that exits closes its listener shortly after its connections: the probe is repeated and reports
// Refused.
func TestProbe(t *testing.T) {
	is := is.New(t)
	conns := forward.NewConnPool(clock.NewSystem(), 200, nil)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := l.Addr().String()
	is.Equal(conns.Probe(context.Background(), address), forward.Listening)
	time.AfterFunc(5*time.Millisecond, func() { _ = l.Close() })
	is.Equal(conns.Probe(context.Background(), address), forward.Refused)
}

func TestProbeCanceled(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	is.Equal(forward.NewConnPool(clock.NewSystem(), 200, nil).Probe(ctx, "127.0.0.1:1"), forward.Unreachable)
}
