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
	"time"

	"github.com/alexflint/go-arg"
	"github.com/tinladder/tinladder"
)

type arguments struct {
	Settings string        `arg:"positional,env:TINLADDER_SETTINGS,required" help:"the TOML settings file"`
	Gateway  bool          `arg:"--gateway" help:"run on the users' platform"`
	Check    bool          `arg:"--check" help:"check the settings and exit"`
	Grace    time.Duration `arg:"--grace" default:"5m" help:"the longest that leaving may take before requests are cut"`
}

// Description is shown by --help.
func (arguments) Description() string {
	return "Runs one node of the fleet until SIGTERM or SIGINT, and then leaves without cutting a request."
}

func main() {
	var args arguments
	arg.MustParse(&args)
	if err := run(args); err != nil {
		fmt.Fprintln(os.Stderr, "tinladder-node:", err)
		os.Exit(1)
	}
}

// quietLibraries drops what the standard library logs on its own, such as answers of targets
// that nobody asked for; the node's log has one event a line.
func quietLibraries() {
	log.SetOutput(io.Discard)
}

func run(args arguments) error {
	quietLibraries()
	if args.Gateway {
		return runGateway(args)
	}
	s, err := tinladder.Load(args.Settings)
	if err != nil || args.Check {
		return err
	}
	n, err := tinladder.New(s)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return n.Run(ctx, args.Grace)
}

func runGateway(args arguments) error {
	s, err := tinladder.LoadGateway(args.Settings)
	if err != nil || args.Check {
		return err
	}
	n, err := tinladder.NewGateway(s, args.Settings)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return n.Run(ctx)
}
