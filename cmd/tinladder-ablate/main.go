// Command tinladder-ablate plays days of deployments with mechanisms switched off one by one, by a bench
// that is named, and prints what each is worth. Run it in the repository's root.
package main

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/alexflint/go-arg"
	"github.com/cockroachdb/errors"
	"github.com/tinladder/tinladder/pool"
)

type arguments struct {
	Bench string   `arg:"--bench,required" help:"the program that plays days"`
	Sites []string `arg:"--site,required" help:"files of deployments"`
	Days  []string `arg:"--day,required" help:"days to play of each"`
	Seeds []uint64 `arg:"--seed" help:"seeds to play each day with; the day's own if left out"`
	Off   []string `arg:"--off" help:"mechanisms to switch off, each by itself; all if left out"`
	Jobs  int      `arg:"--jobs" default:"6" help:"days at a time"`
	Dir   string   `arg:"--dir" help:"where copies of the repository go; removed at the end if left out"`
}

// Description is shown by --help.
func (arguments) Description() string {
	return "Plays days with mechanisms switched off one by one, without processor time, and prints the mean worth and the share not served as a table."
}

func main() {
	var args arguments
	arg.MustParse(&args)
	if err := run(args); err != nil {
		fmt.Fprintln(os.Stderr, "tinladder-ablate:", err)
		os.Exit(1)
	}
}

func run(args arguments) (err error) {
	defer func() { err = errors.Wrap(err, "ablate") }()
	if len(args.Off) == 0 {
		args.Off = pool.Mechanisms()
	}
	if _, err := pool.DefaultTuning.Without(args.Off...); err != nil {
		return err
	}
	if args.Bench, err = filepath.Abs(args.Bench); err != nil {
		return err
	}
	for i, site := range args.Sites {
		if args.Sites[i], err = filepath.Abs(site); err != nil {
			return err
		}
	}
	if args.Dir == "" {
		if args.Dir, err = os.MkdirTemp("", "tinladder-ablate"); err != nil {
			return err
		}
		defer func() { _ = os.RemoveAll(args.Dir) }()
	}
	s := newSet(args)
	for _, off := range append([]string{""}, args.Off...) {
		if err := s.play(off); err != nil {
			return err
		}
	}
	return s.print(os.Stdout)
}
