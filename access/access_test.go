package access_test

import (
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/tinladder/tinladder/access"
	"github.com/tinladder/tinladder/clock"
	"github.com/tinladder/tinladder/ident"
)

var fresh = access.Freshness{Known: true, Age: 100, MaxAge: 4900, NegativeMaxAge: 2500}

func directory(t testing.TB) *access.Directory {
	d := access.NewDirectory()
	for _, name := range []ident.Workspace{"shops", "couriers"} {
		if err := d.Add(access.Workspace{Name: name, Priority: 1}, []access.Digest{access.DigestOf("key-of-" + string(name))}); err != nil {
			t.Fatal(err)
		}
	}
	return d
}

func TestDecide(t *testing.T) {
	long := strings.Repeat("k", access.MaxKey+1)
	cases := []struct {
		name   string
		values []string
		trust  access.Freshness
		want   access.Verdict
		space  ident.Workspace
	}{
		{"known", []string{"Bearer key-of-shops"}, fresh, access.Allowed, "shops"},
		{"another one", []string{"Bearer key-of-couriers"}, fresh, access.Allowed, "couriers"},
		{"case of the scheme", []string{"bEARER key-of-shops"}, fresh, access.Allowed, "shops"},
		{"more blanks", []string{"Bearer   key-of-shops "}, fresh, access.Allowed, "shops"},
		{"none", nil, fresh, access.NoKey, ""},
		{"empty", []string{""}, fresh, access.NoKey, ""},
		{"no key", []string{"Bearer "}, fresh, access.NoKey, ""},
		{"scheme alone", []string{"Bearer"}, fresh, access.NoKey, ""},
		{"no blank", []string{"Bearerkey-of-shops"}, fresh, access.NoKey, ""},
		{"key alone", []string{"key-of-shops"}, fresh, access.NoKey, ""},
		{"another scheme", []string{"Basic key-of-shops"}, fresh, access.NoKey, ""},
		{"two values", []string{"Bearer key-of-shops", "Bearer key-of-shops"}, fresh, access.NoKey, ""},
		{"two in one value", []string{"Bearer key-of-shops, Bearer key-of-shops"}, fresh, access.NoKey, ""},
		{"blank inside", []string{"Bearer key-of shops"}, fresh, access.NoKey, ""},
		{"tab", []string{"Bearer\tkey-of-shops"}, fresh, access.NoKey, ""},
		{"not plain text", []string{"Bearer key-of-shöps"}, fresh, access.NoKey, ""},
		{"too long", []string{"Bearer " + long}, fresh, access.NoKey, ""},
		{"case of the key", []string{"Bearer Key-of-shops"}, fresh, access.UnknownKey, ""},
		{"unknown", []string{"Bearer x"}, fresh, access.UnknownKey, ""},
		{"trust has lapsed", []string{"Bearer key-of-shops"}, access.Freshness{Known: true, Age: 4900, MaxAge: 4900}, access.Unverified, ""},
		{"just before", []string{"Bearer key-of-shops"}, access.Freshness{Known: true, Age: 4899, MaxAge: 4900}, access.Allowed, "shops"},
		{"nothing proved", []string{"Bearer key-of-shops"}, access.Freshness{MaxAge: 4900}, access.Unverified, ""},
		{"taken as known", []string{"Bearer key-of-shops"}, access.Freshness{}, access.Allowed, "shops"},
		{"unknown by old word", []string{"Bearer x"}, access.Freshness{Known: true, Age: 2600, MaxAge: 4900, NegativeMaxAge: 2500}, access.Unverified, ""},
		{"unknown to a node that is behind", []string{"Bearer x"}, access.Freshness{Stale: true}, access.Unverified, ""},
		{"known to a node that is behind", []string{"Bearer key-of-shops"}, access.Freshness{Stale: true}, access.Allowed, "shops"},
	}
	d := directory(t)
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			w, v := d.Decide(c.values, c.trust)
			is.Equal(v, c.want)
			if c.space == "" {
				is.True(w == nil)
			} else {
				is.Equal(w.Name, c.space)
			}
		})
	}
}

