// Command tinladder-platform runs a stand-in for the platform's table, object store and list of
// VMs. It keeps everything in memory, and misbehaves when told to.
package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"connectrpc.com/connect"
	"github.com/alexflint/go-arg"
	"github.com/tinladder/tinladder"
	"github.com/tinladder/tinladder/clock"
	"github.com/tinladder/tinladder/backing"
	tlv1 "github.com/tinladder/tinladder/schema/tinladder/v1"
	"github.com/tinladder/tinladder/schema/tinladder/v1/tinladderv1connect"
)

type serveCmd struct {
	Listen string `arg:"--listen" default:"127.0.0.1:7000" help:"IP number and port"`
}

type faultsCmd struct {
	URL         string        `arg:"--url" default:"http://127.0.0.1:7000"`
	Away        bool          `arg:"--away" help:"refuse every call"`
	Delay       time.Duration `arg:"--delay" help:"add this to every call"`
	LoseAnswers uint32        `arg:"--lose-answers" help:"lose the answers of that many commits after they took effect"`
	VMLag       time.Duration `arg:"--vm-lag" help:"how old the list of VMs is"`
}

type vmsCmd struct {
	URL string   `arg:"--url" default:"http://127.0.0.1:7000"`
	VMs []string `arg:"positional" help:"address@hall, with ! after it if the VM is leaving"`
}

type arguments struct {
	Serve  *serveCmd  `arg:"subcommand:serve" help:"run the stand-in"`
	Faults *faultsCmd `arg:"subcommand:faults" help:"replace the faults; without options, none"`
	VMs    *vmsCmd    `arg:"subcommand:vms" help:"replace the list of VMs"`
}

// Description is shown by --help.
func (arguments) Description() string {
	return "A stand-in for the platform, for trials and tests. Nothing it holds outlives it."
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
	case args.VMs != nil:
		err = vms(args.VMs)
	default:
		p.Fail("serve, faults or vms?")
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "tinladder-platform:", err)
		os.Exit(1)
	}
}

func serve(c *serveCmd) error {
	m := backing.NewMemory(clock.NewSystem(), tinladder.Wait)
	s := &http.Server{Addr: c.Listen, Handler: backing.NewHandler(m), ReadHeaderTimeout: 10 * time.Second}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	context.AfterFunc(ctx, func() { _ = s.Close() })
	err := s.ListenAndServe()
	if ctx.Err() != nil {
		return nil
	}
	return err
}

func standIn(url string) tinladderv1connect.StandInServiceClient {
	return tinladderv1connect.NewStandInServiceClient(http.DefaultClient, url)
}

func faults(c *faultsCmd) error {
	res, err := standIn(c.URL).SetFaults(context.Background(), connect.NewRequest(&tlv1.SetFaultsRequest{
		Away: c.Away, DelayMs: c.Delay.Milliseconds(), LoseAnswers: c.LoseAnswers, VmLagMs: c.VMLag.Milliseconds(),
	}))
	if err != nil {
		return err
	}
	fmt.Printf("reads=%d writes=%d\n", res.Msg.GetReads(), res.Msg.GetWrites())
	return nil
}

func vms(c *vmsCmd) error {
	req := &tlv1.SetVMsRequest{}
	for _, s := range c.VMs {
		s, leaving := strings.CutSuffix(s, "!")
		address, hall, found := strings.Cut(s, "@")
		if !found {
			return fmt.Errorf("%q is not address@hall", s)
		}
		req.Vms = append(req.Vms, &tlv1.VM{Address: address, Hall: hall, Leaving: leaving})
	}
	_, err := standIn(c.URL).SetVMs(context.Background(), connect.NewRequest(req))
	return err
}
