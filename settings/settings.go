// Package settings reads and checks a node's settings file.
package settings

import (
	"encoding/hex"
	"fmt"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/BurntSushi/toml"
	"github.com/cockroachdb/errors"
	"github.com/tinladder/tinladder/clock"
	"github.com/tinladder/tinladder/ident"
)

// A Duration is a duration in a settings file, written as 1500ms or 2.5s.
type Duration clock.Millis

// UnmarshalText implements encoding.TextUnmarshaler.
func (s *Duration) UnmarshalText(text []byte) error {
	d, err := time.ParseDuration(string(text))
	if err != nil {
		return err
	}
	*s = Duration(clock.FromDuration(d))
	return nil
}

// Millis returns the duration in milliseconds.
func (s Duration) Millis() clock.Millis {
	return clock.Millis(s)
}

// Node identifies the node and holds its listen addresses. Addresses are IP addresses with ports. Listeners
// without an address are not opened; those for Callers and Peers are required.
type Node struct {
	Name   string `toml:"name"`
	Hall   string `toml:"hall"`
	Region string `toml:"region"`
	// Callers is the address for requests.
	Callers string `toml:"callers"`
	// Directory is the address where callers look up which nodes to use, on the users' platform.
	Directory string `toml:"directory"`
	// Readiness is the address where the platform checks whether it may send callers to this node.
	Readiness string `toml:"readiness"`
	// Peers is the address for other nodes, by UDP and TCP.
	Peers string `toml:"peers"`
	// AdvertisePeers is the address that other nodes use to reach Peers, if it differs.
	AdvertisePeers string `toml:"advertise_peers"`
	// Operators is the address for operators.
	Operators string `toml:"operators"`
	// Metrics is the address for metrics. The operators' address serves them too.
	Metrics string `toml:"metrics"`
}

// Store locates the platform's store. Embedded runs an emulation of it in the node's process, for trying out.
type Store struct {
	Address  string `toml:"address"`
	Embedded bool   `toml:"embedded"`
}

// Fleet configures how nodes discover and authenticate each other.
type Fleet struct {
	// Seeds are peer addresses of some nodes. They may be stale.
	Seeds []string `toml:"seeds"`
	// Keys are secrets that peers share, as hex. The first one signs; all are accepted. Without keys,
	// whoever reaches the peers' address is accepted as a peer.
	Keys []string `toml:"keys"`
}

// Bounds holds the time limits that the platform sets for the fleet.
type Bounds struct {
	// Apply is how soon a newer desired state must be in force.
	Apply Duration `toml:"apply"`
	// Grace is the time between SIGTERM and SIGKILL.
	Grace Duration `toml:"grace"`
	// Leave is how soon a target that is leaving must stop receiving requests.
	Leave Duration `toml:"leave"`
	// Valid is how long callers cache an answer of the directory at most.
	Valid Duration `toml:"valid"`
	// Revoke is how soon after the revocation of a key no request with it may run, also on nodes that cannot learn of the
	// revocation. 0 means that nodes accept keys by the newest state they have, however old.
	Revoke Duration `toml:"revoke"`
}

// Retries limits additional attempts at requests over the whole fleet.
type Retries struct {
	// Ratio is the number of additional attempts per request of a service within the window, and Slack a constant
	// number on top.
	Ratio  float64  `toml:"ratio"`
	Slack  float64  `toml:"slack"`
	Window Duration `toml:"window"`
}

// Workspaces limits the requests of each Workspace over the whole fleet: in any window at most
// (what its rate and burst allow) * (1 + Overshoot) + Slack.
type Workspaces struct {
	Window    Duration `toml:"window"`
	Overshoot float64  `toml:"overshoot"`
	Slack     float64  `toml:"slack"`
}

// Cold limits the requests to a target that is warming up, from all nodes together: in any second at most
// (its limit in the desired state) * Overshoot + Slack.
type Cold struct {
	Overshoot float64 `toml:"overshoot"`
	Slack     float64 `toml:"slack"`
}

// Operators identifies the administrator, who has all permissions.
type Operators struct {
	AdminTokenSHA256 string `toml:"admin_token_sha256"`
}

// Limits bounds the memory that callers can make the node use.
type Limits struct {
	Requests    int   `toml:"requests"`
	BodyBytes   int64 `toml:"body_bytes"`
	HeaderBytes int   `toml:"header_bytes"`
}

// Capacity describes the resources of the node's VM.
type Capacity struct {
	// Cores is the number of processor cores, which may be a fraction, and LinkMbps the bandwidth of the network link.
	Cores    float64 `toml:"cores"`
	LinkMbps float64 `toml:"link_mbps"`
}

// Log configures logging.
type Log struct {
	Level string `toml:"level"`
}

