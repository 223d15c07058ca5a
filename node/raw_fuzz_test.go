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
	// maxSeedBytes is the longest case that fuzzing begins with.
	maxSeedBytes = 4 << 10
	// fuzzErrorTimeout is how long the door may take to answer what is no request, and lull how long it is watched when all
	// requests have been answered.
	fuzzErrorTimeout = 60 * time.Millisecond
	fuzzIdleTimeout  = 8 * time.Millisecond
)

// generatedID is the form of ids that the door gives to requests without one.
var generatedID = regexp.MustCompile("^[0-9a-f]{1,16}$")

// FuzzRaw has a caller write any bytes. The target never sees a request that does not stand in them by a strict reading,
// nor one more often than it stands there, and nothing that is malformed is answered as if it were a request.
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
				t.Fatalf("answer %d is %d, but %d requests were sent, %v: %q", i, status, len(list), err, sent)
			}
		}
		seen := d.target.Seen()
		for _, s := range seen {
			if s.Cut {
				continue // no target takes it for a request
			}
			i := slices.IndexFunc(list, func(r strictRequest) bool { return r.matches(s) })
			if i < 0 {
				t.Fatalf("nobody sent %q: %q", formatSeen([]standin.Seen{s}), sent)
			}
			list = slices.Delete(list, i, i+1)
		}
		if err := d.proxy.check(seen); err != nil {
			t.Fatalf("%v: %q", err, sent)
		}
	})
}

// statuses writes the bytes and returns the final statuses of what comes back.
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

// matches says whether a target may see the request so.
func (r *strictRequest) matches(s standin.Seen) bool {
	target := reading.OriginForm(&http.Request{RequestURI: r.target})
	ids := r.values("X-Request-Id")
	named := len(ids) > 0 && s.ID == ids[0]
	return r.method == s.Method && target == s.Path && r.body == s.Body && (named || generatedID.MatchString(s.ID)) &&
		!strings.ContainsAny(s.ID, "\r\n")
}
