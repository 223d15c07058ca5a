// Package reading finds requests that a target could read in another way than this node does: it decides by the request
// alone, and does no I/O of its own.
package reading

import (
	"io"
	"net/http"

	"github.com/cockroachdb/errors"
)

// ErrTrailer ends bodies that a malformed trailer follows.
var ErrTrailer = errors.New("malformed trailer")

// Body returns the request's body, which ends badly if its trailer is malformed.
func Body(r *http.Request) io.Reader {
	return &body{r: r}
}

type body struct{ r *http.Request }

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.r.Body.Read(p)
	if errors.Is(err, io.EOF) && !ValidFields(b.r.Trailer) {
		return n, ErrTrailer
	}
	return n, err
}
