package main

import (
	"cmp"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/tinladder/tinladder/trace"
)

// Errors of commands that read logs.
var (
	// errNoLine says that no line of the logs names the request.
	errNoLine = errors.New("no line names the request")
	// errUsage says that options do not go together, or that a value makes no sense.
	errUsage = errors.New("wrong usage")
)

// ofLogs says whether the report is made from logs.
func (cmd *reportCmd) ofLogs() bool {
	return len(cmd.Logs) > 0 || cmd.Every != 0 || cmd.Plot != ""
}

// check returns what is wrong with the options.
func (cmd *reportCmd) check() error {
	switch {
	case len(cmd.Logs) == 0:
		return errors.Wrap(errUsage, "--every and --plot need --logs")
	case cmd.Every < 0 || cmd.Since <= 0:
		return errors.Wrap(errUsage, "--every and --since are lengths of time above 0")
	case cmd.Every > 0 && cmd.Plot != "":
		return errors.Wrap(errUsage, "--plot draws by the second; leave --every out")
	case cmd.Plot != "" && !drawable(cmd.Plot):
		return errors.Wrapf(errUsage, "--plot %s: the file's name must end in .png or .svg", cmd.Plot)
	}
	return nil
}

// reportFromLogs makes the report that the options ask for.
func reportFromLogs(o *output, cmd *reportCmd) error {
	if err := cmd.check(); err != nil {
		return err
	}
	switch {
	case cmd.Plot != "":
		return reportPlot(o, cmd)
	case cmd.Every > 0:
		return reportTimes(o, cmd)
	}
	return reportLogs(o, cmd)
}

// explain says from the nodes' logs what became of a request.
func explain(o *output, cmd *explainCmd) error {
	c := trace.NewCase(cmd.Request)
	if err := readLogs(o, cmd.Logs, c.First, c.Second); err != nil {
		return err
	}
	s := c.Story()
	if o.json {
		if err := o.value(s); err != nil {
			return err
		}
	} else {
		for _, l := range s.Lines {
			o.line("%s", l)
		}
		o.line("%s: %s", cmp.Or(s.Cause, "unknown"), s.Said)
	}
	if s.Cause == "" {
		return errors.Wrap(errNoLine, cmd.Request)
	}
	return nil
}

// reportLogs sums from the nodes' logs what failed.
func reportLogs(o *output, cmd *reportCmd) error {
	s := trace.NewSummary(time.Now().Add(-cmd.Since))
	if err := readLogs(o, cmd.Logs, s.Add); err != nil {
		return err
	}
	s.Sort()
	if o.json {
		return o.value(s)
	}
	o.line("%d requests served in the sums so far, %d failed; %d log lines missing", s.Served, s.Failed, s.Missing)
	var rows [][]string
	for _, g := range s.Groups {
		target := ""
		if g.TargetCount > 1 {
			target = fmt.Sprintf("%s (%d)", g.Target, g.TargetCount)
		}
		rows = append(rows, []string{
			fmt.Sprint(g.Count), g.Service, g.Kind, g.Cause, g.First.Format(time.TimeOnly), g.Last.Format(time.TimeOnly), target, strings.Join(g.Requests, ","),
		})
	}
	return o.table(nil, "COUNT\tSERVICE\tKIND\tCAUSE\tFIRST\tLAST\tMOST AT\tREQUESTS", rows)
}

// reportTimes tells from the nodes' logs what failed over time.
func reportTimes(o *output, cmd *reportCmd) error {
	t := trace.NewTimeline(time.Now().Add(-cmd.Since), cmd.Every)
	if err := readLogs(o, cmd.Logs, t.Add); err != nil {
		return err
	}
	if o.json {
		return o.value(t.Spans())
	}
	failures := t.Failures()
	heading := "FROM\tFAILED"
	for _, f := range failures {
		heading += "\t" + f.String()
	}
	var rows [][]string
	for _, s := range t.Spans() {
		counts := map[trace.Failure]int{}
		for _, c := range s.Counts {
			counts[c.Failure] = c.Count
		}
		row := []string{s.From.Format(time.TimeOnly), fmt.Sprint(s.Failed)}
		for _, f := range failures {
			row = append(row, fmt.Sprint(counts[f]))
		}
		rows = append(rows, row)
	}
	return o.table(nil, heading, rows)
}

// value prints anything as JSON.
func (o *output) value(v any) error {
	b, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return err
	}
	o.line("%s", b)
	return nil
}
