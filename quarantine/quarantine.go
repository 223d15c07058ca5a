package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/tinladder/tinladder/clock"
	"github.com/tinladder/tinladder/ident"
)

const (
	// Enough crashes, of as many targets, hold a request back. One or two may be chance.
	Enough = 3
	// Alone is from how many crashes in a row on a request goes to one target only, without a second attempt: of those that were
	// aboard by chance as one target crashed, nearly all are not aboard a second time.
	Alone = 2
	// forgetAfter is how long crashes are remembered that were not enough: a request that comes more seldom ends few
	// targets.
	forgetAfter = 10 * clock.Minute
	// clearedFor is how long it is remembered that a request was cleared, so that older word of crashes is known as such.
	clearedFor = 1 * clock.Minute
	// maxEntries bounds the requests that are remembered, and maxCrashes the targets named with each.
	maxEntries = 4096
	maxCrashes = 6
	// sameWithin is how far apart two words of one crash may be: less than a target needs to start again.
	sameWithin clock.Millis = 400
)

// trialWaits are the times until a request that is held back is let through once more, by how often it was. The first is
// short: a request that was aboard by chance as many targets ended at once is free again before its caller gives up. The
// others grow, for a request that still crashes its target each time; a new version of the target may cure it.
var trialWaits = [...]clock.Millis{2 * clock.Second, 20 * clock.Second, 2 * clock.Minute, 20 * clock.Minute, 60 * clock.Minute}

// A Crash struct is one target that crashed while it ran the request.
type Crash struct {
	Target ident.Target
	// From is when the request was sent to it, and At when it crashed.
	From, At clock.Millis
	// Loose says that At is just when it was learned of, no earlier than it was.
	Loose bool
}

// same says whether another word of a crash may be of this one: several requests are lost by it, and several nodes see it.
func (c Crash) same(x Crash) bool {
	if c.Target != x.Target {
		return false
	}
	apart := x.At - c.At
	return max(apart, -apart) < sameWithin || c.Loose && apart <= 0 || x.Loose && apart >= 0
}

// A Case struct is all that is known of one request under which targets crashed.
type Case struct {
	Print Print
	// Breadth is how much of the request the print tells apart.
	Breadth Breadth
	// Service and What name it for operators.
	Service, What string
	Crashes       []Crash
	// Trials is how often it was let through since it is held back.
	Trials int
}

// Held says whether the request is held back.
func (c *Case) Held() bool {
	return len(c.Crashes) >= Enough
}

// inARow counts crashes of which each target had the request only after the one before had crashed. Many may send the
// request, and many targets end at once of something else while they have it: such crashes are no more than one in a row.
func (c *Case) inARow() (count int) {
	var timed []Crash
	for _, x := range c.Crashes {
		if x.Loose {
			count++
			continue
		}
		timed = append(timed, x)
	}
	slices.SortFunc(timed, func(a, b Crash) int { return cmp.Compare(a.At, b.At) })
	for i := 0; i < len(timed); {
		last := timed[i].At
		count++
		for i++; i < len(timed) && timed[i].From < last; {
			i++
		}
	}
	return count
}

// A Verdict struct is how a request is to be treated.
type Verdict struct {
	// Crashes counts the targets that crashed under it, and InARow those of them that crashed one after the other. With
	// none, it is like any other.
	Crashes, InARow int
	// Held requests are not sent, unless a trial is Due.
	Held, Due bool
	// RetryAfter is when the next trial is due.
	RetryAfter clock.Millis
	Trials     int
}

// Worse says whether there is more against a request by this verdict than by the other.
func (v Verdict) Worse(than Verdict) bool {
	if v.Held != than.Held {
		return v.Held
	}
	return cmp.Or(cmp.Compare(v.RetryAfter, than.RetryAfter), cmp.Compare(v.Crashes, than.Crashes)) > 0
}

// Sole says whether the request goes to one target only.
func (v Verdict) Sole() bool {
	return v.InARow >= Alone
}

// A Change says what word of a crash changed.
type Change int

// Changes.
const (
	// Nothing is new.
	Nothing Change = iota
	// Suspected requests have one crash more, and are not held back.
	Suspected
	// Held requests are held back from now on.
	Held
	// Still says that a request that is held back has crashed one more target.
	Still
)

// String returns the change's name.
func (c Change) String() string {
	return [...]string{"nothing", "suspected", "held", "still"}[c]
}

type entry struct {
	Case
	// since is when this node last learned of a crash or a trial.
	since clock.Millis
	// clearedAt is when it was last cleared, 0 if never.
	clearedAt clock.Millis
	// stored says that the store names it, and want that this node is to have the store know what is known here.
	stored, want bool
}

// A List struct holds the requests under which targets crashed, as one node knows them. It is safe for concurrent use.
type List struct {
	clock clock.Clock
	// size is how many entries there are: while there are none, requests need no print.
	size atomic.Int32

	mu      sync.Mutex
	entries map[Print]*entry
}

// New returns an empty list.
func New(c clock.Clock) *List {
	return &List{clock: c, entries: map[Print]*entry{}}
}

