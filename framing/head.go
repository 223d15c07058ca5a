package framing

import (
	"bytes"
	"strings"
)

const (
	contentLength    = "Content-Length"
	transferEncoding = "Transfer-Encoding"
)

// A head is what a request's header has said of its end so far.
type head struct {
	// started says that the request's first line has come, http10 that it names HTTP/1.0, and http2 that it names HTTP/2, of
	// which no lines follow.
	started, http10, http2 bool
	// lengths and codings are how many there are of each; length and coding are the last ones.
	lengths, codings int
	length, coding   string
	// lastValue is the value that a folded line goes on with, if it matters.
	lastValue *string
}

// addLine takes a line, and says whether the header ends with it.
func (h *head) addLine(line []byte) bool {
	switch {
	case !h.started:
		// The library passes over empty lines in this place, or refuses them.
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
