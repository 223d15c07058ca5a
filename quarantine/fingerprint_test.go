package quarantine_test

import (
	"testing"

	"github.com/matryer/is"
	"github.com/tinladder/tinladder/quarantine"
)

var page = quarantine.Request{
	Caller: "10.0.0.1", Workspace: "shop", Method: "GET", Host: "example", Target: "/a/b?c", Body: []byte("body"), Length: 4,
}

// TestFingerprintsTellRequestsApart changes one thing at a time, and moves bytes from one field to the next. Each change is told
// by the fingerprints whose scope is no wider than it.
func TestFingerprintsTellRequestsApart(t *testing.T) {
	is := is.New(t)
	was := quarantine.FingerprintsOf(&page)
	for name, c := range map[string]struct {
		change func(r *quarantine.Request)
		told   int
	}{
		"caller":    {func(r *quarantine.Request) { r.Caller = "10.0.0.2" }, 1},
		"query":     {func(r *quarantine.Request) { r.Target = "/a/b?d" }, 2},
		"no query":  {func(r *quarantine.Request) { r.Target = "/a/b" }, 2},
		"path":      {func(r *quarantine.Request) { r.Target = "/a/c?c" }, 3},
		"workspace": {func(r *quarantine.Request) { r.Workspace = "other" }, 3},
		"method":    {func(r *quarantine.Request) { r.Method = "PUT" }, 3},
		"host":      {func(r *quarantine.Request) { r.Host = "other" }, 3},
		"body":      {func(r *quarantine.Request) { r.Body = []byte("bodz") }, 3},
		"length":    {func(r *quarantine.Request) { r.Length = -1 }, 3},
		"fields":    {func(r *quarantine.Request) { r.Host, r.Target = "example/a", "/b?c" }, 3},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := page
			c.change(&r)
			for b, p := range quarantine.FingerprintsOf(&r) {
				is.Equal(p != was[b], b < c.told)
			}
		})
	}
	is.True(was[quarantine.ScopeCaller] != was[quarantine.ScopeRequest])
	page := page
	page.Target = "/a/b"
	was = quarantine.FingerprintsOf(&page)
	is.True(was[quarantine.ScopeRequest] != was[quarantine.ScopePath]) // though there is no query
}

func TestPrintIsParsed(t *testing.T) {
	is := is.New(t)
	p := quarantine.FingerprintsOf(&page)[0]
	again, err := quarantine.ParseFingerprint(p.String())
	is.NoErr(err)
	is.Equal(again, p)
	for _, s := range []string{"", "00", p.String() + "00", "zz" + p.String()[2:]} {
		_, err := quarantine.ParseFingerprint(s)
		is.True(err != nil)
	}
}

func TestPrintNeedsNoMemory(t *testing.T) {
	is := is.New(t)
	is.Equal(testing.AllocsPerRun(100, func() { _ = quarantine.FingerprintsOf(&page) }), 0.0)
}

// BenchmarkFingerprints is what a request costs while any request is under suspicion; while none is, none are made.
func BenchmarkFingerprints(b *testing.B) {
	b.ReportAllocs()
	for b.Loop() {
		_ = quarantine.FingerprintsOf(&page)
	}
}
