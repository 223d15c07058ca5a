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
	// crashThreshold crashes of as many targets quarantine a request. One or two may be chance.
	crashThreshold = 3
	// singleAttemptThreshold is from how many sequential crashes on a request gets a single attempt: of those that were in
	// flight by chance as one target crashed, nearly all are not in flight a second time.
	singleAttemptThreshold = 2
	// crashTTL is how long crashes are remembered that were not enough: a request that comes more seldom ends few
	// targets.
	crashTTL = 10 * clock.Minute
	// clearedTTL is how long it is remembered that a request was cleared, so that older reports of crashes are known as such.
	clearedTTL = 1 * clock.Minute
	// maxEntries bounds the requests that are remembered, and maxCrashes the targets named with each.
	maxEntries = 4096
	maxCrashes = 6
	// sameCrashWindow is how far apart two reports of one crash may be: less than a target needs to start again.
	sameCrashWindow clock.Millis = 400
)

// trialDelays are the times until a request that is held back is let through once more, by how often it was. The first is
// short: a request that was in flight by chance as many targets ended at once is free again before its caller gives up. The
// others grow, for a request that still crashes its target each time; a new version of the target may cure it.
var trialDelays = [...]clock.Millis{2 * clock.Second, 20 * clock.Second, 2 * clock.Minute, 20 * clock.Minute, 60 * clock.Minute}

// A Crash struct is one target that crashed while it ran the request.
type Crash struct {
	Target ident.Target
	// SentAt is when the request was sent to it, and At when it crashed.
	SentAt, At clock.Millis
	// AtIsUpperBound says that At is when the crash was reported: it was no later than that.
	AtIsUpperBound bool
}

// matches says whether two reports may be of one crash: several requests are lost by it, and several nodes see it.
func (c Crash) matches(other Crash) bool {
	if c.Target != other.Target {
		return false
	}
	diff := other.At - c.At
	return max(diff, -diff) < sameCrashWindow || c.AtIsUpperBound && diff <= 0 || other.AtIsUpperBound && diff >= 0
}

// A Suspect struct is all that is known of one request under which targets crashed.
type Suspect struct {
	Fingerprint Fingerprint
	// Scope is how much of the request the fingerprint covers.
	Scope Scope
	// Service and Description name it for operators.
	Service, Description string
	Crashes              []Crash
	// Trials is how often it was let through since it is held back.
	Trials int
}

// Held says whether the request is held back.
func (c *Suspect) Held() bool {
	return len(c.Crashes) >= crashThreshold
}

// Recurring says whether so many crashed that it is hardly chance.
func (c *Suspect) Recurring() bool {
	return len(c.Crashes) >= singleAttemptThreshold
}

// sequentialCrashes counts crashes of which each target had the request only after the one before had crashed. Crashes of
// overlapping attempts count once: a shared cause, such as a hall's power, ends many targets at a time.
func (c *Suspect) sequentialCrashes() (count int) {
	var timed []Crash
	for _, x := range c.Crashes {
		if x.AtIsUpperBound {
			count++
			continue
		}
		timed = append(timed, x)
	}
	slices.SortFunc(timed, func(a, b Crash) int { return cmp.Compare(a.At, b.At) })
	for i := 0; i < len(timed); {
		last := timed[i].At
		count++
		for i++; i < len(timed) && timed[i].SentAt < last; {
			i++
		}
	}
	return count
}

// A Verdict struct is how a request is to be treated.
type Verdict struct {
	// Crashes counts the targets that crashed under the request, and SequentialCrashes those that crashed one after the
	// other. With none, it is like any other.
	Crashes, SequentialCrashes int
	// Held requests are not sent, unless TrialDue is set.
	Held, TrialDue bool
	// RetryAfter is when the next trial is due.
	RetryAfter clock.Millis
	Trials     int
}

// StricterThan says whether a request is restricted more by this verdict than by the other.
func (v Verdict) StricterThan(other Verdict) bool {
	if v.Held != other.Held {
		return v.Held
	}
	return cmp.Or(cmp.Compare(v.RetryAfter, other.RetryAfter), cmp.Compare(v.Crashes, other.Crashes)) > 0
}

// SingleAttempt says whether the request is sent to one target only.
func (v Verdict) SingleAttempt() bool {
	return v.SequentialCrashes >= singleAttemptThreshold
}

// A Change says what the report of a crash changed.
type Change int

// Changes.
const (
	// Unchanged reports were known.
	Unchanged Change = iota
	// Suspected requests have one crash more, and are not quarantined.
	Suspected
	// Quarantined requests are held back from now on.
	Quarantined
	// CrashedAgain requests were quarantined before, and have crashed one more target.
	CrashedAgain
)

// String returns the change's name in the log.
func (c Change) String() string {
	return [...]string{"nothing", "suspected", "held", "still"}[c]
}

type entry struct {
	Suspect
	// since is when this node last learned of a crash or a trial.
	since clock.Millis
	// clearedAt is when it was last cleared, 0 if never.
	clearedAt clock.Millis
	// stored says that the store names it, and dirty that this node has to write it to the store.
	stored, dirty bool
}

// A List struct holds the requests under which targets crashed, as one node knows them. It is safe for concurrent use.
type List struct {
	clock clock.Clock
	// size is how many entries there are: while there are none, requests need no fingerprint.
	size atomic.Int32

	mu      sync.Mutex
	entries map[Fingerprint]*entry
}

// New returns an empty list.
func New(c clock.Clock) *List {
	return &List{clock: c, entries: map[Fingerprint]*entry{}}
}

