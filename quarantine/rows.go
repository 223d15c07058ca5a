package quarantine

import (
	"fmt"
	"slices"

	"github.com/tinladder/tinladder/clock"
	"github.com/tinladder/tinladder/ident"
	tlv1 "github.com/tinladder/tinladder/schema/tinladder/v1"
)

const (
	// rowCount is how many rows of the store the requests are spread over, and maxPerRow the most in one: the store holds
	// no more, however many there come to be.
	rowCount  = 64
	maxPerRow = 8
)

// RowKey names the store's row that a request is kept in.
func RowKey(fp Fingerprint) string {
	return fmt.Sprintf("%02x", fp[0]%rowCount)
}

// MarkDirty notes that this node has to write the request to the store: it saw the last crash under it, or that it was
// cleared. It says whether there is anything that the store lacks.
func (l *List) MarkDirty(fp Fingerprint) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.entries[fp]
	if e == nil || len(e.Crashes) == 0 && !e.stored {
		return false
	}
	e.dirty = true
	return true
}

// Dirty returns the requests that this node has to write to the store.
func (l *List) Dirty() (list []Fingerprint) {
	if l.Empty() {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for fp, e := range l.entries {
		if e.dirty {
			list = append(list, fp)
		}
	}
	slices.SortFunc(list, func(a, b Fingerprint) int { return slices.Compare(a[:], b[:]) })
	return list
}

// Row returns the row as it should be, given how it stands in the store: with this request as it is known there and
// here, and the others as they are. It keeps the latest if there are too many.
func (l *List) Row(fp Fingerprint, row *tlv1.Suspects) *tlv1.Suspects {
	next := &tlv1.Suspects{}
	for _, s := range row.GetSuspects() {
		if string(s.GetPrint()) != string(fp[:]) {
			next.Suspects = append(next.Suspects, s)
			continue
		}
		// A node that has just started knows less than the row, and must not take anything back.
		if c, ok := FromWire(s, l.clock.Now()); ok && !l.clearPending(c) {
			l.AddCrashes(c)
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if e := l.entries[fp]; e != nil && len(e.Crashes) > 0 {
		next.Suspects = append(next.Suspects, ToWire(e.Suspect, ageUnknown))
	}
	if excess := len(next.GetSuspects()) - maxPerRow; excess > 0 {
		next.Suspects = next.GetSuspects()[excess:]
	}
	return next
}

// TrialsIn returns how often the request was let through, by the row.
func TrialsIn(row *tlv1.Suspects, fp Fingerprint) int {
	for _, s := range row.GetSuspects() {
		if string(s.GetPrint()) == string(fp[:]) {
			return int(s.GetTrials())
		}
	}
	return 0
}

// MarkStored notes that the store has the row as it was written with this request.
func (l *List) MarkStored(fp Fingerprint) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e := l.entries[fp]; e != nil {
		e.stored, e.dirty = len(e.Crashes) > 0, false
	}
}

// ClearDirty notes that the store does not take the row as it would be written with this request: it is not written again
// until more is known of the request.
func (l *List) ClearDirty(fp Fingerprint) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e := l.entries[fp]; e != nil {
		e.dirty = false
	}
}

// MergeRow takes in a row of the store: what it names, and that what it no longer names is cleared. It returns what changed.
func (l *List) MergeRow(key string, row *tlv1.Suspects) (changes map[Fingerprint]Change) {
	changes = map[Fingerprint]Change{}
	present := map[Fingerprint]bool{}
	now := l.clock.Now()
	for _, s := range row.GetSuspects() {
		c, ok := FromWire(s, now)
		if !ok || RowKey(c.Fingerprint) != key {
			continue
		}
		present[c.Fingerprint] = true
		if !l.clearPending(c) {
			changes[c.Fingerprint] = l.AddCrashes(c)
			l.noteStored(c)
		}
	}
	if len(row.GetSuspects()) < maxPerRow { // from a full one it may have been pushed out
		l.clearMissing(key, present)
	}
	return changes
}

// clearPending says whether the request was cleared here, and the store is still to learn of that.
func (l *List) clearPending(c Suspect) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.entries[c.Fingerprint]
	return e != nil && e.dirty && len(e.Crashes) == 0
}

// noteStored notes that the store names the request with these crashes.
func (l *List) noteStored(c Suspect) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.entry(&c)
	e.stored = true
	e.dirty = e.dirty && (len(e.Crashes) > len(c.Crashes) || e.Trials > c.Trials)
}

// clearMissing clears the requests of a row that the store no longer names.
func (l *List) clearMissing(key string, present map[Fingerprint]bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for fp, e := range l.entries {
		if e.stored && !present[fp] && RowKey(fp) == key {
			e.clear(l.clock.Now())
			e.stored, e.dirty = false, false
		}
	}
}

// ageUnknown stands for an age that is not told.
const ageUnknown clock.Millis = -1

// ToWire returns the case as other nodes are told of it now, or with never as the store keeps it.
func ToWire(c Suspect, now clock.Millis) *tlv1.Suspect {
	s := &tlv1.Suspect{Print: c.Fingerprint[:], Service: c.Service, What: c.Description, Trials: uint32(c.Trials), Breadth: uint32(c.Scope)}
	for _, x := range c.Crashes {
		crash := &tlv1.Crash{Target: string(x.Target), AgeMs: int64(ageUnknown)}
		if now != ageUnknown && !x.AtIsUpperBound {
			crash.AgeMs, crash.RanMs = int64(max(now-x.At, 0)), int64(x.At-x.SentAt)
		}
		s.Crashes = append(s.Crashes, crash)
	}
	return s
}

// FromWire returns the case that was told, as of now. It fails if it names no request.
func FromWire(s *tlv1.Suspect, now clock.Millis) (c Suspect, ok bool) {
	if len(s.GetPrint()) != FingerprintBytes || s.GetBreadth() >= uint32(scopes) {
		return Suspect{}, false
	}
	c = Suspect{Fingerprint: Fingerprint(s.GetPrint()), Service: s.GetService(), Description: s.GetWhat(), Trials: int(s.GetTrials()), Scope: Scope(s.GetBreadth())}
	for _, x := range s.GetCrashes() {
		age := clock.Millis(x.GetAgeMs())
		at := now - max(age, 0)
		c.Crashes = append(c.Crashes, Crash{Target: ident.Target(x.GetTarget()), SentAt: at - clock.Millis(x.GetRanMs()), At: at, AtIsUpperBound: age < 0})
	}
	return c, true
}
