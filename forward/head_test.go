package forward_test

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"github.com/tinladder/tinladder/forward"
)

// TestInvalidHeadsAreNoResponses has targets send heads and trailers that HTTP does not allow, before or in place of a valid
// response. A number below 100 passed as an informational response, and a blank in a field's name hid the framing, so that
// callers got answers that their target had not given.
func TestInvalidHeadsAreNoResponses(t *testing.T) {
	const good = "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 4\r\n\r\ngood"
	for _, c := range []struct{ name, text string }{
		{"status 000", "HTTP/1.1 000 Trouble\r\nX-Id: 1\r\nContent-Length: 3\r\n\r\nbad"},
		{"status 000 before a response", "HTTP/1.1 000 Trouble\r\nX-Id: 1\r\n\r\n" + good},
		{"status 099 before a response", "HTTP/1.1 099 Trouble\r\n\r\n" + good},
		{"status 600", "HTTP/1.1 600 Trouble\r\nX-Id: 1\r\nContent-Length: 3\r\n\r\nbad"},
		{"status 999", "HTTP/1.1 999 Trouble\r\nX-Id: 1\r\nContent-Length: 3\r\n\r\nbad"},
		{"status of two digits", "HTTP/1.1 20 OK\r\nX-Id: 1\r\nContent-Length: 3\r\n\r\nbad"},
		{"negative status", "HTTP/1.1 -20 OK\r\nX-Id: 1\r\nContent-Length: 3\r\n\r\nbad"},
		{"another protocol that nobody asked for", "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n" + good},
		{"another version", "HTTP/2.0 200 OK\r\nX-Id: 1\r\nContent-Length: 3\r\n\r\nbad"},
		{"a blank in a name", "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX A: b\r\nContent-Length: 3\r\n\r\nbad"},
		{"a blank before the colon", "HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding : chunked\r\nContent-Length: 13\r\n\r\n3\r\nbad\r\n0\r\n\r\n"},
		{"a tab before the colon", "HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding\t: chunked\r\nContent-Length: 13\r\n\r\n3\r\nbad\r\n0\r\n\r\n"},
		{"a control byte in a name", "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX\x01A: b\r\nContent-Length: 3\r\n\r\nbad"},
		{"a control byte in a value", "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-A: b\x01\r\nContent-Length: 3\r\n\r\nbad"},
		{"a byte above 127 in a name", "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX\xe9A: b\r\nContent-Length: 3\r\n\r\nbad"},
		{"an empty name", "HTTP/1.1 200 OK\r\nX-Id: 1\r\n: b\r\nContent-Length: 3\r\n\r\nbad"},
		{"a name in brackets", "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX(A): b\r\nContent-Length: 3\r\n\r\nbad"},
		{"a line without a colon", "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-A\r\nContent-Length: 3\r\n\r\nbad"},
		{"a blank in a name of an informational response", "HTTP/1.1 100 Continue\r\nX A: b\r\n\r\n" + good},
		{"a blank in a name of a trailer", "HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nbad\r\n0\r\nX A: b\r\n\r\n"},
		{"a control byte in a name of a trailer", "HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nbad\r\n0\r\nX\x01A: b\r\n\r\n"},
		{"an encoding in an old version, beside a length", "HTTP/1.0 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\nContent-Length: 13\r\n\r\n3\r\nbad\r\n0\r\n\r\n"},
		{"an encoding in an old version", "HTTP/1.0 200 OK\r\nX-Id: 1\r\nX-A: b\r\ntransfer-encoding:chunked\r\n\r\n3\r\nbad\r\n0\r\n\r\n"},
		{"a head of an old version that is too long to be checked", "HTTP/1.0 200 OK\r\nX-Id: 1\r\nX-A: " + strings.Repeat("b", 8000) + "\r\nTransfer-Encoding: chunked\r\nContent-Length: 13\r\n\r\n3\r\nbad\r\n0\r\n\r\n"},
		{"two lengths", "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nbad!"},
		{"a length that is no number", "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: +3\r\n\r\nbad"},
		{"an unknown encoding", "HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n3\r\nbad\r\n0\r\n\r\n"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := startTarget(t, c.text, good)
			a, err := send(t, newConns(), s, request("1"))
			if err == nil {
				t.Logf("status %d, header %v, body %q, trailer %v", a.Status, a.Header, a.Body, a.Trailer)
			}
			is.True(err != nil)
			is.True(errors.Is(err, forward.ErrSent)) // the target may have run it
		})
	}
}

// TestValidHeadsPass guards against rejecting responses that are unusual and allowed.
func TestValidHeadsPass(t *testing.T) {
	for _, c := range []struct{ name, text string }{
		{"informational responses", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 102 Processing\r\nX-A: b\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\nHTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 4\r\n\r\ngood"},
		{"an unknown status", "HTTP/1.1 299 Fine\r\nX-Id: 1\r\nContent-Length: 4\r\n\r\ngood"},
		{"all characters of a token", "HTTP/1.1 200 OK\r\nX-Id: 1\r\n!#$%&'*+-.^_`|~9aZ: b\r\nContent-Length: 4\r\n\r\ngood"},
		{"an empty value, and one with blanks", "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-A:\r\nX-B: \t b c \r\nContent-Length: 4\r\n\r\ngood"},
		{"a trailer", "HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\nTrailer: X-Sum\r\n\r\n4\r\ngood\r\n0\r\nX-Sum: 7\r\n\r\n"},
		{"an old version", "HTTP/1.0 200 OK\r\nX-Id: 1\r\nContent-Length: 4\r\n\r\ngood"},
		{"no reason phrase", "HTTP/1.1 200 \r\nX-Id: 1\r\nContent-Length: 4\r\n\r\ngood"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			a, err := send(t, newConns(), startTarget(t, c.text), request("1"))
			is.NoErr(err)
			body := a.Body
			if a.Rest != nil {
				rest, err := io.ReadAll(a.Rest)
				is.NoErr(err)
				body = append(body, rest...)
			}
			is.Equal(string(body), "good")
			is.True(a.Status >= http.StatusOK)
		})
	}
}
