// Package once lets a request run at most once, without a store and without a clock that nodes
// share. A key names the one process that may ever run it, its home, and a slice of that
// process's time. The home remembers what became of the key until the slice ends, and takes no
// key of the slice after that. When the process is gone, nobody runs its keys.
package once

import (
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/tinladder/tinladder/ident"
)

// separator stands between the parts of a key. Names cannot have it.
const separator = "~"

// MaxSuffix is the most bytes of a key that the caller chooses.
const MaxSuffix = 64

// ErrKey says that a key is not one that the fleet handed out a prefix for.
var ErrKey = errors.New("key must be a prefix from an ask answer, ~, and 1 to 64 letters, digits, dashes, dots or underscores")

// A Key struct names one run-once request within its workspace.
type Key struct {
	Home   ident.Process
	Slice  string
	Suffix string
}

// String returns the key as callers send it.
func (k Key) String() string {
	return Prefix(k.Home, k.Slice) + separator + k.Suffix
}

// Prefix returns the part of a key that the fleet hands out.
func Prefix(home ident.Process, slice string) string {
	return strings.Replace(home.String(), "/", separator, 1) + separator + slice
}

// ParseKey reads a key that a caller sent.
func ParseKey(s string) (k Key, err error) {
	defer func() { err = errors.Wrap(err, "parse key") }()
	parts := strings.Split(s, separator)
	if len(parts) != 4 {
		return Key{}, ErrKey
	}
	home, err := ident.ParseProcess(parts[0] + "/" + parts[1])
	if err != nil {
		return Key{}, errors.Mark(err, ErrKey)
	}
	for _, p := range parts[2:] {
		if ident.CheckName(p) != nil {
			return Key{}, ErrKey
		}
	}
	return Key{Home: home, Slice: parts[2], Suffix: parts[3]}, nil
}

// A Response struct is what a target answered, kept for callers that send the key again.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// Complete is false when the answer was too large to keep.
	Complete bool
}

// size is about how much memory the answer takes.
func (a *Response) size() int {
	if a == nil {
		return 0
	}
	n := len(a.Body)
	for k, vs := range a.Header {
		n += len(k)
		for _, v := range vs {
			n += len(v)
		}
	}
	return n
}

// A Decision says what to do with a request. It is one of Run, Replay, NotRun, Unknown,
// Forward and Mismatch.
type Decision interface{ decision() }

// A Run decision lets the request run, now, here, once. The ticket must be ended.
type Run struct{ Ticket *Ticket }

// A Replay decision says that the request ran before, and what it was answered.
type Replay struct{ Response *Response }

// A NotRun decision says that the request has not run and never will under this key.
type NotRun struct{ Reason string }

// An Unknown decision says that the request may have run, or is running.
type Unknown struct{ Reason string }

// A Forward decision names the only process that may run the key.
type Forward struct{ Home ident.Process }

// A Mismatch decision says that the key belongs to another request.
type Mismatch struct{}

func (Run) decision()      {}
func (Replay) decision()   {}
func (NotRun) decision()   {}
func (Unknown) decision()  {}
func (Forward) decision()  {}
func (Mismatch) decision() {}
