package desired_test

import (
	"testing"

	"github.com/matryer/is"
	"github.com/tinladder/tinladder/desired"
	tlv1 "github.com/tinladder/tinladder/schema/tinladder/v1"
	"google.golang.org/protobuf/proto"
)

func route(name, host, prefix string, parts ...*tlv1.Part) *tlv1.DesiredRoute {
	if len(parts) == 0 {
		parts = []*tlv1.Part{{Service: "s", Weight: 1}}
	}
	return &tlv1.DesiredRoute{Name: name, Host: host, Prefix: prefix, TimeoutMs: 1000, Parts: parts}
}

func state(routes ...*tlv1.DesiredRoute) *tlv1.DesiredState {
	return &tlv1.DesiredState{
		Version: 7, Routes: routes,
		Services: []*tlv1.DesiredService{{Name: "s"}, {Name: "t"}, {Name: "u"}},
	}
}

func TestFindTakesTheLongestPrefix(t *testing.T) {
	table, err := desired.Compile(state(route("root", "a.example", "/"), route("deep", "a.example", "/x/y/"), route("x", "a.example", "/x/"), route("b", "b.example", "/x/")))
	if err != nil {
		t.Fatal(err)
	}
	cases := []struct{ host, path, want string }{
		{"a.example", "/", "root"},
		{"a.example", "/x", "root"},
		{"a.example", "/x/", "x"},
		{"a.example", "/x/z", "x"},
		{"a.example", "/x/y/z", "deep"},
		{"A.Example:8080", "/x/y/", "deep"},
		{"b.example", "/x/1", "b"},
		{"b.example", "/y", ""},
		{"c.example", "/", ""},
		{"[::1]", "/", ""},
	}
	for _, c := range cases {
		t.Run(c.host+c.path, func(t *testing.T) {
			is := is.New(t)
			got := ""
			if r := table.Find(c.host, c.path); r != nil {
				got = r.Name
			}
			is.Equal(got, c.want)
		})
	}
}

func TestCompileNeedsAVersion(t *testing.T) {
	_, err := desired.Compile(&tlv1.DesiredState{})
	is.New(t).True(err != nil)
}

// TestInvalidRouteAffectsOnlyItself adds an invalid route next to a valid one. The valid one must keep its
// requests, and must not take over those of the invalid one.
func TestInvalidRouteAffectsOnlyItself(t *testing.T) {
	cases := []struct {
		name   string
		faulty *tlv1.DesiredRoute
		// path belongs to the invalid route; empty if the route has no host or path.
		path string
	}{
		{name: "no host", faulty: route("r", "", "/x/")},
		{name: "no prefix", faulty: route("r", "a", "")},
		{name: "bare prefix", faulty: route("r", "a", "/x"), path: "/x/1"},
		{name: "unknown service", faulty: route("r", "a", "/x/", &tlv1.Part{Service: "none", Weight: 1}), path: "/x/1"},
		{name: "one part unknown", faulty: route("r", "a", "/x/", &tlv1.Part{Service: "s", Weight: 1}, &tlv1.Part{Service: "none", Weight: 1}), path: "/x/1"},
		{name: "no weight", faulty: route("r", "a", "/x/", &tlv1.Part{Service: "s"}), path: "/x/1"},
		{name: "no parts", faulty: &tlv1.DesiredRoute{Name: "r", Host: "a", Prefix: "/x/"}, path: "/x/1"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := state(route("whole", "a", "/"))
			s.Routes = append(s.Routes, c.faulty)
			table, err := desired.Compile(s)
			is.NoErr(err)
			is.Equal(len(table.Faults()), 1)
			is.Equal(table.Find("a", "/y").Name, "whole")
			is.Equal(table.Find("a", "/y").Fault, "")
			if c.path == "" {
				return
			}
			found := table.Find("a", c.path)
			is.Equal(found.Name, "r")
			is.True(found.Fault != "")
			is.Equal(len(found.Backends), 0)
		})
	}
}

func TestSplitsKeepTheirProportions(t *testing.T) {
	is := is.New(t)
	table, err := desired.Compile(state(route("r", "a", "/",
		&tlv1.Part{Service: "s", Weight: 90}, &tlv1.Part{Service: "t", Weight: 0}, &tlv1.Part{Service: "u", Weight: 10})))
	is.NoErr(err)
	counts := map[string]int{}
	for i := range uint32(100) {
		counts[table.Find("a", "/").PickService(func(n uint32) uint32 { return i % n })]++
	}
	is.Equal(counts, map[string]int{"s": 90, "u": 10})
}

func TestGroupsJoinServicesThatShareHosts(t *testing.T) {
	is := is.New(t)
	table, err := desired.Compile(state(route("1", "a", "/"), route("2", "a", "/t/", &tlv1.Part{Service: "t", Weight: 1}), route("3", "b", "/", &tlv1.Part{Service: "u", Weight: 1})))
	is.NoErr(err)
	is.Equal(table.GroupOfService("s"), table.GroupOfService("t"))
	is.Equal(table.GroupOfHost("a"), table.GroupOfService("s"))
	is.True(table.GroupOfHost("b") != table.GroupOfHost("a"))
	is.Equal(table.GroupOfHost("b"), table.GroupOfService("u"))
	is.Equal(table.ServicesOf(table.GroupOfHost("a")), []string{"s", "t"})
	is.Equal(len(table.ServicesOf(table.GroupOfHost("nowhere"))), 0)
}

func FuzzCompile(f *testing.F) {
	b, _ := proto.Marshal(state(route("r", "a", "/")))
	f.Add(b)
	f.Fuzz(func(t *testing.T, b []byte) {
		s := &tlv1.DesiredState{}
		if proto.Unmarshal(b, s) != nil {
			return
		}
		table, err := desired.Compile(s)
		if err != nil {
			return
		}
		for _, r := range table.Routes() {
			if table.Find(r.Host, r.Prefix) == nil {
				t.Errorf("route %q cannot be found", r.Name)
			}
			if r.Fault == "" {
				_ = r.PickService(func(n uint32) uint32 { return n - 1 })
			}
		}
	})
}
