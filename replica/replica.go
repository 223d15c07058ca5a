// Package replica holds a node's copy of records that a store keeps and all nodes should have. For each key it
// keeps the record of the highest version seen from any source, so updates may arrive late, twice and in any
// order. It does no I/O.
package replica

import (
	"encoding/binary"
	"maps"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/tinladder/tinladder/clock"
)

// TombstoneTTL is how long a deleted record is kept, so that older updates of it are recognised as such.
const TombstoneTTL = 5 * clock.Minute

// Buckets is the number of parts by which sets are compared: 1 KB of checksums, instead of about 70 bytes for each
// record.
const Buckets = 128

// bucketOf returns the bucket of a key.
func bucketOf(key string) uint64 {
	return xxhash.Sum64String(key) % Buckets
}

// A Record struct is one record. It is never changed.
type Record struct {
	Key string
	// Version orders the records of one key. 0 means that the record exists and cannot be read.
	Version uint64
	// Row is the version of the store's row with the record, if Version is the record's own; else 0.
	Row uint64
	// Deleted marks a tombstone, which has no value.
	Deleted bool
	Value   []byte
	// ReadAt is when the record was read from the store, by this node's clock.
	ReadAt clock.Millis
}

// A Set struct holds the newest record of each key. It is safe for concurrent use.
type Set struct {
	clock clock.Clock

	mu        sync.Mutex
	records   map[string]Record
	deletedAt map[string]clock.Millis
	// sums holds the checksum of each bucket.
	sums   [Buckets]uint64
	newest uint64
	// restored follows the store's return from a copy.
	restored restored
}

// New returns an empty set.
func New(c clock.Clock) *Set {
	return &Set{clock: c, records: map[string]Record{}, deletedAt: map[string]clock.Millis{}, restored: restored{heldBack: map[string]bool{}}}
}

// Put adds the records that are newer than those held, and returns them.
func (s *Set) Put(list []Record) (changed []Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.put(list)
}

func (s *Set) put(list []Record) (changed []Record) {
	for _, r := range list {
		old, held := s.records[r.Key]
		if held && old.Version == r.Version && old.Row < r.Row {
			old.Row = r.Row
			s.records[r.Key] = old
		}
		if r.Version == 0 || held && old.Version >= r.Version {
			continue
		}
		s.noteEra(r.Version)
		if s.mayBeOutdated(old, held, r) {
			continue
		}
		delete(s.restored.heldBack, r.Key)
		if r.Deleted {
			r.Value = nil
			s.deletedAt[r.Key] = s.clock.Now()
		} else {
			delete(s.deletedAt, r.Key)
		}
		s.sums[bucketOf(r.Key)] ^= checksum(old) ^ checksum(r)
		s.newest = max(s.newest, r.Version)
		s.records[r.Key] = r
		changed = append(changed, r)
	}
	s.expireTombstones()
	return changed
}

// Replace takes list as the complete set of records at the version. Held records that are missing from it become
// tombstones, unless they are newer, or of an earlier era and may be written again. It returns the records that changed.
func (s *Set) Replace(list []Record, version uint64) (changed []Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.noteEra(version)
	settling := s.isSettling()
	listed := make(map[string]bool, len(list))
	for _, r := range list {
		listed[r.Key] = true
	}
	for key, old := range s.records {
		if settling && EraOf(old.Version) < s.restored.era {
			continue
		}
		if !listed[key] && !old.Deleted && old.Version <= version {
			list = append(list, Record{Key: key, Version: max(version, old.Version+1), Deleted: true, ReadAt: s.clock.Now()})
		}
	}
	changed = s.put(list)
	if !settling {
		s.restored.unswept = false
		clear(s.restored.heldBack)
	}
	return changed
}

// expireTombstones removes tombstones older than TombstoneTTL.
func (s *Set) expireTombstones() {
	now := s.clock.Now()
	for key, at := range s.deletedAt {
		if now-at > TombstoneTTL {
			delete(s.deletedAt, key)
			delete(s.records, key)
		}
	}
}

// checksum is a record's part of its bucket's checksum. Tombstones have none, so that expiring them changes
// nothing.
func checksum(r Record) uint64 {
	if r.Deleted || r.Version == 0 {
		return 0
	}
	x := xxhash.New()
	_, _ = x.WriteString(r.Key)
	_, _ = x.Write(binary.LittleEndian.AppendUint64(nil, r.Version))
	return x.Sum64()
}

// Sum returns a checksum that is equal on two nodes if they hold the same records.
func (s *Set) Sum() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	var sum uint64
	for _, x := range s.sums {
		sum ^= x
	}
	return sum
}

// State returns the checksum and the highest version as of the same moment.
func (s *Set) State() (sum, newest uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, x := range s.sums {
		sum ^= x
	}
	return sum, s.newest
}

// BucketSums returns the checksum of each bucket.
func (s *Set) BucketSums() []uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.sums[:])
}

// Diff returns the records, tombstones included, of the buckets whose checksums differ from those of another set,
// in the order of their keys. Without the other's checksums it returns all.
func (s *Set) Diff(theirs []uint64) []Record {
	mine := s.BucketSums()
	return slices.DeleteFunc(s.All(), func(r Record) bool {
		i := bucketOf(r.Key)
		return len(theirs) == Buckets && theirs[i] == mine[i]
	})
}

// Len returns the number of records, tombstones included.
func (s *Set) Len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.records)
}

// Newest returns the highest version of any record added, tombstones included, or 0 if there was none.
func (s *Set) Newest() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.newest
}

// Get returns the record of the key, unless it is missing or deleted.
func (s *Set) Get(key string) (r Record, found bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, found = s.records[key]
	return r, found && !r.Deleted
}

// All returns all records in the order of their keys, tombstones included.
func (s *Set) All() []Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]Record, 0, len(s.records))
	for _, key := range slices.Sorted(maps.Keys(s.records)) {
		list = append(list, s.records[key])
	}
	return list
}

// Live returns the records that are not deleted, in the order of their keys.
func (s *Set) Live() []Record {
	return slices.DeleteFunc(s.All(), func(r Record) bool { return r.Deleted })
}
