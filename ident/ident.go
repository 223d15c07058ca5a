// Package ident defines the types of ids and units that the other packages share.
package ident

import (
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

// Each id is a plain name of letters, digits, dashes, dots and underscores.
type (
	// Workspace names a customer.
	Workspace string
	// Target names a backend within its service.
	Target string
	// Node names a node of the fleet.
	Node string
	// Hall names a zone.
	Hall string
	// Region names a group of halls that are close to each other.
	Region string
	// Key names a configuration document.
	Key string
	// Version is the sequence number of the change that wrote a document.
	Version uint64
	// Incarnation distinguishes the processes of one node; a later one is higher.
	Incarnation uint64
	// Slots counts concurrent requests.
	Slots int
)

// MaxName is the greatest length of a name in bytes.
const MaxName = 64

// Prefixes of document keys.
const (
	// ServicesPrefix is the prefix of the keys of all services.
	ServicesPrefix = "svc/"
	// WorkspacesPrefix is the prefix of the keys of all workspaces.
	WorkspacesPrefix = "ws/"
	// HallsPrefix is the prefix of the keys of all halls.
	HallsPrefix = "hall/"
)

// ErrName means that a name is empty, too long, or has a character that is not allowed.
var ErrName = errors.New("name must be 1 to 64 letters, digits, dashes, dots or underscores")

// CheckName returns ErrName unless s is a valid name.
func CheckName(s string) error {
	if s == "" || len(s) > MaxName || strings.Trim(s, ".") == "" {
		return errors.Wrapf(ErrName, "%q", s)
	}
	for _, c := range []byte(s) {
		if !isNameByte(c) {
			return errors.Wrapf(ErrName, "%q", s)
		}
	}
	return nil
}

func isNameByte(c byte) bool {
	switch {
	case 'a' <= c && c <= 'z', 'A' <= c && c <= 'Z', '0' <= c && c <= '9':
		return true
	}
	return c == '-' || c == '.' || c == '_'
}

// A Service struct names a service within its workspace.
type Service struct {
	Workspace Workspace
	Name      string
}

// String returns "workspace/name".
func (s Service) String() string {
	return string(s.Workspace) + "/" + s.Name
}

// Key returns the key of the service's document.
func (s Service) Key() Key {
	return Key(ServicesPrefix + s.String())
}

// ParseService parses the format of Service.String.
func ParseService(s string) (svc Service, err error) {
	defer func() { err = errors.Wrapf(err, "service %q", s) }()
	ws, name, found := strings.Cut(s, "/")
	if !found {
		return Service{}, errors.New("want workspace/name")
	}
	if err := CheckName(ws); err != nil {
		return Service{}, err
	}
	if err := CheckName(name); err != nil {
		return Service{}, err
	}
	return Service{Workspace: Workspace(ws), Name: name}, nil
}

// ServiceOf returns the service whose document has the key, and false if the key is not a service's.
func ServiceOf(k Key) (Service, bool) {
	rest, found := strings.CutPrefix(string(k), ServicesPrefix)
	if !found {
		return Service{}, false
	}
	svc, err := ParseService(rest)
	return svc, err == nil
}

// ServicePrefix returns the prefix of the keys of all services of a workspace.
func ServicePrefix(w Workspace) string {
	return ServicesPrefix + string(w) + "/"
}

// WorkspaceKey returns the key of the workspace's own document.
func WorkspaceKey(w Workspace) Key {
	return Key(WorkspacesPrefix + string(w))
}

// HallKey returns the key of the hall's document.
func HallKey(h Hall) Key {
	return Key(HallsPrefix + string(h))
}

// A Process struct identifies one process of a node.
type Process struct {
	Node        Node
	Incarnation Incarnation
}

// String returns "node/incarnation".
func (p Process) String() string {
	return string(p.Node) + "/" + strconv.FormatUint(uint64(p.Incarnation), 10)
}

// ParseProcess parses the format of Process.String.
func ParseProcess(s string) (p Process, err error) {
	defer func() { err = errors.Wrapf(err, "process %q", s) }()
	node, inc, found := strings.Cut(s, "/")
	if !found {
		return Process{}, errors.New("want node/incarnation")
	}
	if err := CheckName(node); err != nil {
		return Process{}, err
	}
	n, err := strconv.ParseUint(inc, 10, 64)
	if err != nil {
		return Process{}, err
	}
	return Process{Node: Node(node), Incarnation: Incarnation(n)}, nil
}
