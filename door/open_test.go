package door

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// A node ends once nothing is open at its doors. Whether the door was shut was looked at after its connections had been
// counted: a visitor who came in between, as the last one before it shut, was in neither, and the end would cut him.
func TestOpenSeesConnectionAcceptedDuringClose(t *testing.T) {
	is := is.New(t)
	c := &conn{idle: true}
	d := &Server{listener: &listener{}, conns: map[*conn]struct{}{c: {}}}
	c.mu.Lock() // the count waits for it
	counted := make(chan int)
	go func() { counted <- d.Open() }()
	for d.mu.TryLock() {
		d.mu.Unlock()
		time.Sleep(time.Millisecond)
	}
	d.listener.closed.Store(true)
	c.mu.Unlock()
	is.Equal(<-counted, 2) // the connection, and who may have come in
	is.Equal(d.Open(), 1)
}
