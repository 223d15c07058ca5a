package node_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/tinladder/tinladder/platform/standin"
)

// oddEntries returns entries of another writer, by name: valid JSON that is out of the ordinary, and bytes that are none.
func oddEntries() map[string]string {
	good := string(standin.TargetRow("10.0.0.1:80", "desk", "h0", "ready", 3))
	digits := strings.Repeat("9", 400)
	deep := func(depth int) string { return strings.Repeat("[", depth) + strings.Repeat("]", depth) }
	list := map[string]string{
		"no text": "\x00\xff\xfe\x01", "empty": "", "null": "null", "a number": "1e400", "a list": "[]", "half": good[:len(good)/2],
		"open brackets": strings.Repeat("[", 400_000), "open braces": strings.Repeat(`{"a":`, 100_000),
	}
	for _, depth := range []int{9_000, 10_001, 100_000, 400_000} {
		list[fmt.Sprint("nested ", depth)] = deep(depth)
		list[fmt.Sprint("address nested ", depth)] = strings.Replace(good, `"10.0.0.1:80"`, deep(depth), 1)
	}
	for _, address := range []string{"10.0.0.1:0", "10.0.0.1:65536", "10.0.0.1:70000", "10.0.0.1:-1", "10.0.0.1:", "10.0.0.1", ":80", "10.0.0.1:" + digits, "host:80", "0.0.0.0:80", "[::]:80", "[::1:80", "10.0.0.1:80:80"} {
		list["address "+address[:min(len(address), 20)]] = strings.Replace(good, "10.0.0.1:80", address, 1)
	}
	for _, number := range []string{digits, "1e400", "-1", "1.5", "4294967296", `"3"`, "NaN"} {
		list["capacity "+number[:min(len(number), 20)]] = strings.Replace(good, `"capacity":3`, `"capacity":`+number, 1)
		list["callSeq "+number[:min(len(number), 20)]] = strings.Replace(good, `"callSeq":`, `"callSeq":`+strings.Replace(number, "4294967296", "1e30", 1)+`,"other":`, 1)
	}
	return list
}

// TestOddEntriesHarmNoNode has another writer write odd entries beside those of targets. Nodes that read the list must neither
// end nor cease to follow it, and take none of them for a target.
func TestOddEntriesHarmNoNode(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleet(t, 2)
	f.target("i-1", "desk")
	f.calm(1)
	f.ready(1, 1)
	targets := 1
	for name, raw := range oddEntries() {
		if raw == string(standin.TargetRow("10.0.0.1:80", "desk", "h0", "ready", 3)) {
			t.Fatalf("%s is an entry of a target", name)
		}
		f.store.Put("servers", "odd", []byte(raw))
	}
	for name, raw := range oddEntries() {
		f.store.Put("servers", "odd-"+name, []byte(raw))
	}
	f.target("i-2", "desk")
	targets++
	for _, n := range f.nodes {
		f.eventually(n.name+" follows the list", func() bool { return f.poolTargets(n) >= targets })
		is.Equal(f.poolTargets(n), targets)
		for i := range 20 {
			is.Equal(f.call(n, http.MethodGet, "/get/", fmt.Sprint(n.name, "-", i), "").status, http.StatusOK)
		}
	}
}

// TestLargeEntriesDoNotEndFollowing has another writer write entries that are large together. The changes came in one answer
// that was too large, each time again, and nodes no longer learned of targets that joined or left.
func TestLargeEntriesDoNotEndFollowing(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleet(t, 2)
	f.target("i-1", "desk")
	f.calm(1)
	f.ready(1, 1)
	for i := range 20 {
		f.store.Put("servers", fmt.Sprint("odd-", i%4), []byte(strings.Repeat("[", 700_000+i)))
	}
	f.target("i-2", "desk")
	for _, n := range f.nodes {
		f.eventually(n.name+" follows the list", func() bool { return f.poolTargets(n) == 2 })
	}
	f.target("i-3", "desk")
	for _, n := range f.nodes {
		f.eventually(n.name+" still follows the list", func() bool { return f.poolTargets(n) == 3 })
	}
	is.Equal(f.call(f.nodes[0], http.MethodGet, "/get/", "after", "").status, http.StatusOK)
}
