// Package tinladder is a proxy fleet for targets that fail partially and quietly. A node of it
// is made from a settings file and run until told to stop:
//
//	s, err := tinladder.Load("node.toml")
//	n, err := tinladder.New(s)
//	err = n.Run(ctx, time.Minute)
//
// The libraries behind it, such as health, eject, once and member, do no I/O and can be embedded
// one by one.
package tinladder

import (
	"context"
	"net/http"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"github.com/tinladder/tinladder/clock"
	"github.com/tinladder/tinladder/gateway"
	"github.com/tinladder/tinladder/ident"
	"github.com/tinladder/tinladder/node"
	"github.com/tinladder/tinladder/platform"
	"github.com/tinladder/tinladder/backing"
	"github.com/tinladder/tinladder/settings"
)

// Load reads and checks a settings file.
func Load(path string) (*settings.Settings, error) {
	return settings.Load(path)
}

// New returns a node with its doors open, on the platform that the settings name.
func New(s *settings.Settings) (n *node.Node, err error) {
	defer func() { err = errors.Wrap(err, "tinladder") }()
	level, err := logrus.ParseLevel(s.Log.Level)
	if err != nil {
		return nil, errors.Wrap(err, "log.level")
	}
	log := logrus.New()
	log.SetLevel(level)
	log.SetFormatter(&logrus.TextFormatter{DisableColors: true, FullTimestamp: true, TimestampFormat: time.RFC3339Nano})
	c := clock.NewSystem()
	return node.New(s, platformOf(s.Platform, c), c, log)
}

// platformOf returns the platform at its address, or a stand-in within this process.
func platformOf(s settings.Platform, c clock.Clock) backing.Platform {
	if s.Embedded {
		return backing.NewMemory(c, Wait)
	}
	t := http.DefaultTransport.(*http.Transport).Clone()
	t.Proxy = nil
	return backing.NewRemote(&http.Client{Transport: t}, s.URL)
}

// Wait lets real time pass.
func Wait(ctx context.Context, d clock.Millis) error {
	select {
	case <-time.After(d.Duration()):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// LoadGateway reads and checks the settings file of a node on the users' platform.
func LoadGateway(path string) (*settings.Gateway, error) {
	return settings.LoadGateway(path)
}

// NewGateway returns a node on the users' platform, with its doors open.
func NewGateway(s *settings.Gateway, path string) (n *gateway.Node, err error) {
	defer func() { err = errors.Wrap(err, "tinladder") }()
	level, err := logrus.ParseLevel(s.Log.Level)
	if err != nil {
		return nil, errors.Wrap(err, "log.level")
	}
	log := logrus.New()
	log.SetOutput(os.Stdout)
	log.SetLevel(level)
	log.SetFormatter(&logrus.TextFormatter{DisableColors: true, FullTimestamp: true, TimestampFormat: time.RFC3339Nano})
	c := clock.NewSystem()
	bad := func(row string, err error) {
		log.WithFields(logrus.Fields{"event": "row_refused", "row": row, "error": err}).Error()
	}
	src := platform.NewSource(platform.NewClient(s.Store.Address), bad)
	return gateway.New(s, path, src, translator(), c, log)
}

// translator speaks as the users' platform does.
func translator() gateway.Translator {
	return gateway.Translator{
		Headers:     platform.Headers(),
		ReadyPath:   platform.ReadyPath,
		ResolvePath: platform.ResolvePath,
		ParseQuestion: func(r *http.Request) gateway.Question {
			q := platform.ParseQuestion(r.URL.Query())
			return gateway.Question{Host: q.Host, Region: q.Region, Hall: ident.Hall(q.Hall)}
		},
		WriteAddresses: platform.WriteAddresses,
	}
}
