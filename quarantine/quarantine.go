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
	// crashThreshold is the number of crashes that quarantines a request. One or two may be coincidence.
	crashThreshold = 3
	// singleAttemptThreshold is the number of sequential crashes from which a request gets a single attempt. A request that
	// merely was in flight when one target crashed is rarely in flight at a second crash.
	singleAttemptThreshold = 2
	// crashTTL is how long crashes below the threshold are remembered. A request that is sent more rarely than that crashes
	// few targets.
	crashTTL = 10 * clock.Minute
	// clearedTTL is how long the clearing of a request is remembered, so that late reports of earlier crashes are ignored.
	clearedTTL = 1 * clock.Minute
	// maxEntries bounds the requests in a List, and maxCrashes the crashes stored for each.
	maxEntries = 4096
	maxCrashes = 6
	// sameCrashWindow is how far apart the times of two reports of one crash may be. It is shorter than the restart of a
	// target, so that a second crash after a restart counts separately.
	sameCrashWindow clock.Millis = 400
)

// trialDelays holds the delay before each trial of a quarantined request, by the number of trials so far. The first is
// short, so that a request that merely was in flight when many targets crashed is released before its caller gives up. The
// later ones grow, since each trial of a request that still crashes targets costs a target; a new version of the target may
// fix the cause.
var trialDelays = [...]clock.Millis{2 * clock.Second, 20 * clock.Second, 2 * clock.Minute, 20 * clock.Minute, 60 * clock.Minute}

// A Crash is the crash of one target while it ran the request.
type Crash struct {
	Target ident.Target
	// SentAt is when the request was sent to the target, and At when the target crashed.
	SentAt, At clock.Millis
	// AtIsUpperBound is set if At is the time of the report, and the crash was no later than that.
	AtIsUpperBound bool
}

// matches reports whether both reports may be of the same crash: it fails several requests and is seen by several nodes.
func (c Crash) matches(other Crash) bool {
	if c.Target != other.Target {
		return false
	}
	diff := other.At - c.At
	return max(diff, -diff) < sameCrashWindow || c.AtIsUpperBound && diff <= 0 || other.AtIsUpperBound && diff >= 0
}

// A Suspect is a request that crashed targets, with its crashes.
type Suspect struct {
	Fingerprint Fingerprint
	// Scope is the part of the request that the fingerprint covers.
	Scope Scope
	// Service and Description identify the request to operators.
	Service, Description string
	Crashes              []Crash
	// Trials counts the trials since the request was quarantined.
	Trials int
}

// Held reports whether the request is quarantined.
func (c *Suspect) Held() bool {
	return len(c.Crashes) >= crashThreshold
}

// Recurring reports whether there were too many crashes for a coincidence.
func (c *Suspect) Recurring() bool {
	return len(c.Crashes) >= singleAttemptThreshold
}

// sequentialCrashes counts crashes of attempts that began after the previous crash. Crashes of overlapping attempts count
// once: they may have a shared cause, such as a power failure in a Hall.
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

// A Verdict says how to treat a request.
type Verdict struct {
	// Crashes counts the crashes of targets that ran the request, and SequentialCrashes those in sequence. A request
	// without crashes is not restricted.
	Crashes, SequentialCrashes int
	// Held requests are quarantined: they are sent only as a trial, when TrialDue is set.
	Held, TrialDue bool
	// RetryAfter is the time until the next trial.
	RetryAfter clock.Millis
	Trials     int
}

// StricterThan reports whether v restricts a request more than other does.
func (v Verdict) StricterThan(other Verdict) bool {
	if v.Held != other.Held {
		return v.Held
	}
	return cmp.Or(cmp.Compare(v.RetryAfter, other.RetryAfter), cmp.Compare(v.Crashes, other.Crashes)) > 0
}

// SingleAttempt reports whether the request may be sent to one target only, without retries and hedges.
func (v Verdict) SingleAttempt() bool {
	return v.SequentialCrashes >= singleAttemptThreshold
}

// A Change is the effect of a crash report.
type Change int

// Changes.
const (
	// Unchanged: the crashes were already known.
	Unchanged Change = iota
	// Suspected: there was a new crash, and the request is not quarantined.
	Suspected
	// Quarantined: a new crash reached the threshold.
	Quarantined
	// CrashedAgain: the request was already quarantined, and crashed another target.
	CrashedAgain
)

// String returns the name of the change in logs and metrics.
func (c Change) String() string {
	return [...]string{"nothing", "suspected", "held", "still"}[c]
}

type entry struct {
	Suspect
	// since is when this node last learned of a crash or a trial.
	since clock.Millis
	// announced is the number of crashes that all nodes were told of.
	announced int
	// clearedAt is when the request was last cleared, or 0.
	clearedAt clock.Millis
	// copiedUntil is until when a row that lists the request, although it was cleared, may come from a copy of the store; or 0.
	copiedUntil clock.Millis
	// stored is set if the store lists the request, and dirty if this node has to write it to the store.
	stored, dirty bool
}

// A List holds the requests that crashed targets, as known to one node. It is safe for concurrent use.
type List struct {
	clock clock.Clock
	// size is the number of entries. While it is 0, callers need not compute fingerprints.
	size atomic.Int32

	mu      sync.Mutex
	entries map[Fingerprint]*entry
}

// New returns an empty list.
func New(c clock.Clock) *List {
	return &List{clock: c, entries: map[Fingerprint]*entry{}}
}

// Empty reports whether the list has no entries.
func (l *List) Empty() bool {
	return l.size.Load() == 0
}

// Decide returns the verdict on a request that is about to be sent.
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

// trialDelay returns the time between the last crash or trial and the next trial of a quarantined request. The first trial
// is due at once if the targets crashed at the same time, since that may have another cause than the request.
func (v Verdict) trialDelay() clock.Millis {
	if v.Trials == 0 && v.SequentialCrashes < crashThreshold {
		return 0
	}
	return trialDelays[min(v.Trials, len(trialDelays)-1)]
}

// AddCrashes records the crashes of targets that ran the request, as seen by this node or reported by another one.
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

// add records the crashes that are not yet known, and reports whether there are any. Two crashes in one report count as
// two, even if they are of the same target.
func (e *entry) add(list []Crash) (added bool) {
	unmatched := slices.Clone(e.Crashes)
	for _, c := range list {
		if e.clearedAt > 0 && c.At <= e.clearedAt || c.AtIsUpperBound && (e.Held() || c.At <= e.copiedUntil) {
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

// entry returns the entry of the request, and creates it if there is none.
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

// evictIfFull drops the oldest entry if there are too many, and one that is quarantined only if all are.
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

// StartTrial records that the request is sent as its trial of that number. It returns false if, to the knowledge of this
// node, the request is not quarantined, or another node has already started that trial.
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

// Clear drops the crashes of a request, after a successful response, which a request that crashes targets never gets, or on
// behalf of an operator. It returns what was known, and whether there was anything.
func (l *List) Clear(fp Fingerprint) (old Suspect, found bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.entries[fp]
	if e == nil || len(e.Crashes) == 0 {
		return Suspect{}, false
	}
	old = e.Suspect
	e.clear(l.clock.Now())
	return old, true
}

func (e *entry) clear(now clock.Millis) {
	e.Crashes, e.Trials, e.announced, e.since, e.clearedAt = nil, 0, 0, now, now
}

// Get returns what is known of the request, and when this node last learned of a crash or a trial.
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

// All returns all requests with crashes, ordered by fingerprint.
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

// Expire drops crashes below the threshold and records of clearing whose retention time has passed. Quarantined requests
// stay until a trial or an operator clears them.
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
