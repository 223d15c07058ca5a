// Command tinladderctl is the operators' command line.
package main

import (
	"fmt"
	"net/http"
	"os"
	"time"

	"connectrpc.com/connect"
	"github.com/alexflint/go-arg"
	"github.com/cockroachdb/errors"
	"github.com/tinladder/tinladder/schema/tinladder/v1/tinladderv1connect"
)

// Exit codes.
const (
	exitError       = 1
	exitUsage       = 2
	exitConflict    = 3
	exitAbsent      = 4
	exitUnavailable = 5
	exitUndecided   = 6
)

const rpcTimeout = 20 * time.Second

type applyCmd struct {
	File   string `arg:"positional,required" help:"TOML file with [[workspace]] and [[service]] tables"`
	DryRun bool   `arg:"--dry-run" help:"only show what would change"`
}

type nameCmd struct {
	Name string `arg:"positional,required" help:"WORKSPACE, WORKSPACE/SERVICE or hall:HALL"`
}

type historyCmd struct {
	Name  string `arg:"positional,required" help:"WORKSPACE, WORKSPACE/SERVICE or hall:HALL"`
	Limit uint32 `arg:"--limit" default:"20"`
}

type drainCmd struct {
	Service string `arg:"positional,required" help:"WORKSPACE/SERVICE"`
	Target  string `arg:"positional,required"`
	Undo    bool   `arg:"--undo" help:"let the target take work again"`
}

type hallCmd struct {
	Hall string `arg:"positional,required" help:"the data hall, as nodes and targets name it"`
}

type reportCmd struct {
	Workspace string        `arg:"positional" help:"all workspaces, for administrators, if left out"`
	Since     time.Duration `arg:"--since" default:"12h"`
	Logs      []string      `arg:"--logs" help:"the nodes' logs, to say it from them and not ask a node; - is standard input"`
	Every     time.Duration `arg:"--every" help:"with --logs: what failed over time, in spans of this length"`
	Plot      string        `arg:"--plot" help:"with --logs: draw served, refused and failed requests by the second into this file, .png or .svg"`
}

type explainCmd struct {
	Request string   `arg:"positional,required" help:"the request's id, as its caller sent it"`
	Logs    []string `arg:"positional" help:"the nodes' logs; standard input if there is none"`
}

type resolveCmd struct {
	Change string `arg:"positional,required" help:"id of the change"`
}

type tokenCmd struct {
	Workspace string `arg:"positional,required"`
}

type liftCmd struct {
	Print string `arg:"positional,required" help:"the request's print, as quarantine or the logs show it"`
}

type emptyCmd struct{}

type arguments struct {
	Node  string `arg:"--node,env:TINLADDER_NODE" default:"http://127.0.0.1:7104" help:"a node's operators' door"`
	Token string `arg:"--token,env:TINLADDER_TOKEN" help:"an operator's token"`
	JSON  bool   `arg:"--json" help:"print JSON"`

	Apply    *applyCmd      `arg:"subcommand:apply" help:"bring workspaces and services to the state of a file"`
	Get      *nameCmd       `arg:"subcommand:get" help:"show a workspace or a service"`
	List     *nameCmd       `arg:"subcommand:list" help:"list a workspace's services"`
	Delete   *nameCmd       `arg:"subcommand:delete" help:"delete a service"`
	History  *historyCmd    `arg:"subcommand:history" help:"show the audit trail of a workspace or a service"`
	Drain    *drainCmd      `arg:"subcommand:drain" help:"send a target no new work"`
	Evacuate *hallCmd       `arg:"subcommand:evacuate" help:"send a hall's targets nothing further, until it is restored"`
	Restore  *hallCmd       `arg:"subcommand:restore" help:"let an evacuated hall's targets take work again"`
	InForce  *nameCmd       `arg:"subcommand:in-force" help:"show which version each node uses"`
	Status   *emptyCmd      `arg:"subcommand:status" help:"show a node, its peers and its services' targets"`
	Report   *reportCmd     `arg:"subcommand:report" help:"show what failed"`
	Explain  *explainCmd    `arg:"subcommand:explain" help:"say from the nodes' logs what became of a request"`
	Spaces   *workspacesCmd `arg:"subcommand:workspaces" help:"show what workspaces with a limit made of it, from the nodes' metrics"`
	Held     *emptyCmd      `arg:"subcommand:quarantine" help:"list the requests under which targets crashed"`
	Room     *emptyCmd      `arg:"subcommand:room" help:"show who holds the room of services, whom they admit, and what is left of limits"`
	Lift     *liftCmd       `arg:"subcommand:lift" help:"have a request that is held back be sent again"`
	Resolve  *resolveCmd    `arg:"subcommand:resolve" help:"settle a change whose fate is not known"`
	Leave    *emptyCmd      `arg:"subcommand:leave" help:"make the node leave the fleet"`
	NewTok   *tokenCmd      `arg:"subcommand:token" help:"make a token and show its hash"`
}

// Description is shown by --help.
func (arguments) Description() string {
	return "Drives the fleet through any of its nodes."
}

// Epilogue is shown at the end of --help.
func (arguments) Epilogue() string {
	return `Examples:
  tinladderctl token tuul
  tinladderctl apply services.toml --dry-run
  tinladderctl drain tuul/refunds r3
  tinladderctl evacuate hall-2
  tinladderctl in-force hall:hall-2
  tinladderctl report tuul --since 12h
  tinladderctl report --logs node1.log node2.log
  tinladderctl report --every 2s --logs node1.log node2.log
  tinladderctl report --plot night.png --logs *.log
  tinladderctl room
  tinladderctl quarantine
  tinladderctl lift 9f2c04d1a7be56380c1d2e3f40516273
  tinladderctl workspaces 10.0.1.4:7200 10.0.2.4:7200
  tinladderctl explain 9c41d07be2a35f68 node1.log node2.log

Exit codes: 0 done, 1 error, 2 wrong usage, 3 another operator was faster,
4 no such workspace, service or request, 5 the platform or the node is away,
6 not known whether the change was made (see resolve).`
}

func main() {
	var args arguments
	p := arg.MustParse(&args)
	c := &control{
		client: tinladderv1connect.NewOperatorServiceClient(&http.Client{Timeout: rpcTimeout}, args.Node),
		token:  args.Token,
		out:    &output{w: os.Stdout, json: args.JSON, progress: terminal(os.Stderr)},
	}
	if p.Subcommand() == nil {
		p.WriteHelp(os.Stderr)
		os.Exit(exitUsage)
	}
	if err := c.run(args); err != nil {
		fmt.Fprintln(os.Stderr, "tinladderctl:", err)
		os.Exit(exitCode(err))
	}
}

func exitCode(err error) int {
	if errors.Is(err, errNoLine) {
		return exitAbsent
	}
	if errors.Is(err, errUsage) {
		return exitUsage
	}
	var rpc *connect.Error
	if !errors.As(err, &rpc) {
		return exitError
	}
	switch rpc.Code() {
	case connect.CodeAborted:
		return exitConflict
	case connect.CodeNotFound:
		return exitAbsent
	case connect.CodeUnavailable:
		return exitUnavailable
	case connect.CodeUnknown:
		return exitUndecided
	}
	return exitError
}
