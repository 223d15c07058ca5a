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

// A Duration is a time in a settings file, as text: 1500ms, 2.5s.
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

// Millis returns the time.
func (s Duration) Millis() clock.Millis {
	return clock.Millis(s)
}

// Node says who the node is and where it listens. Addresses are IP numbers with ports; doors
// without an address stay closed, but for Callers and Peers.
type Node struct {
	Name   string `toml:"name"`
	Hall   string `toml:"hall"`
	Region string `toml:"region"`
	// Callers is where requests come.
	Callers string `toml:"callers"`
	// Directory is where callers ask which nodes to use, on the users' platform.
	Directory string `toml:"directory"`
	// Readiness is where the platform asks whether callers may be sent here.
	Readiness string `toml:"readiness"`
	// Peers is where other nodes reach this one, by datagrams and connections.
	Peers string `toml:"peers"`
	// AdvertisePeers is where others reach it, if elsewhere.
	AdvertisePeers string `toml:"advertise_peers"`
	// Operators is where operators call.
	Operators string `toml:"operators"`
	// Metrics is where metrics are served; operators find them at their own door too.
	Metrics string `toml:"metrics"`
}

// Store says where the platform's store is. Embedded runs a stand-in in the node, for a trial.
type Store struct {
	Address  string `toml:"address"`
	Embedded bool   `toml:"embedded"`
}

// Fleet says how nodes find and trust each other.
type Fleet struct {
	// Seeds are addresses of some nodes for peers. They may be stale.
	Seeds []string `toml:"seeds"`
	// Keys are secrets that peers share, as hex. The first one signs; all are taken. Without keys,
	// whoever reaches the peers' door is taken for a peer.
	Keys []string `toml:"keys"`
}

// Bounds are what the platform holds the fleet to.
type Bounds struct {
	// Apply is how soon a newer desired state must be in force.
	Apply Duration `toml:"apply"`
	// Grace is how long the platform waits between SIGTERM and SIGKILL.
	Grace Duration `toml:"grace"`
	// Leave is how soon a target that is leaving must get no new work.
	Leave Duration `toml:"leave"`
	// Valid is the longest that callers keep an answer of the directory.
	Valid Duration `toml:"valid"`
	// Revoke is how soon after a key was taken away no request with it may run, also on nodes that cannot know; 0
	// if keys are taken by what a node knows, however old that is.
	Revoke Duration `toml:"revoke"`
}

// Retries bounds further attempts, over the whole fleet.
type Retries struct {
	// Ratio is how many further attempts each request of a service allows within the window, and
	// Slack how many more there may be.
	Ratio  float64  `toml:"ratio"`
	Slack  float64  `toml:"slack"`
	Window Duration `toml:"window"`
}

// Workspaces bounds what they may ask for, over the whole fleet: in any window of this length no more than their
// rate and burst allow, times one more than the overshoot, and the slack.
type Workspaces struct {
	Window    Duration `toml:"window"`
	Overshoot float64  `toml:"overshoot"`
	Slack     float64  `toml:"slack"`
}

// Cold bounds what a target gets that has started a short time ago, from all nodes together: in any second no more than
// what it withstands, by the desired state, times Overshoot, and Slack.
type Cold struct {
	Overshoot float64 `toml:"overshoot"`
	Slack     float64 `toml:"slack"`
}

// Operators says who may do everything.
type Operators struct {
	AdminTokenSHA256 string `toml:"admin_token_sha256"`
}

// Limits bounds what callers can make the node hold.
type Limits struct {
	Requests    int   `toml:"requests"`
	BodyBytes   int64 `toml:"body_bytes"`
	HeaderBytes int   `toml:"header_bytes"`
}

// Capacity says what the node's VM has.
type Capacity struct {
	// Cores is its share of processor cores, and LinkMbps the bandwidth of its link.
	Cores    float64 `toml:"cores"`
	LinkMbps float64 `toml:"link_mbps"`
}

// Log says how much is logged.
type Log struct {
	Level string `toml:"level"`
}

// Trial is for measuring what a mechanism is worth. In operation it is left out.
type Trial struct {
	// Off names mechanisms that are switched off.
	Off []string `toml:"off"`
}

// Settings is the whole file.
type Settings struct {
	Node       Node       `toml:"node"`
	Store      Store      `toml:"store"`
	Fleet      Fleet      `toml:"fleet"`
	Bounds     Bounds     `toml:"bounds"`
	Retries    Retries    `toml:"retries"`
	Workspaces Workspaces `toml:"workspaces"`
	Cold       Cold       `toml:"cold"`
	// Halls says which region each hall is in. Those that are missing are in a region of their own.
	Halls     map[string]string `toml:"halls"`
	Operators Operators         `toml:"operators"`
	Limits    Limits            `toml:"limits"`
	Capacity  Capacity          `toml:"capacity"`
	Log       Log               `toml:"log"`
	Trial     Trial             `toml:"trial"`
}

// Defaults for what the file leaves out. The bounds are those of the users' platform.
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
	// defaultColdOvershoot holds cold targets to what they withstand.
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

// Load reads the file and returns its settings, or an error that names every key that is wrong.
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
	c := &validator{}
	for _, k := range meta.Undecoded() {
		c.add(k.String(), "no such key")
	}
	s.validate(c)
	return s, c.err()
}

