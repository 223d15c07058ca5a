package node_test

import (
	"strings"
	"testing"
)

// lineCases have unusual or invalid header lines and line ends.
func lineCases() []rawCase {
	lf := func(s string) string { return strings.ReplaceAll(s, "\r\n", "\n") }
	with := func(line string) string { return get("a", line) }
	return []rawCase{
		{"all lines end in a bare LF", lf(get("a")), "200:a kept", "a: GET /get/a"},
		{"one line ends in a bare LF", get("a", "X-A: b\nX-B: c"), "200:a kept", "a: GET /get/a"},
		{"the header ends in a bare LF", strings.TrimSuffix(get("a"), "\r\n") + "\n", "200:a kept", "a: GET /get/a"},
		{"bare LFs and a body", lf(post("a", "Content-Length: 5")) + "hello", "200:a kept", "a: POST /get/a hello"},
		{"bare LFs and chunks", lf(post("a", chunked)) + chunk("hello") + lastChunk, "200:a kept", "a: POST /get/a hello"},
		{"a bare LF hides a length", post("a", "X-A: b\nContent-Length: 5") + "hello", "200:a kept", "a: POST /get/a hello"},
		{"two bare LFs before a request", strings.TrimSuffix(get("a", "X-A: b"), "\r\n") + "\n" + get("b"), "200:a 200:b kept", "a: GET /get/a, b: GET /get/b"},
		{"a bare CR in a value", with("X-A: b\rc"), "400 closed", ""},
		{"a bare CR at a value's end", with("X-A: b\r"), "400 closed", ""},
		{"a bare CR hides a line", with("X-A: b\rX-Request-Id: evil"), "400 closed", ""},
		{"a bare CR hides the header's end", with("X-A: b\r\rGET /get/evil HTTP/1.1\rHost: shop"), "400 closed", ""},
		{"a bare CR in a name", with("X-\rA: b"), "400 closed", ""},
		{"a bare CR in the request line", "GET /get/a\r HTTP/1.1\r\nHost: shop\r\n\r\n", "400 closed", ""},
		{"a bare CR after the version", "GET /get/a HTTP/1.1\r\r\nHost: shop\r\n\r\n", "400 closed", ""},
		{"a bare CR before the header's end", strings.TrimSuffix(get("a"), "\r\n") + "\r\r\n", "400 closed", ""},
		{"bare CRs only", strings.ReplaceAll(get("a"), "\r\n", "\r") + "\r\n\r\n", "400 closed", ""},
		{"NUL in a value", with("X-A: b\x00c"), "400 closed", ""},
		{"NUL in a name", with("X-\x00A: b"), "400 closed", ""},
		{"NUL before a name", with("\x00X-A: b"), "400 closed", ""},
		{"NUL in the method", "G\x00ET /get/a HTTP/1.1\r\nHost: shop\r\n\r\n", "400 closed", ""},
		{"NUL in the id", head("GET /get/a HTTP/1.1", "Host: shop", "X-Request-Id: a\x00b"), "400 closed", ""},
		{"a bell in a value", with("X-A: b\ac"), "400 closed", ""},
		{"DEL in a value", with("X-A: b\x7fc"), "400 closed", ""},
		{"bytes above ASCII in a value", with("X-A: \xff\xe4"), "200:a kept", "a: GET /get/a"},
		{"bytes above ASCII in a name", with("X-Ä: b"), "400 closed", ""},
		{"a space before a colon", with("X-A : b"), "400 closed", ""},
		{"a tab before a colon", with("X-A\t: b"), "400 closed", ""},
		{"a space within a name", with("X A: b"), "400 closed", ""},
		{"a space before the first name", "GET /get/a HTTP/1.1\r\n Host: shop\r\nX-Request-Id: a\r\n\r\n", "400 closed", ""},
		{"a line of spaces first", "GET /get/a HTTP/1.1\r\n \r\nHost: shop\r\n\r\n", "400 closed", ""},
		{"no colon", with("X-A"), "400 closed", ""},
		{"no name", with(": b"), "400 closed", ""},
		{"a name in quotes", with(`"X-A": b`), "400 closed", ""},
		{"no value", with("X-A:"), "200:a kept", "a: GET /get/a"},
		{"a folded line", with("X-A: b\r\n c"), "200:a kept", "a: GET /get/a"},
		{"a line folded by a tab", with("X-A: b\r\n\tc"), "200:a kept", "a: GET /get/a"},
		{"a line folded over a bare LF", with("X-A: b\n c"), "200:a kept", "a: GET /get/a"},
		{"an empty folded line", with("X-A: b\r\n \r\n c"), "200:a kept", "a: GET /get/a"},
		{"a folded id", head("GET /get/a HTTP/1.1", "Host: shop", "X-Request-Id:\r\n a"), "200:a kept", "a: GET /get/a"},
		{"a folded line that looks like a request", with("X-A: b\r\n GET /get/evil HTTP/1.1"), "200:a kept", "a: GET /get/a"},
		{"a folded host", head("GET /get/a HTTP/1.1", "Host:\r\n shop", "X-Request-Id: a"), "200:a kept", "a: GET /get/a"},
		{"two ids", head("GET /get/a HTTP/1.1", "Host: shop", "X-Request-Id: a", "X-Request-Id: b"), "200:a kept", "a: GET /get/a"},
		{"an id that Connection names", with("Connection: X-Request-Id"), "200:a kept", "a: GET /get/a"},
		{"an empty line before the request", "\r\n" + get("a"), "400 closed", ""},
		{"an empty line between requests", get("a") + "\r\n" + get("b"), "200:a 400 closed", "a: GET /get/a"},
		{"an empty line after a POST", post("a", "Content-Length: 5") + "hello\r\n" + get("b"), "200:a 200:b kept", "a: POST /get/a hello, b: GET /get/b"},
		{"a header over the configured limit", with("X-A: " + strings.Repeat("x", 17<<10)), "431 kept", ""},
		{"a header that has not ended", strings.TrimSuffix(get("a"), "\r\n"), "open", ""},
		{"a request line that has not ended", "GET /get/a HT", "open", ""},
	}
}

