package quarantine_test

import (
	"testing"

	"github.com/matryer/is"
	"github.com/tinladder/tinladder/quarantine"
)

var testRequest = quarantine.Request{
	Caller: "10.0.0.1", Workspace: "shop", Method: "GET", Host: "example", Target: "/a/b?c", Body: []byte("body"), Length: 4,
}

// TestFingerprintsDistinguishRequests changes one field at a time, and moves bytes between adjacent fields. The first differ
// fingerprints, the narrowest ones, must differ from the original's.
func TestFingerprintsDistinguishRequests(t *testing.T) {
	is := is.New(t)
	before := quarantine.FingerprintsOf(&testRequest)
	for name, c := range map[string]struct {
		mutate func(r *quarantine.Request)
		differ int
	}{
		"caller":    {func(r *quarantine.Request) { r.Caller = "10.0.0.2" }, 1},
		"query":     {func(r *quarantine.Request) { r.Target = "/a/b?d" }, 2},
		"no query":  {func(r *quarantine.Request) { r.Target = "/a/b" }, 2},
		"path":      {func(r *quarantine.Request) { r.Target = "/a/c?c" }, 3},
		"workspace": {func(r *quarantine.Request) { r.Workspace = "other" }, 3},
		"method":    {func(r *quarantine.Request) { r.Method = "PUT" }, 3},
		"host":      {func(r *quarantine.Request) { r.Host = "other" }, 3},
		"body":      {func(r *quarantine.Request) { r.Body = []byte("bodz") }, 3},
		"framing":   {func(r *quarantine.Request) { r.Length = -1 }, 0},
		"long":      {func(r *quarantine.Request) { r.IsLong, r.Length = true, 70_000 }, 3},
		"fields":    {func(r *quarantine.Request) { r.Host, r.Target = "example/a", "/b?c" }, 3},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := testRequest
			c.mutate(&r)
			for scope, fp := range quarantine.FingerprintsOf(&r) {
				is.Equal(fp != before[scope], scope < c.differ)
			}
		})
	}
	is.True(before[quarantine.ScopeCaller] != before[quarantine.ScopeRequest])
	noQuery := testRequest
	noQuery.Target = "/a/b"
	before = quarantine.FingerprintsOf(&noQuery)
	is.True(before[quarantine.ScopeRequest] != before[quarantine.ScopePath]) // though there is no query
}

// TestLongBodiesShareFingerprintsWhateverTheirFraming guards against a request that crashes targets and is another one each time
// it comes in another framing. Requests that only begin alike are told apart where their length is known.
func TestLongBodiesShareFingerprintsWhateverTheirFraming(t *testing.T) {
	is := is.New(t)
	told := testRequest
	told.IsLong, told.Length = true, 70_000
	chunked, longer := told, told
	chunked.Length, longer.Length = -1, 80_000
	a, b, c := quarantine.FingerprintsOf(&told), quarantine.FingerprintsOf(&chunked), quarantine.FingerprintsOf(&longer)
	for _, s := range []quarantine.Scope{quarantine.ScopeRequest, quarantine.ScopePath} {
		is.Equal(a[s], b[s])
		is.Equal(a[s], c[s])
	}
	is.True(a[quarantine.ScopeCaller] != c[quarantine.ScopeCaller])
}

func TestFingerprintIsParsed(t *testing.T) {
	is := is.New(t)
	fp := quarantine.FingerprintsOf(&testRequest)[0]
	parsed, err := quarantine.ParseFingerprint(fp.String())
	is.NoErr(err)
	is.Equal(parsed, fp)
	for _, s := range []string{"", "00", fp.String() + "00", "zz" + fp.String()[2:]} {
		_, err := quarantine.ParseFingerprint(s)
		is.True(err != nil)
	}
}

func TestFingerprintsDoNotAllocate(t *testing.T) {
	is := is.New(t)
	is.Equal(testing.AllocsPerRun(100, func() { _ = quarantine.FingerprintsOf(&testRequest) }), 0.0)
}

// BenchmarkFingerprints measures the cost per request while the list has entries; fingerprints are not computed otherwise.
func BenchmarkFingerprints(b *testing.B) {
	b.ReportAllocs()
	for b.Loop() {
		_ = quarantine.FingerprintsOf(&testRequest)
	}
}
