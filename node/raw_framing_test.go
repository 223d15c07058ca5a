package node_test

import (
	"strings"
	"testing"
)

// smuggled is a request inside a body, or after the end of one: the target must never see it as a request.
var smuggled = get("evil")

// framingCases give the length of a body in unusual or invalid forms.
func framingCases() []rawCase {
	length := func(v string) string { return post("a", "Content-Length: "+v) }
	coding := func(lines ...string) string { return post("a", lines...) + chunk("hello") + lastChunk }
	return []rawCase{
		{"a length", length("5") + "hello", "200:a kept", "a: POST /get/a hello"},
		{"chunks", coding(chunked), "200:a kept", "a: POST /get/a hello"},
		{"a length in capitals", post("a", "CONTENT-LENGTH: 5") + "hello", "200:a kept", "a: POST /get/a hello"},
		{"no body", post("a"), "200:a kept", "a: POST /get/a"},
		{"a length of zero", length("0"), "200:a kept", "a: POST /get/a"},
		{"a length with zeros before it", length("0005") + "hello", "200:a kept", "a: POST /get/a hello"},
		{"a request within a body", length("58") + smuggled, "200:a kept", "a: POST /get/a 58 bytes"},
		{"a request within chunks", post("a", chunked) + chunk(smuggled) + lastChunk, "200:a kept", "a: POST /get/a 58 bytes"},

		{"two lengths that differ", post("a", "Content-Length: 5", "Content-Length: 0") + "hello", "400 closed", ""},
		{"two lengths, one in small letters", post("a", "Content-Length: 5", "content-length: 63") + "hello" + smuggled, "400 closed", ""},
		{"lengths in a list", length("5, 5") + "hello", "400 closed", ""},
		{"lengths in a list that differ", length("5,63") + "hello" + smuggled, "400 closed", ""},

		{"empty length", length("") + smuggled, "400 closed", ""},
		{"length with a plus", length("+5") + "hello", "400 closed", ""},
		{"length with a minus", length("-5") + "hello", "400 closed", ""},
		{"length of minus zero", length("-0"), "400 closed", ""},
		{"length in hex", length("0x5") + "hello", "400 closed", ""},
		{"length with letters", length("5a") + "hello", "400 closed", ""},
		{"length with an underscore", length("1_0") + "hellohello", "400 closed", ""},
		{"length with a space within", length("1 0") + "hellohello", "400 closed", ""},
		{"length with a point", length("5.0") + "hello", "400 closed", ""},
		{"length with an exponent", length("5e0") + "hello", "400 closed", ""},
		{"length in quotes", length(`"5"`) + "hello", "400 closed", ""},
		{"length in other digits", length("٥") + "hello", "400 closed", ""},
		{"length over 63 bits", length("9223372036854775808") + "hello", "400 closed", ""},
		{"length over 64 bits that wraps to five", length("18446744073709551621") + "hello", "400 closed", ""},
		{"huge length", length(strings.Repeat("9", 400)) + "hello", "400 closed", ""},
		{"length just over the limit", length("1048577") + "hello", "413 closed", ""},
		{"length of 63 bits", length("9223372036854775807") + "hello", "413 closed", ""},
		{"length with spaces around", length("  5\t ") + "hello", "200:a kept", "a: POST /get/a hello"},
		{"length with a form feed", length("5\f") + "hello", "400 closed", ""},
		{"length with a vertical tab before it", length("\v5") + "hello", "400 closed", ""},
		{"length with a no-break space", length("\u00a05") + "hello", "400 closed", ""},

		{"unknown coding", coding("Transfer-Encoding: gzip"), "501 closed", ""},
		{"xchunked", coding("Transfer-Encoding: xchunked"), "501 closed", ""},
		{"chunked and a coding", coding("Transfer-Encoding: chunked, identity"), "501 closed", ""},
		{"a coding and chunked", coding("Transfer-Encoding: gzip, chunked"), "501 closed", ""},
		{"identity", coding("Transfer-Encoding: identity"), "501 closed", ""},
		{"identity and a length", post("a", "Transfer-Encoding: identity", "Content-Length: 5") + "hello", "501 closed", ""},
		{"chunked twice in a line", coding("Transfer-Encoding: chunked, chunked"), "501 closed", ""},
		{"chunked twice", coding(chunked, chunked), "501 closed", ""},
		{"chunked and unknown", coding(chunked, "Transfer-Encoding: x"), "501 closed", ""},
		{"empty coding", coding("Transfer-Encoding:"), "501 closed", ""},
		{"empty coding and a length", post("a", "Transfer-Encoding:", "Content-Length: 5") + "hello", "501 closed", ""},
		{"chunked with a parameter", coding("Transfer-Encoding: chunked;q=1"), "501 closed", ""},
		{"chunked in quotes", coding(`Transfer-Encoding: "chunked"`), "501 closed", ""},
		{"chunked with a comma", coding("Transfer-Encoding: ,chunked"), "501 closed", ""},
		{"chunked with a vertical tab", coding("Transfer-Encoding: \vchunked"), "400 closed", ""},
		{"chunked with a Kelvin sign", coding("Transfer-Encoding: chun\u212aed"), "501 closed", ""},
		{"chunked in capitals", coding("Transfer-Encoding: CHUNKED"), "200:a kept", "a: POST /get/a hello"},
		{"chunked after spaces", coding("Transfer-Encoding:   chunked"), "200:a kept", "a: POST /get/a hello"},
		{"chunked after a tab", coding("Transfer-Encoding:\tchunked"), "200:a kept", "a: POST /get/a hello"},
		{"chunked before a tab", coding("Transfer-Encoding: chunked\t"), "200:a kept", "a: POST /get/a hello"},
		{"chunked on a folded line", coding("Transfer-Encoding:\r\n chunked"), "200:a kept", "a: POST /get/a hello"},
		{"a folded line that ends a coding", coding("Transfer-Encoding: chunked\r\n , identity"), "501 closed", ""},
		{"a length within another line", coding(chunked, "X-A: b\r\n Content-Length: 3"), "200:a kept", "a: POST /get/a hello"},
		{"a space before the coding's colon", coding("Transfer-Encoding : chunked"), "400 closed", ""},
		{"a tab before the coding's colon", coding("Transfer-Encoding\t: chunked"), "400 closed", ""},
		{"a space before the length's colon", post("a", "Content-Length : 63") + smuggled, "400 closed", ""},
		{"a NUL in the coding's name", coding("Transfer-Encoding\x00: chunked"), "400 closed", ""},
		{"a length with an underscore in its name", post("a", "Content_Length: 63") + get("b"), "200:a 200:b kept", "a: POST /get/a, b: GET /get/b"},
		{"a coding with an underscore in its name", post("a", "Transfer_Encoding: chunked") + get("b"), "200:a 200:b kept", "a: POST /get/a, b: GET /get/b"},
		{"a GET with a body", get("a", "Content-Length: 5") + "hello", "200:a kept", "a: GET /get/a hello"},
		{"a GET with a request as its body", get("a", "Content-Length: 58") + smuggled, "200:a kept", "a: GET /get/a 58 bytes"},
		{"a length that Connection names", post("a", "Connection: Content-Length", "Content-Length: 5") + "hello", "200:a kept", "a: POST /get/a hello"},
		{"chunks that Connection names", coding("Connection: Transfer-Encoding", chunked), "200:a kept", "a: POST /get/a hello"},
	}
}

