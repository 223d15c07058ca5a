// Package quarantine decides which requests are held back because targets crash that run them. It does no I/O.
//
// The load that it answers: one request that ends each target that begins to run it, and that its caller sends again
// and again, at any node. Each send ends one more target, and with it what others have there; a service of eight targets
// is gone in a second. What such a request is not: one that was at work by chance where a target died of something else,
// of which another target gives a good answer soon.
package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"strings"

	"github.com/cockroachdb/errors"
)

// FingerprintBytes is the size of a fingerprint: nobody can make a request that has another one's.
const FingerprintBytes = 16

// A Fingerprint names a request by what it is, whatever id it comes under. It is the same on all nodes.
type Fingerprint [FingerprintBytes]byte

// String returns the fingerprint in hexadecimal digits.
func (fp Fingerprint) String() string {
	return hex.EncodeToString(fp[:])
}

// ParseFingerprint returns the fingerprint that the digits name.
func ParseFingerprint(s string) (fp Fingerprint, err error) {
	b, err := hex.DecodeString(s)
	if err != nil || len(b) != FingerprintBytes {
		return Fingerprint{}, errors.Newf("%q is no fingerprint of a request: it has %d hexadecimal digits", s, 2*FingerprintBytes)
	}
	return Fingerprint(b), nil
}

// A Scope says how much of a request a fingerprint covers. What crashes targets may be one caller's alone, or the same
// whoever sends it, or whatever query it comes with: a request has a fingerprint of each scope, and each is judged by itself.
type Scope int

// Scopes, each wider than the one before.
const (
	// ScopeCaller fingerprints tell callers apart: what one caller's request does says nothing of the like ones of others, which
	// may be served all the time.
	ScopeCaller Scope = iota
	// ScopeRequest fingerprints are the same for all callers in the name of one workspace.
	ScopeRequest
	// ScopePath fingerprints are the same for all queries too.
	ScopePath

	scopes
)

// String returns the scope as operators are told it.
func (s Scope) String() string {
	return [...]string{"caller", "request", "path"}[s]
}

// A Request struct is what a request is known by.
type Request struct {
	// Caller is the network address that it came from, and Workspace in whose name it runs.
	Caller, Workspace string
	// Target is the path and query.
	Method, Host, Target string
	// Body is the body, or the first part of a large one, and Length its whole length; -1 if that is not known.
	Body   []byte
	Length int64
}

// Fingerprints are a request's, by their scope.
type Fingerprints [scopes]Fingerprint

// textBufferBytes holds the text of a usual request, so that its fingerprints need no memory of their own.
const textBufferBytes = 512

// FingerprintsOf returns the request's fingerprints. They differ from each other, so that one who asks without a query is known by
// his path and by his request.
func FingerprintsOf(r *Request) (fps Fingerprints) {
	body := sha256.Sum256(r.Body)
	path, _, _ := strings.Cut(r.Target, "?")
	fps[ScopeCaller] = r.fingerprint(ScopeCaller, r.Caller, r.Target, &body)
	fps[ScopeRequest] = r.fingerprint(ScopeRequest, "", r.Target, &body)
	fps[ScopePath] = r.fingerprint(ScopePath, "", path, &body)
	return fps
}

func (r *Request) fingerprint(s Scope, caller, target string, body *[sha256.Size]byte) (fp Fingerprint) {
	var buf [textBufferBytes]byte
	text := append(buf[:0], byte(s))
	for _, field := range [...]string{caller, r.Workspace, r.Method, r.Host, target} {
		text = binary.LittleEndian.AppendUint32(text, uint32(len(field)))
		text = append(text, field...)
	}
	text = binary.LittleEndian.AppendUint64(text, uint64(r.Length))
	sum := sha256.Sum256(append(text, body[:]...))
	copy(fp[:], sum[:])
	return fp
}
