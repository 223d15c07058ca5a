package node_test

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// A strictness says which forms a strict reader takes that RFC 9112 lets a recipient take and no sender write.
type strictness struct {
	// bareLF is a header line's end without CR (2.2), folded a header line in several (5.2), and emptyLines are two ends of
	// lines behind the body of a POST (2.2).
	bareLF, folded, emptyLines bool
}

var (
	strictest = strictness{}
	// serverStrictness is what the callers' door takes.
	serverStrictness = strictness{bareLF: true, folded: true, emptyLines: true}
)

// A strictRequest is one request as it stands in a caller's bytes.
type strictRequest struct {
	method, target, proto, body string
	fields                      []field
}

type field struct{ name, value string }

// values returns the values of the header lines of that name.
func (r *strictRequest) values(name string) (list []string) {
	for _, f := range r.fields {
		if strings.EqualFold(f.name, name) {
			list = append(list, f.value)
		}
	}
	return list
}

// closes says that no request may follow on the connection.
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

var errIncomplete = errors.New("the bytes end within a request")

// parseStrict reads requests until the bytes end, or one of them is not well-formed. It shares no code with the library
// that the door reads with.
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

// line takes a line with its end.
func (p *strictReader) line(bareLF bool) (string, error) {
	i := strings.IndexByte(p.rest, '\n')
	if i < 0 {
		return "", errIncomplete
	}
	line, ended := strings.CutSuffix(p.rest[:i], "\r")
	p.rest = p.rest[i+1:]
	if !ended && !bareLF || strings.Contains(line, "\r") {
		return "", fmt.Errorf("line %q ends badly", line)
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
		return r, fmt.Errorf("request line %q", line)
	}
	r.method, r.target, r.proto = parts[0], parts[1], parts[2]
	if !isToken(r.method) || !isTarget(r.target) || !isVersion(r.proto) {
		return r, fmt.Errorf("request line %q", line)
	}
	if r.fields, err = p.fields(); err != nil {
		return r, err
	}
	if hosts := len(r.values("Host")); hosts > 1 || hosts == 0 && r.proto != "HTTP/1.0" {
		return r, fmt.Errorf("%d hosts", hosts)
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
				return nil, errors.New("folded line")
			}
			last := &list[len(list)-1]
			last.value = strings.Trim(last.value+" "+strings.Trim(line, " \t"), " \t")
			line = last.name + ":" + last.value
			list = list[:len(list)-1]
		}
		name, value, found := strings.Cut(line, ":")
		value = strings.Trim(value, " \t")
		if !found || !isToken(name) || !isValue(value) {
			return nil, fmt.Errorf("header line %q", line)
		}
		list = append(list, field{name, value})
	}
}

func (p *strictReader) body(r *strictRequest) (string, error) {
	lengths, codings := r.values("Content-Length"), r.values("Transfer-Encoding")
	switch {
	case len(lengths) > 1, len(codings) > 1, len(lengths) > 0 && len(codings) > 0:
		return "", errors.New("more than one thing says how long the body is")
	case len(codings) == 1 && (r.proto == "HTTP/1.0" || !strings.EqualFold(codings[0], "chunked")):
		return "", fmt.Errorf("coding %q", codings[0])
	case len(codings) == 1:
		return p.chunks()
	case len(lengths) == 0:
		return "", nil
	}
	n, err := strconv.ParseUint(lengths[0], 10, 63)
	if err != nil || strings.Trim(lengths[0], "0123456789") != "" {
		return "", fmt.Errorf("length %q", lengths[0])
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
			return "", fmt.Errorf("chunk's line %q", line)
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
			return "", fmt.Errorf("%q after a chunk", end)
		}
	}
}

// isToken says whether the text is a token (RFC 9110, 5.6.2).
func isToken(s string) bool {
	return s != "" && strings.IndexFunc(s, func(c rune) bool {
		return c <= ' ' || c >= 0x7f || strings.ContainsRune(`"(),/:;<=>?@[\]{}`, c)
	}) < 0
}

// isVersion says whether the text is HTTP/1 with a later version's digit, or none.
func isVersion(s string) bool {
	digit, found := strings.CutPrefix(s, "HTTP/1.")
	return found && len(digit) == 1 && digit[0] >= '0' && digit[0] <= '9'
}

// isTarget says whether the text has no byte that ends a request's target, or splits it elsewhere.
func isTarget(s string) bool {
	return s != "" && strings.IndexFunc(s, func(c rune) bool { return c <= ' ' || c == 0x7f || c == '#' }) < 0
}

// isValue says whether a header line's value has no control characters but tabs.
func isValue(s string) bool {
	return strings.IndexFunc(s, func(c rune) bool { return c < ' ' && c != '\t' || c == 0x7f }) < 0
}
