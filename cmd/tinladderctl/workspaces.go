package main

import (
	"bufio"
	"cmp"
	"context"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
)

type workspacesCmd struct {
	Metrics []string `arg:"positional,required" help:"the nodes' metrics addresses, HOST:PORT"`
}

// A workspaceUse is what a workspace made of its limit, on all nodes that were asked.
type workspaceUse struct {
	Workspace string `json:"workspace"`
	// PerSecond and Burst are its limit over the whole fleet, the highest where nodes tell different ones; 0 if none
	// told.
	PerSecond float64 `json:"per_second"`
	Burst     float64 `json:"burst"`
	Used      uint64  `json:"used"`
	Refused   uint64  `json:"refused"`
	// Nodes is how many nodes told of it.
	Nodes int `json:"nodes"`
}

const (
	// metricsTimeout bounds a node's answer.
	metricsTimeout = 5 * time.Second
	// useLine is a line of a node's metrics; it is told for used requests and for refused ones.
	useLine = `tinladder_workspace_requests_total{workspace=%q,outcome=%q} %d`
	// limitLine is a line of a workspace's limit; it is told for what it may ask by the second, and for its burst.
	limitLine = `tinladder_workspace_limit{workspace=%q,of=%q} %g`
)

// workspaces sums what workspaces with a limit made of it, from the nodes' metrics. A node that does not answer is
// named, and the others are summed all the same.
func workspaces(ctx context.Context, o *output, cmd *workspacesCmd) error {
	sums := map[string]*workspaceUse{}
	var missing error
	for _, address := range cmd.Metrics {
		if err := addUses(ctx, address, sums); err != nil {
			missing = errors.CombineErrors(missing, err)
			o.line("%v", err)
		}
	}
	list := slices.SortedFunc(maps.Values(sums), func(a, b *workspaceUse) int {
		return cmp.Or(cmp.Compare(b.Refused, a.Refused), cmp.Compare(b.Used, a.Used), cmp.Compare(a.Workspace, b.Workspace))
	})
	if o.json {
		if err := o.value(list); err != nil {
			return err
		}
		return missing
	}
	rows := make([][]string, len(list))
	for i, u := range list {
		rows[i] = []string{u.Workspace, shown(u.PerSecond), shown(u.Burst), fmt.Sprint(u.Used), fmt.Sprint(u.Refused), fmt.Sprint(u.Nodes)}
	}
	if err := o.table(nil, "WORKSPACE\tPER SECOND\tBURST\tUSED\tREFUSED\tNODES", rows); err != nil {
		return err
	}
	return missing
}

// addUses adds what one node tells.
func addUses(ctx context.Context, address string, sums map[string]*workspaceUse) (err error) {
	defer func() { err = errors.Wrapf(err, "node at %s", address) }()
	ctx, cancel := context.WithTimeout(ctx, metricsTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/metrics", nil)
	if err != nil {
		return err
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		return errors.Newf("status %d", res.StatusCode)
	}
	return readUses(res.Body, sums)
}

// shown is a bound as it is printed.
func shown(bound float64) string {
	if bound == 0 {
		return "-"
	}
	return strconv.FormatFloat(bound, 'g', -1, 64)
}

// readUses reads a node's metrics.
func readUses(r io.Reader, sums map[string]*workspaceUse) error {
	told := map[string]bool{}
	of := func(name string) *workspaceUse {
		if sums[name] == nil {
			sums[name] = &workspaceUse{Workspace: name}
		}
		return sums[name]
	}
	lines := bufio.NewScanner(r)
	for lines.Scan() {
		var name, kind string
		var count uint64
		var bound float64
		if _, err := fmt.Sscanf(lines.Text(), useLine, &name, &kind, &count); err == nil {
			u := of(name)
			if !told[name] {
				told[name] = true
				u.Nodes++
			}
			u.add(kind, count)
		} else if _, err := fmt.Sscanf(lines.Text(), limitLine, &name, &kind, &bound); err == nil {
			of(name).bound(kind, bound)
		}
	}
	return lines.Err()
}

// add takes in how many requests ended so at one node.
func (u *workspaceUse) add(outcome string, count uint64) {
	if outcome == "used" {
		u.Used += count
	} else {
		u.Refused += count
	}
}

// bound takes in what one node knows of the limit.
func (u *workspaceUse) bound(of string, bound float64) {
	if of == "burst" {
		u.Burst = max(u.Burst, bound)
	} else {
		u.PerSecond = max(u.PerSecond, bound)
	}
}
