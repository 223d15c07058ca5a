// Command stand plays the users' platform for the cases of the review: it starts the nodes as processes, with a store,
// upstreams and requesters of its own, and checks one rule.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	held      = 0
	broken    = 1
	couldntGo = 2
)

// A record is what a case writes to record.txt.
type record struct {
	mu    sync.Mutex
	w     *bufio.Writer
	file  *os.File
	begun time.Time
}

func newRecord(dir string) (*record, error) {
	f, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		return nil, err
	}
	return &record{w: bufio.NewWriter(f), file: f, begun: time.Now()}, nil
}

// say writes a line with the time since the start.
func (r *record) say(format string, args ...any) {
	r.at(time.Now(), format, args...)
}

func (r *record) at(t time.Time, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.w, "%8.3f s  %s\n", t.Sub(r.begun).Seconds(), fmt.Sprintf(format, args...))
}

// sum writes a line to the record and to standard output.
func (r *record) sum(format string, args ...any) {
	r.say(format, args...)
	fmt.Printf(format+"\n", args...)
}

func (r *record) close() {
	_ = r.w.Flush()
	_ = r.file.Close()
}

// history writes what was sent, answered and run, in the order of time.
func (r *record) history(tries []*try, upstreams []*upstream) {
	type event struct {
		at   time.Time
		text string
	}
	var list []event
	for _, t := range tries {
		size := fmt.Sprintf("%d bytes", len(t.payload))
		if t.chunked {
			size += " in chunks"
		}
		list = append(list, event{t.at, fmt.Sprintf("request %s sent: %s %s, %s, to %s", t.id, t.method, t.path, size, t.node.name)})
		list = append(list, event{t.end, fmt.Sprintf("request %s ends for its requester: %s", t.id, t.outcome())})
	}
	for _, u := range upstreams {
		for _, a := range u.seen() {
			verb := "turns away"
			if a.ran {
				verb = "runs"
			}
			list = append(list, event{a.at, fmt.Sprintf("upstream %s %s request %s (%s), answers %d", u.id, verb, a.id, a.path, a.answered)})
		}
	}
	slices.SortStableFunc(list, func(a, b event) int { return a.at.Compare(b.at) })
	for _, e := range list {
		r.at(e.at, "%s", e.text)
	}
}

// A scenario plays one situation. It reports whether the rule was broken.
type scenario func(r *record, trouble bool) (bool, error)

// scenarios are those of the three cases, duplex, poison and stranger, and two more that the report tells of.
var scenarios = map[string]scenario{
	"duplex":   playDuplex,
	"attempts": playAttempts,
	"stranger": playStranger,
	"poison":   playPoison,
	"unframed": playUnframed,
}

func main() {
	os.Exit(run())
}

func run() int {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand SCENARIO FOLDER")
		return couldntGo
	}
	r, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldntGo
	}
	defer r.close()
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGINT, syscall.SIGTERM)
	result := make(chan error, 1)
	var wasBroken bool
	go func() {
		var err error
		wasBroken, err = scenarios[os.Args[1]](r, os.Getenv("TROUBLE") != "0")
		result <- err
	}()
	select {
	case err = <-result:
	case <-ended:
		stopAll()
		err = errors.New("it was told to end")
	}
	switch {
	case err != nil:
		r.sum("the case could not run: %v", err)
		return couldntGo
	case wasBroken:
		r.sum("RESULT: the rule was broken")
		return broken
	}
	r.sum("RESULT: the rule held")
	return held
}
