package quarantine_test

import (
	"testing"

	"github.com/matryer/is"
	"github.com/tinladder/tinladder/quarantine"
)

var page = quarantine.Request{
	Caller: "10.0.0.1", Workspace: "shop", Method: "GET", Host: "example", Target: "/a/b?c", Body: []byte("body"), Length: 4,
}

// TestPrintTellsRequestsApart changes one thing at a time, and moves bytes from one field to the next.
func TestPrintTellsRequestsApart(t *testing.T) {
	is := is.New(t)
	seen := map[quarantine.Print]string{quarantine.PrintOf(&page): "itself"}
	for name, change := range map[string]func(r *quarantine.Request){
		"caller":    func(r *quarantine.Request) { r.Caller = "10.0.0.2" },
		"workspace": func(r *quarantine.Request) { r.Workspace = "other" },
		"method":    func(r *quarantine.Request) { r.Method = "PUT" },
		"host":      func(r *quarantine.Request) { r.Host = "other" },
		"query":     func(r *quarantine.Request) { r.Target = "/a/b?d" },
		"body":      func(r *quarantine.Request) { r.Body = []byte("bodz") },
		"length":    func(r *quarantine.Request) { r.Length = -1 },
		"fields":    func(r *quarantine.Request) { r.Host, r.Target = "example/a", "/b?c" },
	} {
		r := page
		change(&r)
		p := quarantine.PrintOf(&r)
		is.Equal(seen[p], "") // has another one's print
		seen[p] = name
	}
}

func TestPrintIsParsed(t *testing.T) {
	is := is.New(t)
	p := quarantine.PrintOf(&page)
	again, err := quarantine.ParsePrint(p.String())
	is.NoErr(err)
	is.Equal(again, p)
	for _, s := range []string{"", "00", p.String() + "00", "zz" + p.String()[2:]} {
		_, err := quarantine.ParsePrint(s)
		is.True(err != nil)
	}
}

func TestPrintNeedsNoMemory(t *testing.T) {
	is := is.New(t)
	is.Equal(testing.AllocsPerRun(100, func() { _ = quarantine.PrintOf(&page) }), 0.0)
}

// BenchmarkPrint is what a request costs while any request is under suspicion; while none is, no print is made.
func BenchmarkPrint(b *testing.B) {
	b.ReportAllocs()
	for b.Loop() {
		_ = quarantine.PrintOf(&page)
	}
}
