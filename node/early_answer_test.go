package node_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/tinladder/tinladder/platform"
	"github.com/tinladder/tinladder/platform/standin"
)

const (
	// longBody is the length of a request's body that is streamed to the target.
	longBody = 200 << 10
	// longAnswer is the length of an answer of which the node forwards the beginning before the rest has come.
	longAnswer = 600 << 10
	// bodyPiece is how much of a body is sent at a time, and bodyPause the pause between two pieces.
	bodyPiece = 20 << 10
	bodyPause = 10 * time.Millisecond
)

// A pacedBody is a body that comes in pieces.
type pacedBody struct{ left string }

// Read implements io.Reader.
func (b *pacedBody) Read(p []byte) (int, error) {
	if b.left == "" {
		return 0, io.EOF
	}
	time.Sleep(bodyPause)
	n := copy(p[:min(len(p), bodyPiece)], b.left)
	b.left = b.left[n:]
	return n, nil
}

// upload sends a request with a long body, in chunks or with its length, and more header lines.
func (f *fleet) upload(n *testNode, method, path, id string, chunked bool, header map[string]string) reply {
	f.t.Helper()
	req, err := http.NewRequest(method, "http://"+n.callers+path, &pacedBody{left: standin.Content(id, longBody)})
	if err != nil {
		f.t.Fatal(err)
	}
	req.Host = "shop"
	if !chunked {
		req.ContentLength = longBody
	}
	req.Header.Set("X-Request-Id", id)
	req.Header.Set(platform.Headers().Deadline, fmt.Sprint(patient))
	req.Header.Set("Expect", "100-continue")
	for name, value := range header {
		req.Header.Set(name, value)
	}
	return f.do(req)
}

// An earlyAnswerCase is a request with a long body, to a target that answers before it has read the body.
type earlyAnswerCase struct {
	method, path string
	chunked      bool
	answer       standin.EarlyAnswer
	header       map[string]string
}

func (c earlyAnswerCase) name() string {
	name := []string{c.method, strings.Trim(c.path, "/")}
	if c.chunked {
		name = append(name, "in chunks")
	}
	if c.answer.Chunked {
		name = append(name, "answered in chunks")
	}
	if c.answer.Continue {
		name = append(name, "after 100")
	}
	return strings.Join(name, " ")
}

// earlyAnswerCases are the ways in which request and answer can be framed.
func earlyAnswerCases() (cases []earlyAnswerCase) {
	for i := range 8 {
		a := standin.EarlyAnswer{Length: longAnswer, Ahead: longAnswer / 2, Chunked: i&1 > 0, Continue: i&2 > 0}
		cases = append(cases, earlyAnswerCase{method: http.MethodPost, path: "/once/", chunked: i&4 > 0, answer: a})
	}
	return append(cases, earlyAnswerCase{method: http.MethodPut, path: "/get/", answer: standin.EarlyAnswer{Length: longAnswer, Ahead: longAnswer / 2}})
}

// check sends the request to the node, and reports an error unless target and caller got what the other one sent.
func (c earlyAnswerCase) check(f *fleet, n *testNode, id string, targets ...*standin.Target) error {
	r := f.upload(n, c.method, c.path, id, c.chunked, c.header)
	runs := 0
	for _, target := range targets {
		for _, s := range target.Seen() {
			switch {
			case s.ID != id:
				continue
			case s.Cut:
				return fmt.Errorf("the body ended after %d bytes", len(s.Body))
			case s.Body != standin.Content(id, longBody):
				return fmt.Errorf("other bytes in a body of %d bytes", len(s.Body))
			}
			runs++
		}
	}
	switch {
	case runs != 1:
		return fmt.Errorf("%d runs", runs)
	case r.broken || r.status != http.StatusOK:
		return fmt.Errorf("status %d, broken off: %v", r.status, r.broken)
	case r.body != standin.Content("answer to "+id, c.answer.Length):
		return fmt.Errorf("other bytes in an answer of %d bytes", len(r.body))
	}
	return nil
}

// TestBodyStaysWholeWhileItsAnswerIsForwarded guards against bytes that are taken out of a long body, since a part of it is
// read by something else than the sender to the target, once the target's answer has begun.
func TestBodyStaysWholeWhileItsAnswerIsForwarded(t *testing.T) {
	f := newFleet(t, 1)
	target := f.patientTarget()
	for i, c := range earlyAnswerCases() {
		t.Run(c.name(), func(t *testing.T) {
			is := is.New(t)
			target.SetFaults(standin.TargetFaults{Begun: &c.answer})
			is.NoErr(c.check(f, f.nodes[0], fmt.Sprint("early-", i), target))
		})
	}
}

// TestPassedBodyStaysWholeWhileItsAnswerIsForwarded guards against the same on the way between two nodes, if the caller's is cut
// off from all targets.
func TestPassedBodyStaysWholeWhileItsAnswerIsForwarded(t *testing.T) {
	t.Parallel()
	f, cuts := cuttableFleet(t)
	f.configurePatient(2)
	f.ready(2, 6)
	warm := f.callEach(10)
	time.Sleep(time.Second)
	cuts[0].set(cutReset)
	time.Sleep(cutContact)
	warm()
	for i, c := range earlyAnswerCases() {
		t.Run(c.name(), func(t *testing.T) {
			is := is.New(t)
			for _, target := range f.targets {
				target.SetFaults(standin.TargetFaults{Begun: &c.answer})
			}
			is.NoErr(c.check(f, f.nodes[0], fmt.Sprint("passed-", i), f.targets...))
		})
	}
	is := is.New(t)
	is.True(strings.Count(f.nodes[0].log.String(), "passed_to=n") > 0) // requests went through another node
}

// TestOwnBodyStaysWholeWhileItsAnswerIsForwarded guards against the same on the fleet's own interface, at the node that a key
// belongs to and at another one.
func TestOwnBodyStaysWholeWhileItsAnswerIsForwarded(t *testing.T) {
	t.Parallel()
	f, servers := newOwnServers(t, 2)
	prefix := f.keyPrefix(f.nodes[0])
	for _, c := range earlyAnswerCases() {
		c.path = "/patient" + c.path
		for i, n := range f.nodes {
			t.Run(fmt.Sprintf("%s at node %d", c.name(), i), func(t *testing.T) {
				is := is.New(t)
				id := strings.NewReplacer(" ", "-", "/", "-").Replace(fmt.Sprintf("%s-%d", c.name(), i))
				c.header = map[string]string{"Tinladder-Token": ownToken, "Tinladder-Key": prefix + "~" + id}
				servers[0].target.SetFaults(standin.TargetFaults{Begun: &c.answer})
				is.NoErr(c.check(f, n, id, servers[0].target))
			})
		}
	}
}
