// Package tinladder is a proxy fleet for targets that fail partially and quietly. A node of it
// is made from a settings file and run until told to stop:
//
//	s, err := tinladder.Load("node.toml")
//	n, err := tinladder.New(s, "node.toml")
//	err = n.Run(ctx)
//
// The libraries behind it, such as belief, pool, limit, once, replica and member, do no I/O and can be
// embedded one by one: the example has belief, budget, pool and limits in a program without a node.
package tinladder

import (
	"net"
	"net/http"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/tinladder/tinladder/clock"
	"github.com/tinladder/tinladder/ident"
	"github.com/tinladder/tinladder/logs"
	"github.com/tinladder/tinladder/node"
	"github.com/tinladder/tinladder/platform"
	"github.com/tinladder/tinladder/platform/standin"
	"github.com/tinladder/tinladder/settings"
	"github.com/tinladder/tinladder/store"
)

// Load reads and checks a settings file.
func Load(path string) (*settings.Settings, error) {
	return settings.Load(path)
}

// New returns a node with its doors open, on the platform that the settings name. It reads the
// settings again from the path when they change.
func New(s *settings.Settings, path string) (n *node.Node, err error) {
	defer func() { err = errors.Wrap(err, "tinladder") }()
	log, err := logs.New(os.Stdout, s.Log.Level)
	if err != nil {
		return nil, err
	}
	c := clock.NewSystem()
	address := s.Store.Address
	if s.Store.Embedded {
		if address, err = embed(c); err != nil {
			return nil, err
		}
	}
	return node.New(s, path, On(address, c), c, log)
}

// history is how long an embedded stand-in keeps changes.
const history = 20 * clock.Second

// embed runs a stand-in for the platform's store within this process, for a trial.
func embed(c clock.Clock) (address string, err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", errors.Wrap(err, "embedded store")
	}
	s := &http.Server{Handler: standin.NewDoor(standin.New(c, history)), ReadHeaderTimeout: time.Minute}
	go func() { _ = s.Serve(l) }()
	return l.Addr().String(), nil
}

// On returns the users' platform with its store at the address.
func On(address string, c clock.Clock) node.Platform {
	client := platform.NewClient(address, c)
	return node.Platform{
		Source: func(refused func(store.Refusal)) store.Source { return platform.NewSource(client, c, refused) },
		Table:  platform.NewTable(client), Suspects: platform.NewSuspects(client),
		Objects: platform.NewObjects(client), Era: client.Era,
		Protocol: node.Protocol{
			Headers:        platform.Headers(),
			ReadyPath:      platform.ReadyPath,
			ResolvePath:    platform.ResolvePath,
			ParseQuery:     parseQuestion,
			WriteAddresses: platform.WriteAddresses,
		},
	}
}

func parseQuestion(r *http.Request) node.ResolveQuery {
	q := platform.ParseQuestion(r.URL.Query())
	return node.ResolveQuery{Host: q.Host, Region: q.Region, Hall: ident.Hall(q.Hall)}
}
