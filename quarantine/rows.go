package quarantine

import (
	"fmt"
	"slices"

	"github.com/tinladder/tinladder/clock"
	"github.com/tinladder/tinladder/ident"
	tlv1 "github.com/tinladder/tinladder/schema/tinladder/v1"
)

const (
	// rowCount is the number of store rows that requests are distributed over, and maxPerRow the maximum in each. Together
	// they bound the size of the data in the store.
	rowCount  = 64
	maxPerRow = 8
)

// RowKey returns the key of the store row that holds the request.
func RowKey(fp Fingerprint) string {
	return fmt.Sprintf("%02x", fp[0]%rowCount)
}

// MarkDirty marks the request for writing to the store, because this node saw its last crash or cleared it. It returns
// false if there is nothing to write.
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

// Dirty returns the requests that are marked for writing to the store.
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

// Row returns the new value of a store row, given its current value. It merges what the row and this node know of the
// request, and keeps the other requests as they are. If there are too many, it drops the ones written longest ago.
func (l *List) Row(fp Fingerprint, row *tlv1.Suspects) *tlv1.Suspects {
	next := &tlv1.Suspects{}
	for _, s := range row.GetSuspects() {
		if string(s.GetPrint()) != string(fp[:]) {
			next.Suspects = append(next.Suspects, s)
			continue
		}
		// A node that has just started knows less than the row, and must not remove crashes from it.
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

// TrialsIn returns the number of trials of the request that the row records.
func TrialsIn(row *tlv1.Suspects, fp Fingerprint) int {
	for _, s := range row.GetSuspects() {
		if string(s.GetPrint()) == string(fp[:]) {
			return int(s.GetTrials())
		}
	}
	return 0
}

// MarkStored records that the row with this request was written to the store.
func (l *List) MarkStored(fp Fingerprint) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e := l.entries[fp]; e != nil {
		e.stored, e.dirty = len(e.Crashes) > 0, false
	}
}

// ClearDirty unmarks a request whose row the store rejects. It is not written again until more is known of the request.
func (l *List) ClearDirty(fp Fingerprint) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e := l.entries[fp]; e != nil {
		e.dirty = false
	}
}

// MergeRow merges a row read from the store: it adds the crashes that the row lists, and clears the requests that the row
// no longer lists. It returns the changes.
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
	if len(row.GetSuspects()) < maxPerRow { // a full row may have dropped requests that are not cleared
		l.clearMissing(key, present)
	}
	return changes
}

// KnowsMore reports whether this node knows of recurring crashes of the request that the row lacks.
func (l *List) KnowsMore(fp Fingerprint, row *tlv1.Suspects) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.entries[fp]
	if e == nil || !e.Recurring() {
		return false
	}
	for _, s := range row.GetSuspects() {
		if string(s.GetPrint()) == string(fp[:]) {
			return len(e.Crashes) > len(s.GetCrashes())
		}
	}
	return true
}

// clearPending reports whether the request was cleared here, and the store does not have that yet.
func (l *List) clearPending(c Suspect) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.entries[c.Fingerprint]
	return e != nil && e.dirty && len(e.Crashes) == 0
}

// noteStored records that the store lists the request with these crashes.
func (l *List) noteStored(c Suspect) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.entry(&c)
	e.stored = true
	e.dirty = e.dirty && (len(e.Crashes) > len(c.Crashes) || e.Trials > c.Trials)
}

// clearMissing clears the stored requests of a row that are not present in it any longer.
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

// StoreRestored records that the store came back from a copy, whose rows may lack what was written, and list what was cleared,
// until settled. It returns the requests whose rows have to be written again.
func (l *List) StoreRestored(settled clock.Millis) (lost []Fingerprint) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for fp, e := range l.entries {
		if len(e.Crashes) == 0 && e.clearedAt > 0 {
			e.copiedUntil = settled
		}
		if e.stored || e.clearedAt > 0 {
			lost = append(lost, fp)
		}
		e.stored = false
	}
	return lost
}

// MarkLost marks requests for writing to the store again.
func (l *List) MarkLost(lost []Fingerprint) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, fp := range lost {
		if e := l.entries[fp]; e != nil {
			e.dirty = true
		}
	}
}

// ageUnknown stands for an age that is not sent.
const ageUnknown clock.Millis = -1

// ToWire returns the message that describes the request to other nodes at the time now. If now is ageUnknown, it returns the
// form for the store, without ages.
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

// FromWire decodes a message that was received at the time now. It returns false if the fingerprint or scope is not valid.
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