// TestRawLines sends unusual and invalid header lines and line ends.
func TestRawLines(t *testing.T) {
	newRawServer(t).run(t, lineCases())
}

// largeHeaderCases have headers far over a node's limit.
func largeHeaderCases() []rawCase {
	with := func(line string) string { return get("a", line) }
	return []rawCase{
		{"a header of 1 MiB", with("X-A: " + strings.Repeat("x", 1<<20)), "431 closed", ""},
		{"a header of 1 MiB in many lines", with(strings.Repeat("X-A: b\r\n", 1<<17) + "X-B: c"), "431 closed", ""},
		{"a name of 1 MiB", with(strings.Repeat("x", 1<<20) + ": b"), "431 closed", ""},
		{"a folded line of 1 MiB", with("X-A: b" + strings.Repeat("\r\n c", 1<<18)), "431 closed", ""},
		{"a path of 1 MiB", "GET /get/" + strings.Repeat("x", 1<<20) + " HTTP/1.1\r\nHost: shop\r\n\r\n", "431 closed", ""},
	}
}

// longBodyCases are refused before their long bodies are read.
func longBodyCases() []rawCase {
	long := strings.Repeat("x", 1<<20)
	return []rawCase{
		{"a malformed header", post("a", "X-A : b", "Content-Length: 1048576") + long, "400 closed", ""},
		{"an unknown coding", post("a", "Transfer-Encoding: gzip") + long, "501 closed", ""},
		{"two hosts", post("a", "Host: other", "Content-Length: 1048576") + long, "400 closed", ""},
		{"an invalid length", post("a", "Content-Length: -1") + long, "400 closed", ""},
		{"an unknown expectation", post("a", "Expect: x", "Content-Length: 1048576") + long, "417 closed", ""},
		{"no route", head("POST /other/ HTTP/1.1", "Host: shop", "Content-Length: 1048576") + long, "404 closed", ""},
		{"a body over the size limit", post("a", "Content-Length: 1048577") + long + "x", "413 closed", ""},
		{"an invalid chunk size", post("a", chunked) + "z\r\n" + long, "400 closed", ""},
	}
}

// TestRawAnswersArriveWhole sends requests that are refused while the caller is still writing a very large header or a
// long body. Each caller receives the complete response, and not a connection reset.
func TestRawAnswersArriveWhole(t *testing.T) {
	newRawServer(t).run(t, append(largeHeaderCases(), longBodyCases()...))
}
