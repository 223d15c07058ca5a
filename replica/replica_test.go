package replica_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"github.com/tinladder/tinladder/clock"
	"github.com/tinladder/tinladder/replica"
	"pgregory.net/rapid"
)

// TestSetKeepsTheNewest adds records to two sets late, twice and in any order, singly, by buckets and complete.
// The sets are checked against the log of all writes.
func TestSetKeepsTheNewest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := clock.NewManual(1000)
		sets := []*replica.Set{replica.New(c), replica.New(c)}
		var log []replica.Record
		now := map[string]replica.Record{}
		held := []map[string]uint64{{}, {}}
		draw := func(t *rapid.T) *replica.Set { return sets[rapid.IntRange(0, 1).Draw(t, "set")] }
		t.Repeat(map[string]func(*rapid.T){
			"write": func(t *rapid.T) {
				r := replica.Record{
					Key: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "key"), Version: uint64(len(log) + 1),
					Deleted: rapid.Bool().Draw(t, "gone"), Value: []byte(fmt.Sprint(len(log))),
				}
				log = append(log, r)
				now[r.Key] = r
			},
			"news": func(t *rapid.T) {
				if len(log) > 0 {
					draw(t).Put([]replica.Record{rapid.SampledFrom(log).Draw(t, "record")})
				}
			},
			"whole": func(t *rapid.T) {
				var list []replica.Record
				for _, r := range now {
					if !r.Deleted {
						list = append(list, r)
					}
				}
				draw(t).Replace(list, uint64(len(log)))
			},
			"unreadable": func(t *rapid.T) {
				draw(t).Put([]replica.Record{{Key: "a", Version: 0, Value: []byte("broken")}})
			},
			"exchange": func(t *rapid.T) {
				if rapid.Bool().Draw(t, "by parts") {
					sets[0].Put(sets[1].Diff(sets[0].BucketSums()))
					sets[1].Put(sets[0].Diff(sets[1].BucketSums()))
				} else {
					sets[0].Put(sets[1].All())
					sets[1].Put(sets[0].All())
				}
				if sets[0].Sum() != sets[1].Sum() {
					t.Fatalf("sums differ after an exchange")
				}
			},
			"": func(t *rapid.T) {
				for i, s := range sets {
					check(t, s, held[i], log)
				}
			},
		})
	})
}

// check fails if a set went back to an older version, or holds a record that was never written.
func check(t *rapid.T, s *replica.Set, held map[string]uint64, log []replica.Record) {
	for _, r := range s.All() {
		if r.Version < held[r.Key] {
			t.Fatalf("%s went back from %d to %d", r.Key, held[r.Key], r.Version)
		}
		held[r.Key] = r.Version
		if r.Deleted {
			continue
		}
		if w := log[r.Version-1]; w.Key != r.Key || string(w.Value) != string(r.Value) {
			t.Fatalf("%s at %d holds %q, which was never written", r.Key, r.Version, r.Value)
		}
	}
}

func TestSumTellsSetsApart(t *testing.T) {
	is := is.New(t)
	c := clock.NewManual(1000)
	a, b := replica.New(c), replica.New(c)
	is.Equal(a.Sum(), b.Sum())
	a.Put([]replica.Record{{Key: "x", Version: 1}})
	is.True(a.Sum() != b.Sum())
	b.Put([]replica.Record{{Key: "x", Version: 2}})
	is.True(a.Sum() != b.Sum())
	a.Put([]replica.Record{{Key: "x", Version: 2}})
	is.Equal(a.Sum(), b.Sum())
}

func TestTombstonesExpire(t *testing.T) {
	is := is.New(t)
	c := clock.NewManual(1000)
	s := replica.New(c)
	s.Put([]replica.Record{{Key: "x", Version: 5, Deleted: true}})
	is.Equal(len(s.Put([]replica.Record{{Key: "x", Version: 4}})), 0) // an older update has no effect
	c.Advance(replica.TombstoneTTL + 1)
	s.Put([]replica.Record{{Key: "y", Version: 6}})
	is.Equal(len(s.All()), 1)
}

func TestUnreadableRecordKeepsTheLastGood(t *testing.T) {
	is := is.New(t)
	s := replica.New(clock.NewManual(1000))
	s.Put([]replica.Record{{Key: "x", Version: 3, Value: []byte("good")}})
	s.Replace([]replica.Record{{Key: "x", Version: 0}}, 9)
	r, found := s.Get("x")
	is.True(found)
	is.Equal(string(r.Value), "good")
}

// TestDiffReturnsDifferingBuckets changes two of many records and checks that Diff returns only the buckets that
// differ.
func TestDiffReturnsDifferingBuckets(t *testing.T) {
	is := is.New(t)
	c := clock.NewManual(1000)
	a, b := replica.New(c), replica.New(c)
	var list []replica.Record
	for i := range 2000 {
		list = append(list, replica.Record{Key: fmt.Sprint("i-", i), Version: uint64(i + 1)})
	}
	a.Put(list)
	b.Put(list)
	is.Equal(len(a.Diff(b.BucketSums())), 0)
	is.Equal(len(a.Diff(nil)), 2000) // without checksums all are returned
	a.Put([]replica.Record{{Key: "i-7", Version: 3000}})
	a.Put([]replica.Record{{Key: "i-8", Version: 3001, Deleted: true}})
	changed := a.Diff(b.BucketSums())
	is.True(len(changed) >= 2 && len(changed) < 80) // two of 128 buckets, with about 16 records each
	is.Equal(len(b.Put(changed)), 2)
	is.Equal(a.Sum(), b.Sum())
}