// TestRawFraming sends requests with unusual or invalid Content-Length and Transfer-Encoding headers.
func TestRawFraming(t *testing.T) {
	newRawServer(t).run(t, framingCases())
}

// ambiguousCases give the length of a body twice, so that two parsers may find different requests.
func ambiguousCases() []rawCase {
	coding := func(lines ...string) string { return post("a", lines...) + chunk("hello") + lastChunk }
	return []rawCase{
		{"two equal lengths", post("a", "Content-Length: 5", "Content-Length: 5") + "hello", "400 closed", ""},
		{"length, then chunked", coding("Content-Length: 5", chunked), "400 closed", ""},
		{"chunked, then length", coding(chunked, "Content-Length: 15"), "400 closed", ""},
		{"length of zero, and chunked", coding("Content-Length: 0", chunked), "400 closed", ""},
		{"length and chunked around a request", post("a", "Content-Length: 4", chunked) + lastChunk + smuggled, "400 closed", ""},
		{"length that hides a request from chunks", post("a", "Content-Length: 63", chunked) + lastChunk + smuggled, "400 closed", ""},
		{"the second has a length and chunks", get("a") + post("b", "Content-Length: 4", chunked) + lastChunk + smuggled, "200:a 400 closed", "a: GET /get/a"},
		{"a bare LF hides a coding beside a length", post("a", "X-A: b\nTransfer-Encoding: chunked", "Content-Length: 10") + "5\r\nhello\r\n" + lastChunk, "400 closed", ""},
		{"HTTP/1.0 with chunks", head("POST /get/a HTTP/1.0", "Host: shop", "X-Request-Id: a", "Connection: keep-alive", chunked) + chunk("hello") + lastChunk, "400 closed", ""},
		{"HTTP/1.0 with chunks and a length", head("POST /get/a HTTP/1.0", "Host: shop", "X-Request-Id: a", "Connection: keep-alive", chunked, "Content-Length: 5") + lastChunk + smuggled, "400 closed", ""},
	}
}

// TestRawAmbiguousLengths sends requests whose body length is ambiguous. None of these may reach the target.
func TestRawAmbiguousLengths(t *testing.T) {
	newRawServer(t).run(t, ambiguousCases())
}
