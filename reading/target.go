package reading

import (
	"net/http"
	"net/url"
	"path"
	"strings"
)

// A Refusal struct says why a request is not taken.
type Refusal struct {
	Status int
	Reason string
	// Close says that what follows on the connection may be no request.
	Close bool
}

// CheckTarget returns a refusal of requests whose target or host cannot be passed on as one that every reader takes alike.
func CheckTarget(r *http.Request) *Refusal {
	uri := r.RequestURI
	switch {
	case r.Method == http.MethodConnect:
		return &Refusal{Status: http.StatusNotImplemented, Reason: "connections cannot be upgraded", Close: true}
	case strings.Contains(uri, "#"):
		return &Refusal{Status: http.StatusBadRequest, Reason: "a request's target has no fragment"} // RFC 9112, 3.2
	case !strings.HasPrefix(uri, "/") && !isAbsoluteHTTP(r.URL):
		return &Refusal{Status: http.StatusBadRequest, Reason: "the target is neither a path nor an absolute one of http"}
	case !validPort(r.Host):
		return &Refusal{Status: http.StatusBadRequest, Reason: "the host's port is no number"}
	}
	return nil
}

// isAbsoluteHTTP says whether the target names its host, and nobody's password (RFC 9110, 4.2.4).
func isAbsoluteHTTP(u *url.URL) bool {
	return u.Scheme == "http" && u.Host != "" && u.User == nil
}

// validPort says whether what follows the host's name, if anything, is a port.
func validPort(host string) bool {
	_, port, _ := strings.Cut(host[strings.LastIndexByte(host, ']')+1:], ":")
	return strings.Trim(port, "0123456789") == ""
}

// OriginForm returns the request's path and query as the caller wrote them, without a scheme and host before them
// (RFC 9112, 3.2.1).
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

// NormalizePath returns the path of a target in origin form as a reader may understand it that decodes letters, and resolves
// dots and empty segments (RFC 3986, 6.2.2). A path with dots is read in the laxest way: encoded slashes and backslashes
// part it too. If it leads to another route than the path as it stands, a target could run what the route's caller may
// not ask.
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

// isPlain says that there is nothing to decode or to resolve.
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

// needsEncoding says of signs whether the library encodes them, where it does not find them encoded.
func needsEncoding(c byte) bool {
	switch c {
	case '"', '<', '>', '\\', '^', '`', '{', '|', '}':
		return true
	}
	return c >= 0x7f
}

// stripDotParams drops the parameters of dots: some readers drop those of all segments before they resolve dots.
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

// cleanPath resolves dots and empty segments. What ends with a slash or dots still ends with a slash.
func cleanPath(p string) string {
	last := p[strings.LastIndexByte(p, '/')+1:]
	p = path.Clean(p)
	if (last == "" || last == "." || last == "..") && p != "/" {
		p += "/"
	}
	return p
}

// normalizeEscapes decodes what needs no encoding, and encodes what does; all else stays as it was written. If lax it takes
// encoded slashes and all backslashes for slashes.
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
