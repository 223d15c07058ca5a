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

// Body returns the request's body, which ends with ErrTrailer if its trailer is malformed, and with http.MaxBytesError if it
// is longer than limit bytes; 0 is unlimited. The request keeps its own body: net/http has to find it there to see, after the
// response, whether it was read to its end.
func Body(r *http.Request, limit int64) io.Reader {
	b := &body{r: r, from: r.Body}
	if limit > 0 {
		b.from = http.MaxBytesReader(nil, r.Body, limit)
	}
	return b
}

type body struct {
	r    *http.Request
	from io.Reader
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.from.Read(p)
	if errors.Is(err, io.EOF) && !ValidFields(b.r.Trailer) {
		return n, ErrTrailer
	}
	return n, err
}