// Balance switches on decisions about load that are off by default.
type Balance struct {
	// RetryOrder spends the retry budget on urgent requests first while it is short.
	RetryOrder bool `toml:"retry_order"`
	// FairShares divides the room of a service among workspaces while requests wait.
	FairShares bool `toml:"fair_shares"`
	// UrgencyLevel admits requests by their priority, at one level for all nodes, while requests wait.
	UrgencyLevel bool `toml:"urgency_level"`
	// TargetSpeeds sends to each target by how fast it is relative to the others.
	TargetSpeeds bool `toml:"target_speeds"`
	// LimitOrder spends a workspace's limit on its urgent requests first while it asks for more than the limit.
	LimitOrder bool `toml:"limit_order"`
}

// Mechanisms returns the names of the optional mechanisms of the choice of targets that are on.
func (b Balance) Mechanisms() []string {
	var names []string
	for name, on := range map[string]bool{
		"retry-order": b.RetryOrder, "fair-shares": b.FairShares, "urgency-level": b.UrgencyLevel, "target-speeds": b.TargetSpeeds,
	} {
		if on {
			names = append(names, name)
		}
	}
	return names
}

// Trial disables mechanisms to measure their effect. It is not for production use.
type Trial struct {
	// Off lists the mechanisms to disable.
	Off []string `toml:"off"`
}

// Settings holds the contents of a settings file.
type Settings struct {
	Node       Node       `toml:"node"`
	Store      Store      `toml:"store"`
	Fleet      Fleet      `toml:"fleet"`
	Bounds     Bounds     `toml:"bounds"`
	Retries    Retries    `toml:"retries"`
	Workspaces Workspaces `toml:"workspaces"`
	Cold       Cold       `toml:"cold"`
	// Halls maps Halls to regions. A Hall that is not listed is a region of its own.
	Halls     map[string]string `toml:"halls"`
	Operators Operators         `toml:"operators"`
	Limits    Limits            `toml:"limits"`
	Capacity  Capacity          `toml:"capacity"`
	Balance   Balance           `toml:"balance"`
	Log       Log               `toml:"log"`
	Trial     Trial             `toml:"trial"`
}

// Defaults for keys that the file omits. The bounds are those of the users' platform.
const (
	defaultRequests           = 4096
	defaultBodyBytes          = 64 << 20
	defaultHeaderBytes        = 256 << 10
	defaultApply              = 2 * clock.Second
	defaultGrace              = 6 * clock.Second
	defaultLeave              = 2 * clock.Second
	defaultValid              = 5 * clock.Second
	defaultRetryRatio         = 0.2
	defaultRetrySlack         = 60
	defaultRetryWindow        = 10 * clock.Second
	defaultWorkspaceOvershoot = 0.1
	defaultWorkspaceSlack     = 20
	// defaultColdOvershoot limits targets that are warming up to exactly the rate in the desired state.
	defaultColdOvershoot   = 1
	defaultWorkspaceWindow = 5 * clock.Second
	minRevoke              = 1 * clock.Second
	defaultCores           = 1
	defaultLinkMbps        = 1000
	minKeyBytes            = 16
	hashBytes              = 32
)

// Defaults returns the settings of an empty file.
func Defaults() *Settings {
	return &Settings{
		Bounds: Bounds{
			Apply: Duration(defaultApply), Grace: Duration(defaultGrace), Leave: Duration(defaultLeave), Valid: Duration(defaultValid),
		},
		Retries:    Retries{Ratio: defaultRetryRatio, Slack: defaultRetrySlack, Window: Duration(defaultRetryWindow)},
		Workspaces: Workspaces{Window: Duration(defaultWorkspaceWindow), Overshoot: defaultWorkspaceOvershoot, Slack: defaultWorkspaceSlack},
		Cold:       Cold{Overshoot: defaultColdOvershoot},
		Limits:     Limits{Requests: defaultRequests, BodyBytes: defaultBodyBytes, HeaderBytes: defaultHeaderBytes},
		Capacity:   Capacity{Cores: defaultCores, LinkMbps: defaultLinkMbps},
		Log:        Log{Level: "info"},
	}
}

// Load reads the file and returns its settings, or an error that names every invalid key.
func Load(path string) (s *Settings, err error) {
	defer func() { err = errors.Wrapf(err, "settings %s", path) }()
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(string(text))
}

// Parse reads settings from TOML.
func Parse(text string) (*Settings, error) {
	s := Defaults()
	meta, err := toml.Decode(text, s)
	if err != nil {
		return nil, err
	}
	v := &validator{}
	for _, k := range meta.Undecoded() {
		v.add(k.String(), "no such key")
	}
	s.validate(v)
	return s, v.err()
}

// A validator collects the problems with the settings.
type validator struct{ problems []string }

func (v *validator) add(key, format string, args ...any) {
	v.problems = append(v.problems, key+": "+fmt.Sprintf(format, args...))
}

func (v *validator) err() error {
	if len(v.problems) == 0 {
		return nil
	}
	return errors.Newf("%s", strings.Join(v.problems, "; "))
}

