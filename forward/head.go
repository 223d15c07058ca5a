package forward

import (
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
