// Package reading rejects requests that a target could parse differently from this node. It looks only at the request
// and does no I/O of its own.
package reading

import (
	"io"
	"net/http"

	"github.com/cockroachdb/errors"
)

// ErrTrailer is returned at the end of a body with a malformed trailer.
var ErrTrailer = errors.New("malformed trailer")

// Body returns the request's body, which ends with ErrTrailer if its trailer is malformed.
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
