package node_test

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"
	"github.com/tinladder/tinladder/emulate"
	"github.com/tinladder/tinladder/platform"
	"github.com/tinladder/tinladder/platform/standin"
)

// maxNodeMemory is the memory of the platform's smallest VMs, in KB.
const maxNodeMemory = 184_000

// startProcess starts a node as a process of its own.
func (f *fleet) startProcess(name string) (n *testNode, p *os.Process) {
	f.t.Helper()
	binary := filepath.Join(f.t.TempDir(), "tinladder-node")
	if out, err := exec.Command("go", "build", "-o", binary, "../cmd/tinladder-node").CombinedOutput(); err != nil {
		f.t.Fatalf("%v: %s", err, out)
	}
	free := emulate.Addresses(6)
	n = &testNode{name: name, hall: "h0", door: standin.NewDoor(f.store), log: &logBuffer{}}
	n.callers, n.peers, n.readiness, n.directory, n.peersAt, n.metrics = free[0], free[1], free[2], free[3], free[1], free[5]
	n.seeds = []string{n.peers}
	n.path = filepath.Join(f.t.TempDir(), name+".toml")
	if err := os.WriteFile(n.path, []byte(f.settingsOf(n, "")), 0o600); err != nil {
		f.t.Fatal(err)
	}
	cmd := exec.Command(binary, n.path)
	cmd.Stdout, cmd.Stderr = n.log, n.log
	if err := cmd.Start(); err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	})
	return n, cmd.Process
}

// peakMemory returns the most memory that the process has had, in KB.
func (f *fleet) peakMemory(p *os.Process) (kb int) {
	f.t.Helper()
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.Pid))
	if err != nil {
		f.t.Fatal(err)
	}
	for line := range strings.Lines(string(b)) {
		if rest, found := strings.CutPrefix(line, "VmHWM:"); found {
			kb, err = strconv.Atoi(strings.Fields(rest)[0])
		}
	}
	if err != nil || kb == 0 {
		f.t.Fatalf("no peak in %s", b)
	}
	return kb
}

// TestBytesWithoutEndTakeLittleMemory has a target send bytes without end, in a head or a body, to a node that is a process of
// its own: kept, they would end the process, and the requests of all callers with it.
func TestBytesWithoutEndTakeLittleMemory(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, 0, &fleet{via: func(s string) string { return s }})
	f.calm(1)
	bad, err := standin.NewTarget(f.store, "i-1", "desk", "h0", 200, 0)
	is.NoErr(err)
	defer bad.Close()
	n, p := f.startProcess("n0")
	f.eventually("it is ready", func() bool {
		return f.status(n.readiness, platform.ReadyPath) == http.StatusOK && f.poolTargets(n) == 1
	})
	before := f.peakMemory(p)
	bad.SetFaults(standin.TargetFaults{Endless: 1})
	for i, a := range standin.EndlessAnswers {
		bad.SetEndless(&a)
		var wg sync.WaitGroup
		for k := range 50 {
			wg.Go(func() { f.call(n, http.MethodGet, "/get/", fmt.Sprintf("endless-%d-%d", i, k), "") })
		}
		wg.Wait()
		t.Logf("%s: peak %d KB", a.Name, f.peakMemory(p))
	}
	is.Equal(f.status(n.readiness, platform.ReadyPath), http.StatusOK)
	t.Logf("%d requests at the target; peak %d KB before, %d KB after", len(bad.Seen()), before, f.peakMemory(p))
	is.True(len(bad.Seen()) >= 50)
	is.True(f.peakMemory(p) < maxNodeMemory)
}
