// Command tinladder-node runs one node of the fleet.
package main

import (
	"context"
	"fmt"
	"io"
	"log"
	"os"
	"os/signal"
	"syscall"

	"github.com/alexflint/go-arg"
	"github.com/tinladder/tinladder"
)

type arguments struct {
	Settings string `arg:"positional,env:TINLADDER_SETTINGS" help:"the TOML settings file"`
	Check    bool   `arg:"--check" help:"check the settings and exit"`
}

// Description is shown by --help.
func (arguments) Description() string {
	return "Runs one node of the fleet until SIGTERM or SIGINT, and then leaves without cutting a request. " +
		"SIGHUP makes it read its settings again."
}

func main() {
	var args arguments
	p := arg.MustParse(&args)
	if args.Settings == "" {
		p.Fail("no settings file: name it, or set TINLADDER_SETTINGS")
	}
	if err := run(args); err != nil {
		fmt.Fprintln(os.Stderr, "tinladder-node:", err)
		os.Exit(1)
	}
}

// quietLibraries drops what the standard library logs on its own; the node's log has one event a
// line.
func quietLibraries() {
	log.SetOutput(io.Discard)
}

func run(args arguments) error {
	quietLibraries()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	signal.Ignore(syscall.SIGHUP) // until the node listens for it
	s, err := tinladder.Load(args.Settings)
	if err != nil || args.Check {
		return err
	}
	n, err := tinladder.New(s, args.Settings)
	if err != nil {
		return err
	}
	return n.Run(ctx)
}
