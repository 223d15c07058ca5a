package door

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// A node exits once its servers have no open connections. Open checked the listener after counting the connections: a
// connection accepted in between was missed, and cut by the exit.
func TestOpenSeesConnectionAcceptedDuringClose(t *testing.T) {
	is := is.New(t)
	c := &conn{idle: true}
	d := &Server{listener: &listener{}, conns: map[*conn]struct{}{c: {}}}
	c.mu.Lock() // blocks Counts
	counted := make(chan int)
	go func() { counted <- d.Open() }()
	for d.mu.TryLock() {
		d.mu.Unlock()
		time.Sleep(time.Millisecond)
	}
	d.listener.closed.Store(true)
	c.mu.Unlock()
	is.Equal(<-counted, 2) // the connection, and one that may be accepted
	is.Equal(d.Open(), 1)
}
