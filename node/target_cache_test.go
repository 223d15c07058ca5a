package node

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"
	"github.com/tinladder/tinladder/clock"
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
