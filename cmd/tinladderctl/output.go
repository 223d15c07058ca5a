package main

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	tlv1 "github.com/tinladder/tinladder/schema/tinladder/v1"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
)

// output prints tables, or JSON.
type output struct {
	w    io.Writer
	json bool
	// progress is where the progress of long work is shown; nil if nobody looks.
	progress io.Writer
}

func (o *output) line(format string, args ...any) {
	fmt.Fprintf(o.w, format+"\n", args...)
}

// message prints a message as JSON.
func (o *output) message(m proto.Message) error {
	b, err := protojson.MarshalOptions{Multiline: true}.Marshal(m)
	if err != nil {
		return err
	}
	o.line("%s", b)
	return nil
}

// table prints rows below a heading, or the message as JSON if that is wanted.
func (o *output) table(m proto.Message, heading string, rows [][]string) error {
	if o.json {
		return o.message(m)
	}
	t := tabwriter.NewWriter(o.w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, heading)
	for _, r := range rows {
		fmt.Fprintln(t, strings.Join(r, "\t"))
	}
	return t.Flush()
}

func (o *output) document(d *tlv1.Document) error {
	return o.message(d)
}

// diff prints the lines of the documents that differ.
func (o *output) diff(from, to *tlv1.Document) {
	a, b := lines(from), lines(to)
	for _, l := range a {
		if !contains(b, l) {
			o.line("- %s", l)
		}
	}
	for _, l := range b {
		if !contains(a, l) {
			o.line("+ %s", l)
		}
	}
}

// lines returns one line for each part of a document.
func lines(d *tlv1.Document) []string {
	s := d.GetService()
	if s == nil {
		w := d.GetWorkspace()
		if w == nil {
			return nil
		}
		return []string{fmt.Sprintf("workspace %s: %d operator tokens, %d caller tokens, concurrency %d",
			w.GetName(), len(w.GetTokenSha256()), len(w.GetCallerTokenSha256()), w.GetConcurrency())}
	}
	list := []string{fmt.Sprintf("service %s/%s: profile %s, floor %d slots, nodes %d, queue %d",
		s.GetWorkspace(), s.GetName(), s.GetProfile(), s.GetFloorSlots(), s.GetNodes(), s.GetQueue())}
	for _, t := range s.GetTargets() {
		list = append(list, fmt.Sprintf("  target %s: %s, %d slots, hall %s, leaving %v", t.GetId(), t.GetAddress(), t.GetSlots(), t.GetHall(), t.GetLeaving()))
	}
	for _, r := range s.GetRoutes() {
		list = append(list, fmt.Sprintf("  route %s%s %v: %s, deadline %d ms, retries %d", r.GetHost(), r.GetPathPrefix(), r.GetMethods(), r.GetRepeat(), r.GetDeadlineMs(), r.GetRetries()))
	}
	return list
}

func contains(list []string, s string) bool {
	for _, l := range list {
		if l == s {
			return true
		}
	}
	return false
}

func (o *output) services(m *tlv1.ListResponse) error {
	var rows [][]string
	for _, d := range m.GetDocuments() {
		s := d.GetService()
		rows = append(rows, []string{s.GetName(), fmt.Sprint(d.GetVersion()), fmt.Sprint(len(s.GetTargets())), fmt.Sprint(len(s.GetRoutes())), fmt.Sprint(s.GetFloorSlots())})
	}
	return o.table(m, "SERVICE\tVERSION\tTARGETS\tROUTES\tFLOOR", rows)
}

func stamp(ms int64) string {
	return time.UnixMilli(ms).Format(time.RFC3339)
}

func (o *output) history(m *tlv1.HistoryResponse) error {
	var rows [][]string
	for _, c := range m.GetChanges() {
		rows = append(rows, []string{fmt.Sprint(c.GetSeq()), fmt.Sprint(c.GetReplaced()), stamp(c.GetAtMs()), c.GetWho(), c.GetId()})
	}
	return o.table(m, "VERSION\tREPLACED\tWHEN\tWHO\tCHANGE", rows)
}

func (o *output) inForce(m *tlv1.InForceResponse) error {
	var rows [][]string
	for _, n := range m.GetNodes() {
		version := "not reached"
		if n.GetReached() {
			version = fmt.Sprint(n.GetVersion())
		}
		rows = append(rows, []string{n.GetNode(), version})
	}
	return o.table(m, "NODE\tVERSION", rows)
}

func (o *output) status(m *tlv1.StatusResponse) error {
	if o.json {
		return o.message(m)
	}
	o.line("node %s in hall %s: %s", m.GetNode(), m.GetHall(), m.GetState())
	var peers, targets [][]string
	for _, p := range m.GetPeers() {
		peers = append(peers, []string{p.GetNode(), p.GetHall(), p.GetState()})
	}
	if err := o.table(nil, "PEER\tHALL\tSTATE", peers); err != nil {
		return err
	}
	for _, t := range m.GetTargets() {
		targets = append(targets, []string{t.GetService(), t.GetTarget(), t.GetState(), fmt.Sprint(t.GetInFlight())})
	}
	return o.table(nil, "SERVICE\tTARGET\tSTATE\tIN FLIGHT", targets)
}

func (o *output) report(m *tlv1.ReportResponse) error {
	var rows [][]string
	for _, e := range m.GetEvents() {
		kind := strings.ToLower(strings.TrimPrefix(e.GetKind().String(), "EVENT_KIND_"))
		rows = append(rows, []string{stamp(e.GetAtMs()), kind, e.GetWorkspace() + "/" + e.GetService(), e.GetTarget(), fmt.Sprint(e.GetCount()), e.GetNode(), e.GetReason()})
	}
	if m.GetUnsaved() {
		o.line("the object store does not answer: only this node's unsaved events are shown")
	}
	return o.table(m, "WHEN\tWHAT\tSERVICE\tTARGET\tCOUNT\tNODE\tREASON", rows)
}
