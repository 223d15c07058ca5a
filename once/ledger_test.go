package once_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"
	"github.com/tinladder/tinladder/clock"
	"github.com/tinladder/tinladder/ident"
	"github.com/tinladder/tinladder/once"
	"pgregory.net/rapid"
)

var small = once.Limits{SliceDuration: 100, Retention: 200, Keys: 16, Bytes: 64, ResponseBytes: 8}

func newLedger(c clock.Clock, inc ident.Incarnation) *once.Ledger {
	self := ident.Process{Node: "n1", Incarnation: inc}
	return once.NewLedger(self, small, c, rand.New(rand.NewPCG(1, uint64(inc))))
}

func key(t interface{ Fatal(...any) }, prefix, suffix string) once.Key {
	k, err := once.ParseKey(prefix + "~" + suffix)
	if err != nil {
		t.Fatal(err)
	}
	return k
}

func TestDecisions(t *testing.T) {
	is := is.New(t)
	c := clock.NewManual(1000)
	l := newLedger(c, 7)
	k := key(t, l.Prefix(), "a")

	run, isRun := l.Begin("w", k, 1).(once.Run)
	is.True(isRun)
	is.Equal(l.Begin("w", k, 1), once.Unknown{Reason: "still running"})
	is.Equal(l.Begin("w", k, 2), once.Mismatch{})
	run.Ticket.Complete(&once.Response{Status: 200, Body: []byte("ok"), Complete: true})
	run.Ticket.Void() // a later end changes nothing
	replay, isReplay := l.Begin("w", k, 1).(once.Replay)
	is.True(isReplay)
	is.Equal(string(replay.Response.Body), "ok")

	_, isRun = l.Begin("other", k, 2).(once.Run)
	is.True(isRun) // another workspace's key is another key

	is.Equal(newLedger(c, 8).Begin("w", k, 1), once.Forward{Home: k.Home})
	c.Advance(301)
	is.Equal(l.Begin("w", k, 1), once.Unknown{Reason: "the key's time slice has ended"})
	is.Equal(l.Keys(), 0)
}

func TestFloodOfOneWorkspaceLeavesRoomForOthers(t *testing.T) {
	is := is.New(t)
	l := newLedger(clock.NewManual(0), 1)
	prefix := l.Prefix()
	for i := range 100 {
		l.Begin("flood", key(t, prefix, fmt.Sprint(i)), 1)
	}
	is.Equal(l.Keys(), small.Keys/2)
	_, isRun := l.Begin("quiet", key(t, prefix, "x"), 1).(once.Run)
	is.True(isRun)
}

func TestParseKeyRefuses(t *testing.T) {
	for _, s := range []string{"", "a", "a~b~c~d", "n~1~s~", "n~1~~x", "n~1~s~a b", "n~1~s~x~y", "~1~s~x", "n~-1~s~x"} {
		if _, err := once.ParseKey(s); err == nil {
			t.Errorf("key %q was taken", s)
		}
	}
}

func FuzzParseKey(f *testing.F) {
	f.Add("n1~7~1-ab~order.5")
	f.Add("~~~")
	f.Fuzz(func(t *testing.T, s string) {
		k, err := once.ParseKey(s)
		if err == nil && k.String() != s && len(k.Suffix) > once.MaxSuffix {
			t.Errorf("%q became %q", s, k)
		}
	})
}

// outcome is what the oracle knows of one key: the simplest statement of the promise.
type outcome struct {
	runs       int
	toldNotRun bool
}

// run is one ticket given out.
type run struct {
	ticket *once.Ticket
	fate   *outcome
	ended  bool
}

// TestAtMostOnce lets callers send keys through any process, at any time, twice and late, while
// processes run, answer, void, lose answers, restart, and slices end.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := clock.NewManual(1000)
		inc := ident.Incarnation(1)
		ledger := newLedger(c, inc)
		old := []*once.Ledger{}
		fates := map[string]*outcome{}
		var tickets []*run
		var prefixes []string

		check := func(k string, d once.Decision) {
			f := fates[k]
			if f == nil {
				f = &outcome{}
				fates[k] = f
			}
			switch d := d.(type) {
			case once.Run:
				f.runs++
				tickets = append(tickets, &run{ticket: d.Ticket, fate: f})
				if f.runs > 1 || f.toldNotRun {
					t.Fatalf("key %s ran %d times, told not run: %v", k, f.runs, f.toldNotRun)
				}
			case once.NotRun:
				f.toldNotRun = true
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"ask": func(*rapid.T) { prefixes = append(prefixes, ledger.Prefix()) },
			"send": func(t *rapid.T) {
				if len(prefixes) == 0 {
					t.Skip()
				}
				p := rapid.SampledFrom(prefixes).Draw(t, "prefix")
				k := key(t, p, rapid.SampledFrom([]string{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k", "l"}).Draw(t, "suffix"))
				to := ledger
				if len(old) > 0 && rapid.Bool().Draw(t, "late at a paused process") {
					to = rapid.SampledFrom(old).Draw(t, "process")
				}
				check(k.String(), to.Begin("w", k, 1))
			},
			"end": func(t *rapid.T) {
				if len(tickets) == 0 {
					t.Skip()
				}
				tk := rapid.SampledFrom(tickets).Draw(t, "ticket")
				end := rapid.IntRange(0, 2).Draw(t, "end")
				switch {
				case end == 0:
					tk.ticket.Complete(&once.Response{Status: 200, Complete: true})
				case end == 1:
					tk.ticket.Unknown()
				case !tk.ended: // the request never reached a target
					tk.ticket.Void()
					tk.fate.runs--
					tk.fate.toldNotRun = true
				}
				tk.ended = true
			},
			"restart": func(*rapid.T) {
				old = append(old, ledger)
				inc++
				ledger = newLedger(c, inc)
			},
			"wait": func(t *rapid.T) { c.Advance(clock.Millis(rapid.IntRange(1, 150).Draw(t, "ms"))) },
			"": func(t *rapid.T) {
				if n := ledger.Keys(); n > small.Keys {
					t.Fatalf("%d keys kept", n)
				}
			},
		})
	})
}

func TestRefusedKeyStaysRefused(t *testing.T) {
	is := is.New(t)
	c := clock.NewManual(0)
	l := newLedger(c, 1)
	old := l.Prefix()
	c.Advance(small.SliceDuration + 1)
	l.Begin("w", key(t, l.Prefix(), "later"), 1) // a slice that outlives the old one
	for i := range small.Keys {
		l.Begin("w", key(t, old, fmt.Sprint(i)), 1)
	}
	refused := key(t, l.Prefix(), "refused")
	_, notRun := l.Begin("w", refused, 1).(once.NotRun)
	is.True(notRun)
	c.Advance(small.Retention - 1) // the old slice ends, and there is room again
	is.True(l.Keys() > 0)
	_, notRun = l.Begin("w", refused, 1).(once.NotRun)
	is.True(notRun)
}