func (v *validator) name(key, s string) {
	if err := ident.CheckName(s); err != nil {
		v.add(key, "%v", err)
	}
}

func (v *validator) address(key, s string) {
	if a, err := netip.ParseAddrPort(s); err != nil || a.Port() == 0 {
		v.add(key, "%q is not an IP number and port", s)
	}
}

func (v *validator) optionalAddress(key, s string) {
	if s != "" {
		v.address(key, s)
	}
}

func (v *validator) positive(key string, n int64) {
	if n <= 0 {
		v.add(key, "%d is not positive", n)
	}
}

func (s *Settings) validate(v *validator) {
	v.name("node.name", s.Node.Name)
	v.name("node.hall", s.Node.Hall)
	v.address("node.callers", s.Node.Callers)
	v.address("node.peers", s.Node.Peers)
	v.optionalAddress("node.advertise_peers", s.Node.AdvertisePeers)
	v.optionalAddress("node.directory", s.Node.Directory)
	v.optionalAddress("node.readiness", s.Node.Readiness)
	v.optionalAddress("node.operators", s.Node.Operators)
	v.optionalAddress("node.metrics", s.Node.Metrics)
	for i, a := range s.Fleet.Seeds {
		v.address(fmt.Sprintf("fleet.seeds[%d]", i), a)
	}
	switch {
	case s.Store.Embedded && s.Store.Address != "":
		v.add("store.address", "set it, or store.embedded, and not both")
	case !s.Store.Embedded:
		v.address("store.address", s.Store.Address)
	}
	s.validateBounds(v)
	s.validateSecrets(v)
}

func (s *Settings) validateBounds(v *validator) {
	v.positive("bounds.apply", int64(s.Bounds.Apply))
	v.positive("bounds.grace", int64(s.Bounds.Grace))
	v.positive("bounds.leave", int64(s.Bounds.Leave))
	v.positive("bounds.valid", int64(s.Bounds.Valid))
	v.positive("retries.window", int64(s.Retries.Window))
	v.positive("workspaces.window", int64(s.Workspaces.Window))
	if r := s.Bounds.Revoke.Millis(); r != 0 && r < minRevoke {
		v.add("bounds.revoke", "%d ms is less than changes in the store take to reach nodes; at least %d", r, minRevoke)
	}
	if !(s.Workspaces.Overshoot >= 0) || !(s.Workspaces.Slack >= 0) {
		v.add("workspaces", "overshoot %v and slack %v may not be negative", s.Workspaces.Overshoot, s.Workspaces.Slack)
	}
	if !(s.Cold.Overshoot >= 0) || !(s.Cold.Slack >= 0) {
		v.add("cold", "overshoot %v and slack %v may not be negative", s.Cold.Overshoot, s.Cold.Slack)
	}
	v.positive("limits.requests", int64(s.Limits.Requests))
	v.positive("limits.body_bytes", s.Limits.BodyBytes)
	v.positive("limits.header_bytes", int64(s.Limits.HeaderBytes))
	if !(s.Capacity.Cores > 0) || !(s.Capacity.LinkMbps > 0) {
		v.add("capacity", "cores %v and link_mbps %v must be positive", s.Capacity.Cores, s.Capacity.LinkMbps)
	}
	if !(s.Retries.Ratio >= 0) || !(s.Retries.Slack >= 0) {
		v.add("retries", "ratio %v and slack %v may not be negative", s.Retries.Ratio, s.Retries.Slack)
	}
}

func (s *Settings) validateSecrets(v *validator) {
	for i, k := range s.Fleet.Keys {
		if b, err := hex.DecodeString(k); err != nil || len(b) < minKeyBytes {
			v.add(fmt.Sprintf("fleet.keys[%d]", i), "want at least %d bytes as hex", minKeyBytes)
		}
	}
	if s.Node.Operators == "" && s.Operators.AdminTokenSHA256 == "" {
		return
	}
	if b, err := hex.DecodeString(s.Operators.AdminTokenSHA256); err != nil || len(b) != hashBytes {
		v.add("operators.admin_token_sha256", "want a SHA-256 as hex")
	}
}

// KeyBytes returns the decoded keys.
func (f Fleet) KeyBytes() [][]byte {
	keys := make([][]byte, len(f.Keys))
	for i, k := range f.Keys {
		keys[i], _ = hex.DecodeString(k) // checked by Parse
	}
	return keys
}

// RegionOf returns the region of the Hall.
func (s *Settings) RegionOf(h ident.Hall) ident.Region {
	if r, found := s.Halls[string(h)]; found {
		return ident.Region(r)
	}
	if string(h) == s.Node.Hall && s.Node.Region != "" {
		return ident.Region(s.Node.Region)
	}
	return ident.Region(h)
}

// PeersAddress returns the address that other nodes use to reach the node.
func (n Node) PeersAddress() string {
	if n.AdvertisePeers != "" {
		return n.AdvertisePeers
	}
	return n.Peers
}
