package forward

import (
	"io"
	"sync"

	"github.com/cockroachdb/errors"
)

// A source is a streamed body. It keeps why reading it failed, so that this is told apart from a failure to write.
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

// readErr returns why reading failed, or nil.
func (s *source) readErr() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.err
}
