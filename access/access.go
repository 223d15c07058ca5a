// Package access decides who may ask: which workspace a caller's key belongs to, and for how long a node may
// go by what it knows of keys. It holds digests of keys and no key, and does no I/O.
package access

import (
	"crypto/sha256"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/tinladder/tinladder/clock"
	"github.com/tinladder/tinladder/ident"
	"github.com/tinladder/tinladder/limit"
)

const (
	// MaxKey is the most bytes in a key.
	MaxKey = 256
	// DigestBytes is the size of a digest: no other key can be found for it.
	DigestBytes = 16
)

// A Digest stands for a key that only its holders can tell. All nodes have the same one for a key, so that the
// copies of a desired state are alike; keys are random, so that it needs no secret of its own.
type Digest [DigestBytes]byte

// DigestOf returns the key's digest.
func DigestOf(key string) (d Digest) {
	var buf [MaxKey]byte
	sum := sha256.Sum256(buf[:copy(buf[:], key)])
	copy(d[:], sum[:])
	return d
}

// A Workspace struct is one customer: in whose name requests run, how urgent they are, and how many there may be.
type Workspace struct {
	Name ident.Workspace
	// Priority says who waits when there is too much work; 0 goes first.
	Priority uint32
	Rate     limit.Rate
	// Regions are the only ones that may serve its requests; empty stands for all.
	Regions []ident.Region
	// Fault says why the workspace cannot be used.
	Fault string
}

// A Directory struct finds workspaces by their keys. It is never changed once it is in use.
type Directory struct {
	byKey  map[Digest]*Workspace
	byName map[ident.Workspace]*Workspace
}

// NewDirectory returns a directory without workspaces: no key opens anything.
func NewDirectory() *Directory {
	return &Directory{byKey: map[Digest]*Workspace{}, byName: map[ident.Workspace]*Workspace{}}
}

// Add adds a workspace. A second one of a name is left out, and a key that two workspaces have opens neither: the
// error says so, and what else there is stays as it is.
func (d *Directory) Add(w Workspace, keys []Digest) (err error) {
	defer func() { err = errors.Wrapf(err, "workspace %q", w.Name) }()
	if err := ident.CheckName(string(w.Name)); err != nil {
		return err
	}
	if d.byName[w.Name] != nil {
		return errors.New("there is another one of the name")
	}
	d.byName[w.Name] = &w
	shared := 0
	for _, k := range keys {
		if other, found := d.byKey[k]; found && other != &w {
			d.byKey[k] = nil
			shared++
			continue
		}
		d.byKey[k] = &w
	}
	if shared > 0 {
		return errors.Newf("%d of its keys belong to another workspace too, and open neither", shared)
	}
	if w.Fault != "" {
		return errors.New(w.Fault)
	}
	return nil
}

// Workspaces returns all workspaces by name. The caller must not change them.
func (d *Directory) Workspaces() map[ident.Workspace]*Workspace {
	return d.byName
}

// A Verdict says whether a request may be served.
type Verdict int

// Verdicts.
const (
	// Allowed requests may be served.
	Allowed Verdict = iota
	// NoKey requests show no key, or none that can be read.
	NoKey
	// UnknownKey requests show a key that belongs to no workspace.
	UnknownKey
	// Unverified requests come while the node cannot tell whether their key still holds.
	Unverified
	// Unusable requests belong to a workspace that cannot be used as it was written.
	Unusable
)

// String returns the verdict as callers are told it.
func (v Verdict) String() string {
	switch v {
	case Allowed:
		return "allowed"
	case NoKey:
		return "the request needs one key, as Authorization: Bearer KEY"
	case UnknownKey:
		return "the key is not known"
	case Unverified:
		return "this node does not know whether the key still holds"
	case Unusable:
		return "the workspace cannot be used as it was written"
	}
	return "no such verdict"
}

// A Freshness struct is how far a node may go by the keys that it knows.
type Freshness struct {
	// Known says that Age is known: how long ago the store is proved to have held no newer keys.
	Known bool
	Age   clock.Millis
	// MaxAge is the age at which keys are no longer taken; 0 if they always are.
	MaxAge clock.Millis
	// NegativeMaxAge is the age up to which a key that is not known here is taken to be known nowhere; 0 if it always is.
	NegativeMaxAge clock.Millis
	// Stale says that there are newer keys than those known here.
	Stale bool
}

// valid says whether keys may be taken.
func (t Freshness) valid() bool {
	return t.MaxAge == 0 || t.Known && t.Age < t.MaxAge
}

// negativeValid says whether a key that is not known here is known nowhere else.
func (t Freshness) negativeValid() bool {
	return !t.Stale && (t.NegativeMaxAge == 0 || t.Known && t.Age < t.NegativeMaxAge)
}

// Decide says whether a request that shows these values of Authorization may be served, and for which workspace.
func (d *Directory) Decide(authorization []string, t Freshness) (*Workspace, Verdict) {
	key, found := Bearer(authorization)
	if !found {
		return nil, NoKey
	}
	w := d.byKey[DigestOf(key)]
	switch {
	case w == nil && t.negativeValid():
		return nil, UnknownKey
	case w == nil, !t.valid():
		return nil, Unverified
	case w.Fault != "":
		return nil, Unusable
	}
	return w, Allowed
}

// scheme is how keys are shown (RFC 6750); its case does not matter (RFC 9110, 11.1).
const scheme = "Bearer"

// Bearer returns the key that a request shows: in one value, of one scheme, without blanks inside.
func Bearer(authorization []string) (key string, found bool) {
	if len(authorization) != 1 {
		return "", false
	}
	value := authorization[0]
	if len(value) <= len(scheme) || !strings.EqualFold(value[:len(scheme)], scheme) || value[len(scheme)] != ' ' {
		return "", false
	}
	key = strings.Trim(value[len(scheme):], " ")
	if key == "" || len(key) > MaxKey || strings.ContainsFunc(key, invalidInKey) {
		return "", false
	}
	return key, true
}

// invalidInKey says whether a sign cannot be in a key: blanks, commas between several, and what is not plain text.
func invalidInKey(r rune) bool {
	return r <= ' ' || r == ',' || r > '~'
}
