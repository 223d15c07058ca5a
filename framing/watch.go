// Package framing watches the bytes that a caller sends for requests that say in two ways where they end. The library that
// reads requests takes the one and forgets the other, so that nothing behind it can tell; a reader in front of it that takes
// the other one finds another request where this one has its body (RFC 9112, 11.2).
package framing

import (
	"bytes"
	"io"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

// errAmbiguous ends reading at a request that has two lengths, a length and chunks, or a coding though it is of HTTP/1.0.
var errAmbiguous = errors.New("the request says in two ways where it ends")

// refusal is what the library reads in place of an ambiguous header's end: no header line, so that it answers with 400 and
// closes the connection. An error would reach it while it works on the request before, and end that one.
var refusal = []byte("\x00\r\n")

// A Filter struct follows the requests on one connection. The zero value is at the start of the first one. It follows what
// the library takes; once the library has to refuse it follows nothing more, since the connection ends with that.
type Filter struct {
	state     state
	ambiguous bool
	// refusalRead is how much has been read of what is refused.
	refusalRead int
	// line is what has come of a line that has not ended. The library bounds how long one may get, as it stops reading.
	line []byte
	// remaining is what is to come of a body, or of a chunk.
	remaining uint64
	head      head
}

// A state is where in a request the bytes are.
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

// Read reads from r, up to the end of an ambiguous request's header. In its place comes what the library refuses.
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

// Ambiguous says whether reading ended at an ambiguous request.
func (f *Filter) Ambiguous() bool {
	return f.ambiguous
}

// scan follows the bytes, and returns how many of them may go on.
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

// nextState is what follows a body, or a chunk.
func (f *Filter) nextState() state {
	if f.state == inChunk {
		return afterChunk
	}
	return inHeader
}

// endLine takes the rest of a line, without its LF.
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

// endHeader goes on to what the header says comes next.
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

// startChunk takes the line before a chunk.
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
