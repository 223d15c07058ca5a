package settings

import (
	"os"
	"time"

	"github.com/BurntSushi/toml"
	"github.com/cockroachdb/errors"
	"github.com/tinladder/tinladder/clock"
)

// A Span is a time in a settings file, as text: 1500ms, 2.5s.
type Span clock.Millis

// UnmarshalText implements encoding.TextUnmarshaler.
func (s *Span) UnmarshalText(text []byte) error {
	d, err := time.ParseDuration(string(text))
	if err != nil {
		return err
	}
	*s = Span(clock.FromDuration(d))
	return nil
}

// Millis returns the time.
func (s Span) Millis() clock.Millis {
	return clock.Millis(s)
}

// Gateway is the settings file of a node on the users' platform.
type Gateway struct {
	Node struct {
		Name   string `toml:"name"`
		Hall   string `toml:"hall"`
		Region string `toml:"region"`
		// Callers, Directory, Readiness and Peers are where the node listens, as IP numbers with
		// ports. At Peers it hears datagrams too.
		Callers   string `toml:"callers"`
		Directory string `toml:"directory"`
		Readiness string `toml:"readiness"`
		Peers     string `toml:"peers"`
		Metrics   string `toml:"metrics"`
	} `toml:"node"`
	Store struct {
		Address string `toml:"address"`
	} `toml:"store"`
	Fleet struct {
		// Seeds are addresses of some nodes for peers. They may be stale.
		Seeds []string `toml:"seeds"`
	} `toml:"fleet"`
	Bounds struct {
		// Contact is how long a fault must be over for the platform's bounds to hold again.
		Contact Span `toml:"contact"`
		// Apply is how soon a newer desired state must be in force.
		Apply Span `toml:"apply"`
		// Grace is how long the platform waits between SIGTERM and SIGKILL.
		Grace Span `toml:"grace"`
		// Leave is how soon a target that is leaving must get no new work.
		Leave Span `toml:"leave"`
		// Valid is the longest that callers keep an answer of the directory.
		Valid Span `toml:"valid"`
	} `toml:"bounds"`
	Retries struct {
		// Ratio is how many further attempts each request allows the fleet within the window, and
		// Slack how many more there may be.
		Ratio  float64 `toml:"ratio"`
		Slack  float64 `toml:"slack"`
		Window Span    `toml:"window"`
	} `toml:"retries"`
	Log Log `toml:"log"`
}

// LoadGateway reads the file and returns its settings, or an error that names every key that is
// wrong.
func LoadGateway(path string) (s *Gateway, err error) {
	defer func() { err = errors.Wrapf(err, "settings %s", path) }()
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return ParseGateway(string(text))
}

// ParseGateway reads settings from TOML.
func ParseGateway(text string) (*Gateway, error) {
	s := &Gateway{Log: Log{Level: "info"}}
	meta, err := toml.Decode(text, s)
	if err != nil {
		return nil, err
	}
	c := &check{}
	for _, k := range meta.Undecoded() {
		c.add(k.String(), "no such key")
	}
	c.name("node.name", s.Node.Name)
	c.name("node.hall", s.Node.Hall)
	c.address("node.callers", s.Node.Callers)
	c.address("node.directory", s.Node.Directory)
	c.address("node.readiness", s.Node.Readiness)
	c.address("node.peers", s.Node.Peers)
	c.address("store.address", s.Store.Address)
	c.positive("bounds.contact", int64(s.Bounds.Contact))
	c.positive("bounds.apply", int64(s.Bounds.Apply))
	c.positive("bounds.grace", int64(s.Bounds.Grace))
	c.positive("bounds.leave", int64(s.Bounds.Leave))
	c.positive("bounds.valid", int64(s.Bounds.Valid))
	c.positive("retries.window", int64(s.Retries.Window))
	if s.Retries.Ratio < 0 || s.Retries.Slack < 0 {
		c.add("retries", "ratio %v and slack %v may not be negative", s.Retries.Ratio, s.Retries.Slack)
	}
	return s, c.err()
}
