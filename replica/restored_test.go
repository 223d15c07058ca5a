package replica_test

import (
	"testing"

	"github.com/matryer/is"
	"github.com/tinladder/tinladder/clock"
	"github.com/tinladder/tinladder/replica"
)

// restoredSet returns a set that was read at counter 40 of era 1: a and b are there, c was deleted since the copy.
func restoredSet() (*replica.Set, *clock.Manual) {
	c := clock.NewManual(1000)
	s := replica.New(c)
	old := func(key string, counter uint64, deleted bool) replica.Record {
		return replica.Record{Key: key, Version: replica.NewVersion(1, counter), Deleted: deleted, Value: []byte("old " + key)}
	}
	s.Replace([]replica.Record{old("a", 35, false), old("b", 40, false)}, replica.NewVersion(1, 40))
	s.Put([]replica.Record{old("c", 39, true)})
	c.Advance(10 * clock.Second)
	s.Unswept()
	return s, c
}

// record returns a record of era 2.
func record(key string, counter uint64) replica.Record {
	return replica.Record{Key: key, Version: replica.NewVersion(2, counter), Value: []byte("new " + key)}
}

// TestLowerCounterOfALaterEraIsNewer guards against dropping what the store writes after it came back from a copy.
func TestLowerCounterOfALaterEraIsNewer(t *testing.T) {
	is := is.New(t)
	s, _ := restoredSet()
	is.Equal(len(s.Put([]replica.Record{record("a", 20)})), 1)
	r, _ := s.Get("a")
	is.Equal(string(r.Value), "new a")
	late := replica.Record{Key: "a", Version: replica.NewVersion(1, 50), Value: []byte("late")}
	is.Equal(len(s.Put([]replica.Record{late})), 0) // a datagram of the earlier era
	is.Equal(s.Newest(), replica.NewVersion(2, 20))
}

// TestEqualCountersOfTwoErasDiffer guards against two nodes that hold other values under the same counter and the same sum.
func TestEqualCountersOfTwoErasDiffer(t *testing.T) {
	is := is.New(t)
	s, _ := restoredSet()
	was := s.Sum()
	s.Put([]replica.Record{record("a", 35)})
	is.True(s.Sum() != was)
}

// TestRecordsThatACopyLacksAreKeptForAWhile guards against dropping a record that its writer writes again, and against keeping
// one that it does not.
func TestRecordsThatACopyLacksAreKeptForAWhile(t *testing.T) {
	is := is.New(t)
	s, c := restoredSet()
	s.Replace([]replica.Record{record("a", 20)}, replica.NewVersion(2, 20))
	_, found := s.Get("b")
	is.True(found)
	_, unswept := s.Unswept()
	is.True(!unswept) // it may still be written again
	c.Advance(replica.ReturnGrace)
	_, unswept = s.Unswept()
	is.True(unswept)
	s.Replace([]replica.Record{record("a", 20)}, replica.NewVersion(2, 25))
	_, found = s.Get("b")
	is.True(!found)
	_, unswept = s.Unswept()
	is.True(!unswept)
	is.Equal(len(s.Put([]replica.Record{{Key: "d", Version: replica.NewVersion(1, 50)}})), 0) // from a node that has missed it all
}

// TestRecordsDeletedSinceTheCopyStayDeleted guards against the copy bringing back what was deleted, until its writer could
// have written again.
func TestRecordsDeletedSinceTheCopyStayDeleted(t *testing.T) {
	is := is.New(t)
	s, c := restoredSet()
	copied := []replica.Record{record("a", 20), record("b", 18), record("c", 15)}
	s.Replace(copied, replica.NewVersion(2, 20))
	_, found := s.Get("c")
	is.True(!found)
	c.Advance(replica.ReturnGrace)
	long, unswept := s.Unswept()
	is.True(unswept)
	is.Equal(long, clock.Millis(0))
	s.Replace(copied, replica.NewVersion(2, 30)) // it is there to stay
	_, found = s.Get("c")
	is.True(found)
	_, unswept = s.Unswept()
	is.True(!unswept)
}

// TestSecondReturnWithinTheGrace guards against sweeping before the writers could write again what the second return took.
func TestSecondReturnWithinTheGrace(t *testing.T) {
	is := is.New(t)
	s, c := restoredSet()
	s.Replace([]replica.Record{record("a", 20), record("b", 22)}, replica.NewVersion(2, 22))
	c.Advance(replica.ReturnGrace - 100)
	again := replica.Record{Key: "a", Version: replica.NewVersion(3, 20)}
	s.Replace([]replica.Record{again}, replica.NewVersion(3, 20))
	c.Advance(200)
	s.Replace([]replica.Record{again}, replica.NewVersion(3, 21))
	_, found := s.Get("b")
	is.True(found)
}

// TestNewNodeTakesWhatTheCopyLacks has a node that starts after the return hear of a record of the earlier era from others.
func TestNewNodeTakesWhatTheCopyLacks(t *testing.T) {
	is := is.New(t)
	c := clock.NewManual(1000)
	s := replica.New(c)
	s.Replace([]replica.Record{record("a", 20)}, replica.NewVersion(2, 20))
	is.Equal(len(s.Put([]replica.Record{{Key: "b", Version: replica.NewVersion(1, 40)}})), 1)
}

// TestRowOfAnUnchangedRecordIsTaken has a state that names its version written again.
func TestRowOfAnUnchangedRecordIsTaken(t *testing.T) {
	is := is.New(t)
	s := replica.New(clock.NewManual(0))
	s.Put([]replica.Record{{Key: "config", Version: 24, Row: replica.NewVersion(1, 41)}})
	is.Equal(len(s.Put([]replica.Record{{Key: "config", Version: 24, Row: replica.NewVersion(2, 37)}})), 0)
	r, _ := s.Get("config")
	is.Equal(r.Row, replica.NewVersion(2, 37))
	is.Equal(len(s.Put([]replica.Record{{Key: "config", Version: 20, Row: replica.NewVersion(2, 38)}})), 0) // the copy's
}
