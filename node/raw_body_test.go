package node_test

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// bodyCases have unusual chunked bodies and trailers, most of them valid.
func bodyCases() []rawCase {
	body := func(s string) string { return post("a", chunked) + s }
	trailer := func(lines string) string { return body(chunk("hello") + "0\r\n" + lines + "\r\n\r\n") }
	const well = "a: POST /get/a hello"
	return []rawCase{
		{"chunks in two", body(chunk("hel") + chunk("lo") + lastChunk), "200:a kept", well},
		{"zeros before a size", body("0005\r\nhello\r\n" + lastChunk), "200:a kept", well},
		{"a size in capitals", body("A\r\nhellohello\r\n" + lastChunk), "200:a kept", "a: POST /get/a hellohello"},
		{"a last chunk of many zeros", body(chunk("hello") + "000\r\n\r\n"), "200:a kept", well},
		{"an extension", body("5;a=b\r\nhello\r\n" + lastChunk), "200:a kept", well},
		{"an extension in quotes", body("5;a=\"b;c\"\r\nhello\r\n" + lastChunk), "200:a kept", well},
		{"an extension on the last chunk", body(chunk("hello") + "0;a\r\n\r\n"), "200:a kept", well},
		{"a long extension", body("5;" + strings.Repeat("a", 3000) + "\r\nhello\r\n" + lastChunk), "200:a kept", well},
		{"a size of 64 bits", body("ffffffffffffffff\r\nhello\r\n" + lastChunk), "open", ""},
		{"chunks that have not ended", body(chunk("hello")), "open", ""},
		{"a body shorter than its Content-Length", post("a", "Content-Length: 10") + "hello", "open", ""},
		{"a body longer than its Content-Length", post("a", "Content-Length: 5") + "hello!", "200:a open", well},
		{"a body longer than its Content-Length by lines", post("a", "Content-Length: 5") + "hello world\r\n\r\n", "200:a 400 closed", well},

		{"a trailer", trailer("X-A: b"), "200:a kept", well},
		{"a trailer that is announced", post("a", chunked, "Trailer: X-A") + chunk("hello") + "0\r\nX-A: b\r\n\r\n", "200:a kept", well},
		{"a length in the trailer", trailer("Content-Length: 58"), "200:a kept", well},
		{"a coding in the trailer", trailer(chunked), "200:a kept", well},
		{"a host in the trailer", trailer("Host: other"), "200:a kept", well},
		{"an id in the trailer", trailer("X-Request-Id: evil"), "200:a kept", well},
		{"a key in the trailer", trailer("Authorization: Bearer evil"), "200:a kept", well},
		{"a workspace in the trailer", trailer("X-Tenant-Id: evil"), "200:a kept", well},
		{"a deadline in the trailer", trailer("X-Deadline-Ms: 0"), "200:a kept", well},
		{"Connection in the trailer", trailer("Connection: close"), "200:a kept", well},
		{"a request after the trailer", body(lastChunk) + get("b"), "200:a 200:b kept", "a: POST /get/a, b: GET /get/b"},
		{"a length that is announced as a trailer", post("a", chunked, "Trailer: Content-Length") + chunk("hello") + "0\r\nContent-Length: 58\r\n\r\n", "400 closed", ""},
		{"a coding that is announced as a trailer", post("a", chunked, "Trailer: Transfer-Encoding") + chunk("hello") + "0\r\n" + chunked + "\r\n\r\n", "400 closed", ""},
		{"a trailer that has not ended", body("0\r\nX-A: b\r\n"), "open", ""},
	}
}

