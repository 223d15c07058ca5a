package node

import (
	"fmt"
	"io"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"
	"github.com/tinladder/tinladder/clock"
	"github.com/tinladder/tinladder/forward"
	"github.com/tinladder/tinladder/logs"
	"github.com/tinladder/tinladder/replica"
	tlv1 "github.com/tinladder/tinladder/schema/tinladder/v1"
	"github.com/tinladder/tinladder/store"
	"google.golang.org/protobuf/proto"
)

// aTarget returns the record of a target with as many slots as its version.
func aTarget(t testing.TB, i int, version uint64) replica.Record {
	raw, err := proto.Marshal(&tlv1.RegisteredTarget{Service: "desk", Address: "127.0.0.1:9", Hall: "h0", Slots: uint32(version), Born: 1})
	if err != nil {
		t.Fatal(err)
	}
	return replica.Record{Key: fmt.Sprint("i-", i), Version: version, Value: raw}
}

func recordsAlone() *records {
	return newRecords(&Node{clock: clock.NewManual(1000)})
}

// putTargets adds records of targets, and marks them stale as apply does.
func (r *records) putTargets(list ...replica.Record) {
	r.targetCache.markStale(r.sets[store.Targets].Put(list))
}

// TestTargetsAreThoseOfTheRecords adds records in random order and in batches of different sizes, and compares the cached
// targets with the records.
func TestTargetsAreThoseOfTheRecords(t *testing.T) {
	is := is.New(t)
	rnd := rand.New(rand.NewPCG(1, 2))
	r := recordsAlone()
	var handedOut []target
	for range 400 {
		for range rnd.IntN(12) {
			x := aTarget(t, rnd.IntN(60), 1+rnd.Uint64N(300))
			switch rnd.IntN(8) {
			case 0:
				x.Deleted, x.Value = true, nil
			case 1:
				x.Value = []byte("broken")
			}
			r.putTargets(x)
		}
		var want []string
		for _, x := range r.sets[store.Targets].Live() {
			if decodeRegistration(x) != nil {
				want = append(want, fmt.Sprint(x.Key, " ", x.Version, " ", x.Version))
			}
		}
		before := fmt.Sprint(handedOut)
		list := r.targets()
		is.Equal(before, fmt.Sprint(handedOut)) // lists returned earlier do not change
		handedOut = list
		var got []string
		for _, x := range list {
			got = append(got, fmt.Sprint(x.id, " ", x.version, " ", x.slots))
		}
		is.Equal(got, want)
	}
}

// BenchmarkTargetChanges changes one of 3,000 targets before each call of targets.
func BenchmarkTargetChanges(b *testing.B) {
	r := recordsAlone()
	for i := range 3000 {
		r.putTargets(aTarget(b, i, 1))
	}
	r.targets()
	version := uint64(1)
	for b.Loop() {
		version++
		r.putTargets(aTarget(b, 1500, version))
		r.targets()
	}
}

// TestRecordsOfOtherWriters guards against a record that its target cannot have written, and that brings back one that is gone,
// or gives one that is held another life.
func TestRecordsOfOtherWriters(t *testing.T) {
	const later = 1 << 40 // a version of the store after it came back from a copy
	type row struct {
		version, born, seq uint64
		gone               bool
	}
	for name, c := range map[string]struct {
		rows []row
		// held says that the target is used at the end, and life which of its lives it is in.
		held bool
		life uint64
	}{
		"its own":                           {[]row{{1, 5, 1, false}, {2, 5, 2, false}}, true, 5},
		"a start later":                     {[]row{{1, 5, 9, false}, {2, 6, 1, false}}, true, 6},
		"a start by a clock set back":       {[]row{{1, 5, 9, false}, {2, 4, 1, false}}, true, 4},
		"it is back":                        {[]row{{1, 5, 1, false}, {2, 0, 0, true}, {3, 5, 2, false}}, true, 5},
		"without a start":                   {[]row{{1, 5, 1, false}, {2, 0, 2, false}}, false, 0},
		"without a start, gone":             {[]row{{1, 5, 1, false}, {2, 0, 0, true}, {3, 0, 2, false}}, false, 0},
		"without a start twice":             {[]row{{1, 5, 1, false}, {2, 0, 2, false}, {3, 0, 3, false}}, false, 0},
		"without a start, then its own":     {[]row{{1, 5, 1, false}, {2, 0, 2, false}, {3, 5, 2, false}}, true, 5},
		"counts back":                       {[]row{{1, 5, 3, false}, {2, 5, 2, false}}, true, 5},
		"counts back, gone":                 {[]row{{1, 5, 3, false}, {2, 0, 0, true}, {3, 5, 2, false}}, false, 0},
		"never named a start":               {[]row{{1, 0, 3, false}, {2, 0, 4, false}}, true, 0},
		"never named a start, restarts":     {[]row{{1, 0, 3, false}, {2, 0, 1, false}}, true, 1},
		"names its start from now on":       {[]row{{1, 0, 3, false}, {2, 7, 4, false}}, true, 7},
		"an earlier life, from a copy":      {[]row{{1, 5, 3, false}, {later + 1, 4, 9, false}}, true, 5},
		"a copy, then its own":              {[]row{{1, 5, 3, false}, {later + 1, 4, 9, false}, {later + 2, 5, 4, false}}, true, 5},
		"its present life, from a copy":     {[]row{{1, 5, 3, false}, {later + 1, 5, 2, false}}, true, 5},
		"an earlier life, gone, and a copy": {[]row{{1, 5, 3, false}, {2, 0, 0, true}, {later + 1, 4, 9, false}}, false, 0},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := recordsAlone()
			log, err := logs.New(io.Discard, "error")
			is.NoErr(err)
			r.node.metrics, r.node.log, r.node.conns = newMetrics(r.node.clock), log, forward.NewConnPool(r.node.clock, clock.Second, nil)
			for _, x := range c.rows {
				raw, err := proto.Marshal(&tlv1.RegisteredTarget{Service: "desk", Address: "127.0.0.1:9", Hall: "h0", Slots: 1, Born: int64(x.born), Seq: x.seq})
				is.NoErr(err)
				r.putTargets(replica.Record{Key: "i-1", Version: x.version, Value: raw, Deleted: x.gone})
				r.targets()
			}
			list := r.targets()
			is.Equal(len(list) == 1, c.held)
			if c.held {
				is.Equal(list[0].generation, c.life)
			}
		})
	}
}
