package replica_test

import (
	"bytes"
	"fmt"
	"maps"
	"slices"
	"testing"

	"github.com/tinladder/tinladder/clock"
	"github.com/tinladder/tinladder/replica"
	"pgregory.net/rapid"
)

// modelStore is a store that comes back from copies. Each row has one writer, whose values count up.
type modelStore struct {
	era, counter uint64
	rows         map[string]replica.Record
	// wanted is what each writer wrote last; 0 if it removed its row.
	wanted map[string]int
}

// write writes the row as its writer wants it.
func (s *modelStore) write(key string) {
	s.counter++
	delete(s.rows, key)
	if v := s.wanted[key]; v > 0 {
		s.rows[key] = replica.Record{Key: key, Version: replica.NewVersion(s.era, s.counter), Value: fmt.Append(nil, v)}
	}
}

// read returns all rows, and the version up to which they are complete.
func (s *modelStore) read() ([]replica.Record, uint64) {
	var list []replica.Record
	for _, key := range slices.Sorted(maps.Keys(s.rows)) {
		r := s.rows[key]
		r.Version = replica.NewVersion(s.era, replica.CounterOf(r.Version))
		list = append(list, r)
	}
	return list, replica.NewVersion(s.era, s.counter)
}

// TestSetsAgreeAfterTheStoreReturns has a store come back from copies, several times in series, while sets read it, exchange what
// they hold, and hear of records late. Once the writers had their time, all sets hold what the writers wrote last, and nothing
// that a set knew to be deleted is back before.
func TestSetsAgreeAfterTheStoreReturns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := clock.NewManual(1000)
		sets := []*replica.Set{replica.New(c), replica.New(c), replica.New(c)}
		s := &modelStore{rows: map[string]replica.Record{}, wanted: map[string]int{}}
		copies := []modelStore{{rows: map[string]replica.Record{}}}
		var late []replica.Record
		keys := rapid.SampledFrom([]string{"a", "b", "c"})
		draw := func(t *rapid.T) *replica.Set { return sets[rapid.IntRange(0, len(sets)-1).Draw(t, "set")] }
		returnedAt := clock.Millis(0)
		check := func(t *rapid.T, x *replica.Set, change func()) {
			known := map[string]bool{}
			for _, r := range x.All() {
				known[r.Key] = r.Deleted && s.wanted[r.Key] == 0
			}
			change()
			for _, r := range x.Live() {
				if known[r.Key] && s.wanted[r.Key] == 0 && replica.EraOf(r.Version) > 0 && c.Now()-returnedAt < replica.ReturnGrace {
					t.Fatalf("%s is back", r.Key)
				}
			}
		}
		full := func(t *rapid.T, x *replica.Set) {
			check(t, x, func() {
				list, version := s.read()
				late = append(late, x.Replace(list, version)...)
			})
		}
		t.Repeat(map[string]func(*rapid.T){
			"write": func(t *rapid.T) {
				key := keys.Draw(t, "key")
				s.wanted[key] = rapid.IntRange(0, 9).Draw(t, "value")
				s.write(key)
			},
			"copy": func(*rapid.T) {
				copies = append(copies, modelStore{era: s.era, counter: s.counter, rows: maps.Clone(s.rows)})
			},
			"return": func(t *rapid.T) {
				from := rapid.SampledFrom(copies).Draw(t, "copy")
				s.rows, s.counter = maps.Clone(from.rows), from.counter
				s.era++
				returnedAt = c.Now()
			},
			"again": func(t *rapid.T) { s.write(keys.Draw(t, "key")) },
			"read":  func(t *rapid.T) { full(t, draw(t)) },
			"late": func(t *rapid.T) {
				if len(late) > 0 {
					x := draw(t)
					check(t, x, func() { x.Put([]replica.Record{rapid.SampledFrom(late).Draw(t, "record")}) })
				}
			},
			"exchange": func(t *rapid.T) {
				from, to := draw(t), draw(t)
				check(t, to, func() { to.Put(from.Diff(to.BucketSums())) })
			},
			"wait": func(t *rapid.T) { c.Advance(clock.Millis(rapid.IntRange(1, 1500).Draw(t, "ms"))) },
		})
		for _, key := range []string{"a", "b", "c"} {
			s.write(key)
		}
		for range 2 { // the second read is the one after the writers' time
			for _, x := range sets {
				full(t, x)
			}
			c.Advance(replica.ReturnGrace)
		}
		for i, x := range sets {
			full(t, x)
			held := x.Live()
			list, _ := s.read()
			same := slices.EqualFunc(held, list, func(a, b replica.Record) bool { return a.Key == b.Key && bytes.Equal(a.Value, b.Value) })
			if !same {
				t.Fatalf("set %d holds %v, and the store %v", i, held, list)
			}
			if x.Sum() != sets[0].Sum() {
				t.Fatalf("set %d has another sum than the first", i)
			}
		}
	})
}
