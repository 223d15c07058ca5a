package node_test

import "testing"

// targetCases have unusual or invalid request lines and hosts.
func targetCases() []rawCase {
	at := func(target string) string { return head("GET "+target+" HTTP/1.1", "Host: shop", "X-Request-Id: a") }
	line := func(s string) string { return head(s, "Host: shop", "X-Request-Id: a") }
	hosts := func(lines ...string) string {
		return head(append([]string{"GET /get/a HTTP/1.1", "X-Request-Id: a"}, lines...)...)
	}
	return []rawCase{
		{"an encoded slash", at("/get/a%2Fb"), "200:a kept", "a: GET /get/a%2Fb"},
		{"an encoded slash in the route's place", at("/get%2Fa"), "404 kept", ""},
		{"an encoded NUL", at("/get/a%00b"), "200:a kept", "a: GET /get/a%00b"},
		{"an encoded line end", at("/get/a%0d%0ab"), "200:a kept", "a: GET /get/a%0d%0ab"},
		{"an encoded space", at("/get/a%20b"), "200:a kept", "a: GET /get/a%20b"},
		{"an encoded fragment", at("/get/a%23b"), "200:a kept", "a: GET /get/a%23b"},
		{"an invalid encoding", at("/get/a%zz"), "400 closed", ""},
		{"a truncated encoding", at("/get/a%2"), "400 closed", ""},
		{"an invalid encoding in the query", at("/get/a?b=%zz"), "200:a kept", "a: GET /get/a?b=%zz"},
		{"slashes twice", at("/get//a"), "200:a kept", "a: GET /get//a"},
		{"slashes twice at the start", at("//get/a"), "404 kept", ""},
		{"a backslash", at(`/get/a\b`), "200:a kept", `a: GET /get/a\b`},
		{"characters that should be encoded", at(`/get/a"{|}^`), "200:a kept", `a: GET /get/a"{|}^`},
		{"bytes above ASCII", at("/get/ä\xff"), "200:a kept", "a: GET /get/ä\xff"},
		{"an empty query", at("/get/a?"), "200:a kept", "a: GET /get/a?"},
		{"two question marks", at("/get/a?b?c"), "200:a kept", "a: GET /get/a?b?c"},
		{"a dot", at("/get/./a"), "200:a kept", "a: GET /get/./a"},
		{"dots that stay within the route", at("/get/b/../a"), "200:a kept", "a: GET /get/b/../a"},
		{"dots in the query", at("/get/a?b=/../../once/"), "200:a kept", "a: GET /get/a?b=/../../once/"},
		{"three dots", at("/get/.../a"), "200:a kept", "a: GET /get/.../a"},
		{"NUL in the path", at("/get/a\x00b"), "400 closed", ""},
		{"DEL in the path", at("/get/a\x7fb"), "400 closed", ""},
		{"a space in the path", at("/get/a b"), "400 closed", ""},
		{"a space after the path", at("/get/a "), "400 closed", ""},
		{"a tab in the path", at("/get/a\tb"), "400 closed", ""},
		{"a tab in the query", at("/get/a?b\tc"), "400 closed", ""},
		{"a tab before the version", line("GET /get/a\tHTTP/1.1"), "400 closed", ""},
		{"no slash", at("get/a"), "400 closed", ""},
		{"no path", line("GET HTTP/1.1"), "400 closed", ""},
		{"two spaces before no path", line("GET  HTTP/1.1"), "400 closed", ""},
		{"two spaces before the path", line("GET  /get/a HTTP/1.1"), "400 closed", ""},
		{"two spaces before the version", line("GET /get/a  HTTP/1.1"), "400 closed", ""},
		{"a space after the version", line("GET /get/a HTTP/1.1 "), "400 closed", ""},
		{"a space before the method", line(" GET /get/a HTTP/1.1"), "400 closed", ""},
		{"a request without version", "GET /get/a\r\n\r\n", "400 closed", ""},
		{"no method", line("/get/a HTTP/1.1"), "400 closed", ""},
		{"a method with a parenthesis", line("GE(T /get/a HTTP/1.1"), "400 closed", ""},
		{"a custom method", line("BREW /get/a HTTP/1.1"), "200:a kept", "a: BREW /get/a"},
		{"a method in small letters", line("get /get/a HTTP/1.1"), "200:a kept", "a: get /get/a"},

		{"HTTP/1.0", line("GET /get/a HTTP/1.0"), "200:a closed", "a: GET /get/a"},
		{"HTTP/1.0 with keep-alive", head("GET /get/a HTTP/1.0", "Host: shop", "X-Request-Id: a", "Connection: keep-alive"), "200:a kept", "a: GET /get/a"},
		{"HTTP/1.0 without host", "GET /get/a HTTP/1.0\r\nX-Request-Id: a\r\n\r\n", "404 closed", ""},
		{"HTTP/0.9", line("GET /get/a HTTP/0.9"), "505 closed", ""},
		{"HTTP/1.2", line("GET /get/a HTTP/1.2"), "200:a kept", "a: GET /get/a"},
		{"HTTP/2.0", line("GET /get/a HTTP/2.0"), "505 closed", ""},
		{"http/1.1", line("GET /get/a http/1.1"), "400 closed", ""},
		{"HTTP/01.1", line("GET /get/a HTTP/01.1"), "400 closed", ""},
		{"HTTP/1.10", line("GET /get/a HTTP/1.10"), "400 closed", ""},

		{"two hosts", hosts("Host: shop", "Host: other"), "400 closed", ""},
		{"two equal hosts", hosts("Host: shop", "Host: shop"), "400 closed", ""},
		{"two hosts, one in small letters", hosts("Host: shop", "host: other"), "400 closed", ""},
		{"two hosts in a line", hosts("Host: shop, other"), "400 closed", ""},
		{"no host", hosts(), "400 closed", ""},
		{"an empty host", hosts("Host:"), "404 kept", ""},
		{"a space before the host's colon", hosts("Host : shop"), "400 closed", ""},
		{"a host in capitals", hosts("Host: SHOP"), "200:a kept", "a: GET /get/a"},
		{"a host with a port", hosts("Host: shop:80"), "200:a kept", "a: GET /get/a"},
		{"a host with a user", hosts("Host: evil@shop"), "400 closed", ""},
		{"a host with a path", hosts("Host: shop/get"), "400 closed", ""},
		{"a host with a NUL", hosts("Host: shop\x00"), "400 closed", ""},
		{"a host with a space", hosts("Host: sh op"), "400 closed", ""},
		{"a host that Connection names", hosts("Host: shop", "Connection: Host"), "200:a kept", "a: GET /get/a"},
		{"another host in X-Forwarded-Host", hosts("Host: shop", "X-Forwarded-Host: other"), "200:a kept", "a: GET /get/a"},

		{"the absolute form that names another host", at("http://other/get/a"), "404 kept", ""},
		{"the absolute form without host", "GET http://shop/get/a HTTP/1.1\r\nX-Request-Id: a\r\n\r\n", "400 closed", ""},
		{"the absolute form with two hosts", head("GET http://shop/get/a HTTP/1.1", "Host: shop", "Host: shop"), "400 closed", ""},
		{"the absolute form without path", at("http://shop"), "404 kept", ""},

		{"OPTIONS for all", line("OPTIONS * HTTP/1.1"), "200 kept", ""},
		{"OPTIONS of a path", line("OPTIONS /get/a HTTP/1.1"), "200:a kept", "a: OPTIONS /get/a"},
		{"HEAD", line("HEAD /get/a HTTP/1.1"), "200:a kept", "a: HEAD /get/a"},
		{"Upgrade", get("a", "Connection: Upgrade", "Upgrade: websocket"), "200:a kept", "a: GET /get/a"},
		{"Upgrade to HTTP/2", get("a", "Connection: Upgrade, HTTP2-Settings", "Upgrade: h2c", "HTTP2-Settings: AAMAAABk"), "200:a kept", "a: GET /get/a"},
	}
}

