package node

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/tinladder/tinladder/clock"
)

// errBodyStopped is the error of reads of a body whose request has been answered.
var errBodyStopped = errors.New("the request has been answered")

// A streamedBody is a caller's body that is too long to be held, while it is sent to a target. A target may answer before it
// has read the body, so one goroutine reads it while another one writes the answer.
//
// net/http reads a body by itself unless it is told otherwise: what is left of it when a handler writes a header, and when the
// handler returns. The sender would miss these bytes, and what came after them would stand in their place at the target.
type streamedBody struct {
	from   io.Reader
	length int64 // -1 if it is not known
	caller *http.ResponseController
	count  atomic.Int64
	// complete says that all of it has been read.
	complete atomic.Bool

	// stopped says that the request has been answered: what is left of the body is the server's to discard.
	stopped atomic.Bool
	mu      sync.Mutex // held during a read
}

// newStreamedBody returns the body that is read from r, of a request that is answered by w. The server leaves the body alone
// from now on.
func newStreamedBody(r io.Reader, length int64, w http.ResponseWriter) *streamedBody {
	b := &streamedBody{from: r, length: length, caller: http.NewResponseController(w)}
	_ = b.caller.EnableFullDuplex() // fails for HTTP/2 only, where it is the default
	return b
}

// Read implements io.Reader.
func (b *streamedBody) Read(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.stopped.Load() {
		return 0, errBodyStopped
	}
	n, err := b.from.Read(p)
	b.count.Add(int64(n))
	if errors.Is(err, io.EOF) {
		b.complete.Store(true)
	}
	return n, err
}

// stop ends the reading, after a read that is under way. That one, and the server when it discards the rest of the body, wait
// for bytes of the caller for so long. Only the first call has an effect.
func (b *streamedBody) stop(wait clock.Millis) {
	if b.complete.Load() || b.stopped.Swap(true) { // the server reads ahead of a complete body
		return
	}
	_ = b.caller.SetReadDeadline(time.Now().Add(wait.Duration()))
	b.mu.Lock()
	defer b.mu.Unlock()
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
	return fmt.Sprintf("%d/%s %s", b.count.Load(), length, state)
}

// A streamedBodyWriter writes the answer to a request with a streamed body.
type streamedBodyWriter struct {
	http.ResponseWriter
	body *streamedBody
}

// WriteHeader implements http.ResponseWriter. A connection whose request has not been read completely is closed after the
// answer: the server could take the rest of the body for the next request.
func (w *streamedBodyWriter) WriteHeader(status int) {
	if !w.body.complete.Load() {
		w.Header().Set("Connection", "close")
	}
	w.ResponseWriter.WriteHeader(status)
}

// Unwrap returns the wrapped writer, for http.ResponseController.
func (w *streamedBodyWriter) Unwrap() http.ResponseWriter {
	return w.ResponseWriter
}
