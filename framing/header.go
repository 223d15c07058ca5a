package framing

import (
	"bytes"
	"strings"
)

const (
	contentLength    = "Content-Length"
	transferEncoding = "Transfer-Encoding"
)

// A head is the part of a request's header that determines the framing, as read so far.
type head struct {
	// started says that the request line has been read, http10 that its version is HTTP/1.0, and http2 that it is HTTP/2.0,
	// which is not parsed any further.
	started, http10, http2 bool
	// lengths and codings count the Content-Length and Transfer-Encoding fields; length and coding are the last values.
	lengths, codings int
	length, coding   string
	// lastValue is the value that a folded line continues, or nil if that field is ignored.
	lastValue *string
}

// addLine adds a line, and reports whether it ends the header.
func (h *head) addLine(line []byte) bool {
	switch {
	case !h.started:
		// net/http skips leading empty lines, or rejects them.
		h.started, h.http10, h.http2 = len(line) > 0, bytes.HasSuffix(line, []byte("HTTP/1.0")), bytes.HasSuffix(line, []byte("HTTP/2.0"))
		return false
	case len(line) == 0:
		return true
	case line[0] == ' ' || line[0] == '\t':
		if h.lastValue != nil {
			*h.lastValue = strings.TrimSpace(*h.lastValue + " " + string(line))
		}
		return false
	}
	h.field(line)
	return false
}

func (h *head) field(line []byte) {
	h.lastValue = nil
	name, value, _ := bytes.Cut(line, []byte(":"))
	switch {
	case len(name) == len(contentLength) && strings.EqualFold(string(name), contentLength):
		h.lengths++
		h.length, h.lastValue = string(bytes.Trim(value, " \t")), &h.length
	case len(name) == len(transferEncoding) && strings.EqualFold(string(name), transferEncoding):
		h.codings++
		h.coding, h.lastValue = string(bytes.Trim(value, " \t")), &h.coding
	}
}
