// Command tinladder-bench emulates what the fleet serves: targets, and callers under load.
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"
	"github.com/cockroachdb/errors"
	"github.com/tinladder/tinladder/emulate"
)

type targetCmd struct {
	Listen []string      `arg:"--listen,required" help:"IP numbers and ports, one target at each"`
	Slots  int           `arg:"--slots" default:"3"`
	Takes  time.Duration `arg:"--takes" default:"5ms" help:"time for each request"`
}

type faultsCmd struct {
	Target string  `arg:"positional,required" help:"the target's address"`
	Fail   float64 `arg:"--fail" help:"share of requests answered with status 500"`
	Hang   float64 `arg:"--hang" help:"share of requests not answered"`
	Drop   float64 `arg:"--drop" help:"share of requests run, whose connection is then closed"`
	Cut    float64 `arg:"--cut" help:"share of answers cut"`
	Slow   float64 `arg:"--slow" help:"factor on the service time"`
}

type loadCmd struct {
	Entries   []string      `arg:"--entries,required" help:"callers' doors to ask at first"`
	Token     string        `arg:"--token,required" help:"a caller's token"`
	Service   string        `arg:"--service,required"`
	Hall      string        `arg:"--hall"`
	Callers   int           `arg:"--callers" default:"1" help:"how many callers, each with an answer of its own"`
	Rate      float64       `arg:"--rate" default:"100" help:"requests a second"`
	OnceShare float64       `arg:"--once-share" default:"0" help:"share of run-once requests"`
	GetPath   string        `arg:"--get-path" default:"/status/"`
	OncePath  string        `arg:"--once-path" default:"/refunds"`
	For       time.Duration `arg:"--for" default:"10s"`
	Targets   []string      `arg:"--targets" help:"targets to ask at the end how often each order ran"`
	Every     time.Duration `arg:"--every" default:"1s" help:"how often to print"`
}

type arguments struct {
	Target *targetCmd `arg:"subcommand:target" help:"run emulated targets"`
	Faults *faultsCmd `arg:"subcommand:faults" help:"replace a target's faults; without options, none"`
	Load   *loadCmd   `arg:"subcommand:load" help:"send requests, check every answer, and report"`
}

func main() {
	var args arguments
	p := arg.MustParse(&args)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	var err error
	switch {
	case args.Target != nil:
		err = targets(ctx, args.Target)
	case args.Faults != nil:
		err = faults(args.Faults)
	case args.Load != nil:
		err = load(ctx, args.Load)
	default:
		p.Fail("target, faults or load?")
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "tinladder-bench:", err)
		os.Exit(1)
	}
}

func targets(ctx context.Context, c *targetCmd) error {
	failed := make(chan error, len(c.Listen))
	for _, address := range c.Listen {
		s := &http.Server{
			Addr: address, Handler: emulate.NewTarget(address, c.Slots, c.Takes),
			ReadHeaderTimeout: 10 * time.Second,
		}
		go func() { failed <- s.ListenAndServe() }()
	}
	select {
	case <-ctx.Done():
		return nil
	case err := <-failed:
		return err
	}
}

func faults(c *faultsCmd) error {
	body, err := json.Marshal(emulate.Faults{Fail: c.Fail, Hang: c.Hang, Drop: c.Drop, Cut: c.Cut, Slow: c.Slow})
	if err != nil {
		return err
	}
	res, err := http.Post("http://"+c.Target+emulate.TargetPath+"faults", "application/json", bytes.NewReader(body))
	if err != nil {
		return err
	}
	return res.Body.Close()
}

func load(ctx context.Context, c *loadCmd) error {
	ctx, cancel := context.WithTimeout(ctx, c.For)
	defer cancel()
	callers := make([]*emulate.Caller, max(c.Callers, 1))
	for i := range callers {
		first := i % len(c.Entries)
		callers[i] = emulate.NewCaller(slices.Concat(c.Entries[first:], c.Entries[:first]), c.Token, c.Service, c.Hall)
	}
	l := emulate.NewLoad(callers, c.Rate, c.OnceShare, c.GetPath, c.OncePath)
	done := make(chan struct{})
	go func() {
		defer close(done)
		l.Run(ctx, fmt.Sprintf("%s-%d", c.Service, os.Getpid()))
	}()
	t := time.NewTicker(c.Every)
	defer t.Stop()
	for running := true; running; {
		select {
		case <-done:
			running = false
		case <-t.C:
			fmt.Printf("service=%s %s\n", c.Service, counts(l.Summary()))
		}
	}
	return report(c, l)
}

func counts(s emulate.Summary) string {
	var parts []string
	for _, m := range []struct {
		name   string
		counts map[string]int
	}{{"get", s.Get}, {"once", s.Once}} {
		for name, n := range m.counts {
			parts = append(parts, fmt.Sprintf("%s.%s=%d", m.name, name, n))
		}
	}
	slices.Sort(parts)
	return fmt.Sprintf("%s p50_ms=%.1f p99_ms=%.1f", strings.Join(parts, " "), s.P50Ms, s.P99Ms)
}

// report prints what was seen and how often promises were broken. It fails if any was.
func report(c *loadCmd, l *emulate.Load) error {
	s := l.Summary()
	runs := make([]map[string]int, len(c.Targets))
	for i, t := range c.Targets {
		res, err := http.Get("http://" + t + emulate.TargetPath + "runs")
		if err != nil {
			return errors.Wrapf(err, "ask target %s", t)
		}
		err = json.NewDecoder(res.Body).Decode(&runs[i])
		_ = res.Body.Close()
		if err != nil {
			return errors.Wrapf(err, "ask target %s", t)
		}
	}
	b := emulate.Check(l.Fates(), s.Get[emulate.Crossed.String()]+s.Once[emulate.Crossed.String()], runs...)
	out, err := json.MarshalIndent(struct {
		Service  string           `json:"service"`
		Summary  emulate.Summary  `json:"summary"`
		Breaches emulate.Breaches `json:"promises_broken"`
	}{c.Service, s, b}, "", "  ")
	if err != nil {
		return err
	}
	fmt.Println(string(out))
	if b != (emulate.Breaches{}) {
		return errors.New("promises were broken")
	}
	return nil
}
