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
	// MaxWaiting bounds the bytes of lines that wait for a slow reader.
	MaxWaiting = 1 << 20
	// ordinaryShare is the part of MaxWaiting that ordinary lines may fill, so that failures and
	// refusals still find room: one in so many.
	ordinaryShare = 2
	// gather is how long lines wait for others, so that many are written by one call.
	gather clock.Millis = 100
	// maxWrite bounds one write.
	maxWrite = 64 << 10
	// closeWait is how long Close waits for a reader.
	closeWait clock.Millis = 250
)

// A Class says which lines are left out first.
type Class int

// Classes of lines.
const (
	// Ordinary lines are left out first.
	Ordinary Class = iota
	// Kept lines are about failures, refusals, and what changes rarely.
	Kept
)

// A Sink struct takes lines and writes them in the background. It is safe for concurrent use.
type Sink struct {
	out io.Writer
	// note makes the line that tells of lines left out.
	note func(lines uint64) []byte

	mu      sync.Mutex
	waiting [][]byte
	bytes   int
	missed  uint64

	dropped atomic.Uint64
	written atomic.Uint64
	wake    chan struct{}
	stop    chan struct{}
	once    sync.Once
	done    chan struct{}
}

// NewSink returns a sink that writes to out. Note makes the line that says how many were left out.
func NewSink(out io.Writer, note func(lines uint64) []byte) *Sink {
	s := &Sink{out: out, note: note, wake: make(chan struct{}, 1), stop: make(chan struct{}), done: make(chan struct{})}
	go s.run()
	return s
}

// Put takes a line, with its end, and never blocks. The line is not copied.
func (s *Sink) Put(c Class, line []byte) {
	limit := MaxWaiting
	if c == Ordinary {
		limit /= ordinaryShare
	}
	s.mu.Lock()
	if s.bytes+len(line) > limit {
		s.missed++
		s.mu.Unlock()
		s.dropped.Add(1)
		return
	}
	s.waiting = append(s.waiting, line)
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
	t := time.NewTimer(closeWait.Duration())
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
			s.drain()
			return
		}
		s.gather()
		s.drain()
	}
}

// gather waits for more lines, but not while the sink ends.
func (s *Sink) gather() {
	t := time.NewTimer(gather.Duration())
	defer t.Stop()
	select {
	case <-t.C:
	case <-s.stop:
	}
}

// drain writes until nothing waits. A reader that has gone loses what is written.
func (s *Sink) drain() {
	for {
		b := s.take()
		if len(b) == 0 {
			return
		}
		n, _ := s.out.Write(b)
		s.written.Add(uint64(n))
	}
}

// take returns the next lines to write, and first how many are missing before them.
func (s *Sink) take() []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	var b []byte
	n := 0
	for n < len(s.waiting) && len(b) < maxWrite {
		b = append(b, s.waiting[n]...)
		n++
	}
	s.bytes -= len(b)
	s.waiting = s.waiting[n:]
	if len(s.waiting) == 0 {
		s.waiting = nil // give the memory of a burst back
	}
	if s.missed > 0 {
		b = append(b, s.note(s.missed)...)
		s.missed = 0
	}
	return b
}
