package forward

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"
)

// firstInvalidStatus is the first number above all status codes (RFC 9110, section 15).
const firstInvalidStatus = 600

// checkHead returns an error if HTTP does not allow the head of a response. net/http reads some of these, and where the
// response ends would then be a guess: a number below 100 looks like an informational response, and a blank in
// "Transfer-Encoding : chunked" hides the framing.
func checkHead(res *http.Response) error {
	switch {
	case res.ProtoMajor != 1:
		return errors.Wrapf(ErrBadResponse, "version %.32q", res.Proto)
	case res.StatusCode < http.StatusContinue, res.StatusCode >= firstInvalidStatus:
		return errors.Wrapf(ErrBadResponse, "status %d", res.StatusCode)
	case res.StatusCode == http.StatusSwitchingProtocols: // no request asks for another protocol
		return errors.Wrap(ErrBadResponse, "the protocol was switched without being asked")
	}
	return checkNames(res.Header)
}

// oldVersion is the version of responses in which net/http ignores a transfer encoding.
const oldVersion = "HTTP/1.0"

// checkOldHead returns an error if the next head is of HTTP/1.0 and names a transfer encoding, or is too long to tell. The
// framing of such a response is faulty (RFC 9112, section 6.1); net/http would leave it in the body.
func checkOldHead(r *bufio.Reader) error {
	version, err := r.Peek(len(oldVersion))
	if err != nil || string(version) != oldVersion {
		return nil // an error comes again as the head is read
	}
	head, err := peekHead(r)
	if err != nil {
		return errors.Mark(errors.Wrap(err, "read response"), ErrBadResponse)
	}
	newer := io.MultiReader(strings.NewReader("HTTP/1.1"), bytes.NewReader(head[len(oldVersion):]))
	res, err := http.ReadResponse(bufio.NewReader(newer), nil)
	if err != nil || len(res.TransferEncoding) > 0 {
		return errors.Wrap(ErrBadResponse, "a transfer encoding in a response of HTTP/1.0")
	}
	return nil
}

// peekHead returns the next head, with what is buffered after it.
func peekHead(r *bufio.Reader) (head []byte, err error) {
	for {
		head, err = r.Peek(max(r.Buffered(), 1))
		if err != nil || bytes.Contains(head, []byte("\n\r\n")) || bytes.Contains(head, []byte("\n\n")) {
			return head, err
		}
		if _, err = r.Peek(r.Buffered() + 1); err != nil {
			return nil, err
		}
	}
}

// checkNames returns an error if the name of a field is not a token.
func checkNames(h http.Header) error {
	for name := range h {
		if !isToken(name) {
			return errors.Wrapf(ErrBadResponse, "field name %.64q", name)
		}
	}
	return nil
}

// tokenMarks are the characters of a token besides letters and digits (RFC 9110, section 5.6.2).
const tokenMarks = "!#$%&'*+-.^_`|~"

func isToken(s string) bool {
	return s != "" && !strings.ContainsFunc(s, func(r rune) bool {
		isAlphanumeric := '0' <= r && r <= '9' || 'a' <= r && r <= 'z' || 'A' <= r && r <= 'Z'
		return !isAlphanumeric && !strings.ContainsRune(tokenMarks, r)
	})
}

// trailedBody is a body that may be followed by a trailer, which it checks.
type trailedBody struct {
	io.ReadCloser
	res *http.Response
}

// Read implements io.Reader.
func (b *trailedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		if bad := checkNames(b.res.Trailer); bad != nil {
			return n, bad
		}
	}
	return n, err
}