// Empty says whether nothing is held against any request.
func (l *List) Empty() bool {
	return l.size.Load() == 0
}

// Decide says how a request is to be treated that is about to be sent.
func (l *List) Decide(p Print) (v Verdict) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.entries[p]
	if e == nil {
		return v
	}
	v = Verdict{Crashes: len(e.Crashes), InARow: e.inARow(), Held: e.Held(), Trials: e.Trials}
	if v.Held {
		v.RetryAfter = max(e.since+v.wait()-l.clock.Now(), 0)
		v.Due = v.RetryAfter == 0
	}
	return v
}

// wait is how long a request that is held back is not tried. Where its targets crashed at once, they may have for another
// reason, and the first trial is due now.
func (v Verdict) wait() clock.Millis {
	if v.Trials == 0 && v.InARow < Enough {
		return 0
	}
	return trialWaits[min(v.Trials, len(trialWaits)-1)]
}

// Crashed takes in that targets crashed while they ran the request, as seen here or told by another node.
func (l *List) Crashed(c Case) Change {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.entry(&c)
	held := e.Held()
	more := e.add(c.Crashes)
	now := l.clock.Now()
	if e.Trials < c.Trials {
		e.Trials, e.since = c.Trials, now
	}
	if !more {
		return Nothing
	}
	e.since = now
	switch {
	case held:
		return Still
	case e.Held():
		return Held
	}
	return Suspected
}

// add notes the crashes that are new, and says whether there are any. Two in one word are two, though they be of one target.
func (e *entry) add(list []Crash) (more bool) {
	known := slices.Clone(e.Crashes)
	for _, c := range list {
		if e.clearedAt > 0 && c.At <= e.clearedAt || c.Loose && e.Held() {
			continue
		}
		if i := slices.IndexFunc(known, c.same); i >= 0 {
			known = slices.Delete(known, i, i+1)
			continue
		}
		more = true
		if len(e.Crashes) == maxCrashes {
			e.Crashes = slices.Delete(e.Crashes, 0, 1)
		}
		e.Crashes = append(e.Crashes, c)
	}
	return more
}

// entry returns the request's entry, making it if there is none.
func (l *List) entry(c *Case) *entry {
	e := l.entries[c.Print]
	if e == nil {
		l.makeRoom()
		e = &entry{Case: Case{Print: c.Print, Breadth: c.Breadth}}
		l.entries[c.Print] = e
		l.size.Store(int32(len(l.entries)))
	}
	e.Service, e.What = cmp.Or(e.Service, c.Service), cmp.Or(e.What, c.What)
	return e
}

// makeRoom drops the entry that matters least if there are too many: one that is not held back before one that is, and
// the oldest of them.
func (l *List) makeRoom() {
	if len(l.entries) < maxEntries {
		return
	}
	least := slices.MinFunc(slices.Collect(maps.Values(l.entries)), func(a, b *entry) int {
		return cmp.Or(compareBool(a.Held(), b.Held()), cmp.Compare(a.since, b.since))
	})
	l.drop(least.Print)
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

func (l *List) drop(p Print) {
	delete(l.entries, p)
	l.size.Store(int32(len(l.entries)))
}

// Tried notes that the request is let through once more. It says whether that is so by what is known here: another node
// may have let it through just now.
func (l *List) Tried(p Print, trials int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.entries[p]
	if e == nil || !e.Held() || e.Trials >= trials {
		return false
	}
	e.Trials, e.since = trials, l.clock.Now()
	return true
}

// Clear takes in that nothing is held against the request any more: a target has answered it well, which one that crashes
// its targets never sees, or an operator says so. It says whether anything was, and returns what was known.
func (l *List) Clear(p Print) (was Case, found bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.entries[p]
	if e == nil || len(e.Crashes) == 0 {
		return Case{}, false
	}
	was = e.Case
	e.clear(l.clock.Now())
	return was, true
}

func (e *entry) clear(now clock.Millis) {
	e.Crashes, e.Trials, e.since, e.clearedAt = nil, 0, now, now
}

// Known returns what is known of the request.
func (l *List) Known(p Print) (c Case, since clock.Millis, found bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.entries[p]
	if e == nil || len(e.Crashes) == 0 {
		return Case{}, 0, false
	}
	return e.copied(), e.since, true
}

func (e *entry) copied() Case {
	c := e.Case
	c.Crashes = slices.Clone(c.Crashes)
	return c
}

// All returns all requests under which targets crashed, in the order of their prints.
func (l *List) All() (list []Case) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range l.entries {
		if len(e.Crashes) > 0 {
			list = append(list, e.copied())
		}
	}
	slices.SortFunc(list, func(a, b Case) int { return slices.Compare(a.Print[:], b.Print[:]) })
	return list
}

// Forget drops what has grown old: crashes that were not enough, and that a request was cleared. What is held back stays
// until a trial or an operator clears it.
func (l *List) Forget() {
	if l.Empty() {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	for p, e := range l.entries {
		age := now - e.since
		if e.want || e.Held() {
			continue
		}
		if age > forgetAfter || len(e.Crashes) == 0 && age > clearedFor {
			l.drop(p)
		}
	}
}
