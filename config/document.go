// Package config implements the fleet's configuration: the validation of documents, a writer that applies
// changes to the store, and a log for reading them.
package config

import (
	"net/netip"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/tinladder/tinladder/ident"
	tlv1 "github.com/tinladder/tinladder/schema/tinladder/v1"
)

// Limits of a document.
const (
	MaxTargets     = 2000
	MaxRoutes      = 500
	MaxSlots       = 1 << 16
	MaxDeadlineMs  = 10 * 60 * 1000
	MaxRetries     = 5
	MaxNodes       = 64
	MaxQueue       = 1 << 16
	MaxTokens      = 16
	tokenHashBytes = 32
)

// Defaults for fields that a document omits.
const (
	DefaultNodes       = 3
	DefaultQueue       = 512
	DefaultConcurrency = 512
	DefaultDeadlineMs  = 10_000
)

// ErrInvalid marks every error about an invalid document.
var ErrInvalid = errors.New("document is not valid")

// KeyOf returns the key that the document's body requires.
func KeyOf(d *tlv1.Document) (ident.Key, error) {
	switch b := d.GetBody().(type) {
	case *tlv1.Document_Service:
		svc := ident.Service{Workspace: ident.Workspace(b.Service.GetWorkspace()), Name: b.Service.GetName()}
		return svc.Key(), nil
	case *tlv1.Document_Workspace:
		return ident.WorkspaceKey(ident.Workspace(b.Workspace.GetName())), nil
	case *tlv1.Document_Hall:
		return ident.HallKey(ident.Hall(b.Hall.GetName())), nil
	}
	return "", errors.Mark(errors.New("document has no body"), ErrInvalid)
}

// Check validates a document. Its error is marked ErrInvalid and names the first invalid field.
func Check(d *tlv1.Document) (err error) {
	defer func() { err = markInvalid(err) }()
	key, err := KeyOf(d)
	if err != nil {
		return err
	}
	if d.GetKey() != string(key) {
		return errors.Newf("key: %q does not belong to the body; want %q", d.GetKey(), key)
	}
	switch b := d.GetBody().(type) {
	case *tlv1.Document_Service:
		return checkService(b.Service)
	case *tlv1.Document_Workspace:
		return checkWorkspace(b.Workspace)
	case *tlv1.Document_Hall:
		return errors.Wrap(ident.CheckName(b.Hall.GetName()), "name")
	}
	return nil
}

func markInvalid(err error) error {
	if err == nil {
		return nil
	}
	return errors.Mark(err, ErrInvalid)
}

func checkWorkspace(w *tlv1.Workspace) error {
	if err := ident.CheckName(w.GetName()); err != nil {
		return errors.Wrap(err, "name")
	}
	if err := checkHashes(w.GetTokenSha256()); err != nil {
		return errors.Wrap(err, "token_sha256")
	}
	return errors.Wrap(checkHashes(w.GetCallerTokenSha256()), "caller_token_sha256")
}

func checkHashes(hashes [][]byte) error {
	if len(hashes) > MaxTokens {
		return errors.Newf("at most %d tokens", MaxTokens)
	}
	for i, h := range hashes {
		if len(h) != tokenHashBytes {
			return errors.Newf("[%d]: want %d bytes, got %d", i, tokenHashBytes, len(h))
		}
	}
	return nil
}

func checkService(s *tlv1.Service) error {
	if err := ident.CheckName(s.GetWorkspace()); err != nil {
		return errors.Wrap(err, "workspace")
	}
	if err := ident.CheckName(s.GetName()); err != nil {
		return errors.Wrap(err, "name")
	}
	if s.GetNodes() > MaxNodes {
		return errors.Newf("nodes: at most %d", MaxNodes)
	}
	if s.GetQueue() > MaxQueue {
		return errors.Newf("queue: at most %d", MaxQueue)
	}
	if err := checkTargets(s.GetTargets()); err != nil {
		return err
	}
	if total := totalSlots(s); s.GetFloorSlots() > total {
		return errors.Newf("floor_slots: %d is more than the %d slots of all targets", s.GetFloorSlots(), total)
	}
	return checkRoutes(s.GetRoutes())
}

func totalSlots(s *tlv1.Service) uint32 {
	var n uint32
	for _, t := range s.GetTargets() {
		n += t.GetSlots()
	}
	return n
}

func checkTargets(targets []*tlv1.Target) error {
	if len(targets) > MaxTargets {
		return errors.Newf("targets: at most %d", MaxTargets)
	}
	ids := map[string]bool{}
	for i, t := range targets {
		if err := ident.CheckName(t.GetId()); err != nil {
			return errors.Wrapf(err, "targets[%d].id", i)
		}
		if ids[t.GetId()] {
			return errors.Newf("targets[%d].id: %q stands twice", i, t.GetId())
		}
		ids[t.GetId()] = true
		if a, err := netip.ParseAddrPort(t.GetAddress()); err != nil || a.Port() == 0 {
			return errors.Newf("targets[%d].address: %q is not an IP number and port", i, t.GetAddress())
		}
		if t.GetSlots() < 1 || t.GetSlots() > MaxSlots {
			return errors.Newf("targets[%d].slots: %d is not in 1 to %d", i, t.GetSlots(), MaxSlots)
		}
	}
	return nil
}

func checkRoutes(routes []*tlv1.Route) error {
	if len(routes) > MaxRoutes {
		return errors.Newf("routes: at most %d", MaxRoutes)
	}
	for i, r := range routes {
		if err := checkRoute(r); err != nil {
			return errors.Wrapf(err, "routes[%d]", i)
		}
	}
	return nil
}

func checkRoute(r *tlv1.Route) error {
	switch {
	case !strings.HasPrefix(r.GetPathPrefix(), "/"):
		return errors.Newf("path_prefix: %q does not begin with /", r.GetPathPrefix())
	case strings.ContainsAny(r.GetPathPrefix(), "{}"):
		return errors.New("path_prefix: braces are not allowed")
	case strings.ContainsAny(r.GetHost(), "{}/ "):
		return errors.Newf("host: %q is not a host name", r.GetHost())
	case r.GetRepeat() == tlv1.Repeat_REPEAT_UNSPECIFIED:
		return errors.New("repeat: say whether requests are repeatable or run once")
	case r.GetDeadlineMs() < 0 || r.GetDeadlineMs() > MaxDeadlineMs:
		return errors.Newf("deadline_ms: %d is not in 0 to %d", r.GetDeadlineMs(), MaxDeadlineMs)
	case r.GetRetries() > MaxRetries:
		return errors.Newf("retries: at most %d", MaxRetries)
	case r.GetRetries() > 0 && r.GetRepeat() == tlv1.Repeat_REPEAT_ONCE:
		return errors.New("retries: run-once requests have none")
	}
	return nil
}

// Nodes returns the number of nodes that serve s.
func Nodes(s *tlv1.Service) int {
	if s.GetNodes() == 0 {
		return DefaultNodes
	}
	return int(s.GetNodes())
}
