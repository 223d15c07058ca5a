// Package access authenticates requests: it maps API keys to workspaces, and decides how long a node may rely on the
// keys that it knows. It stores digests of keys, never the keys themselves, and does no I/O.
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
	// MaxKey is the maximum length of a key in bytes.
	MaxKey = 256
	// DigestBytes is the size of a digest, large enough that no second key can be found for it.
	DigestBytes = 16
)

// Digest identifies a key without revealing it. It is the same on all nodes, so that copies of a desired state are
// equal; as keys are random, it needs no salt.
type Digest [DigestBytes]byte

// DigestOf returns the key's digest.
func DigestOf(key string) (d Digest) {
	var buf [MaxKey]byte
	sum := sha256.Sum256(buf[:copy(buf[:], key)])
	copy(d[:], sum[:])
	return d
}

// Workspace is a customer: the tenant of requests, with their priority and rate limit.
type Workspace struct {
	Name ident.Workspace
	// Priority decides who waits under overload; 0 goes first.
	Priority uint32
	Rate     limit.Rate
	// Regions are the only ones that may serve its requests; empty means all.
	Regions []ident.Region
	// Fault is why the workspace can't be used; empty if it can.
	Fault string
}

// Directory finds workspaces by their keys. It must not be changed once it is in use.
type Directory struct {
	byKey  map[Digest]*Workspace
	byName map[ident.Workspace]*Workspace
}

// NewDirectory returns a directory without workspaces, which accepts no key.
func NewDirectory() *Directory {
	return &Directory{byKey: map[Digest]*Workspace{}, byName: map[ident.Workspace]*Workspace{}}
}

// Add adds a workspace. A second workspace with the same name is skipped, and a key that belongs to two workspaces is
// accepted for neither. The error reports this; the other entries are not affected.
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

// Verdict is the result of checking a request's key.
type Verdict int

// Verdicts.
const (
	// Allowed requests may be served.
	Allowed Verdict = iota
	// NoKey requests have no key, or none that can be parsed.
	NoKey
	// UnknownKey requests have a key that belongs to no workspace.
	UnknownKey
	// Unverified requests arrive while the node can't tell whether their key is still valid.
	Unverified
	// Unusable requests belong to a workspace whose definition is invalid.
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

// Freshness is how far a node may rely on the keys that it knows.
type Freshness struct {
	// Known reports whether Age is known: how long ago, at most, the store held no newer keys.
	Known bool
	Age   clock.Millis
	// MaxAge is the age at which keys are no longer accepted; 0 means that they always are.
	MaxAge clock.Millis
	// NegativeMaxAge is the age up to which a key unknown to this node counts as unknown everywhere; 0 means always.
	NegativeMaxAge clock.Millis
	// Stale reports that there are newer keys than those that the node knows.
	Stale bool
}

// valid reports whether known keys may be accepted.
func (t Freshness) valid() bool {
	return t.MaxAge == 0 || t.Known && t.Age < t.MaxAge
}

// negativeValid reports whether a key unknown to this node is unknown everywhere.
func (t Freshness) negativeValid() bool {
	return !t.Stale && (t.NegativeMaxAge == 0 || t.Known && t.Age < t.NegativeMaxAge)
}

// Decide returns the verdict for a request with these Authorization values, and its workspace if it is allowed.
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

// scheme is the authentication scheme (RFC 6750). It is case-insensitive (RFC 9110, 11.1).
const scheme = "Bearer"

// Bearer returns the key of a request: the token of a single value with the Bearer scheme, without blanks inside.
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

// invalidInKey reports whether a key can't contain the character: blanks, commas (which separate several values), and
// anything that isn't printable ASCII.
func invalidInKey(r rune) bool {
	return r <= ' ' || r == ',' || r > '~'
}
