// Package trace reads the nodes' logs back: it puts together what all nodes said of one request and
// names the cause, and sums what failed. It knows the events of package node and nothing else, and
// does no I/O but reading.
package trace

import (
	"bufio"
	"bytes"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logfmt/logfmt"
	"github.com/tinladder/tinladder/clock"
)

// maxLine bounds one line of a log; longer ones are passed over.
const maxLine = 1 << 20

// timeKey begins each line that a node writes. What stands before it names the source of the line.
const timeKey = "time="

// A Line struct is one line of a node's log.
type Line struct {
	// Source is what stood before the line, or the name that its log was read under.
	Source string
	At     time.Time
	Event  string
	// Text is the line as it was written.
	Text   string
	fields map[string]string
}

// Get returns the value of a key, or "".
func (l *Line) Get(key string) string {
	return l.fields[key]
}

// Millis returns the value of a key as a time; 0 if there is none.
func (l *Line) Millis(key string) clock.Millis {
	n, err := strconv.ParseInt(l.fields[key], 10, 64)
	if err != nil {
		return 0
	}
	return clock.Millis(n)
}

// Has says whether the key has a value among those, or any if none is named.
func (l *Line) Has(key string, values ...string) bool {
	v, found := l.fields[key]
	for _, want := range values {
		if v == want {
			return true
		}
	}
	return found && len(values) == 0
}

// Parse reads one line. It returns false for lines that no node wrote.
func Parse(source, text string) (*Line, bool) {
	i := strings.Index(text, timeKey)
	if i < 0 {
		return nil, false
	}
	if before := strings.FieldsFunc(text[:i], notName); len(before) > 0 {
		source = before[len(before)-1] // collectors put a time or a number first
	}
	l := &Line{Source: source, Text: strings.TrimSpace(text[i:]), fields: map[string]string{}}
	d := logfmt.NewDecoder(strings.NewReader(l.Text))
	for d.ScanRecord() {
		for d.ScanKeyval() {
			l.fields[string(d.Key())] = string(d.Value())
		}
	}
	at, err := time.Parse(time.RFC3339Nano, l.fields["time"])
	if err != nil || d.Err() != nil || l.fields["event"] == "" {
		return nil, false
	}
	l.At, l.Event = at, l.fields["event"]
	return l, true
}

// notName says whether a character stands between a collector's words.
func notName(r rune) bool {
	return strings.ContainsRune(" \t|[]:", r)
}

// Read calls f for each line of a log. Lines that no node wrote are passed over.
func Read(source string, r io.Reader, f func(l *Line)) error {
	b := bufio.NewReader(r)
	for {
		text, err := readLine(b)
		if l, ok := Parse(source, text); ok {
			f(l)
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return errors.Wrapf(err, "read log %s", source)
		}
	}
}

// readLine returns the next line, or nothing in place of one that is too long.
func readLine(b *bufio.Reader) (string, error) {
	var line bytes.Buffer
	for {
		part, err := b.ReadSlice('\n')
		if line.Len()+len(part) <= maxLine {
			line.Write(part)
		} else {
			line.Reset()
			line.WriteByte('\n')
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return line.String(), err
		}
	}
}
