package attempt_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"github.com/tinladder/tinladder/attempt"
	"github.com/tinladder/tinladder/clock"
)

func always() bool { return true }
func never() bool  { return false }

var (
	once       = attempt.Policy{MaxAttempts: 3}
	repeatable = attempt.Policy{Repeatable: true, MaxAttempts: 2}
	plenty     = attempt.Progress{Tried: 1, TimeLeft: 3000, TypicalTime: 300}
)

// with returns the progress with one thing changed.
func with(change func(p *attempt.Progress)) attempt.Progress {
	p := plenty
	change(&p)
	return p
}

func TestNext(t *testing.T) {
	ran := with(func(p *attempt.Progress) { p.Ran = 1 })
	failed := attempt.Result{Answered: true, Failed: true}
	shed := attempt.Result{Answered: true, Failed: true, NotRun: true}
	unsent, lost := attempt.Result{Unsent: true}, attempt.Result{}
	cases := []struct {
		name string
		plan attempt.Policy
		end  attempt.Result
		at   attempt.Progress
		more func() bool
		want attempt.Step
	}{
		{"a good answer", once, attempt.Result{Answered: true}, ran, always, attempt.Respond},
		{"a failure of a run-once request", once, failed, ran, always, attempt.Respond},
		{"a failure of a repeatable one", repeatable, failed, ran, always, attempt.Retry},
		{"the same beyond the budget", repeatable, failed, ran, never, attempt.Respond},
		{"the same after all its attempts", repeatable, failed, with(func(p *attempt.Progress) { p.Ran = 2 }), always, attempt.Respond},
		{"run once, turned away", once, shed, plenty, always, attempt.Retry},
		{"turned away beyond the budget", once, shed, plenty, never, attempt.NotRun},
		{"turned away by six", once, shed, with(func(p *attempt.Progress) { p.Tried = 6 }), always, attempt.NotRun},
		{"no connection costs no budget", once, unsent, plenty, never, attempt.Retry},
		{"no connection, no time", once, unsent, with(func(p *attempt.Progress) { p.TimeLeft = 100 }), always, attempt.NotRun},
		{"run once, no answer", once, lost, ran, always, attempt.Unknown},
		{"repeatable, no answer, the node ends", repeatable, lost, with(func(p *attempt.Progress) { p.Ran, p.Stopping = 1, true }), always, attempt.Unknown},
		{"turned away, the node ends", once, shed, with(func(p *attempt.Progress) { p.Stopping = true }), always, attempt.NotRun},
		{"repeatable, no answer", repeatable, lost, ran, always, attempt.Retry},
		{"repeatable, no answer, no time", repeatable, lost, with(func(p *attempt.Progress) { p.Ran, p.TimeLeft = 1, 100 }), always, attempt.Unknown},
		{"a body that was read cannot be sent again", attempt.Policy{Streamed: true, MaxAttempts: 3}, shed, plenty, always, attempt.NotRun},
		{"one target only: turned away", attempt.Policy{Repeatable: true, MaxAttempts: 3, SingleTarget: true}, shed, plenty, always, attempt.NotRun},
		{"one target only: no answer", attempt.Policy{Repeatable: true, MaxAttempts: 3, SingleTarget: true}, lost, ran, always, attempt.Unknown},
		{"one target only: no connection", attempt.Policy{Repeatable: true, MaxAttempts: 3, SingleTarget: true}, unsent, plenty, always, attempt.Retry},
		{"the caller of a repeatable request left", repeatable, lost, with(func(p *attempt.Progress) { p.Ran, p.CallerGone = 1, true }), always, attempt.Canceled},
		{"the caller of a run-once request left, it ran", once, lost, with(func(p *attempt.Progress) { p.Ran, p.CallerGone = 1, true }), always, attempt.Unknown},
		{"the caller of a run-once request left, it did not run", once, unsent, with(func(p *attempt.Progress) { p.CallerGone = true }), always, attempt.Canceled},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(c.plan.Next(c.end, c.at, c.more), c.want)
		})
	}
}

// TestRunOnceIsNotRetriedAfterItMayHaveRun goes through all that can be said of an attempt.
func TestRunOnceIsNotRetriedAfterItMayHaveRun(t *testing.T) {
	for bits := range 16 {
		e := attempt.Result{Answered: bits&1 > 0, Failed: bits&2 > 0, NotRun: bits&4 > 0, Unsent: bits&8 > 0}
		if e.NotRun && !e.Answered || e.Unsent && e.Answered {
			continue // cannot be
		}
		for _, left := range []clock.Millis{0, 3000} {
			for _, more := range []func() bool{always, never} {
				at := with(func(p *attempt.Progress) { p.TimeLeft = left })
				step := once.Next(e, at, more)
				if may := e.Unsent || e.NotRun; !may && (step == attempt.Retry || step == attempt.NotRun) {
					t.Errorf("%+v: %v", e, step)
				}
			}
		}
	}
}

// TestBudgetIsTakenOnlyForRetries counts how often the budget is asked: each time counts as one attempt of the fleet.
func TestBudgetIsTakenOnlyForRetries(t *testing.T) {
	for _, c := range []struct {
		end  attempt.Result
		at   attempt.Progress
		want int
	}{
		{attempt.Result{Answered: true}, plenty, 0},
		{attempt.Result{Unsent: true}, plenty, 0},
		{attempt.Result{Answered: true, Failed: true}, plenty, 1},
		{attempt.Result{Answered: true, Failed: true}, with(func(p *attempt.Progress) { p.TimeLeft = 10 }), 0},
		{attempt.Result{Answered: true, Failed: true}, with(func(p *attempt.Progress) { p.CallerGone = true }), 0},
	} {
		t.Run(fmt.Sprintf("%+v", c.end), func(t *testing.T) {
			is := is.New(t)
			asked := 0
			repeatable.Next(c.end, c.at, func() bool { asked++; return true })
			is.Equal(asked, c.want)
		})
	}
}

func TestCanHedge(t *testing.T) {
	is := is.New(t)
	is.True(attempt.Policy{Repeatable: true, MaxAttempts: 2}.CanHedge(0))
	is.True(!attempt.Policy{Repeatable: true, MaxAttempts: 2, SingleTarget: true}.CanHedge(0)) // targets crashed under it
	is.True(!once.CanHedge(0))
}
