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

// A Breadth says how much of a request a print tells apart. What crashes targets may be one caller's alone, or the same
// whoever sends it, or whatever query it comes with: a request has a print of each breadth, and each is judged by itself.
type Breadth int

// Breadths, each wider than the one before.
const (
	// ByCaller prints tell callers apart: what one caller's request does says nothing of the like ones of others, which
	// may be served all the time.
	ByCaller Breadth = iota
	// ByRequest prints are the same for all callers in the name of one workspace.
	ByRequest
	// ByPath prints are the same for all queries too.
	ByPath

	breadths
)

// String returns the breadth as operators are told it.
func (b Breadth) String() string {
	return [...]string{"caller", "request", "path"}[b]
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

// Prints are a request's prints, by their breadth.
type Prints [breadths]Print

// usualText holds the text of a usual request, so that its prints need no memory of their own.
const usualText = 512

// PrintsOf returns the request's prints. They differ from each other, so that one who asks without a query is known by
// his path and by his request.
func PrintsOf(r *Request) (p Prints) {
	body := sha256.Sum256(r.Body)
	path, _, _ := strings.Cut(r.Target, "?")
	p[ByCaller] = r.print(ByCaller, r.Caller, r.Target, &body)
	p[ByRequest] = r.print(ByRequest, "", r.Target, &body)
	p[ByPath] = r.print(ByPath, "", path, &body)
	return p
}

func (r *Request) print(b Breadth, caller, target string, body *[sha256.Size]byte) (p Print) {
	var usual [usualText]byte
	text := append(usual[:0], byte(b))
	for _, s := range [...]string{caller, r.Workspace, r.Method, r.Host, target} {
		text = binary.LittleEndian.AppendUint32(text, uint32(len(s)))
		text = append(text, s...)
	}
	text = binary.LittleEndian.AppendUint64(text, uint64(r.Length))
	sum := sha256.Sum256(append(text, body[:]...))
	copy(p[:], sum[:])
	return p
}
