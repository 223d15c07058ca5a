// Command bed2 plays the scripted cases of the second review: it starts nodes as processes of their own, stands in for the
// platform's store, the upstreams and the requesters, and says whether a rule was broken.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	held      = 0
	broken    = 1
	couldNot  = 2
	longest   = 110 * time.Second
	recordEnv = "RECORD"
)

// cases are the plays by their names.
var cases = map[string]func(b *bed) (int, error){}

func main() {
	os.Exit(run())
}

func run() int {
	if len(os.Args) != 2 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: bed2 CASE")
		return couldNot
	}
	b, err := newBed(os.Getenv(recordEnv), os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, "bed2:", err)
		return couldNot
	}
	defer b.close()
	result := make(chan int, 1)
	go func() {
		code, err := cases[os.Args[1]](b)
		if err != nil {
			b.note("could not run: %v", err)
			code = couldNot
		}
		result <- code
	}()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, syscall.SIGINT)
	select {
	case <-stopped:
		b.note("could not run: it was stopped")
		return couldNot
	case code := <-result:
		b.note("exit %d", code)
		return code
	case <-time.After(longest):
		b.note("could not run: it took longer than %v", longest)
		return couldNot
	}
}
