// Package once runs requests at most once, without a store and without clocks shared by nodes. A key names the only
// process that may run it, its home, and a time slice of that process. The home remembers the outcome of the key until
// the slice expires, and accepts no key of the slice after that. When the process is gone, nobody runs its keys.
package once

import (
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/tinladder/tinladder/ident"
)

// separator separates the parts of a key. Names can't contain it.
const separator = "~"

// MaxSuffix is the maximum length in bytes of the part of a key that the caller chooses.
const MaxSuffix = 64

// ErrKey reports a key that doesn't have the form of those that the fleet issues prefixes for.
var ErrKey = errors.New("key must be a prefix from an ask answer, ~, and 1 to 64 letters, digits, dashes, dots or underscores")

// Key identifies a run-once request within its workspace.
type Key struct {
	Home   ident.Process
	Slice  string
	Suffix string
}

// String returns the key as callers send it.
func (k Key) String() string {
	return Prefix(k.Home, k.Slice) + separator + k.Suffix
}

// Prefix returns the part of a key that the fleet issues.
func Prefix(home ident.Process, slice string) string {
	return strings.Replace(home.String(), "/", separator, 1) + separator + slice
}

// ParseKey parses a key sent by a caller.
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

// Response is a target's response, kept for callers that send the key again.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// Complete is false if the response was too large to keep.
	Complete bool
}

// size returns roughly how much memory the response takes.
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

// Decision is what to do with a request: one of Run, Replay, NotRun, Unknown, Forward and Mismatch.
type Decision interface{ decision() }

// Run is the decision to run the request here and now. The caller must end the ticket.
type Run struct{ Ticket *Ticket }

// Replay is the decision that the request ran before and got this response.
type Replay struct{ Response *Response }

// NotRun is the decision that the request has not run and never will under this key.
type NotRun struct{ Reason string }

// Unknown is the decision that the request may have run, or is still running.
type Unknown struct{ Reason string }

// Forward is the decision to leave the request to its home, the only process that may run the key.
type Forward struct{ Home ident.Process }

// Mismatch is the decision that the key was used for a different request.
type Mismatch struct{}

func (Run) decision()      {}
func (Replay) decision()   {}
func (NotRun) decision()   {}
func (Unknown) decision()  {}
func (Forward) decision()  {}
func (Mismatch) decision() {}
