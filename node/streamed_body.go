package node

import (
	"fmt"
	"io"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// A streamedBody is a caller's body that is too long to be held, while it is sent to a target.
type streamedBody struct {
	from io.Reader
	// length is -1 if it is not known.
	length int64
	read   atomic.Int64
	// complete says that all of it has been read.
	complete atomic.Bool
}

func newStreamedBody(from io.Reader, length int64) *streamedBody {
	return &streamedBody{from: from, length: length}
}

// Read implements io.Reader.
func (b *streamedBody) Read(p []byte) (int, error) {
	n, err := b.from.Read(p)
	b.read.Add(int64(n))
	if errors.Is(err, io.EOF) {
		b.complete.Store(true)
	}
	return n, err
}

// String returns how much of the body has been read for the target, for the log: fewer bytes than its length in a complete
// one show that something else read the rest.
func (b *streamedBody) String() string {
	if b == nil {
		return ""
	}
	length := "?"
	if b.length >= 0 {
		length = fmt.Sprint(b.length)
	}
	state := "open"
	if b.complete.Load() {
		state = "complete"
	}
	return fmt.Sprintf("%d/%s %s", b.read.Load(), length, state)
}
