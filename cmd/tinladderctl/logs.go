package main

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/tinladder/tinladder/trace"
)

// errNoLine says that no line of the logs names the request.
var errNoLine = errors.New("no line names the request")

// explain says from the nodes' logs what became of a request.
func explain(o *output, cmd *explainCmd) error {
	var lines []*trace.Line
	if err := readLogs(cmd.Logs, func(l *trace.Line) { lines = append(lines, l) }); err != nil {
		return err
	}
	s := trace.Explain(lines, cmd.Request)
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
	if err := readLogs(cmd.Logs, s.Add); err != nil {
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
	if err := readLogs(cmd.Logs, t.Add); err != nil {
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

// readLogs reads the logs at the paths, or standard input if there is none or a "-".
func readLogs(paths []string, f func(l *trace.Line)) (err error) {
	defer func() { err = errors.Wrap(err, "logs") }()
	if len(paths) == 0 {
		paths = []string{"-"}
	}
	for _, path := range paths {
		if err := readLog(path, f); err != nil {
			return err
		}
	}
	return nil
}

func readLog(path string, f func(l *trace.Line)) error {
	var r io.Reader = os.Stdin
	source := ""
	if path != "-" {
		file, err := os.Open(path)
		if err != nil {
			return err
		}
		defer func() { _ = file.Close() }()
		r, source = file, strings.TrimSuffix(filepath.Base(path), filepath.Ext(path))
	}
	return trace.Read(source, r, f)
}
