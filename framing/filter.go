// Package framing detects requests with ambiguous framing, as used for request smuggling. net/http picks one of two
// conflicting lengths and drops the other, so that handlers cannot tell; a proxy in front that picks the other one sees
// a different request where this one has its body (RFC 9112, 11.2).
package framing

import (
	"bytes"
	"io"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

// errAmbiguous ends reading at a request with several lengths, a length and a chunked body, or a transfer coding in
// HTTP/1.0.
var errAmbiguous = errors.New("ambiguous request framing")

// refusal replaces the end of an ambiguous header. It is not a valid header line, so that net/http responds with 400 and
// closes the connection. A read error instead would cancel the previous request if that is still being handled.
var refusal = []byte("\x00\r\n")

// A Filter follows the requests on one connection. The zero value expects the first request. Input that net/http
// rejects is not followed any further, since the connection ends there.
type Filter struct {
	state     state
	ambiguous bool
	// refusalRead is how much of refusal has been returned.
	refusalRead int
	// line is an unfinished line. Its length is bounded by net/http, which stops reading.
	line []byte
	// remaining is the number of bytes left of a body or chunk.
	remaining uint64
	head      head
}

// A state is the parser's position within a request.
type state int

const (
	inHeader state = iota
	inBody
	inChunkSize
	inChunk
	afterChunk
	inTrailer
	unknown
)

// Read reads from r up to the end of an ambiguous request's header, which it replaces by bytes that net/http rejects.
func (f *Filter) Read(r io.Reader, p []byte) (int, error) {
	if !f.ambiguous {
		n, err := r.Read(p)
		passed := f.scan(p[:n])
		if !f.ambiguous {
			return n, err
		}
		if passed > 0 {
			return passed, nil
		}
	}
	if f.refusalRead == len(refusal) {
		return 0, errAmbiguous
	}
	n := copy(p, refusal[f.refusalRead:])
	f.refusalRead += n
	return n, nil
}

// Ambiguous reports whether reading ended at an ambiguous request.
func (f *Filter) Ambiguous() bool {
	return f.ambiguous
}

// scan follows the bytes, and returns how many of them may be passed on.
func (f *Filter) scan(p []byte) int {
	i := 0
	for i < len(p) {
		switch f.state {
		case unknown:
			return len(p)
		case inBody, inChunk:
			n := min(f.remaining, uint64(len(p)-i))
			f.remaining -= n
			i += int(n)
			if f.remaining == 0 {
				f.state = f.nextState()
			}
			continue
		}
		eol := bytes.IndexByte(p[i:], '\n')
		if eol < 0 {
			f.line = append(f.line, p[i:]...)
			return len(p)
		}
		f.endLine(p[i : i+eol])
		i += eol
		if f.ambiguous {
			return i
		}
		i++
	}
	return i
}

// nextState returns the state after a body or chunk.
func (f *Filter) nextState() state {
	if f.state == inChunk {
		return afterChunk
	}
	return inHeader
}

// endLine processes a line, given its remaining bytes without the LF.
func (f *Filter) endLine(rest []byte) {
	line := rest
	if len(f.line) > 0 {
		line = append(f.line, rest...)
		f.line = f.line[:0]
	}
	text, strict := bytes.CutSuffix(line, []byte("\r"))
	switch {
	case f.state == inHeader && f.head.addLine(text):
		f.endHeader(f.head)
		f.head = head{}
	case f.state == inChunkSize:
		f.startChunk(text, strict)
	case f.state == afterChunk && strict && len(text) == 0:
		f.state = inChunkSize
	case f.state == afterChunk:
		f.state = unknown
	case f.state == inTrailer && len(text) == 0:
		f.state = inHeader
	}
}

// endHeader selects the state after a header.
func (f *Filter) endHeader(h head) {
	chunked := h.codings == 1 && strings.EqualFold(h.coding, "chunked")
	switch {
	case h.http2:
		f.state = unknown
	case h.http10 && h.codings > 0, chunked && h.lengths > 0:
		f.ambiguous = true
	case chunked:
		f.state = inChunkSize
	case h.codings > 0:
		f.state = unknown
	case h.lengths > 1:
		f.ambiguous = true
	case h.lengths == 1:
		f.startBody(h.length)
	}
}

func (f *Filter) startBody(length string) {
	n, err := strconv.ParseUint(length, 10, 63)
	switch {
	case err != nil:
		f.state = unknown
	case n > 0:
		f.state, f.remaining = inBody, n
	}
}

// startChunk parses a chunk-size line.
func (f *Filter) startChunk(line []byte, strict bool) {
	digits, _, _ := bytes.Cut(line, []byte(";"))
	n, err := strconv.ParseUint(string(bytes.TrimRight(digits, " \t")), 16, 64)
	switch {
	case err != nil || !strict:
		f.state = unknown
	case n == 0:
		f.state = inTrailer
	default:
		f.state, f.remaining = inChunk, n
	}
}