// orderCases have several requests on a connection, or Expect headers.
func orderCases() []rawCase {
	const hello = "hello"
	five := func(id string) string { return post(id, "Content-Length: 5") + hello }
	none := head("POST /other/ HTTP/1.1", "Host: shop", "Content-Length: 5") + hello
	return []rawCase{
		{"three requests", get("a") + five("b") + get("c"), "200:a 200:b 200:c kept", "a: GET /get/a, b: POST /get/b hello, c: GET /get/c"},
		{"the first asks to close", get("a", "Connection: close") + get("evil"), "200:a closed", "a: GET /get/a"},
		{"the first asks to close in a list", get("a", "Connection: x, CLOSE") + get("evil"), "200:a closed", "a: GET /get/a"},
		{"the first is refused with its body unread", none + get("b"), "404 200:b kept", "b: GET /get/b"},
		{"the first is refused with a request as its body", head("POST /other/ HTTP/1.1", "Host: shop", "Content-Length: 58") + smuggled + get("b"), "404 200:b kept", "b: GET /get/b"},
		{"the first is refused with chunks unread", head("POST /other/ HTTP/1.1", "Host: shop", chunked) + chunk(smuggled) + lastChunk + get("b"), "404 200:b kept", "b: GET /get/b"},
		{"the first is refused with a long body unread", head("POST /other/ HTTP/1.1", "Host: shop", "Content-Length: 1000000") + strings.Repeat(smuggled, 20000)[:1000000], "404 closed", ""},
		{"the first is refused and its chunks are bad", head("POST /other/ HTTP/1.1", "Host: shop", chunked) + "z\r\n" + smuggled, "404 closed", ""},
		{"the first is too long", head("POST /get/ HTTP/1.1", "Host: shop", "Content-Length: 1048577") + smuggled, "413 closed", ""},
		{"the first is malformed", "GET /get/a HTTP/1.1\r\nHost : shop\r\n\r\n" + get("evil"), "400 closed", ""},
		{"the second is malformed", get("a") + "GET /get/b HTTP/1.1\r\nHost : shop\r\n\r\n" + get("evil"), "200:a 400 closed", "a: GET /get/a"},
		{"HEAD before GET", head("HEAD /get/a HTTP/1.1", "Host: shop", "X-Request-Id: a") + get("b"), "200:a 200:b kept", "a: HEAD /get/a, b: GET /get/b"},
		{"run once twice", head("POST /once/a HTTP/1.1", "Host: shop", "X-Request-Id: a", "Content-Length: 5") + hello + head("POST /once/b HTTP/1.1", "Host: shop", "X-Request-Id: b", "Content-Length: 5") + hello, "200:a 200:b kept", "a: POST /once/a hello, b: POST /once/b hello"},
		{"100-continue", post("a", "Expect: 100-continue", "Content-Length: 5") + hello, "100 200:a kept", "a: POST /get/a hello"},
		{"100-continue in capitals", post("a", "Expect: 100-Continue", "Content-Length: 5") + hello, "100 200:a kept", "a: POST /get/a hello"},
		{"100-continue with chunks", post("a", "Expect: 100-continue", chunked) + chunk(hello) + lastChunk, "100 200:a kept", "a: POST /get/a hello"},
		{"100-continue without a body", post("a", "Expect: 100-continue"), "200:a kept", "a: POST /get/a"},
		{"100-continue that is refused", head("POST /other/ HTTP/1.1", "Host: shop", "Expect: 100-continue", "Content-Length: 58") + smuggled, "404 closed", ""},
		{"100-continue of HTTP/1.0", head("POST /get/a HTTP/1.0", "Host: shop", "X-Request-Id: a", "Expect: 100-continue", "Content-Length: 5") + hello, "200:a closed", "a: POST /get/a hello"},
		{"an unknown expectation", post("a", "Expect: 200-ok", "Content-Length: 5") + hello, "417 closed", ""},
		{"two expectations", post("a", "Expect: 100-continue, x", "Content-Length: 5") + hello, "100 200:a kept", "a: POST /get/a hello"},
	}
}

// TestRawBodies sends unusual chunked bodies and trailers.
func TestRawBodies(t *testing.T) {
	newRawServer(t).run(t, bodyCases())
}

// TestRawOrder sends pipelined requests, and requests with Expect. Each response belongs to its request, also after one
// that is refused with its body unread.
func TestRawOrder(t *testing.T) {
	newRawServer(t).run(t, orderCases())
}

