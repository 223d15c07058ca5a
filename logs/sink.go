// Package logs writes a process's log without ever blocking the process. Lines wait in a bounded buffer
// while the reader is slow; when the buffer is full, they are dropped and counted.
package logs

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/tinladder/tinladder/clock"
)

const (
	// MaxPendingBytes bounds the bytes of lines that wait for a slow reader.
	MaxPendingBytes = 1 << 20
	// ordinaryDivisor limits ordinary lines to 1/ordinaryDivisor of MaxPendingBytes. The rest is reserved
	// for failures and refusals.
	ordinaryDivisor = 2
	// batchDelay is how long lines wait for others, so that one call writes many.
	batchDelay clock.Millis = 100
	// maxWriteBytes is the batch size from which no more lines are added to a write.
	maxWriteBytes = 64 << 10
	// closeTimeout is how long Close waits for a slow reader.
	closeTimeout clock.Millis = 250
)

// A Class determines which lines are dropped first.
type Class int

// Classes of lines.
const (
	// Ordinary lines are dropped first.
	Ordinary Class = iota
	// Important lines report failures, refusals and rare changes.
	Important
)

// A Sink buffers lines and writes them in the background. It is safe for concurrent use.
type Sink struct {
	out io.Writer
	// droppedNote formats the line that reports dropped lines.
	droppedNote func(lines uint64) []byte

	mu         sync.Mutex
	pending    [][]byte
	bytes      int
	unreported uint64

	dropped atomic.Uint64
	written atomic.Uint64
	wake    chan struct{}
	stop    chan struct{}
	once    sync.Once
	done    chan struct{}
}

// NewSink returns a sink that writes to out. The function note formats the line that reports how many lines were
// dropped.
func NewSink(out io.Writer, note func(lines uint64) []byte) *Sink {
	s := &Sink{out: out, droppedNote: note, wake: make(chan struct{}, 1), stop: make(chan struct{}), done: make(chan struct{})}
	go s.run()
	return s
}

// Enqueue adds a line, which includes its line break, and never blocks. The line is not copied.
func (s *Sink) Enqueue(c Class, line []byte) {
	limit := MaxPendingBytes
	if c == Ordinary {
		limit /= ordinaryDivisor
	}
	s.mu.Lock()
	if s.bytes+len(line) > limit {
		s.unreported++
		s.mu.Unlock()
		s.dropped.Add(1)
		return
	}
	s.pending = append(s.pending, line)
	s.bytes += len(line)
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// Dropped returns the number of dropped lines.
func (s *Sink) Dropped() uint64 {
	return s.dropped.Load()
}

// Written returns the number of bytes written.
func (s *Sink) Written() uint64 {
	return s.written.Load()
}

// Close writes the buffered lines and stops the sink. It does not wait longer than closeTimeout for the reader.
func (s *Sink) Close() {
	s.once.Do(func() { close(s.stop) })
	t := time.NewTimer(closeTimeout.Duration())
	defer t.Stop()
	select {
	case <-s.done:
	case <-t.C:
	}
}

// Done returns a channel that is closed when the sink has stopped.
func (s *Sink) Done() <-chan struct{} {
	return s.done
}

func (s *Sink) run() {
	defer close(s.done)
	for {
		select {
		case <-s.wake:
		case <-s.stop:
			s.flush()
			return
		}
		s.waitForBatch()
		s.flush()
	}
}

// waitForBatch waits for more lines, unless the sink is closing.
func (s *Sink) waitForBatch() {
	t := time.NewTimer(batchDelay.Duration())
	defer t.Stop()
	select {
	case <-t.C:
	case <-s.stop:
	}
}

// flush writes until the buffer is empty. Lines are lost if the reader is gone: write errors are ignored.
func (s *Sink) flush() {
	for {
		b := s.nextBatch()
		if len(b) == 0 {
			return
		}
		n, _ := s.out.Write(b)
		s.written.Add(uint64(n))
	}
}

// nextBatch returns the next lines to write. A note on dropped lines, if any, follows them.
func (s *Sink) nextBatch() []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	var b []byte
	n := 0
	for n < len(s.pending) && len(b) < maxWriteBytes {
		b = append(b, s.pending[n]...)
		n++
	}
	s.bytes -= len(b)
	s.pending = s.pending[n:]
	if len(s.pending) == 0 {
		s.pending = nil // release the memory of a burst
	}
	if s.unreported > 0 {
		b = append(b, s.droppedNote(s.unreported)...)
		s.unreported = 0
	}
	return b
}
