// Command tinladder-soak runs real nodes under random faults and checks the fleet's promises.
package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/alexflint/go-arg"
	"github.com/cockroachdb/errors"
	"github.com/tinladder/tinladder/soak"
)

type arguments struct {
	First     uint64        `arg:"--seed" default:"1" help:"the first seed; 0 draws them from the time"`
	Seeds     int           `arg:"--seeds" default:"1" help:"how many seeds, one after the other"`
	For       time.Duration `arg:"--for" help:"go on with fresh seeds for so long"`
	Jobs      int           `arg:"--jobs" default:"1" help:"how many runs at a time"`
	Nodes     int           `arg:"--nodes" default:"6"`
	Targets   int           `arg:"--targets" default:"10"`
	Rate      float64       `arg:"--rate" default:"80" help:"requests a second"`
	Resting   int           `arg:"--resting" help:"callers' connections that rest for long between requests"`
	Leavers   int           `arg:"--leavers" default:"2" help:"callers that do not wait for their answers"`
	Uploaders int           `arg:"--uploaders" default:"2" help:"callers that send long bodies"`
	Crashers  int           `arg:"--crashers" default:"1" help:"callers that send requests again and again that crash targets"`
	Only      []string      `arg:"--only,separate" help:"a fault that may happen, by its name in the timeline; others do not"`
	Planned   bool          `arg:"--planned" help:"only what operators do: stops in series, reloads, changes"`
	Returns   bool          `arg:"--returns" help:"the store comes back from copies, beside faults of nodes, changes, and targets that come and go"`
	Node      string        `arg:"--node" help:"the node's program; built if left out"`
	Dir       string        `arg:"--dir" help:"where settings and logs go; those of failed seeds are kept there"`
}

// Description is shown by --help.
func (arguments) Description() string {
	return "Runs nodes as processes on this machine, strikes them with faults that a seed draws, and checks the fleet's promises."
}

func main() {
	var args arguments
	arg.MustParse(&args)
	failed, err := run(args)
	if err != nil {
		fmt.Fprintln(os.Stderr, "tinladder-soak:", err)
		os.Exit(2)
	}
	if failed > 0 {
		os.Exit(1)
	}
}

func run(args arguments) (failed int, err error) {
	defer func() { err = errors.Wrap(err, "soak") }()
	if args.Dir == "" {
		if args.Dir, err = os.MkdirTemp("", "tinladder-soak"); err != nil {
			return 0, err
		}
	}
	if args.Node == "" {
		args.Node = filepath.Join(args.Dir, "tinladder-node")
		build := exec.Command("go", "build", "-o", args.Node, "github.com/tinladder/tinladder/cmd/tinladder-node")
		if out, err := build.CombinedOutput(); err != nil {
			return 0, errors.Wrap(err, string(out))
		}
	}
	if args.First == 0 {
		args.First = uint64(time.Now().UnixMilli())
	}
	return runAll(args, seedsOf(args)), nil
}

// seedsOf returns the seeds to run, which may never end before the time does.
func seedsOf(args arguments) <-chan uint64 {
	c := make(chan uint64)
	end := time.Now().Add(args.For)
	go func() {
		defer close(c)
		for i := 0; args.For > 0 && time.Now().Before(end) || args.For == 0 && i < args.Seeds; i++ {
			c <- args.First + uint64(i)
		}
	}()
	return c
}

func runAll(args arguments, seeds <-chan uint64) (failed int) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	for range args.Jobs {
		wg.Go(func() {
			for seed := range seeds {
				text, ok := one(args, seed)
				mu.Lock()
				fmt.Print(text)
				if !ok {
					failed++
				}
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	return failed
}

// one runs a seed, and says what it showed.
func one(args arguments, seed uint64) (text string, ok bool) {
	dir := filepath.Join(args.Dir, fmt.Sprint("seed-", seed))
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return fmt.Sprintln(err), false
	}
	cfg := soak.Usual(seed, args.Node, dir)
	cfg.Nodes, cfg.Targets, cfg.Rate = args.Nodes, args.Targets, args.Rate
	cfg.Resting, cfg.Planned = args.Resting, args.Planned
	cfg.Leavers, cfg.Uploaders, cfg.Only = args.Leavers, args.Uploaders, args.Only
	if args.Returns {
		cfg.Only, args.Crashers = soak.Returns(seed, args.Node, dir).Only, 0
	}
	if !args.Planned {
		cfg.Crashers = args.Crashers
	}
	r, err := soak.Run(cfg)
	if err != nil {
		return fmt.Sprintf("seed=%d error=%q logs=%s\n", seed, err, dir), false
	}
	line := fmt.Sprintf("seed=%d sent=%d served=%d refused=%d failed=%d left=%d back=%.3f unanswered=%d flood=%d flood_sent=%d breaches=%d\n",
		seed, r.Sent, r.Served, r.Refused, r.Failed, r.Left, r.Back, len(r.Unanswered), r.Flood, r.FloodSent, len(r.Breaches))
	for _, u := range r.Unanswered {
		line += "  unanswered: " + u + "\n"
	}
	if len(r.Breaches) == 0 && len(r.Unanswered) == 0 {
		_ = os.RemoveAll(dir)
		return line, true
	}
	if len(r.Breaches) == 0 {
		return line + "  logs in " + dir + "\n", true
	}
	return line + "  logs in " + dir + "\n  " + strings.Join(r.Breaches, "\n  ") + "\n  timeline:\n  " + strings.Join(r.Timeline, "\n  ") + "\n", false
}
