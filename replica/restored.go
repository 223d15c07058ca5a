package replica

import "github.com/tinladder/tinladder/clock"

// ReturnGrace is how long after the store's return from a copy its writers may take to write again what the copy lacks. The
// platform says about two seconds.
const ReturnGrace clock.Millis = 2500

// restored is what a set knows of the store's return from a copy. Meanwhile the copy may lack records, and list some that
// were deleted since.
type restored struct {
	// era is the newest one of any record, and noticedAt is when it was first seen.
	era       uint64
	noticedAt clock.Millis
	// unswept is whether the set has not been replaced by a complete read of the era, made after ReturnGrace.
	unswept bool
	// heldBack are the keys of deleted records that the copy lists.
	heldBack map[string]bool
}

// noteEra notes the era of a version. The caller holds the lock.
func (s *Set) noteEra(version uint64) {
	if era := EraOf(version); era > s.restored.era {
		s.restored.era, s.restored.noticedAt, s.restored.unswept = era, s.clock.Now(), true
		clear(s.restored.heldBack)
	}
}

// isSettling reports whether records may still be written again. The caller holds the lock.
func (s *Set) isSettling() bool {
	return s.restored.unswept && s.clock.Now()-s.restored.noticedAt < ReturnGrace
}

// mayBeOutdated reports whether record r must not be taken: the copy's, of one that was deleted since, or one of an earlier
// era that nobody wrote again. The caller holds the lock.
func (s *Set) mayBeOutdated(old Record, held bool, r Record) bool {
	switch {
	case held && old.Deleted && !r.Deleted && EraOf(old.Version) < EraOf(r.Version) && s.isSettling():
		s.restored.heldBack[r.Key] = true
		return true
	case !held && EraOf(r.Version) < s.restored.era:
		return !s.isSettling()
	}
	return false
}

// Unswept reports whether the set needs a complete read, since it holds records of an earlier era, or lacks some that
// were held back. It returns for how long it has needed one.
func (s *Set) Unswept() (long clock.Millis, unswept bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.restored.unswept || s.isSettling() {
		return 0, false
	}
	if s.restored.unswept = len(s.restored.heldBack) > 0 || s.hasEarlier(); !s.restored.unswept {
		return 0, false
	}
	return s.clock.Now() - s.restored.noticedAt - ReturnGrace, true
}

// hasEarlier reports whether a record of an earlier era is held that is not deleted. The caller holds the lock.
func (s *Set) hasEarlier() bool {
	for _, r := range s.records {
		if !r.Deleted && EraOf(r.Version) < s.restored.era {
			return true
		}
	}
	return false
}

// Settling returns for how long records of the newest era may still be written again, or 0.
func (s *Set) Settling() clock.Millis {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.isSettling() {
		return 0
	}
	return s.restored.noticedAt + ReturnGrace - s.clock.Now()
}