// TestRawTargets sends unusual and invalid request lines and hosts.
func TestRawTargets(t *testing.T) {
	newRawServer(t).run(t, targetCases())
}

// formCases have request targets that the node's router and a target may interpret differently.
func formCases() []rawCase {
	at := func(target string) string { return head("GET "+target+" HTTP/1.1", "Host: shop", "X-Request-Id: a") }
	line := func(s string) string { return head(s, "Host: shop", "X-Request-Id: a") }
	host := func(s string) string { return head("GET /get/a HTTP/1.1", "X-Request-Id: a", "Host: "+s) }
	return []rawCase{
		{"dots that lead to another route", at("/get/../once/a"), "400 kept", ""},
		{"encoded dots that lead to another route", at("/get/%2e%2E/once/a"), "400 kept", ""},
		{"dots that lead to no route", at("/get/../other/a"), "400 kept", ""},
		{"dots that lead above the root", at("/get/../../../a"), "400 kept", ""},
		{"dots that end the path", at("/get/a/../.."), "400 kept", ""},
		{"a fragment", at("/get/a#b"), "400 kept", ""},
		{"a fragment in the query", at("/get/a?b#c"), "400 kept", ""},
		{"the preface of HTTP/2", "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", "400 closed", ""},
		{"a host with an invalid port", host("shop:evil"), "400 kept", ""},
		{"a host with two ports", host("shop:80:80"), "400 kept", ""},
		{"the absolute form", at("http://shop/get/a?b=c"), "200:a kept", "a: GET /get/a?b=c"},
		{"the absolute form with a port", at("http://shop:80/get/a"), "200:a kept", "a: GET /get/a"},
		{"the absolute form beside another host", head("GET http://shop/get/a HTTP/1.1", "Host: other", "X-Request-Id: a"), "200:a kept", "a: GET /get/a"},
		{"the absolute form with an encoded path", at("http://shop/get/a%2fb"), "200:a kept", "a: GET /get/a%2fb"},
		{"the absolute form with a user", at("http://evil@shop/get/a"), "400 kept", ""},
		{"the absolute form of another scheme", at("ftp://shop/get/a"), "400 kept", ""},
		{"the absolute form with dots", at("http://shop/get/../once/a"), "400 kept", ""},
		{"a scheme without host", at("http:/get/a"), "400 kept", ""},
		{"CONNECT to a host", head("CONNECT shop:80 HTTP/1.1", "Host: shop:80", "X-Request-Id: a"), "501 closed", ""},
		{"CONNECT to a path", line("CONNECT /get/a HTTP/1.1"), "501 closed", ""},
		{"CONNECT and bytes for a tunnel", head("CONNECT shop:80 HTTP/1.1", "Host: shop:80") + smuggled, "501 closed", ""},
		{"GET for all", line("GET * HTTP/1.1"), "400 kept", ""},
		{"a path behind a route's dots, encoded in part", at("/get/.%2e/once/a"), "400 kept", ""},
		{"dots behind an encoded slash", at("/get/..%2Fonce/a"), "400 kept", ""},
		{"an encoded letter that hides another route", head("GET /o%6ece/a HTTP/1.1", "Host: all", "X-Request-Id: a"), "400 kept", ""},
		{"slashes that hide another route", head("GET //once/a HTTP/1.1", "Host: all", "X-Request-Id: a"), "400 kept", ""},
		{"a dot that hides another route", head("GET /./once/a HTTP/1.1", "Host: all", "X-Request-Id: a"), "400 kept", ""},
		{"an encoded slash that matches no other route", head("GET /once%2Fa HTTP/1.1", "Host: all", "X-Request-Id: a"), "200:a kept", "a: GET /once%2Fa"},
		{"an encoded letter of the same route", head("GET /g%65t/a HTTP/1.1", "Host: all", "X-Request-Id: a"), "200:a kept", "a: GET /g%65t/a"},
		{"dots with a parameter", at("/get/..;a=b/once/a"), "400 kept", ""},
		{"encoded dots with a parameter", at("/get/%2e.;/once/a"), "400 kept", ""},
		{"a dot with a parameter that hides another route", head("GET /.;a/once/a HTTP/1.1", "Host: all", "X-Request-Id: a"), "400 kept", ""},
		{"a parameter", at("/get/b;a=../c"), "200:a kept", "a: GET /get/b;a=../c"},
		{"dots behind a backslash", at("/get/..\\once/a"), "400 kept", ""},
		{"slashes twice at the start, and a character to encode", head("GET //a|b HTTP/1.1", "Host: all", "X-Request-Id: a"), "400 kept", ""},
		{"the absolute form with such a path", head("GET http://all//a|b HTTP/1.1", "Host: all", "X-Request-Id: a"), "400 kept", ""},
		{"slashes twice at the start, and a query to encode", head("GET //a?b|c HTTP/1.1", "Host: all", "X-Request-Id: a"), "200:a kept", "a: GET //a?b|c"},
	}
}

// TestRawForms sends request targets that a target may interpret differently from the node's router. The node refuses
// those that could reach another route.
func TestRawForms(t *testing.T) {
	newRawServer(t).run(t, formCases())
}
