package clock_test

import (
	"testing"

	"github.com/tinladder/tinladder/clock"
)

// TestRemoteBoundsFromBelow relates a clock that is 1,000 ms behind, by answers that took differently long.
func TestRemoteBoundsFromBelow(t *testing.T) {
	var r clock.Remote
	if _, ok := r.Earliest(10, 20); ok {
		t.Error("a clock that nothing is known of dates a reading")
	}
	r.Observe(5000, 6300, 5290) // shown at 6290; it may have been at 5000
	if got, ok := r.Earliest(5290, 6300); !ok || got != 5000 {
		t.Errorf("earliest %d, %v; want 5000", got, ok)
	}
	r.Observe(7000, 7008, 6004) // a quick answer tells more
	if got, ok := r.Earliest(5290, 7010); !ok || got != 6286 {
		t.Errorf("earliest %d, %v; want 6286", got, ok)
	}
	r.Observe(8000, 9300, 8290) // a slow one takes nothing back
	if got, ok := r.Earliest(8290, 9300); !ok || got < 9280 || got > 9290 {
		t.Errorf("earliest %d, %v; want about 9286", got, ok)
	}
	if _, ok := r.Earliest(9000, 9300); ok {
		t.Error("a reading that cannot have been shown yet is dated")
	}
	if got := r.Latest(9300); got < 8290 || got > 8320 {
		t.Errorf("latest %d; the clock shows 8300", got)
	}
}

// TestRemoteForgetsAClockThatWentBack hands in an answer that the clock known before cannot have given.
func TestRemoteForgetsAClockThatWentBack(t *testing.T) {
	var r clock.Remote
	if !r.Observe(1000, 1004, 502) {
		t.Error("the first answer contradicts nothing")
	}
	if r.Observe(2000, 2004, 300) {
		t.Error("a clock that went back is not noticed")
	}
	if got, ok := r.Earliest(300, 2004); !ok || got != 2000 {
		t.Errorf("earliest %d, %v; want 2000", got, ok)
	}
}

// TestRemoteAllowsForDrift leaves a relation alone for long: it may not make readings younger.
func TestRemoteAllowsForDrift(t *testing.T) {
	var r clock.Remote
	r.Observe(0, 0, 1_000_000)
	now := clock.Millis(600_000) // the other clock went 100 parts in a million slower
	reading := 1_000_000 + now - now/10_000
	if got, ok := r.Earliest(reading, now); !ok || got > now {
		t.Errorf("earliest %d at %d", got, now)
	}
}
