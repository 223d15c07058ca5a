package clock_test

import (
	"testing"

	"github.com/tinladder/tinladder/clock"
)

// TestRemoteBoundsFromBelow relates a clock that is 1,000 ms behind, by responses of different latency.
func TestRemoteBoundsFromBelow(t *testing.T) {
	var r clock.Remote
	if _, ok := r.Earliest(10, 20); ok {
		t.Error("an unknown clock dates a reading")
	}
	r.Observe(5000, 6300, 5290) // shown at 6290; it may have been at 5000
	if got, ok := r.Earliest(5290, 6300); !ok || got != 5000 {
		t.Errorf("earliest %d, %v; want 5000", got, ok)
	}
	r.Observe(7000, 7008, 6004) // a faster response tightens the bound
	if got, ok := r.Earliest(5290, 7010); !ok || got != 6286 {
		t.Errorf("earliest %d, %v; want 6286", got, ok)
	}
	r.Observe(8000, 9300, 8290) // a slower one does not loosen it
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

// TestRemoteForgetsAClockThatWentBack observes a reading that contradicts the earlier one.
func TestRemoteForgetsAClockThatWentBack(t *testing.T) {
	var r clock.Remote
	if !r.Observe(1000, 1004, 502) {
		t.Error("the first observation is reported as a clock that was set")
	}
	if r.Observe(2000, 2004, 300) {
		t.Error("a clock that went back is not detected")
	}
	if got, ok := r.Earliest(300, 2004); !ok || got != 2000 {
		t.Errorf("earliest %d, %v; want 2000", got, ok)
	}
}

// TestRemoteAllowsForDrift makes no observation for long: readings must not be dated too late.
func TestRemoteAllowsForDrift(t *testing.T) {
	var r clock.Remote
	r.Observe(0, 0, 1_000_000)
	now := clock.Millis(600_000) // the other clock runs 100 ppm slower
	reading := 1_000_000 + now - now/10_000
	if got, ok := r.Earliest(reading, now); !ok || got > now {
		t.Errorf("earliest %d at %d", got, now)
	}
}
