package forward

import (
	"io"
	"net"
	"net/http"
	"os"
	"sync"

	"github.com/cockroachdb/errors"
)

// ErrCut is the error of a response whose length only the end of its connection tells, if the connection did not end properly.
// It may be incomplete.
var ErrCut = errors.New("the connection was reset before the response was known to be complete")

// A requestWriter writes a request to a connection and keeps the first error. A socket reports a reset once: if the write takes
// it, a read finds an ordinary end.
type requestWriter struct {
	conn net.Conn

	mu  sync.Mutex
	err error
}

// Write implements io.Writer.
func (w *requestWriter) Write(p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.err != nil {
		return 0, w.err
	}
	n, err := w.conn.Write(p)
	w.err = err
	return n, err
}

// stop ends the writing and returns the error with which it failed before, or nil.
func (w *requestWriter) stop() error {
	_ = w.conn.SetWriteDeadline(past) // ends a pending write
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.err != nil && !errors.Is(w.err, os.ErrDeadlineExceeded) {
		return w.err
	}
	w.err = os.ErrDeadlineExceeded
	return nil
}

// closeDelimitedBody is a body that ends with its connection. It is complete only if the connection was not reset
// (RFC 9112, section 8).
type closeDelimitedBody struct {
	io.ReadCloser
	writer *requestWriter
}

// Read implements io.Reader.
func (b *closeDelimitedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		if cause := b.writer.stop(); cause != nil {
			return n, errors.Mark(errors.Wrap(cause, "write request"), ErrCut)
		}
	}
	return n, err
}

// endsWithConnection reports whether only the end of the connection tells where the body ends.
func endsWithConnection(res *http.Response) bool {
	return res.ContentLength < 0 && len(res.TransferEncoding) == 0 && res.Body != http.NoBody
}