// Empty says whether no request has any crash report.
func (l *List) Empty() bool {
	return l.size.Load() == 0
}

// Decide says how a request is to be treated that is about to be sent.
func (l *List) Decide(fp Fingerprint) (v Verdict) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.entries[fp]
	if e == nil {
		return v
	}
	v = Verdict{Crashes: len(e.Crashes), SequentialCrashes: e.sequentialCrashes(), Held: e.Held(), Trials: e.Trials}
	if v.Held {
		v.RetryAfter = max(e.since+v.trialDelay()-l.clock.Now(), 0)
		v.TrialDue = v.RetryAfter == 0
	}
	return v
}

// trialDelay is how long a request that is held back is not tried. Where its targets crashed at once, they may have for another
// reason, and the first trial is due now.
func (v Verdict) trialDelay() clock.Millis {
	if v.Trials == 0 && v.SequentialCrashes < crashThreshold {
		return 0
	}
	return trialDelays[min(v.Trials, len(trialDelays)-1)]
}

// AddCrashes takes in that targets crashed while they ran the request, as seen here or told by another node.
func (l *List) AddCrashes(c Suspect) Change {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.entry(&c)
	wasHeld := e.Held()
	added := e.add(c.Crashes)
	now := l.clock.Now()
	if e.Trials < c.Trials {
		e.Trials, e.since = c.Trials, now
	}
	if !added {
		return Unchanged
	}
	e.since = now
	switch {
	case wasHeld:
		return CrashedAgain
	case e.Held():
		return Quarantined
	}
	return Suspected
}

// add notes the crashes that are new, and says whether there are any. Two in one report are two, also of one target.
func (e *entry) add(list []Crash) (added bool) {
	unmatched := slices.Clone(e.Crashes)
	for _, c := range list {
		if e.clearedAt > 0 && c.At <= e.clearedAt || c.AtIsUpperBound && e.Held() {
			continue
		}
		if i := slices.IndexFunc(unmatched, c.matches); i >= 0 {
			unmatched = slices.Delete(unmatched, i, i+1)
			continue
		}
		added = true
		if len(e.Crashes) == maxCrashes {
			e.Crashes = slices.Delete(e.Crashes, 0, 1)
		}
		e.Crashes = append(e.Crashes, c)
	}
	return added
}

// entry returns the request's entry, making it if there is none.
func (l *List) entry(c *Suspect) *entry {
	e := l.entries[c.Fingerprint]
	if e == nil {
		l.evictIfFull()
		e = &entry{Suspect: Suspect{Fingerprint: c.Fingerprint, Scope: c.Scope}}
		l.entries[c.Fingerprint] = e
		l.size.Store(int32(len(l.entries)))
	}
	e.Service, e.Description = cmp.Or(e.Service, c.Service), cmp.Or(e.Description, c.Description)
	return e
}

// evictIfFull drops the entry that matters least if there are too many: one that is not held back before one that is, and
// the oldest of them.
func (l *List) evictIfFull() {
	if len(l.entries) < maxEntries {
		return
	}
	victim := slices.MinFunc(slices.Collect(maps.Values(l.entries)), func(a, b *entry) int {
		return cmp.Or(compareBool(a.Held(), b.Held()), cmp.Compare(a.since, b.since))
	})
	l.drop(victim.Fingerprint)
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

func (l *List) drop(fp Fingerprint) {
	delete(l.entries, fp)
	l.size.Store(int32(len(l.entries)))
}

// StartTrial notes that the request is let through once more. It says whether that is so by what is known here: another node
// may have let it through just now.
func (l *List) StartTrial(fp Fingerprint, trials int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.entries[fp]
	if e == nil || !e.Held() || e.Trials >= trials {
		return false
	}
	e.Trials, e.since = trials, l.clock.Now()
	return true
}

// Clear drops the crash reports of a request: a target has answered it well, which a request that crashes its targets
// never sees, or an operator says so. It returns what was known, and whether there was anything.
func (l *List) Clear(fp Fingerprint) (was Suspect, found bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.entries[fp]
	if e == nil || len(e.Crashes) == 0 {
		return Suspect{}, false
	}
	was = e.Suspect
	e.clear(l.clock.Now())
	return was, true
}

func (e *entry) clear(now clock.Millis) {
	e.Crashes, e.Trials, e.since, e.clearedAt = nil, 0, now, now
}

// Get returns what is known of the request.
func (l *List) Get(fp Fingerprint) (c Suspect, since clock.Millis, found bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.entries[fp]
	if e == nil || len(e.Crashes) == 0 {
		return Suspect{}, 0, false
	}
	return e.clone(), e.since, true
}

func (e *entry) clone() Suspect {
	c := e.Suspect
	c.Crashes = slices.Clone(c.Crashes)
	return c
}

// All returns all requests under which targets crashed, in the order of their fingerprints.
func (l *List) All() (list []Suspect) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range l.entries {
		if len(e.Crashes) > 0 {
			list = append(list, e.clone())
		}
	}
	slices.SortFunc(list, func(a, b Suspect) int { return slices.Compare(a.Fingerprint[:], b.Fingerprint[:]) })
	return list
}

// Expire drops what has grown old: crashes that were not enough, and that a request was cleared. What is held back stays
// until a trial or an operator clears it.
func (l *List) Expire() {
	if l.Empty() {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	for fp, e := range l.entries {
		age := now - e.since
		if e.dirty || e.Held() {
			continue
		}
		if age > crashTTL || len(e.Crashes) == 0 && age > clearedTTL {
			l.drop(fp)
		}
	}
}