// A validator gathers what is wrong.
type validator struct{ problems []string }

func (c *validator) add(key, format string, args ...any) {
	c.problems = append(c.problems, key+": "+fmt.Sprintf(format, args...))
}

func (c *validator) err() error {
	if len(c.problems) == 0 {
		return nil
	}
	return errors.Newf("%s", strings.Join(c.problems, "; "))
}

func (c *validator) name(key, s string) {
	if err := ident.CheckName(s); err != nil {
		c.add(key, "%v", err)
	}
}

func (c *validator) address(key, s string) {
	if a, err := netip.ParseAddrPort(s); err != nil || a.Port() == 0 {
		c.add(key, "%q is not an IP number and port", s)
	}
}

func (c *validator) optionalAddress(key, s string) {
	if s != "" {
		c.address(key, s)
	}
}

func (c *validator) positive(key string, n int64) {
	if n <= 0 {
		c.add(key, "%d is not positive", n)
	}
}

func (s *Settings) validate(c *validator) {
	c.name("node.name", s.Node.Name)
	c.name("node.hall", s.Node.Hall)
	c.address("node.callers", s.Node.Callers)
	c.address("node.peers", s.Node.Peers)
	c.optionalAddress("node.advertise_peers", s.Node.AdvertisePeers)
	c.optionalAddress("node.directory", s.Node.Directory)
	c.optionalAddress("node.readiness", s.Node.Readiness)
	c.optionalAddress("node.operators", s.Node.Operators)
	c.optionalAddress("node.metrics", s.Node.Metrics)
	for i, a := range s.Fleet.Seeds {
		c.address(fmt.Sprintf("fleet.seeds[%d]", i), a)
	}
	switch {
	case s.Store.Embedded && s.Store.Address != "":
		c.add("store.address", "set it, or store.embedded, and not both")
	case !s.Store.Embedded:
		c.address("store.address", s.Store.Address)
	}
	s.validateBounds(c)
	s.validateSecrets(c)
}

func (s *Settings) validateBounds(c *validator) {
	c.positive("bounds.apply", int64(s.Bounds.Apply))
	c.positive("bounds.grace", int64(s.Bounds.Grace))
	c.positive("bounds.leave", int64(s.Bounds.Leave))
	c.positive("bounds.valid", int64(s.Bounds.Valid))
	c.positive("retries.window", int64(s.Retries.Window))
	c.positive("workspaces.window", int64(s.Workspaces.Window))
	if r := s.Bounds.Revoke.Millis(); r != 0 && r < minRevoke {
		c.add("bounds.revoke", "%d ms is less than word of the store takes; at least %d", r, minRevoke)
	}
	if !(s.Workspaces.Overshoot >= 0) || !(s.Workspaces.Slack >= 0) {
		c.add("workspaces", "overshoot %v and slack %v may not be negative", s.Workspaces.Overshoot, s.Workspaces.Slack)
	}
	if !(s.Cold.Overshoot >= 0) || !(s.Cold.Slack >= 0) {
		c.add("cold", "overshoot %v and slack %v may not be negative", s.Cold.Overshoot, s.Cold.Slack)
	}
	c.positive("limits.requests", int64(s.Limits.Requests))
	c.positive("limits.body_bytes", s.Limits.BodyBytes)
	c.positive("limits.header_bytes", int64(s.Limits.HeaderBytes))
	if !(s.Capacity.Cores > 0) || !(s.Capacity.LinkMbps > 0) {
		c.add("capacity", "cores %v and link_mbps %v must be positive", s.Capacity.Cores, s.Capacity.LinkMbps)
	}
	if !(s.Retries.Ratio >= 0) || !(s.Retries.Slack >= 0) {
		c.add("retries", "ratio %v and slack %v may not be negative", s.Retries.Ratio, s.Retries.Slack)
	}
}

func (s *Settings) validateSecrets(c *validator) {
	for i, k := range s.Fleet.Keys {
		if b, err := hex.DecodeString(k); err != nil || len(b) < minKeyBytes {
			c.add(fmt.Sprintf("fleet.keys[%d]", i), "want at least %d bytes as hex", minKeyBytes)
		}
	}
	if s.Node.Operators == "" && s.Operators.AdminTokenSHA256 == "" {
		return
	}
	if b, err := hex.DecodeString(s.Operators.AdminTokenSHA256); err != nil || len(b) != hashBytes {
		c.add("operators.admin_token_sha256", "want a SHA-256 as hex")
	}
}

// KeyBytes returns the fleet's keys.
func (f Fleet) KeyBytes() [][]byte {
	keys := make([][]byte, len(f.Keys))
	for i, k := range f.Keys {
		keys[i], _ = hex.DecodeString(k) // checked by Parse
	}
	return keys
}

// RegionOf returns the region that the hall is in.
func (s *Settings) RegionOf(h ident.Hall) ident.Region {
	if r, found := s.Halls[string(h)]; found {
		return ident.Region(r)
	}
	if string(h) == s.Node.Hall && s.Node.Region != "" {
		return ident.Region(s.Node.Region)
	}
	return ident.Region(h)
}

// PeersAddress returns where others reach the node.
func (n Node) PeersAddress() string {
	if n.AdvertisePeers != "" {
		return n.AdvertisePeers
	}
	return n.Peers
}
