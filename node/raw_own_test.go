package node_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"connectrpc.com/connect"
	tlv1 "github.com/tinladder/tinladder/schema/tinladder/v1"
	"github.com/tinladder/tinladder/schema/tinladder/v1/tinladderv1connect"
)

const (
	adminToken     = "admin.raw"
	ownToken       = "tuul.caller"
	ownTokenHeader = "Tinladder-Token: " + ownToken
)

// newOwnServers starts a fleet and returns its nodes' caller listeners, with a service of the fleet's own interface: /get/ is
// repeatable, /once/ runs once with a required key, and /free/ runs once with an optional key.
func newOwnServers(t testing.TB, nodes int) (*fleet, []*rawServer) {
	hash := func(s string) []byte {
		sum := sha256.Sum256([]byte(s))
		return sum[:]
	}
	f := startFleet(t, nodes, &fleet{operated: true, via: func(s string) string { return s }, extraSettings: func(int) string {
		return fmt.Sprintf("[operators]\nadmin_token_sha256 = %q\n", hex.EncodeToString(hash(adminToken)))
	}})
	target := f.target("i-1", "none")
	tap := newRecordingProxy(t, target.Address())
	f.apply(&tlv1.Document{Key: "ws/tuul", Body: &tlv1.Document_Workspace{Workspace: &tlv1.Workspace{
		Name: "tuul", TokenSha256: [][]byte{hash("tuul.operator")}, CallerTokenSha256: [][]byte{hash(ownToken)},
	}}})
	f.apply(&tlv1.Document{Key: "svc/tuul/desk", Body: &tlv1.Document_Service{Service: &tlv1.Service{
		Workspace: "tuul", Name: "desk", Profile: tlv1.Profile_PROFILE_QUICK,
		Routes: []*tlv1.Route{
			{PathPrefix: "/get/", Repeat: tlv1.Repeat_REPEAT_ALLOWED, DeadlineMs: 1000},
			{PathPrefix: "/once/", Repeat: tlv1.Repeat_REPEAT_ONCE, DeadlineMs: 1000},
			{PathPrefix: "/free/", Repeat: tlv1.Repeat_REPEAT_ONCE, KeyOptional: true, DeadlineMs: 1000},
			{PathPrefix: "/patient/once/", Repeat: tlv1.Repeat_REPEAT_ONCE, DeadlineMs: patient},
			{PathPrefix: "/patient/get/", Repeat: tlv1.Repeat_REPEAT_ALLOWED, DeadlineMs: patient},
		},
		Targets: []*tlv1.Target{{Id: "t-1", Address: tap.address(), Slots: 3, Hall: "h0"}},
	}}})
	var servers []*rawServer
	for _, n := range f.nodes {
		d := &rawServer{address: n.callers, probeHeaders: ownTokenHeader + "\r\n", target: target, proxy: tap}
		f.eventually(n.name+" serves the service", func() bool {
			return d.play(t, rawCase{send: get("warm", ownTokenHeader), want: "200 kept"}) == "200:warm kept"
		})
		servers = append(servers, d)
	}
	return f, servers
}

// apply writes a document through the operator API, retrying until it is accepted.
func (f *fleet) apply(d *tlv1.Document) {
	f.t.Helper()
	c := tinladderv1connect.NewOperatorServiceClient(f.http, "http://"+f.nodes[0].operators)
	var err error
	defer func() {
		if f.t.Failed() {
			f.t.Log(err)
		}
	}()
	f.eventually(d.GetKey()+" is written", func() bool {
		r := connect.NewRequest(&tlv1.ApplyRequest{Document: d, ChangeId: strings.ReplaceAll(d.GetKey(), "/", "-")})
		r.Header().Set("Authorization", "Bearer "+adminToken)
		_, err = c.Apply(context.Background(), r)
		return err == nil
	})
}