// TestFaultsOpenNothing adds workspaces that make no sense beside sound ones.
func TestFaultsOpenNothing(t *testing.T) {
	is := is.New(t)
	d := directory(t)
	shared := access.DigestOf("shared")
	is.NoErr(d.Add(access.Workspace{Name: "a"}, []access.Digest{shared}))
	is.True(d.Add(access.Workspace{Name: "b"}, []access.Digest{shared, access.DigestOf("of-b")}) != nil)
	_, v := d.Decide([]string{"Bearer shared"}, fresh)
	is.Equal(v, access.UnknownKey)
	is.True(d.Add(access.Workspace{Name: "c"}, []access.Digest{shared}) != nil) // a third one does not get it either
	_, v = d.Decide([]string{"Bearer shared"}, fresh)
	is.Equal(v, access.UnknownKey)
	w, _ := d.Decide([]string{"Bearer of-b"}, fresh)
	is.Equal(w.Name, ident.Workspace("b"))
	is.True(d.Add(access.Workspace{Name: "shops"}, []access.Digest{access.DigestOf("second")}) != nil)
	_, v = d.Decide([]string{"Bearer second"}, fresh)
	is.Equal(v, access.UnknownKey)
	is.True(d.Add(access.Workspace{Name: "odd", Fault: "its limit is text"}, []access.Digest{access.DigestOf("odd")}) != nil)
	_, v = d.Decide([]string{"Bearer odd"}, fresh)
	is.Equal(v, access.Unusable)
	is.True(d.Add(access.Workspace{Name: "line\nbreak"}, []access.Digest{access.DigestOf("line")}) != nil)
	_, v = d.Decide([]string{"Bearer line"}, fresh)
	is.Equal(v, access.UnknownKey)
}

// TestProofGrowsOld has one node ask the store and hand its proof on, while messages wait and processes stand still.
func TestProofGrowsOld(t *testing.T) {
	is := is.New(t)
	var asker, told access.Proof
	_, proved := told.Age(0)
	is.True(!proved)
	// The store's clock is 7,000 behind. The asker's question goes out at 10,000 and is answered at 10,004.
	asker.ObserveStore(10_000, 10_004, 3_002, true)
	age, proved := asker.Age(10_004)
	is.True(proved && age == 4)
	is.Equal(asker.Proved(), clock.Millis(3_002))
	told.Merge(asker.Proved(), 10_010)
	_, proved = told.Age(10_010)
	is.True(!proved) // it cannot tell how old that is
	// It asks the other node, whose answer shows how late the store's clock may be.
	told.ObserveLatest(10_020, asker.Latest(10_022))
	told.Merge(asker.Proved(), 10_030)
	age, proved = told.Age(10_030)
	is.True(proved && age >= 28 && age <= 32)
	// The word lies in a buffer for six seconds while the node stands still: it is as old as it is.
	told.Merge(asker.Proved(), 16_030)
	age, proved = told.Age(16_030)
	is.True(proved && age >= 6_028)
	// An answer that shows a newer state that cannot be read proves nothing.
	asker.ObserveStore(16_000, 16_004, 9_002, false)
	age, _ = asker.Age(16_004)
	is.True(age >= 6_000)
	// A word from a time to come is none.
	told.Merge(20_000, 16_030)
	age, _ = told.Age(16_030)
	is.True(age >= 6_028)
	// The store's clock goes back: what was proved before says nothing.
	asker.ObserveStore(17_000, 17_004, 100, false)
	_, proved = asker.Age(17_004)
	is.True(!proved)
}

func FuzzBearer(f *testing.F) {
	f.Add("Bearer key-of-shops")
	f.Add("bearer  x,y")
	f.Fuzz(func(t *testing.T, value string) {
		key, found := access.Bearer([]string{value})
		if found && (key == "" || len(key) > access.MaxKey || strings.ContainsAny(key, " ,\t\r\n\x00")) {
			t.Errorf("key %q", key)
		}
	})
}

// BenchmarkDecide checks a key of 1,000 workspaces with 4 each: 0.2 us, and nothing is allocated.
func BenchmarkDecide(b *testing.B) {
	d := access.NewDirectory()
	for i := range 1000 {
		name := ident.Workspace("w" + strings.Repeat("x", i%7) + string(rune('a'+i%26)) + strings.Repeat("y", i/26))
		var keys []access.Digest
		for k := range 4 {
			keys = append(keys, access.DigestOf(string(name)[:min(len(name), 60)]+string(rune('0'+k))))
		}
		_ = d.Add(access.Workspace{Name: name}, keys)
	}
	values := []string{"Bearer uakn2ftimaj3nr26tta8"}
	b.ReportAllocs()
	for b.Loop() {
		d.Decide(values, fresh)
	}
}
