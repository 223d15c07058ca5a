package node_test

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// A strictness selects the forms that a strictReader accepts. RFC 9112 lets recipients accept them but forbids senders
// to generate them.
type strictness struct {
	// bareLF accepts header lines that end without CR (section 2.2), folded accepts folded header lines (5.2), and
	// emptyLines accepts up to four CR or LF bytes after a POST request (2.2).
	bareLF, folded, emptyLines bool
}

var (
	strictest = strictness{}
	// serverStrictness is what the node's listener for callers accepts.
	serverStrictness = strictness{bareLF: true, folded: true, emptyLines: true}
)

// A strictRequest is one request as parsed from raw bytes.
type strictRequest struct {
	method, target, proto, body string
	fields                      []field
}

type field struct{ name, value string }

// values returns the values of the header lines of that name, which is matched regardless of case.
func (r *strictRequest) values(name string) (list []string) {
	for _, f := range r.fields {
		if strings.EqualFold(f.name, name) {
			list = append(list, f.value)
		}
	}
	return list
}

// closes reports whether the connection must close after the request.
func (r *strictRequest) closes() bool {
	persistent := r.proto != "HTTP/1.0"
	for _, v := range r.values("Connection") {
		for option := range strings.SplitSeq(v, ",") {
			switch strings.ToLower(strings.TrimSpace(option)) {
			case "close":
				return true
			case "keep-alive":
				persistent = true
			}
		}
	}
	return !persistent
}

var errIncomplete = errors.New("incomplete request")

// parseStrict parses requests up to the end of s, the first one that closes the connection, or the first malformed one.
// It shares no code with net/http, which the node reads requests with.
func parseStrict(s string, allowed strictness) (list []strictRequest, err error) {
	p := &strictReader{rest: s, strictness: allowed}
	for p.rest != "" {
		r, err := p.request()
		if err != nil {
			return list, err
		}
		list = append(list, r)
		if r.closes() {
			return list, nil
		}
		for i := 0; allowed.emptyLines && r.method == "POST" && i < 4 && strings.IndexAny(p.rest, "\r\n") == 0; i++ {
			p.rest = p.rest[1:]
		}
	}
	return list, nil
}

type strictReader struct {
	rest       string
	strictness strictness
}

// line consumes a line and returns it without its line end.
func (p *strictReader) line(bareLF bool) (string, error) {
	i := strings.IndexByte(p.rest, '\n')
	if i < 0 {
		return "", errIncomplete
	}
	line, ended := strings.CutSuffix(p.rest[:i], "\r")
	p.rest = p.rest[i+1:]
	if !ended && !bareLF || strings.Contains(line, "\r") {
		return "", fmt.Errorf("line %q has an invalid line end", line)
	}
	return line, nil
}

func (p *strictReader) request() (r strictRequest, err error) {
	line, err := p.line(p.strictness.bareLF)
	if err != nil {
		return r, err
	}
	parts := strings.Split(line, " ")
	if len(parts) != 3 {
		return r, fmt.Errorf("malformed request line %q", line)
	}
	r.method, r.target, r.proto = parts[0], parts[1], parts[2]
	if !isToken(r.method) || !isTarget(r.target) || !isVersion(r.proto) {
		return r, fmt.Errorf("malformed request line %q", line)
	}
	if r.fields, err = p.fields(); err != nil {
		return r, err
	}
	if hosts := len(r.values("Host")); hosts > 1 || hosts == 0 && r.proto != "HTTP/1.0" {
		return r, fmt.Errorf("%d Host header lines", hosts)
	}
	r.body, err = p.body(&r)
	return r, err
}

func (p *strictReader) fields() (list []field, err error) {
	for {
		line, err := p.line(p.strictness.bareLF)
		if err != nil || line == "" {
			return list, err
		}
		if line[0] == ' ' || line[0] == '\t' {
			if !p.strictness.folded || len(list) == 0 {
				return nil, errors.New("folded header line")
			}
			last := &list[len(list)-1]
			last.value = strings.Trim(last.value+" "+strings.Trim(line, " \t"), " \t")
			line = last.name + ":" + last.value
			list = list[:len(list)-1]
		}
		name, value, found := strings.Cut(line, ":")
		value = strings.Trim(value, " \t")
		if !found || !isToken(name) || !isValue(value) {
			return nil, fmt.Errorf("malformed header line %q", line)
		}
		list = append(list, field{name, value})
	}
}

func (p *strictReader) body(r *strictRequest) (string, error) {
	lengths, codings := r.values("Content-Length"), r.values("Transfer-Encoding")
	switch {
	case len(lengths) > 1, len(codings) > 1, len(lengths) > 0 && len(codings) > 0:
		return "", errors.New("ambiguous body length")
	case len(codings) == 1 && (r.proto == "HTTP/1.0" || !strings.EqualFold(codings[0], "chunked")):
		return "", fmt.Errorf("unsupported transfer coding %q", codings[0])
	case len(codings) == 1:
		return p.chunks()
	case len(lengths) == 0:
		return "", nil
	}
	n, err := strconv.ParseUint(lengths[0], 10, 63)
	if err != nil || strings.Trim(lengths[0], "0123456789") != "" {
		return "", fmt.Errorf("malformed Content-Length %q", lengths[0])
	}
	return p.take(n)
}

func (p *strictReader) take(n uint64) (string, error) {
	if n > uint64(len(p.rest)) {
		return "", errIncomplete
	}
	s := p.rest[:n]
	p.rest = p.rest[n:]
	return s, nil
}

func (p *strictReader) chunks() (body string, err error) {
	for {
		line, err := p.line(false)
		if err != nil {
			return "", err
		}
		size, extension, _ := strings.Cut(line, ";")
		size = strings.TrimRight(size, " \t")
		n, err := strconv.ParseUint(size, 16, 63)
		if err != nil || strings.Trim(size, "0123456789abcdefABCDEF") != "" || !isValue(extension) {
			return "", fmt.Errorf("malformed chunk size line %q", line)
		}
		if n == 0 {
			_, err := p.fields()
			return body, err
		}
		piece, err := p.take(n)
		if err != nil {
			return "", err
		}
		body += piece
		switch end, err := p.line(false); {
		case err != nil:
			return "", err
		case end != "":
			return "", fmt.Errorf("unexpected %q after a chunk", end)
		}
	}
}

// isToken reports whether s is a token (RFC 9110, 5.6.2).
func isToken(s string) bool {
	return s != "" && strings.IndexFunc(s, func(c rune) bool {
		return c <= ' ' || c >= 0x7f || strings.ContainsRune(`"(),/:;<=>?@[\]{}`, c)
	}) < 0
}

// isVersion reports whether s is HTTP/1.x with a single digit as the minor version.
func isVersion(s string) bool {
	digit, found := strings.CutPrefix(s, "HTTP/1.")
	return found && len(digit) == 1 && digit[0] >= '0' && digit[0] <= '9'
}

// isTarget reports whether s is not empty and has no whitespace, control character or "#", which would end the request
// target or split it.
func isTarget(s string) bool {
	return s != "" && strings.IndexFunc(s, func(c rune) bool { return c <= ' ' || c == 0x7f || c == '#' }) < 0
}

// isValue reports whether s has no control characters other than tabs.
func isValue(s string) bool {
	return strings.IndexFunc(s, func(c rune) bool { return c < ' ' && c != '\t' || c == 0x7f }) < 0
}