// keyPrefix queries a node for the prefix that keys must have.
func (f *fleet) keyPrefix(n *testNode) string {
	f.t.Helper()
	req, err := http.NewRequest(http.MethodGet, "http://"+n.callers+"/.tinladder/ask?service=desk", nil)
	if err != nil {
		f.t.Fatal(err)
	}
	req.Header.Set("Tinladder-Token", ownToken)
	res, err := f.http.Do(req)
	if err != nil {
		f.t.Fatal(err)
	}
	defer func() { _ = res.Body.Close() }()
	var answer struct {
		KeyPrefix string `json:"key_prefix"`
	}
	if err := json.NewDecoder(res.Body).Decode(&answer); err != nil || answer.KeyPrefix == "" {
		f.t.Fatal(res.Status, err)
	}
	return answer.KeyPrefix
}

// ownCases returns the cases in which the fleet's own interface differs from the platform's.
func ownCases(prefix string) []rawCase {
	own := func(line string, lines ...string) string {
		return head(append([]string{line, "Host: any", "X-Request-Id: a", ownTokenHeader}, lines...)...)
	}
	key := func(name string) string { return "Tinladder-Key: " + prefix + "~" + name }
	const (
		fetch = "GET /get/a HTTP/1.1"
		pay   = "POST /once/a HTTP/1.1"
		paid  = "a: POST /once/a hello"
		five  = "Content-Length: 5"
	)
	bad := own(pay, key("bad"), chunked) + "z\r\n"
	return []rawCase{
		{"a token", own(fetch), "200:a kept", "a: GET /get/a"},
		{"a token on a folded line", head(fetch, "Host: any", "X-Request-Id: a", "Tinladder-Token:\r\n "+ownToken), "200:a kept", "a: GET /get/a"},
		{"no token", head(fetch, "Host: any", "X-Request-Id: a"), "503 kept", ""},
		{"a wrong token", head(fetch, "Host: any", "Tinladder-Token: tuul.other"), "401 kept", ""},
		{"a token with more behind it", head(fetch, "Host: any", ownTokenHeader+"\x80"), "401 kept", ""},
		{"a token with a NUL", head(fetch, "Host: any", ownTokenHeader+"\x00"), "400 closed", ""},
		{"a token with underscores", head(fetch, "Host: any", "Tinladder_Token: "+ownToken), "503 kept", ""},
		{"a token in the trailer", head("POST /.tinladder/x HTTP/1.1", "Host: any", chunked) + "0\r\n" + ownTokenHeader + "\r\n\r\n", "401 kept", ""},
		{"two tokens", own(fetch, "Tinladder-Token: tuul.other"), "400 kept", ""},
		{"two services", own(fetch, "Tinladder-Service: desk", "Tinladder-Service: other"), "400 kept", ""},
		{"two deadlines", own(fetch, "Tinladder-Deadline-Ms: 100", "Tinladder-Deadline-Ms: 1"), "400 kept", ""},
		{"a deadline with a sign", own(fetch, "Tinladder-Deadline-Ms: +100"), "400 kept", ""},
		{"a deadline in hex", own(fetch, "Tinladder-Deadline-Ms: 0x10"), "400 kept", ""},
		{"a token that Connection names", own(fetch, "Connection: Tinladder-Token"), "200:a kept", "a: GET /get/a"},
		{"a mark of nodes", own(fetch, "Tinladder-Passed: home", "Tinladder-Peer-Key: x"), "200:a kept", "a: GET /get/a"},

		{"a key", own(pay, key("1"), five) + "hello", "200:a kept", paid},
		{"the key again", own(pay, key("1"), five) + "hello", "200:a kept", ""},
		{"the key again with another length", own(pay, key("1"), "Content-Length: 4") + "hell", "422 kept", ""},
		{"the key again with chunks", own(pay, key("1"), chunked) + chunk("hello") + lastChunk, "422 kept", ""},
		{"no key", own(pay, five) + "hello", "400 kept", ""},
		{"two keys", own(pay, key("2"), key("3"), five) + "hello", "400 kept", ""},
		{"two keys alike", own(pay, key("2"), key("2"), five) + "hello", "400 kept", ""},
		{"a key with a space", own(pay, key("2 3"), five) + "hello", "400 kept", ""},
		{"a key in the trailer", own(pay, chunked) + chunk("hello") + "0\r\n" + key("4") + "\r\n\r\n", "400 kept", ""},
		{"a broken body under a key", bad, "400 closed", ""},
		{"a key whose body was broken", own(pay, key("bad"), chunked) + chunk("hello") + lastChunk, "503 kept", ""},
		{"a key in the place of a body", own(pay, key("5"), "Content-Length: 200") + own(pay, key("6")), "open", ""},

		{"another host in the absolute form", head("GET http://other/get/a HTTP/1.1", "Host: any", "X-Request-Id: a", ownTokenHeader), "200:a kept", "a: GET /get/a"},
		{"a fragment", own("GET /get/a#b HTTP/1.1"), "400 kept", ""},
		{"dots that lead to another route", own("GET /get/../once/a HTTP/1.1"), "400 kept", ""},
		{"encoded dots that lead to another route", own("GET /get/%2e%2e%2fonce/a HTTP/1.1"), "400 kept", ""},
		{"dots that stay", own("GET /get/b/../a HTTP/1.1"), "200:a kept", "a: GET /get/b/../a"},
		{"dots into the node's own paths", own("GET /get/../.tinladder/ask?service=desk HTTP/1.1"), "400 kept", ""},
		{"dots out of the node's own paths", own("GET /.tinladder/../get/a HTTP/1.1"), "404 kept", ""},
		{"CONNECT", own("CONNECT /get/a HTTP/1.1"), "501 closed", ""},
		{"Upgrade", own(fetch, "Connection: Upgrade", "Upgrade: websocket"), "501 kept", ""},
		{"an empty Upgrade", own(fetch, "Upgrade:"), "200:a kept", "a: GET /get/a"},
		{"an Upgrade behind an empty one", own(fetch, "Upgrade:", "Upgrade: websocket"), "501 kept", ""},
		{"100-continue", own("POST /get/a HTTP/1.1", "Expect: 100-continue", five) + "hello", "100 200:a kept", "a: POST /get/a hello"},
		{"100-continue that is refused", own("POST /none/a HTTP/1.1", "Expect: 100-continue", five) + "hello", "404 closed", ""},
		{"the first is refused with a request as its body", own("POST /none/a HTTP/1.1", fmt.Sprint("Content-Length: ", len(own(fetch)))) + own(fetch) + own(fetch), "404 200:a kept", "a: GET /get/a"},
		{"a length over what is allowed", own(fetch, "Content-Length: 99999999999"), "413 closed", ""},
		{"HTTP/1.0", head("GET /get/a HTTP/1.0", "X-Request-Id: a", ownTokenHeader), "200:a closed", "a: GET /get/a"},
		{"a header of 200 KB", own(fetch, "X-A: "+strings.Repeat("x", 200<<10)), "200:a kept", "a: GET /get/a"},
	}
}

