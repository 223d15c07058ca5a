package node_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/tinladder/tinladder/platform/standin"
	"github.com/tinladder/tinladder/reading"
)

const (
	// maxSeedBytes is the size of the longest case that is added to the seed corpus.
	maxSeedBytes = 4 << 10
	// fuzzErrorTimeout bounds the wait for a response to malformed bytes. fuzzIdleTimeout is how long the connection is read
	// for further responses once all requests have been answered.
	fuzzErrorTimeout = 60 * time.Millisecond
	fuzzIdleTimeout  = 8 * time.Millisecond
)

// generatedID matches the ids that the node generates for requests without one.
var generatedID = regexp.MustCompile("^[0-9a-f]{1,16}$")

// FuzzRaw sends arbitrary bytes to a node. It guards against request smuggling: each request that the target sees must
// be one that a strict parser finds in the bytes, no more often than it occurs there, and malformed bytes get no 2xx response.
func FuzzRaw(f *testing.F) {
	for _, cases := range [][]rawCase{framingCases(), lineCases(), targetCases(), formCases(), bodyCases(), brokenBodyCases(), orderCases(), ambiguousCases()} {
		for _, c := range cases {
			if len(c.send) <= maxSeedBytes {
				f.Add([]byte(c.send))
			}
		}
	}
	d := newRawServer(f)
	f.Fuzz(func(t *testing.T, sent []byte) {
		d.proxy.reset()
		d.target.Forget()
		list, err := parseStrict(string(sent), serverStrictness)
		statuses := d.statuses(t, sent, list, err != nil)
		for i, status := range statuses {
			if i >= len(list) && status < http.StatusMultipleChoices {
				t.Fatalf("response %d has status %d, but %d requests were sent, %v: %q", i, status, len(list), err, sent)
			}
		}
		seen := d.target.Seen()
		for _, s := range seen {
			if s.Cut {
				continue // a target does not run a truncated request
			}
			i := slices.IndexFunc(list, func(r strictRequest) bool { return r.matches(s) })
			if i < 0 {
				t.Fatalf("the target saw %q, which was not sent: %q", formatSeen([]standin.Seen{s}), sent)
			}
			list = slices.Delete(list, i, i+1)
		}
		if err := d.proxy.check(seen); err != nil {
			t.Fatalf("%v: %q", err, sent)
		}
	})
}

// statuses writes the bytes and returns the statuses of the responses, without 1xx. With more, an error response may
// follow those to the requests in list.
func (d *rawServer) statuses(t *testing.T, sent []byte, list []strictRequest, more bool) (statuses []int) {
	nc, err := net.Dial("tcp", d.address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = nc.Close() }()
	go func() { _, _ = nc.Write(sent) }()
	r := bufio.NewReader(nc)
	for {
		patience := rawTimeout
		switch {
		case len(statuses) >= len(list) && more:
			patience = fuzzErrorTimeout
		case len(statuses) >= len(list):
			patience = fuzzIdleTimeout
		}
		_ = nc.SetReadDeadline(time.Now().Add(patience))
		asked := &http.Request{Method: http.MethodGet}
		if len(statuses) < len(list) {
			asked.Method = list[len(statuses)].method
		}
		res, err := http.ReadResponse(r, asked)
		if err != nil {
			return statuses
		}
		_, _ = io.Copy(io.Discard, res.Body)
		if res.StatusCode >= http.StatusOK {
			statuses = append(statuses, res.StatusCode)
		}
	}
}

// matches reports whether s is the request as the target may receive it.
func (r *strictRequest) matches(s standin.Seen) bool {
	target := reading.OriginForm(&http.Request{RequestURI: r.target})
	ids := r.values("X-Request-Id")
	named := len(ids) > 0 && s.ID == ids[0]
	return r.method == s.Method && target == s.Path && r.body == s.Body && (named || generatedID.MatchString(s.ID)) &&
		!strings.ContainsAny(s.ID, "\r\n")
}
