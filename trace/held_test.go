package trace_test

import (
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/tinladder/tinladder/trace"
)

// held is what two nodes wrote of a request under which targets crashed.
const held = `
n2 | time="2026-12-02T03:00:07.5Z" level=warning event=request_held print=0a1b service=desk what="GET shop/a" crashes=3 targets="i-1,i-2,i-3" known_by=request by=seen
time="2026-12-02T03:00:07.6Z" level=warning event=request_held print=0a1b service=desk crashes=3 targets="i-1,i-2,i-3" known_by=request by=peer
time="2026-12-02T03:00:07.7Z" level=warning event=request_held print=ffff service=desk crashes=3 targets="i-1,i-2,i-3" known_by=path by=seen
time="2026-12-02T03:00:07.9Z" level=warning event=request_refused request=gg status=503 print=0a1b reason="the request is held back: 3 targets crashed that ran it" retry_after_ms=1600
`

func TestExplainNamesWhatARequestIsHeldBackFor(t *testing.T) {
	is := is.New(t)
	var lines []*trace.Line
	is.NoErr(trace.Read("n1", strings.NewReader(held), func(l *trace.Line) { lines = append(lines, l) }))
	s := trace.Explain(lines, "gg")
	is.Equal(s.Cause, "held_back")
	is.Equal(len(s.Lines), 2)
	for _, part := range []string{"has not run", "400 ms before", "i-1,i-2,i-3", "by its request", "tinladderctl lift 0a1b"} {
		if !strings.Contains(s.Said, part) {
			t.Errorf("%q is not in %q", part, s.Said)
		}
	}
}