// TestRawOwnInterface sends unusual and malformed raw requests to the fleet's own interface.
func TestRawOwnInterface(t *testing.T) {
	f, servers := newOwnServers(t, 1)
	servers[0].run(t, ownCases(f.keyPrefix(f.nodes[0])))
}

// TestRawKeyThatConnectionNames lists the key header in Connection, which marks it as hop-by-hop, and sends the request to
// a node that forwards it to the key's home. The home must still run it only once, however often it arrives.
func TestRawKeyThatConnectionNames(t *testing.T) {
	f, servers := newOwnServers(t, 2)
	for _, named := range []string{"Tinladder-Key", "Tinladder-Key, Tinladder-Token, Tinladder-Service, Tinladder-Deadline-Ms"} {
		key := fmt.Sprint("Tinladder-Key: ", f.keyPrefix(f.nodes[0]), "~once-", len(named))
		for i, d := range []*rawServer{servers[1], servers[0], servers[1]} {
			seen := ""
			if i == 0 {
				seen = "a: POST /free/a hello"
			}
			d.run(t, []rawCase{{
				fmt.Sprint(named, " time ", i+1), head("POST /free/a HTTP/1.1", "Host: any", "X-Request-Id: a", ownTokenHeader, key,
					"Connection: "+named, "Tinladder-Service: desk", "Tinladder-Deadline-Ms: 900", "Content-Length: 5") + "hello",
				"200:a kept", seen,
			}})
		}
	}
}
