package reading

import (
	"net/http"
	"net/url"
	"path"
	"strings"
)

// A Refusal is the reason why a request is rejected.
type Refusal struct {
	Status int
	Reason string
	// Close says that the connection must be closed, since what follows may not be a request.
	Close bool
}

// CheckTarget rejects requests whose target or host not every HTTP implementation would parse in the same way. It
// returns nil for valid ones.
func CheckTarget(r *http.Request) *Refusal {
	uri := r.RequestURI
	switch {
	case r.Method == http.MethodConnect:
		return &Refusal{Status: http.StatusNotImplemented, Reason: "connections cannot be upgraded", Close: true}
	case strings.Contains(uri, "#"):
		return &Refusal{Status: http.StatusBadRequest, Reason: "a request's target has no fragment"} // RFC 9112, 3.2
	case !strings.HasPrefix(uri, "/") && !isAbsoluteHTTP(r.URL):
		return &Refusal{Status: http.StatusBadRequest, Reason: "the target is neither a path nor an absolute one of http"}
	case !canForward(OriginForm(r)):
		return &Refusal{Status: http.StatusBadRequest, Reason: "a path that begins with two slashes has a character that must be encoded"}
	case !validPort(r.Host):
		return &Refusal{Status: http.StatusBadRequest, Reason: "the host's port is no number"}
	}
	return nil
}

// canForward reports whether net/http writes the target as it is. It takes a path that begins with two slashes for a URL
// without its scheme, unless net/url has nothing to encode in it.
func canForward(origin string) bool {
	if !strings.HasPrefix(origin, "//") {
		return true
	}
	u, err := url.ParseRequestURI(origin)
	return err == nil && u.RequestURI() == origin
}

// isAbsoluteHTTP reports whether the target is an http URL with a host and without user information (RFC 9110, 4.2.4).
func isAbsoluteHTTP(u *url.URL) bool {
	return u.Scheme == "http" && u.Host != "" && u.User == nil
}

// validPort reports whether the host has a numeric port or none.
func validPort(host string) bool {
	_, port, _ := strings.Cut(host[strings.LastIndexByte(host, ']')+1:], ":")
	return strings.Trim(port, "0123456789") == ""
}

// OriginForm returns the request's path and query as the caller sent them, without scheme and host (RFC 9112, 3.2.1).
func OriginForm(r *http.Request) string {
	_, rest, found := strings.Cut(r.RequestURI, "://")
	if strings.HasPrefix(r.RequestURI, "/") || !found {
		return r.RequestURI
	}
	i := strings.IndexAny(rest, "/?")
	switch {
	case i < 0:
		return "/"
	case rest[i] == '?':
		return "/" + rest[i:]
	}
	return rest[i:]
}

// NormalizePath returns the path of a target in origin form as a lenient server may interpret it, with unreserved
// characters decoded, and dot segments and empty segments resolved (RFC 3986, 6.2.2). If the path contains "..",
// encoded slashes and backslashes count as separators too. If the result leads to another route than the raw path,
// a target could run what the caller of that route may not request.
func NormalizePath(origin string) string {
	p, _, _ := strings.Cut(origin, "?")
	if isPlain(p) {
		return p
	}
	if lax := stripDotParams(normalizeEscapes(p, true)); hasDotDot(lax) {
		return cleanPath(lax)
	}
	return cleanPath(stripDotParams(normalizeEscapes(p, false)))
}

// isPlain reports whether the path has nothing to decode or resolve.
func isPlain(p string) bool {
	for i := range len(p) {
		switch c := p[i]; {
		case c == '%', needsEncoding(c):
			return false
		case c == '/' && i+1 < len(p) && (p[i+1] == '/' || p[i+1] == '.'):
			return false
		}
	}
	return true
}

// needsEncoding reports whether net/url encodes the byte in a path.
func needsEncoding(c byte) bool {
	switch c {
	case '"', '<', '>', '\\', '^', '`', '{', '|', '}':
		return true
	}
	return c >= 0x7f
}

// stripDotParams removes the parameters of dot segments ("..;a"): some servers strip the parameters of all segments
// before they resolve dots.
func stripDotParams(p string) string {
	if !strings.Contains(p, ";") {
		return p
	}
	segments := strings.Split(p, "/")
	for i, s := range segments {
		if name, _, _ := strings.Cut(s, ";"); name == "." || name == ".." {
			segments[i] = name
		}
	}
	return strings.Join(segments, "/")
}

func hasDotDot(p string) bool {
	for segment := range strings.SplitSeq(p, "/") {
		if segment == ".." {
			return true
		}
	}
	return false
}

// cleanPath resolves dot segments and empty segments. A path that ends with a slash or a dot segment keeps a final
// slash.
func cleanPath(p string) string {
	last := p[strings.LastIndexByte(p, '/')+1:]
	p = path.Clean(p)
	if (last == "" || last == "." || last == "..") && p != "/" {
		p += "/"
	}
	return p
}

// normalizeEscapes decodes unreserved characters and encodes those that need it; other escapes are kept as they are.
// If lax, encoded slashes and all backslashes become slashes.
func normalizeEscapes(p string, lax bool) string {
	var b strings.Builder
	for i := 0; i < len(p); i++ {
		c := p[i]
		if c == '%' && i+2 < len(p) {
			d, err := url.PathUnescape(p[i : i+3])
			slash := lax && (d == "/" || d == `\`)
			if err != nil || !slash && !isUnreserved(d[0]) {
				b.WriteString(p[i : i+3])
				i += 2
				continue
			}
			c = d[0]
			i += 2
		}
		if lax && c == '\\' {
			c = '/'
		}
		if needsEncoding(c) {
			b.WriteString(url.PathEscape(string([]byte{c})))
			continue
		}
		b.WriteByte(c)
	}
	return b.String()
}

func isUnreserved(c byte) bool {
	return 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || '0' <= c && c <= '9' || strings.IndexByte("-._~", c) >= 0
}
