// Package quarantine decides which requests to hold back because they crash the targets that run them. It does no I/O.
//
// It guards against a request that crashes every target that runs it, and that its caller keeps sending, to any node. Each
// send crashes another target, along with the requests of others on it; a service of eight targets is down within a
// second. A request that merely was in flight when a target crashed of another cause is released: another target soon
// answers it successfully.
package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"strings"

	"github.com/cockroachdb/errors"
)

// FingerprintBytes is the size of a fingerprint. It is large enough that nobody can forge a request with the fingerprint of
// another one.
const FingerprintBytes = 16

// A Fingerprint identifies a request by its content, whatever its request id. It is the same on all nodes.
type Fingerprint [FingerprintBytes]byte

// String returns the fingerprint in hexadecimal digits.
func (fp Fingerprint) String() string {
	return hex.EncodeToString(fp[:])
}

// ParseFingerprint parses the hexadecimal form of a fingerprint.
func ParseFingerprint(s string) (fp Fingerprint, err error) {
	b, err := hex.DecodeString(s)
	if err != nil || len(b) != FingerprintBytes {
		return Fingerprint{}, errors.Newf("%q is no fingerprint of a request: it has %d hexadecimal digits", s, 2*FingerprintBytes)
	}
	return Fingerprint(b), nil
}

// A Scope is the part of a request that a fingerprint covers. The cause of a crash may be tied to one caller, or independent
// of the caller, or also of the query. A request has a fingerprint of each scope, and each is tracked separately. Only the
// narrowest covers the length of a long body: the wider ones are the same whether the body tells its length or not, the
// narrowest is not cleared by answers to other requests that begin alike.
type Scope int

// Scopes, each wider than the one before.
const (
	// ScopeCaller fingerprints differ by caller: a request of one caller may crash targets while the same request of others
	// is served.
	ScopeCaller Scope = iota
	// ScopeRequest fingerprints are the same for all callers of a Workspace.
	ScopeRequest
	// ScopePath fingerprints are also the same for all queries.
	ScopePath

	scopes
)

// String returns the name of the scope that operators see.
func (s Scope) String() string {
	return [...]string{"caller", "request", "path"}[s]
}

// A Request holds the parts of a request that its fingerprints cover.
type Request struct {
	// Caller is the network address of the caller, and Workspace the one on whose behalf it runs.
	Caller, Workspace string
	// Target is the path and query.
	Method, Host, Target string
	// Body is the whole body, however it was framed, or the first part of a long one.
	Body []byte
	// IsLong says that the body is longer than Body, and Length how long it is, or -1: a body in chunks does not tell.
	IsLong bool
	Length int64
}

// Fingerprints holds the fingerprints of a request, indexed by Scope.
type Fingerprints [scopes]Fingerprint

// textBufferBytes is large enough for the hashed text of most requests, so that fingerprints need no allocation.
const textBufferBytes = 512

// FingerprintsOf returns the fingerprints of the request. Each covers its scope, so that those of a request without a query
// differ too.
func FingerprintsOf(r *Request) (fps Fingerprints) {
	body := sha256.Sum256(r.Body)
	path, _, _ := strings.Cut(r.Target, "?")
	fps[ScopeCaller] = r.fingerprint(ScopeCaller, r.Caller, r.Target, &body)
	fps[ScopeRequest] = r.fingerprint(ScopeRequest, "", r.Target, &body)
	fps[ScopePath] = r.fingerprint(ScopePath, "", path, &body)
	return fps
}

// wholeBody and longBody stand in the hashed text for a length that the fingerprint does not cover.
const (
	wholeBody = -2
	longBody  = -3
)

func (r *Request) fingerprint(s Scope, caller, target string, body *[sha256.Size]byte) (fp Fingerprint) {
	var buf [textBufferBytes]byte
	text := append(buf[:0], byte(s))
	for _, field := range [...]string{caller, r.Workspace, r.Method, r.Host, target} {
		text = binary.LittleEndian.AppendUint32(text, uint32(len(field)))
		text = append(text, field...)
	}
	length := int64(wholeBody)
	if r.IsLong {
		length = longBody
		if s == ScopeCaller {
			length = r.Length
		}
	}
	text = binary.LittleEndian.AppendUint64(text, uint64(length))
	sum := sha256.Sum256(append(text, body[:]...))
	copy(fp[:], sum[:])
	return fp
}
