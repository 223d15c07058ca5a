package forward

import (
	"io"
	"sync"

	"github.com/cockroachdb/errors"
)

// A source is a streamed request body. It records read errors, to tell them apart from write errors.
type source struct {
	from io.Reader

	mu  sync.Mutex
	err error
}

// Read implements io.Reader.
func (s *source) Read(p []byte) (int, error) {
	n, err := s.from.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		s.mu.Lock()
		s.err = err
		s.mu.Unlock()
	}
	return n, err
}

// readErr returns the error that ended reading, or nil.
func (s *source) readErr() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.err
}
