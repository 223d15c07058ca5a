// Command tinladder-platform runs a stand-in for the platform's store. It keeps everything in memory,
// and misbehaves when told to.
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"
	"github.com/tinladder/tinladder/clock"
	"github.com/tinladder/tinladder/platform/standin"
)

type serveCmd struct {
	Listen  string        `arg:"--listen" default:"127.0.0.1:7000" help:"IP number and port"`
	History time.Duration `arg:"--history" default:"20s" help:"how long changes can be followed"`
}

type faultsCmd struct {
	URL         string        `arg:"--url" default:"http://127.0.0.1:7000"`
	Away        string        `arg:"--away" help:"turn every call away: silent, busy, many, reset or broken"`
	Delay       time.Duration `arg:"--delay" help:"add this to every call"`
	LoseAnswers int           `arg:"--lose-answers" help:"lose the answers of that many writes after they took effect"`
	Forget      bool          `arg:"--forget" help:"forget the history now"`
}

type arguments struct {
	Serve  *serveCmd  `arg:"subcommand:serve" help:"run the stand-in"`
	Faults *faultsCmd `arg:"subcommand:faults" help:"replace the faults; without options, none"`
}

// Description is shown by --help.
func (arguments) Description() string {
	return "A stand-in for the platform's store, for trials and tests. Nothing it holds outlives it."
}

func main() {
	var args arguments
	p := arg.MustParse(&args)
	var err error
	switch {
	case args.Serve != nil:
		err = serve(args.Serve)
	case args.Faults != nil:
		err = faults(args.Faults)
	default:
		p.Fail("serve or faults?")
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "tinladder-platform:", err)
		os.Exit(1)
	}
}

func serve(c *serveCmd) error {
	store := standin.New(clock.NewSystem(), clock.FromDuration(c.History))
	s := &http.Server{Addr: c.Listen, Handler: standin.NewControl(standin.NewDoor(store)), ReadHeaderTimeout: 10 * time.Second}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	context.AfterFunc(ctx, func() { _ = s.Close() })
	err := s.ListenAndServe()
	if ctx.Err() != nil {
		return nil
	}
	return err
}

func faults(c *faultsCmd) error {
	body, err := json.Marshal(standin.Command{
		Faults: standin.Faults{Away: c.Away, DelayMs: c.Delay.Milliseconds(), LoseAnswers: c.LoseAnswers},
		Forget: c.Forget,
	})
	if err != nil {
		return err
	}
	res, err := http.Post(c.URL+standin.ControlPath, "application/json", bytes.NewReader(body))
	if err != nil {
		return err
	}
	defer func() { _ = res.Body.Close() }()
	var u standin.Usage
	if err := json.NewDecoder(res.Body).Decode(&u); err != nil {
		return err
	}
	fmt.Printf("reads=%d writes=%d feeds=%d\n", u.Reads, u.Writes, u.Feeds)
	return nil
}
