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

	"github.com/cockroachdb/errors"
)

// PrintBytes is the size of a print. Nobody can make a request that has another one's.
const PrintBytes = 16

// A Print names a request by what it is, whatever id it comes under. It is the same on all nodes.
type Print [PrintBytes]byte

// String returns the print in hexadecimal digits.
func (p Print) String() string {
	return hex.EncodeToString(p[:])
}

// ParsePrint returns the print that the digits name.
func ParsePrint(s string) (p Print, err error) {
	b, err := hex.DecodeString(s)
	if err != nil || len(b) != PrintBytes {
		return Print{}, errors.Newf("%q is no print of a request: it has %d hexadecimal digits", s, 2*PrintBytes)
	}
	return Print(b), nil
}

// A Request struct is what a request is known by. Who sends it belongs to it: what one caller's request does to targets
// says nothing of another's, whose like ones may be served all the time.
type Request struct {
	// Caller is the network address that it came from, and Workspace in whose name it runs.
	Caller, Workspace    string
	Method, Host, Target string
	// Body is the body, or the first part of a large one, and Length its whole length; -1 if that is not known.
	Body   []byte
	Length int64
}

// usualText holds the text of a usual request, so that its print needs no memory of its own.
const usualText = 512

// PrintOf returns the request's print.
func PrintOf(r *Request) (p Print) {
	var usual [usualText]byte
	text := usual[:0]
	for _, s := range [...]string{r.Caller, r.Workspace, r.Method, r.Host, r.Target} {
		text = binary.LittleEndian.AppendUint32(text, uint32(len(s)))
		text = append(text, s...)
	}
	text = binary.LittleEndian.AppendUint64(text, uint64(r.Length))
	body := sha256.Sum256(r.Body)
	sum := sha256.Sum256(append(text, body[:]...))
	copy(p[:], sum[:])
	return p
}
