// Package logs writes a process's log without ever holding the process up. Lines wait in a bounded
// buffer while the reader is slow, and are left out, and counted, when it is full.
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
	// ordinaryDivisor is the part of MaxWaiting that ordinary lines may fill, so that failures and
	// refusals still find room: one in so many.
	ordinaryDivisor = 2
	// batchDelay is how long lines wait for others, so that many are written by one call.
	batchDelay clock.Millis = 100
	// maxWriteBytes bounds one write.
	maxWriteBytes = 64 << 10
	// closeTimeout is how long Close waits for a reader.
	closeTimeout clock.Millis = 250
)

// A Class says which lines are left out first.
type Class int

// Classes of lines.
const (
	// Ordinary lines are left out first.
	Ordinary Class = iota
	// Important lines are about failures, refusals, and what changes rarely.
	Important
)

// A Sink struct takes lines and writes them in the background. It is safe for concurrent use.
type Sink struct {
	out io.Writer
	// droppedNote makes the line that tells of lines left out.
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

// NewSink returns a sink that writes to out. Note makes the line that says how many were left out.
func NewSink(out io.Writer, note func(lines uint64) []byte) *Sink {
	s := &Sink{out: out, droppedNote: note, wake: make(chan struct{}, 1), stop: make(chan struct{}), done: make(chan struct{})}
	go s.run()
	return s
}

// Enqueue takes a line, with its end, and never blocks. The line is not copied.
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

// Dropped returns how many lines were left out.
func (s *Sink) Dropped() uint64 {
	return s.dropped.Load()
}

// Written returns how many bytes were written.
func (s *Sink) Written() uint64 {
	return s.written.Load()
}

// Close writes what waits, if the reader takes it soon, and ends the sink.
func (s *Sink) Close() {
	s.once.Do(func() { close(s.stop) })
	t := time.NewTimer(closeTimeout.Duration())
	defer t.Stop()
	select {
	case <-s.done:
	case <-t.C:
	}
}

// Done is closed when the sink has ended.
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

// waitForBatch waits for more lines, but not while the sink ends.
func (s *Sink) waitForBatch() {
	t := time.NewTimer(batchDelay.Duration())
	defer t.Stop()
	select {
	case <-t.C:
	case <-s.stop:
	}
}

// flush writes until nothing waits. A reader that has gone loses what is written.
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

// nextBatch returns the next lines to write, and first how many are missing before them.
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
		s.pending = nil // give the memory of a burst back
	}
	if s.unreported > 0 {
		b = append(b, s.droppedNote(s.unreported)...)
		s.unreported = 0
	}
	return b
}
