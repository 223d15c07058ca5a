package delta_test

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/matryer/is"
	"github.com/tinladder/tinladder/delta"
	"pgregory.net/rapid"
)

const maxSize = 8 << 20

// rows returns so many lines with names by chance, the same for the same seed.
func rows(seed uint64, count int) [][]byte {
	draw := rand.New(rand.NewPCG(seed, 1))
	list := make([][]byte, count)
	for i := range list {
		list[i] = fmt.Appendf(nil, "route r-%07x of host %06x.example below /%08x/ leads to desk\n", draw.Uint32()>>4, draw.IntN(40), draw.Uint32())
	}
	return list
}

// TestSizes measures 4,200 rows of 64 bytes, changed a little and grown by a third.
func TestSizes(t *testing.T) {
	old := rows(1, 4200)
	grown := append(slices.Clone(old), rows(2, 1400)...)
	changed := slices.Clone(old)
	changed[2000] = []byte("route r-0000000 leads elsewhere\n")
	cases := []struct {
		name        string
		base, value [][]byte
		most        int
	}{
		{"without a base", nil, old, 80_000},
		{"one row changed", old, changed, 500},
		{"one row moved to the front", old, append([][]byte{old[4000]}, append(slices.Clone(old[:4000]), old[4001:]...)...), 500},
		{"a third more", old, grown, 30_000},
		{"a quarter fewer", grown, old, 500},
		{"the same", old, old, 200},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			base, value := bytes.Join(c.base, nil), bytes.Join(c.value, nil)
			packed, err := delta.Pack(base, value)
			is.NoErr(err)
			t.Logf("%d bytes of %d", len(packed), len(value))
			is.True(len(packed) <= c.most)
			got, err := delta.Unpack(base, packed, maxSize)
			is.NoErr(err)
			is.True(bytes.Equal(got, value))
		})
	}
}

func TestRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		base := rapid.SliceOfN(rapid.Byte(), 0, 300).Draw(t, "base")
		value := rapid.SliceOfN(rapid.Byte(), 0, 300).Draw(t, "value")
		if rapid.Bool().Draw(t, "alike") {
			value = append(slices.Clone(base), value...)
		}
		packed, err := delta.Pack(base, value)
		if err != nil {
			t.Fatal(err)
		}
		got, err := delta.Unpack(base, packed, maxSize)
		if err != nil || !bytes.Equal(got, value) {
			t.Fatalf("%v, %q for %q", err, got, value)
		}
	})
}

// TestMaxSize unpacks a small message that stands for a large value.
func TestMaxSize(t *testing.T) {
	is := is.New(t)
	packed, err := delta.Pack(nil, make([]byte, 1<<20))
	is.NoErr(err)
	_, err = delta.Unpack(nil, packed, 1<<10)
	is.True(err != nil)
}

// FuzzUnpack gives garbage, against a base and without one: it may fail, and must not do more.
func FuzzUnpack(f *testing.F) {
	base := bytes.Join(rows(1, 4), nil)
	packed, _ := delta.Pack(base, bytes.Join(rows(1, 5), nil))
	f.Add([]byte{}, packed)
	f.Add(base, packed)
	f.Add(base, []byte("garbage"))
	f.Fuzz(func(t *testing.T, base, packed []byte) {
		if got, err := delta.Unpack(base, packed, 1<<16); err == nil && len(got) > 1<<16 {
			t.Fatal(len(got))
		}
	})
}