// brokenBodyCases have bodies that are malformed, incomplete or too large.
func brokenBodyCases() []rawCase {
	body := func(s string) string { return post("a", chunked) + s }
	trailer := func(lines string) string { return body(chunk("hello") + "0\r\n" + lines + "\r\n\r\n") }
	return []rawCase{
		{"an extension after spaces", body("5 ; a\r\nhello\r\n" + lastChunk), "400 closed", ""},
		{"an extension that is too long", body("5;" + strings.Repeat("a", 1<<16) + "\r\nhello\r\n" + lastChunk), "400 closed", ""},
		{"long extensions on small chunks", body(strings.Repeat("1;"+strings.Repeat("a", 2000)+"\r\nx\r\n", 100) + lastChunk), "400 closed", ""},
		{"a bare CR in an extension", body("5;a\rb\r\nhello\r\n" + lastChunk), "400 closed", ""},
		{"a bare LF in an extension", body("5;a\nb\r\nhello\r\n" + lastChunk), "400 closed", ""},
		{"an extension that hides a chunk", body("5;\n0\r\n\r\n" + smuggled), "400 closed", ""},
		{"a bare LF after a size", body("5\nhello\r\n" + lastChunk), "400 closed", ""},
		{"a bare CR after a size", body("5\rhello\r\n" + lastChunk), "400 closed", ""},
		{"two CRs after a size", body("5\r\r\nhello\r\n" + lastChunk), "400 closed", ""},
		{"a bare LF after a chunk", body("5\r\nhello\n" + lastChunk), "400 closed", ""},
		{"a bare CR after a chunk", body("5\r\nhello\r" + lastChunk), "400 closed", ""},
		{"two characters after a chunk", body("5\r\nhelloXX" + lastChunk), "400 closed", ""},
		{"nothing after a chunk", body("5\r\nhello" + lastChunk), "400 closed", ""},
		{"a bare LF after the last size", body(chunk("hello") + "0\n\r\n" + smuggled), "400 closed", ""},
		{"no size", body("\r\nhello\r\n" + lastChunk), "400 closed", ""},
		{"a size with a plus", body("+5\r\nhello\r\n" + lastChunk), "400 closed", ""},
		{"a size with a minus", body("-5\r\nhello\r\n" + lastChunk), "400 closed", ""},
		{"a size with 0x", body("0x5\r\nhello\r\n" + lastChunk), "400 closed", ""},
		{"a size with an underscore", body("0_5\r\nhello\r\n" + lastChunk), "400 closed", ""},
		{"a size with a comma", body("5,5\r\nhello\r\n" + lastChunk), "400 closed", ""},
		{"a size that is no number", body("z\r\nhello\r\n" + lastChunk), "400 closed", ""},
		{"a size after a space", body(" 5\r\nhello\r\n" + lastChunk), "400 closed", ""},
		{"a size after a tab", body("\t5\r\nhello\r\n" + lastChunk), "400 closed", ""},
		{"a size with a NUL", body("5\x00\r\nhello\r\n" + lastChunk), "400 closed", ""},
		{"a size over 64 bits that wraps to five", body("10000000000000005\r\nhello\r\n" + lastChunk), "400 closed", ""},
		{"a chunk shorter than its size", body("6\r\nhello\r\n" + lastChunk), "400 closed", ""},
		{"a chunk longer than its size", body("4\r\nhello\r\n" + lastChunk), "400 closed", ""},
		{"chunks over the size limit", body(strings.Repeat(chunk(strings.Repeat("x", 1<<16)), 17) + lastChunk), "413 closed", "a: POST /get/a cut"},
		{"a space before a trailer's colon", trailer("X-A : b"), "400 closed", ""},
		{"a trailer without colon", trailer("GET /get/evil HTTP/1.1"), "400 closed", ""},
		{"NUL in a trailer", trailer("X-A: b\x00"), "400 closed", ""},
		{"a bare CR in a trailer", trailer("X-A: b\rc"), "400 closed", ""},
		{"a trailer that is too long", trailer("X-A: " + strings.Repeat("x", 1<<16)), "400 closed", ""},
		{"a chunk that breaks a long body", body(strings.Repeat(chunk(strings.Repeat("x", 1<<15)), 4) + "z\r\n" + smuggled), "400 closed", "a: POST /get/a cut"},
		{"a trailer that breaks a long body", body(strings.Repeat(chunk(strings.Repeat("x", 1<<15)), 4) + "0\r\nX-A\r\n\r\n" + smuggled), "400 closed", "a: POST /get/a cut"},
		{"a body that does not go on", post("a", "Content-Length: 10", "X-Deadline-Ms: 100") + "hello", "408 closed", ""},
		{"chunks that do not go on", post("a", chunked, "X-Deadline-Ms: 100") + chunk("hello"), "408 closed", ""},
	}
}

// TestRawBrokenBodies sends malformed bodies. Each gets an error response at once, and the target never receives a
// complete request.
func TestRawBrokenBodies(t *testing.T) {
	newRawServer(t).run(t, brokenBodyCases())
}

// missingBodyCases are refused before their body has arrived.
func missingBodyCases() []rawCase {
	none := func(lines ...string) string {
		return head(append([]string{"POST /other/ HTTP/1.1", "Host: shop"}, lines...)...)
	}
	return []rawCase{
		{"a body that does not come", none("Content-Length: 1000") + smuggled, "404 closed", ""},
		{"a long body that does not come", none("Content-Length: 1000000") + smuggled, "404 closed", ""},
		{"chunks that do not come", none(chunked) + chunk(smuggled), "404 closed", ""},
		{"a chunk that does not come", none(chunked) + "ff\r\n" + smuggled, "404 closed", ""},
	}
}

// TestRawRefusalsDoNotWait sends requests that are refused and whose announced body never arrives. The node responds
// and closes the connection without waiting for the body.
func TestRawRefusalsDoNotWait(t *testing.T) {
	d := newRawServer(t)
	start := time.Now()
	d.run(t, missingBodyCases())
	is.New(t).True(time.Since(start) < 6*time.Second)
}

// TestRawRefusalAfterRest leaves a connection idle past the deadline of its last request, and then sends one that is
// refused. The deadline of one request must not apply to the next.
func TestRawRefusalAfterRest(t *testing.T) {
	d := newRawServer(t)
	for _, c := range []rawCase{
		{"no route", head("GET /other/ HTTP/1.1", "Host: shop"), "404 kept", ""},
		{"no route for a body", head("POST /other/ HTTP/1.1", "Host: shop", "Content-Length: 5") + "hello", "404 kept", ""},
		{"malformed", "GET /get/a HTTP/1.1\r\nHost : shop\r\n\r\n", "400 closed", ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			nc, r := d.dial(t)
			_, err := io.WriteString(nc, get("a", "X-Deadline-Ms: 100"))
			is.NoErr(err)
			response, err := readRawResponse(r, http.MethodGet)
			is.NoErr(err)
			is.Equal(response, "200:a")
			time.Sleep(time.Second)
			is.Equal(d.playOn(nc, r, c), c.want)
		})
	}
}
