package reading

import (
	"net/http"
	"strings"
)

// ValidFields says whether all names are tokens, and all values free of control characters (RFC 9110, 5.1 and 5.5). The
// library checks headers, but no trailers.
func ValidFields(h http.Header) bool {
	for name, values := range h {
		if !isToken(name) {
			return false
		}
		for _, v := range values {
			if strings.IndexFunc(v, isControl) >= 0 {
				return false
			}
		}
	}
	return true
}

func isToken(s string) bool {
	for i := range len(s) {
		if s[i] <= ' ' || s[i] >= 0x7f || strings.IndexByte(`"(),/:;<=>?@[\]{}`, s[i]) >= 0 {
			return false
		}
	}
	return s != ""
}

func isControl(c rune) bool {
	return c < ' ' && c != '\t' || c == 0x7f
}
