package logs_test

import (
	"bytes"
	"fmt"
	"io"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"
	"github.com/tinladder/tinladder/logs"
)

// blockedWriter blocks writes until release is closed.
type blockedWriter struct {
	release chan struct{}
	mu      sync.Mutex
	buf     bytes.Buffer
}

func (s *blockedWriter) Write(p []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.buf.Write(p)
}

func (s *blockedWriter) text() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.buf.String()
}

// TestReaderThatStopsHoldsNothingUp logs far more than the buffer holds while the writer blocks, and then releases
// it. The failures must be written though ordinary lines came first, and the dropped lines must be counted.
func TestReaderThatStopsHoldsNothingUp(t *testing.T) {
	is := is.New(t)
	out := &blockedWriter{release: make(chan struct{})}
	l, err := logs.New(out, "info")
	is.NoErr(err)
	const lines = 40_000
	begin := time.Now()
	for i := range lines {
		l.WithFields(logrus.Fields{"event": "request_served", "request": i, "pad": strings.Repeat("x", 50)}).Info()
	}
	for i := range 1000 {
		l.WithFields(logrus.Fields{"event": "request_failed", "request": fmt.Sprint("f", i)}).Warn()
	}
	is.True(time.Since(begin) < 20*time.Second) // without buffering, logging would block for ever
	is.True(l.Dropped() > lines/2)
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	is.True(m.HeapAlloc < 16*logs.MaxPendingBytes)
	close(out.release)
	l.Close()
	<-l.Done()
	text := out.text()
	is.Equal(strings.Count(text, "event=request_failed"), 1000)
	is.Equal(reportedDropped(text), l.Dropped())
	is.Equal(uint64(len(text)), l.Written())
}

// reportedDropped returns the sum of dropped lines that the log reports.
func reportedDropped(text string) (sum uint64) {
	for line := range strings.SplitSeq(text, "\n") {
		_, after, found := strings.Cut(line, "event=log_lines_dropped")
		if !found {
			continue
		}
		var n uint64
		if _, lines, ok := strings.Cut(after, "lines="); ok {
			_, _ = fmt.Sscan(lines, &n)
		}
		sum += n
	}
	return sum
}

// TestCloseDoesNotWaitForEver closes a log whose reader never reads.
func TestCloseDoesNotWaitForEver(t *testing.T) {
	is := is.New(t)
	r, w := io.Pipe()
	defer func() { _ = r.Close() }()
	l, err := logs.New(w, "info")
	is.NoErr(err)
	l.WithField("event", "x").Info()
	ended := make(chan struct{})
	go func() { l.Close(); close(ended) }()
	select {
	case <-ended:
	case <-time.After(30 * time.Second):
		t.Fatal("Close waits for a reader that never reads")
	}
}

func TestLevelsAndOrder(t *testing.T) {
	is := is.New(t)
	out := &blockedWriter{release: make(chan struct{})}
	close(out.release)
	l, err := logs.New(out, "info")
	is.NoErr(err)
	l.WithField("event", "hidden").Debug()
	for i := range 10 {
		l.WithField("n", i).Info()
	}
	l.Close()
	<-l.Done()
	lines := strings.Split(strings.TrimSpace(out.text()), "\n")
	is.Equal(len(lines), 10)
	for i, line := range lines {
		is.True(strings.HasSuffix(line, fmt.Sprint("n=", i)))
	}
	_, err = logs.New(io.Discard, "loud")
	is.True(err != nil)
}
